//go:build review

package main

import (
	"syscall"
	"time"

	"gooseberrymast"
)

func init() { cases["missed-version"] = playMissedVersion }

// playMissedVersion: a balancer stands still for 4 s. Meanwhile one version of the manifest
// adds a service to a route's backends, and the next one takes it out again. Agents of the
// service and two other balancers are stopped and started in turn as planned. Flows that
// the service took between the versions are idle for eleven seconds in all that.
func playMissedVersion(w *world, trouble bool) error {
	addresses, err := w.writeManifest(3, []string{receipts}, []string{letterDesk})
	if err != nil {
		return err
	}
	balancers := map[string]*machine{}
	var agents, started []*machine
	for _, zone := range []string{"a", "b", "c", "d"} {
		m, err := w.add(gooseberrymast.RoleBalancer, zone, "")
		if err != nil {
			return err
		}
		balancers[zone] = m
		started = append(started, m)
	}
	for i, zone := range []string{"a", "c", "b", "d"} {
		service := receipts
		if i >= 2 {
			service = letterDesk
		}
		m, err := w.add(gooseberrymast.RoleAgent, zone, service)
		if err != nil {
			return err
		}
		if service == letterDesk {
			agents = append(agents, m)
		}
		started = append(started, m)
	}
	for _, m := range started {
		if err := w.start(m); err != nil {
			return err
		}
		if m.settings.Role == gooseberrymast.RoleBalancer {
			go w.watch(m)
			continue
		}
		if _, err := w.startHost(m); err != nil {
			return err
		}
	}
	began := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(began.Add(time.Duration(seconds * float64(time.Second)))))
	}
	// The roll takes the agents of the service first, then two of the balancers.
	roll := func(i int) {
		at(10.3 + float64(i)*rollGap.Seconds())
		w.terminate([]*machine{agents[0], agents[1], balancers["d"], balancers["c"]}[i])
	}
	at(8)
	if trouble {
		w.freeze(balancers["a"], true)
	}
	at(8.1)
	if _, err := w.writeManifest(8, []string{receipts, letterDesk}, []string{letterDesk}); err != nil {
		return err
	}
	at(9.7)
	number := byte(0)
	for _, zone := range []string{"b", "c", "d"} {
		for range 4 {
			number++
			c, err := w.newCaller(number, zone)
			if err != nil {
				return err
			}
			for range 8 {
				go c.idle(addresses[0], began.Add(20800*time.Millisecond))
				go c.idle(addresses[1], began.Add(20800*time.Millisecond))
			}
		}
	}
	roll(0)
	at(10.9)
	if _, err := w.writeManifest(12, []string{receipts}, []string{letterDesk}); err != nil {
		return err
	}
	roll(1)
	at(8 + freezeLength.Seconds())
	if trouble {
		w.freeze(balancers["a"], false)
	}
	roll(2)
	roll(3)
	at(23.5)
	return nil
}

// freezeLength is that of node_freeze in the site file.
const freezeLength = 4 * time.Second

// freeze lets the process of a machine stand still, or go on.
func (w *world) freeze(m *machine, on bool) {
	signal := syscall.SIGCONT
	if on {
		signal = syscall.SIGSTOP
	}
	m.mu.Lock()
	m.disturbed = time.Now()
	_ = m.command.Process.Signal(signal)
	m.mu.Unlock()
	w.log("TROUBLE %s stands still: %t", m.settings.Name, on)
}
