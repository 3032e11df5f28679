package main

import (
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// incompletePing sends one agent one ping in which fields are missing. It names no host
// to use; the agent's host lives on and holds its flows.
func incompletePing(s setting) (broken bool, err error) {
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
	one := routeOf{at: netip.AddrPortFrom(f.address(9, 1), 443), service: "ledger", kind: "non_idempotent"}
	f.writeManifest(7, []routeOf{one}, "ledger")
	if err := f.begin(); err != nil {
		return false, err
	}
	router := newRouter(f.fronts, s.record)
	defer close(router.stopped)
	time.Sleep(10 * time.Second)
	if len(router.inRotation()) != len(f.fronts) {
		return false, errors.New("not all balancers are in rotation")
	}
	flows, err := openFlows(f, router, one.at, 24)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, flow := range flows {
		clients.Go(func() { useFlow(flow, stop) })
	}
	time.Sleep(6 * time.Second)
	target := f.hosts[0]
	if s.trouble {
		status, err := sendPing(&http.Client{Timeout: time.Second}, target.control, target.id, format("incomplete-ping.json", ping{
			Service: target.service, Address: target.app.String(), State: "ready", Sequence: 1, Born: time.Now().UnixMilli(),
		}))
		s.record.add("incomplete ping to the agent of %s -> %d %v", target.id, status, err)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	return judgeFlows(s.record, f.hosts, flows), nil
}

// openFlows opens flows on which one request has been answered.
func openFlows(f *fleet, router *router, at netip.AddrPort, count int) ([]*callerFlow, error) {
	flows, errs := make([]*callerFlow, count), make([]error, count)
	var opened sync.WaitGroup
	for i := range count {
		c, err := newCaller(f.address(200, byte(i+1)), f.ports.packets, router, f.record)
		if err != nil {
			return nil, err
		}
		opened.Go(func() {
			if flows[i], errs[i] = c.dial(at); errs[i] == nil {
				_, errs[i] = flows[i].request("POST", 2*time.Second)
			}
		})
	}
	opened.Wait()
	return flows, errors.Join(errs...)
}

// useFlow sends requests on a flow until it is reset or stop is closed.
func useFlow(flow *callerFlow, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		if _, err := flow.request("POST", 2*time.Second); err != nil {
			return
		}
	}
}

// judgeFlows reports whether the rule FLOW (a) is broken: a caller got a reset of the
// system for an open flow whose host lives, and held it.
func judgeFlows(record *record, hosts []*host, flows []*callerFlow) bool {
	broken := 0
	for _, flow := range flows {
		_, reset, bySystem := flow.state()
		for _, h := range hosts {
			if reset && bySystem && h.holds(flow.name) {
				broken++
				record.add("FLOW: %s was reset by the system; %s lives and holds it", flow.name, h.id)
			}
		}
	}
	record.add("%d of %d flows were reset although their hosts live", broken, len(flows))
	return broken > 0
}
