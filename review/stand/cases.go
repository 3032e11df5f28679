package main

import (
	"fmt"
	"time"
)

// cases holds the cases of the review by their names.
var cases = map[string]func(*scene) error{
	"idle-flow":    idleFlow,
	"late-delete":  lateDelete,
	"late-ping":    latePing,
	"shared-route": sharedRoute,
}

// idleTimeouts holds the manifest's idle timeout where it differs from 15 s.
var idleTimeouts = map[string]time.Duration{
	"idle-flow":    50 * time.Second,
	"shared-route": 20 * time.Second,
}

// stableWindow is that of the settings with a margin: all machines are in touch after it.
const stableWindow = 4500 * time.Millisecond

// idleFlow: flows are idle for 45 s, less than the idle timeout. Meanwhile the front
// machines are stopped and started in turn.
func idleFlow(s *scene) error {
	flows, err := s.openLong(s.watch, 24)
	if err != nil {
		return err
	}
	time.Sleep(32500 * time.Millisecond)
	if s.trouble {
		if err := s.fleet.roll(s.fleet.list("front")); err != nil {
			return err
		}
	}
	time.Sleep(max(stableWindow, 45*time.Second-time.Since(flows[0].lastUsed)))
	s.useAgain(flows)
	return nil
}

// lateDelete: a host leaves and its machine is taken away. The store executes the
// removal of the machine's entry late, without an answer. Another machine gets the
// address. Later a part of the sides, with that one, and then all fronts are stopped and
// started in turn.
func lateDelete(s *scene) error {
	f := &s.fleet
	old := f.list("side")[1]
	key := "peers/" + old.ip.String()
	f.hosts[old].drain(4 * time.Second)
	if s.trouble {
		f.store.mu.Lock()
		f.store.lateDelete, f.store.lateBy = key, 5*time.Second
		f.store.mu.Unlock()
	}
	f.terminate(old)
	f.remove(old)
	delete(f.hosts, old)
	time.Sleep(2200 * time.Millisecond) // reuseAfterS
	m := f.newMachine("side", old.zone, "receipts", old.ip.As4()[3])
	m.name += "-new"
	if err := f.add(m); err != nil {
		return err
	}
	h, err := startHost(s.rec, m, "receipts")
	if err != nil {
		return err
	}
	f.hosts[m] = h
	time.Sleep(7 * time.Second)
	s.rec.line("the store has the entry %s: %v", key, f.store.has(key))
	flows, err := s.openLong(s.slip, 30)
	if err != nil {
		return err
	}
	sides := f.list("side")
	if err := f.roll(sides[len(sides)-3:]); err != nil {
		return err
	}
	if err := f.roll(f.list("front")); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	if idle := time.Since(flows[0].lastUsed); idle > s.idleTimeout-time.Second/2 {
		return fmt.Errorf("the flows were idle for %v", idle)
	}
	s.useAgain(flows)
	return nil
}

// sharedRoute: a route to receipts leads to ledger, too, for some seconds. Meanwhile the
// store refuses the calls of one machine of ledger, for 3 s, and a part of the sides, with
// that one, are stopped and started in turn. Later the fronts are.
func sharedRoute(s *scene) error {
	f := &s.fleet
	s.manifest(8, "receipts", "ledger")
	time.Sleep(4 * time.Second)
	m := f.list("side")[0]
	began := time.Now()
	if s.trouble {
		f.store.refuse(m, true)
	}
	flows, err := s.openLong(s.shared, 48)
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	s.manifest(9, "receipts")
	time.Sleep(500 * time.Millisecond)
	rolled := make(chan error, 1)
	go func() { rolled <- f.roll(f.list("side")[:3]) }()
	time.Sleep(3*time.Second - time.Since(began))
	if s.trouble {
		f.store.refuse(m, false)
	}
	if err := <-rolled; err != nil {
		return err
	}
	if err := f.roll(f.list("front")); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	if idle := time.Since(flows[0].lastUsed); idle > s.idleTimeout-time.Second/2 {
		return fmt.Errorf("the flows were idle for %v", idle)
	}
	s.useAgain(flows)
	return nil
}

// latePing: a host of ledger crashes behind a partition that holds its last ping up. Its
// machine is taken away, and another one gets the address, with a host of receipts, which
// registers. Later the new side is stopped and started as planned. The old ping arrives
// just after that start.
func latePing(s *scene) error {
	f := &s.fleet
	old := f.list("side")[1]
	oldHost := f.hosts[old]
	sent := time.Now()
	late := oldHost.heldUpPing()
	s.rec.line("host %s on %s sends a ping, which a partition holds up", oldHost.id, old.name)
	oldHost.end()
	f.terminate(old)
	f.remove(old)
	delete(f.hosts, old)
	time.Sleep(2200 * time.Millisecond) // reuseAfterS
	m := f.newMachine("side", old.zone, "receipts", old.ip.As4()[3])
	m.name += "-new"
	if err := f.add(m); err != nil {
		return err
	}
	h, err := startHost(s.rec, m, "receipts")
	if err != nil {
		return err
	}
	f.hosts[m] = h
	time.Sleep(stableWindow)
	last := h.acknowledged()
	if !waitFor(3*time.Second, func() bool { return h.acknowledged() > last }) {
		return fmt.Errorf("the new host is not acknowledged")
	}
	rolled := make(chan error, 1)
	go func() { rolled <- f.roll([]*machine{m}) }()
	if !waitFor(3*time.Second, func() bool { return !m.isRunning() }) || !waitFor(3*time.Second, m.isRunning) {
		return fmt.Errorf("%s is not started again", m.name)
	}
	if s.trouble {
		time.Sleep(50 * time.Millisecond)
		status := 0
		waitFor(time.Second, func() bool { status = callControl("PUT", m.control, oldHost.id, late); return status != 0 })
		s.rec.line("the ping of host %s arrives after %.1f s at %s: %d", oldHost.id, time.Since(sent).Seconds(), m.name, status)
	}
	if err := <-rolled; err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
