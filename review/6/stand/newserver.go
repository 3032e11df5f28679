//go:build review

package main

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

func init() { cases["new-server"] = playNewServer }

const (
	feedPort   = 8443
	letterDesk = "letter-desk"
)

// startFleet starts a small deployment: a balancer in each of four zones, and hosts of
// the service letter-desk. It returns the balancer of each zone and the address of the
// service's route.
func (w *world) startFleet(hosts []string) (balancers map[string]*machine, route gooseberrymast.Endpoint, err error) {
	route = gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: feedPort}
	document, err := platform.FormatDocument(1, []gooseberrymast.Route{
		{Address: route, Idempotent: true, Timeout: deadline, Backends: []gooseberrymast.WeightedService{{Service: letterDesk, Weight: 1}}},
	}, []string{letterDesk}, nil)
	if err != nil {
		return nil, route, err
	}
	w.store.set(platform.DocumentKey, document)
	balancers = map[string]*machine{}
	var started []*machine
	for _, zone := range []string{"a", "b", "c", "d"} {
		m, err := w.add(gooseberrymast.RoleBalancer, zone, "")
		if err != nil {
			return nil, route, err
		}
		balancers[zone] = m
		started = append(started, m)
	}
	for _, zone := range hosts {
		m, err := w.add(gooseberrymast.RoleAgent, zone, letterDesk)
		if err != nil {
			return nil, route, err
		}
		started = append(started, m)
	}
	for _, m := range started {
		if err := w.start(m); err != nil {
			return nil, route, err
		}
		if m.settings.Role == gooseberrymast.RoleAgent {
			if _, err := w.startHost(m); err != nil {
				return nil, route, err
			}
			continue
		}
		go w.watch(m)
	}
	return balancers, route, nil
}

// startCallers starts callers in zones, each with flows of a length.
func (w *world) startCallers(route gooseberrymast.Endpoint, perZone map[string]int, flows int, length time.Duration) error {
	number := byte(0)
	for _, zone := range []string{"a", "b", "c", "d"} {
		for range perZone[zone] {
			number++
			c, err := w.newCaller(number, zone)
			if err != nil {
				return err
			}
			for i := range flows {
				go func() {
					time.Sleep(time.Duration(i) * length / time.Duration(flows))
					for {
						c.use(route, length, longThink)
						time.Sleep(50 * time.Millisecond)
					}
				}()
			}
		}
	}
	return nil
}

// playNewServer: a host is added in a zone whose only balancer is cut off from the store
// and from the machines of other zones for 5.5 s, while two other balancers are stopped and
// started in turn.
func playNewServer(w *world, trouble bool) error {
	balancers, route, err := w.startFleet([]string{"a", "b", "b", "c", "d"})
	if err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	if err := w.startCallers(route, map[string]int{"a": 4, "b": 4, "c": 16, "d": 16}, 8, 2*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	w.log("planned: a host is added in zone a")
	added, err := w.add(gooseberrymast.RoleAgent, "a", letterDesk)
	if err != nil {
		return err
	}
	if err := w.start(added); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.cut(balancers["a"], true)
	}
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	if _, err := w.startHost(added); err != nil {
		return err
	}
	for i, zone := range []string{"d", "c"} {
		time.Sleep(time.Until(began.Add(2500*time.Millisecond + time.Duration(i)*rollGap)))
		w.terminate(balancers[zone])
	}
	time.Sleep(time.Until(began.Add(cutLength)))
	if trouble {
		w.cut(balancers["a"], false)
	}
	time.Sleep(4 * time.Second)
	return nil
}

const (
	// cutLength is that of core_cut in the site file, and rollGap that of roll_term.
	cutLength = 5500 * time.Millisecond
	rollGap   = 1200 * time.Millisecond
)
