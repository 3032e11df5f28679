package member

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/translator"
	"gooseberrymast/standin/platform"
)

// A longer run, as the page on testing gives it:
//
//	go test ./coordination/member -run TestRandomFaults -runs 1000 -first 1000 -timeout 2h
var (
	runs  = flag.Int("runs", 12, "number of random runs")
	first = flag.Uint64("first", 1, "seed of the first random run")
)

// settleTime is the time after the last fault within which all must agree.
const settleTime = 3 * time.Minute

var testServices = []string{"ledger", "receipts"}

func newFleet(t testing.TB, seed uint64, balancers, agents int) *world {
	w := newWorld(t, seed)
	var seeds []netip.AddrPort
	for i := range min(balancers, 5) {
		seeds = append(seeds, controlOf(i))
	}
	for i := range balancers {
		w.add(gooseberrymast.RoleBalancer, zoneOf(i), "", seeds)
	}
	for i := range agents {
		w.add(gooseberrymast.RoleAgent, zoneOf(i), testServices[i%len(testServices)], seeds)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func zoneOf(i int) string {
	return fmt.Sprintf("cairo-%c", 'a'+i%3)
}

func TestRandomFaults(t *testing.T) {
	for i := range *runs {
		seed := *first + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newFleet(t, seed, 5, 8)
			w.apply("first", 0)
			w.run(time.Duration(w.random.Int64N(int64(20 * time.Second))))
			for range 25 {
				w.disturb()
				w.run(time.Duration(w.random.Int64N(int64(15 * time.Second))))
			}
			w.repairAll()
			w.run(settleTime)
			w.checkAll()
		})
	}
}

// disturb causes one fault, or ends one. Faults of several kinds last together.
func (w *world) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(17) {
	case 0, 1:
		w.apply("amina", 0)
		w.apply("bahiga", time.Duration(w.random.Int64N(int64(time.Second))))
	case 2:
		w.apply("carol", time.Duration(w.random.Int64N(int64(3*time.Second))))
	case 3:
		w.store.SetFaults(platform.Faults{Down: true})
		w.notify()
	case 4:
		w.store.SetFaults(platform.Faults{LostAnswers: 0.4, LostWrites: 0.1, StaleReads: 0.3, CutWatches: 0.3})
	case 5:
		w.storeDelay = time.Duration(w.random.Int64N(int64(6 * time.Second)))
	case 6:
		w.store.SetFaults(platform.Faults{})
		w.storeDelay = 5 * time.Millisecond
	case 7:
		w.pause(n, time.Duration(w.random.Int64N(int64(time.Minute))))
	case 8:
		w.pauseHolder()
	case 9:
		if n.alive && !n.paused {
			w.kill(n, w.random.IntN(2) == 0)
		}
	case 10:
		if !n.alive {
			n.start()
		}
	case 11:
		for _, other := range w.nodes {
			other.group = w.random.IntN(2)
		}
	case 12:
		w.heal()
	case 13:
		w.restartBalancers()
	case 14:
		w.apply("in-spread", 0)
		w.run(time.Duration(w.random.Int64N(int64(20 * time.Millisecond))))
		if balancer := w.nodes[w.random.IntN(5)]; balancer.alive && !balancer.paused {
			w.kill(balancer, w.random.IntN(2) == 0)
		}
	case 15:
		w.leave(n)
	case 16:
		w.loseZone(n.config.Record.Zone)
	}
}

// leave ends a node's life the way that a planned stop does.
func (w *world) leave(n *node) {
	if !n.alive || n.paused {
		return
	}
	life := n.life
	n.do(func(now time.Time) Actions { return n.m.Move(now, gooseberrymast.StateLeaving) })
	w.after(3*time.Second, func() {
		if n.life == life {
			n.do(func(now time.Time) Actions { return n.m.Move(now, gooseberrymast.StateGone) })
		}
	})
	w.after(4*time.Second, func() {
		if n.life == life && n.alive {
			w.resume(n)
			w.kill(n, false)
		}
	})
}

