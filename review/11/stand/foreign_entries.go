package main

import (
	"net/netip"
	"time"
)

const (
	// usualAnswer is the time that the store takes for an answer, and slowAnswer that of a
	// slow store.
	usualAnswer = 4 * time.Millisecond
	slowAnswer  = 60 * usualAnswer
	// slowFor is how long the store is slow.
	slowFor = 4500 * time.Millisecond
)

// foreignEntries starts a deployment while the store is slow and has an entry of another
// writer at each name that the deployment itself uses. They name nothing, and must not
// matter.
func foreignEntries(s setting) (broken bool, err error) {
	f, err := newFleet(s.record, s.daemon, s.toml)
	if err != nil {
		return false, err
	}
	defer f.end(s.keep)
	f.zones = []string{"cairo-a", "cairo-b"}
	f.addFront("cairo-a")
	f.addFront("cairo-b")
	for _, zone := range []string{"cairo-a", "cairo-b", "cairo-a"} {
		f.addSide(zone, "ledger")
	}
	f.startGap = 40 * time.Millisecond
	f.store.setDelay(usualAnswer)
	one := routeOf{at: netip.AddrPortFrom(f.address(9, 1), 443), service: "ledger", kind: "non_idempotent"}
	f.writeManifest(7, []routeOf{one}, "ledger")
	if s.trouble {
		s.record.add("the store takes %s for an answer", slowAnswer)
		f.store.setDelay(slowAnswer)
		time.AfterFunc(slowFor, func() {
			s.record.add("the store takes %s for an answer", usualAnswer)
			f.store.setDelay(usualAnswer)
		})
		for _, m := range f.machines() {
			f.store.write("peers", m.ip.String(), map[string]any{"endpoint": 5})
			s.record.add("foreign entry peers/%s", m.ip)
		}
	}
	if err := f.begin(); err != nil {
		return false, err
	}
	router := newRouter(f.fronts, s.record)
	defer close(router.stopped)
	time.Sleep(10 * time.Second)
	served, sent := 0, 0
	for i := range 20 {
		c, err := newCaller(f.address(200, byte(i+1)), f.ports.packets, router, s.record)
		if err != nil {
			return false, err
		}
		sent++
		flow, err := c.dial(one.at)
		if err != nil {
			s.record.add("flow %s: %v", flow.name, err)
			continue
		}
		if _, err := flow.request("POST", 2*time.Second); err == nil {
			served++
		}
		flow.end()
		time.Sleep(time.Second)
	}
	s.record.add("%d of %d requests were served", served, sent)
	return served == 0, nil
}
