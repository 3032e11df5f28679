package main

import (
	"errors"
	"net/netip"
	"sync"
	"time"
)

const (
	// flowReorder is the time of the rule FLOW (b).
	flowReorder = 2 * time.Second
	// timeBudget is that of the callers' requests.
	timeBudget = 2500 * time.Millisecond
)

// crashedHost lets one host crash after all processes were restarted as planned. Callers
// then go on with flows of the other hosts.
func crashedHost(s setting) (broken bool, err error) {
	f, err := newFleet(s.record, s.daemon, s.toml)
	if err != nil {
		return false, err
	}
	defer f.end(s.keep)
	f.stableWindow = 5 * time.Second
	f.zones = []string{"cairo-a", "cairo-b"}
	f.addFront("cairo-a")
	f.addFront("cairo-b")
	for _, zone := range []string{"cairo-a", "cairo-a", "cairo-b", "cairo-b"} {
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
	if err := f.roll(); err != nil {
		return false, err
	}
	// All machines are in touch again.
	time.Sleep(f.stableWindow + 200*time.Millisecond)
	if len(router.inRotation()) != len(f.fronts) {
		return false, errors.New("not all balancers are in rotation after the restarts")
	}
	crashing := f.hosts[1]
	if s.trouble {
		for before := crashing.lastPing(); crashing.lastPing().Equal(before); {
			time.Sleep(5 * time.Millisecond)
		}
		crashing.crash()
	}
	resumed := time.Now()
	var clients sync.WaitGroup
	for _, flow := range flows {
		clients.Go(func() { _, _ = flow.request("POST", timeBudget) })
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	return judgeStrays(s.record, f.hosts, flows, resumed), nil
}

// roll restarts the agents in turn, and the balancers in turn from the third agent on.
func (f *fleet) roll() error {
	done := make(chan error, 1)
	go func() {
		time.Sleep(2000 * time.Millisecond)
		for _, m := range f.fronts {
			if err := m.restart(); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	for _, m := range f.sides {
		next := time.After(time.Second)
		if err := m.restart(); err != nil {
			return err
		}
		<-next
	}
	return <-done
}

// judgeStrays reports whether the rule FLOW (b) is broken: for flowReorder three or more
// packets of a flow reached other hosts and none its own, which lives and holds it.
func judgeStrays(record *record, hosts []*host, flows []*callerFlow, after time.Time) bool {
	broken := 0
	for _, flow := range flows {
		var own *host
		for _, h := range hosts {
			if h.holds(flow.name) {
				own = h
			}
		}
		if own == nil {
			continue
		}
		var strays []time.Time
		for _, h := range hosts {
			if h != own {
				strays = append(strays, h.arrivals(flow.name, after)...)
			}
		}
		if isStray(strays, own.arrivals(flow.name, after)) {
			broken++
			record.add("FLOW: %d packets of %s reached other hosts, and none %s for %s", len(strays), flow.name, own.id, flowReorder)
		}
	}
	record.add("packets of %d of %d flows reached only other hosts than their own", broken, len(flows))
	return broken > 0
}

// isStray reports whether three or more strays and no own packet arrived in a span.
func isStray(strays, own []time.Time) bool {
	for _, from := range strays {
		within, reached := 0, false
		for _, at := range strays {
			if !at.Before(from) && at.Sub(from) < flowReorder {
				within++
			}
		}
		for _, at := range own {
			reached = reached || !at.Before(from) && at.Sub(from) < flowReorder
		}
		if within >= 3 && !reached {
			return true
		}
	}
	return false
}