// loseZone ends the lives of all nodes of an availability zone without a word,
// and begins most of them again later.
func (w *world) loseZone(zone string) {
	for _, n := range w.nodes {
		if n.config.Record.Zone != zone || !n.alive {
			continue
		}
		w.kill(n, true)
		if w.random.IntN(4) > 0 {
			w.after(time.Duration(w.random.Int64N(int64(time.Minute))), func() {
				if !n.alive {
					n.start()
				}
			})
		}
	}
}

func (w *world) pause(n *node, length time.Duration) {
	if !n.alive || n.paused {
		return
	}
	n.paused = true
	w.after(length, func() { w.resume(n) })
}

// pauseHolder pauses a holder beyond its lease.
func (w *world) pauseHolder() {
	for _, n := range w.nodes {
		if !n.alive || n.paused {
			continue
		}
		for _, l := range n.m.leasers {
			if l.Holding(w.now) {
				w.pause(n, 20*time.Second+time.Duration(w.random.Int64N(int64(20*time.Second))))
				return
			}
		}
	}
}

func (w *world) restartBalancers() {
	for _, n := range w.nodes {
		if n.config.Record.Role == gooseberrymast.RoleBalancer && n.alive {
			w.kill(n, false)
			w.after(time.Duration(w.random.Int64N(int64(2*time.Second))), func() {
				if !n.alive {
					n.start()
				}
			})
		}
	}
}

// repairAll ends all faults. Dead nodes stay dead but for one balancer.
func (w *world) repairAll() {
	w.store.SetFaults(platform.Faults{})
	w.storeDelay = 5 * time.Millisecond
	w.heal()
	for _, n := range w.nodes {
		w.resume(n)
	}
	w.run(70 * time.Second) // The last of the nodes that come back have come.
	if !w.nodes[0].alive {
		w.nodes[0].start()
	}
}

// checkAll asserts that everyone agrees with the truth.
func (w *world) checkAll() {
	object, found := w.peek(gooseberrymast.DocumentKey(testEnvironment))
	want := uint64(0)
	if found {
		newest, err := translator.DecodeRevision(object.Value)
		if err != nil {
			w.t.Fatal(err)
		}
		want = newest.Number
	}
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		if got := n.m.Revision().Number; got != want {
			w.t.Errorf("node %d has revision %d in force, want %d", n.index, got, want)
		}
		w.checkView(n)
	}
	w.checkCells()
}

// checkView compares one node's table with the truth.
func (w *world) checkView(n *node) {
	table := n.m.Directory.Table()
	for _, other := range w.nodes {
		record := other.config.Record
		isAgent := record.Role == gooseberrymast.RoleAgent
		if isAgent && !n.m.isBalancer() && record.Service != n.config.Record.Service {
			continue
		}
		routable := false
		if isAgent {
			for _, member := range table.Members(record.Service) {
				if member.Identity.Address == record.Identity.Address {
					routable = member.Routable() && (!other.alive || member.Identity == other.m.Identity())
				}
			}
		} else if n.m.isBalancer() {
			routable = !n.m.Directory.Suspect(other.m.self)
		} else {
			continue
		}
		if routable != other.alive {
			entry, _ := n.m.Directory.Lookup(other.m.self)
			w.t.Errorf("node %d sees node %d as routable %t, want %t (%+v)", n.index, other.index, routable, other.alive, entry)
		}
	}
}

// checkCells asserts that each cell has exactly one holder among the living.
func (w *world) checkCells() {
	holders := map[string]int{}
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		for _, l := range n.m.leasers {
			if l.Holding(w.now) {
				holders[l.Cell.Name]++
			}
		}
	}
	for _, n := range w.nodes {
		if !n.alive || !n.m.isBalancer() {
			continue
		}
		for _, cell := range n.m.Directory.Cells() {
			if holders[cell.Name] != 1 {
				w.t.Errorf("cell %s has %d holders", cell.Name, holders[cell.Name])
			}
		}
		return
	}
}
