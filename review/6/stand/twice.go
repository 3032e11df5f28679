//go:build review

package main

import (
	_ "embed" // For the forms of the platform's texts.
	"encoding/json"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

func init() { cases["restarted-twice"] = playRestartedTwice }

// manifestLimits are the limits of the manifest.
//
//go:embed limits.json
var manifestLimits string

const receipts = "receipts"

// writeManifest writes a manifest with the services of two routes.
func (w *world) writeManifest(number uint64, services ...[]string) (addresses []gooseberrymast.Endpoint, err error) {
	var routes []gooseberrymast.Route
	for i, names := range services {
		address := gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, byte(1 + i)}, Port: feedPort}
		addresses = append(addresses, address)
		route := gooseberrymast.Route{Address: address, Timeout: deadline, Idempotent: true}
		for _, name := range names {
			route.Backends = append(route.Backends, gooseberrymast.WeightedService{Service: name, Weight: 50})
		}
		routes = append(routes, route)
	}
	text, err := platform.FormatDocument(number, routes, []string{letterDesk, receipts}, nil)
	if err != nil {
		return nil, err
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	document["limits"] = json.RawMessage(manifestLimits)
	if text, err = json.Marshal(document); err != nil {
		return nil, err
	}
	w.store.set(platform.DocumentKey, text)
	w.log("planned: version %d of the manifest: %v", number, services)
	return addresses, nil
}

// playRestartedTwice: the store turns one agent away for 9 s, in which the agent is
// restarted as planned twice and the backends of a route change twice. Flows that the
// agent's host took between the restarts are then idle for ten seconds.
func playRestartedTwice(w *world, trouble bool) error {
	addresses, err := w.writeManifest(3, []string{receipts}, []string{letterDesk})
	if err != nil {
		return err
	}
	var agent *machine
	var started []*machine
	for _, zone := range []string{"a", "b", "c", "d"} {
		m, err := w.add(gooseberrymast.RoleBalancer, zone, "")
		if err != nil {
			return err
		}
		started = append(started, m)
	}
	for i, zone := range []string{"a", "b", "c", "d", "a", "b"} {
		service := letterDesk
		if i >= 4 {
			service = receipts
		}
		m, err := w.add(gooseberrymast.RoleAgent, zone, service)
		if err != nil {
			return err
		}
		if i == 0 {
			agent = m
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
	at(7)
	if trouble {
		w.refuse(agent, true)
	}
	at(7.2)
	w.terminate(agent)
	at(9)
	if _, err := w.writeManifest(8, []string{receipts, letterDesk}, []string{letterDesk}); err != nil {
		return err
	}
	at(11.5)
	number := byte(0)
	for _, zone := range []string{"a", "b", "c", "d"} {
		for range 3 {
			number++
			c, err := w.newCaller(number, zone)
			if err != nil {
				return err
			}
			for range 6 {
				go c.idle(addresses[0], began.Add(22*time.Second))
				go c.idle(addresses[1], began.Add(22*time.Second))
			}
		}
	}
	at(13)
	w.terminate(agent)
	at(14)
	if _, err := w.writeManifest(12, []string{receipts}, []string{letterDesk}); err != nil {
		return err
	}
	at(16)
	if trouble {
		w.refuse(agent, false)
	}
	at(25)
	return nil
}
