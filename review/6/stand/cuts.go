//go:build review

package main

import "time"

func init() { cases["two-cuts"] = playTwoCuts }

// playTwoCuts: the only balancer of zone c is cut off from the store and from the machines
// of other zones for 5.5 s; as that ends, the same happens to the only balancer of zone a;
// and shortly before the end of that, the balancer of zone b is stopped and started as planned.
func playTwoCuts(w *world, trouble bool) error {
	balancers, route, err := w.startFleet([]string{"a", "a", "b", "c", "d"})
	if err != nil {
		return err
	}
	began := time.Now()
	at := func(seconds float64) {
		time.Sleep(time.Until(began.Add(time.Duration(seconds * float64(time.Second)))))
	}
	at(6)
	if err := w.startCallers(route, map[string]int{"a": 4, "b": 16, "c": 4, "d": 4}, 6, 20*time.Second); err != nil {
		return err
	}
	second := 8 + cutLength.Seconds()
	cut := func(seconds float64, zone string, on bool) {
		at(seconds)
		if trouble {
			w.cut(balancers[zone], on)
		}
	}
	cut(8, "c", true)
	cut(second, "c", false)
	cut(second, "a", true)
	at(second + 4)
	w.terminate(balancers["b"])
	cut(second+cutLength.Seconds(), "a", false)
	at(second + cutLength.Seconds() + 2)
	return nil
}
