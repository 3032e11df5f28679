//go:build review

package main

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

func init() { cases["storm"] = playStorm }

const (
	letterDesk2 = "letter-desk-2"
	// stormLength and stormGap are those of config_storm in the site file.
	stormLength = 4 * time.Second
	stormGap    = 330 * time.Millisecond
	stormRoutes = int(stormLength / stormGap)
)

// setDocument writes a manifest in which the first routes also lead to a second service.
func (w *world) setDocument(number uint64, both int) error {
	var routes []gooseberrymast.Route
	for i := range stormRoutes {
		route := gooseberrymast.Route{
			Address: stormRoute(i), Timeout: deadline, Backends: []gooseberrymast.WeightedService{{Service: letterDesk, Weight: 1}},
		}
		if i < both {
			route.Backends = append(route.Backends, gooseberrymast.WeightedService{Service: letterDesk2, Weight: 1})
		}
		routes = append(routes, route)
	}
	document, err := platform.FormatDocument(number, routes, []string{letterDesk, letterDesk2}, nil)
	if err != nil {
		return err
	}
	w.store.set(platform.DocumentKey, document)
	w.log("planned: version %d of the manifest, %d routes lead to both services", number, both)
	return nil
}

func stormRoute(i int) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, byte(1 + i)}, Port: feedPort}
}

// playStorm: manifests come in quick succession, each of which lets one more route lead to
// a second service, while the balancers are stopped and started in turn.
func playStorm(w *world, trouble bool) error {
	w.planned = true
	if err := w.setDocument(1, 0); err != nil {
		return err
	}
	zones := []string{"a", "b", "c", "d"}
	var balancers, started []*machine
	for _, zone := range zones {
		m, err := w.add(gooseberrymast.RoleBalancer, zone, "")
		if err != nil {
			return err
		}
		balancers = append(balancers, m)
		started = append(started, m)
	}
	for _, service := range []string{letterDesk, letterDesk2} {
		for _, zone := range zones {
			m, err := w.add(gooseberrymast.RoleAgent, zone, service)
			if err != nil {
				return err
			}
			started = append(started, m)
		}
	}
	for _, m := range started {
		if err := w.start(m); err != nil {
			return err
		}
		if m.settings.Role == gooseberrymast.RoleAgent {
			if _, err := w.startHost(m); err != nil {
				return err
			}
			continue
		}
		go w.watch(m)
	}
	time.Sleep(6 * time.Second)
	number := byte(0)
	for _, zone := range zones {
		for range 4 {
			number++
			c, err := w.newCaller(number, zone)
			if err != nil {
				return err
			}
			for i := range 12 {
				go func() {
					time.Sleep(time.Duration(i) * 30 * time.Millisecond)
					for n := i; ; n++ {
						c.use(stormRoute(n%stormRoutes), 200*time.Millisecond, 40*time.Millisecond)
						time.Sleep(20 * time.Millisecond)
					}
				}()
			}
		}
	}
	time.Sleep(3 * time.Second)
	done := make(chan error, 1)
	go func() {
		for i := range stormRoutes {
			if trouble {
				if err := w.setDocument(uint64(2+i), 1+i); err != nil {
					done <- err
					return
				}
			}
			time.Sleep(stormGap)
		}
		done <- nil
	}()
	for _, m := range balancers {
		w.terminate(m)
		time.Sleep(1300 * time.Millisecond)
	}
	if err := <-done; err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
