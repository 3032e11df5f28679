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

// For a longer run:
//
//	go test ./coordination/member -run TestRandomFaults -runs 1000 -first 1000 -timeout 2h
var (
	runs  = flag.Int("runs", 12, "number of random runs")
	first = flag.Uint64("first", 1, "seed of the first random run")
)

// convergenceTime is the time after the last fault within which all members
// must agree.
const convergenceTime = 3 * time.Minute

var testServices = []string{"ledger", "receipts"}

func newFleet(t testing.TB, seed uint64, balancers, agents int) *simulation {
	sim := newSimulation(t, seed)
	var seeds []netip.AddrPort
	for i := range min(balancers, 5) {
		seeds = append(seeds, controlOf(i))
	}
	for i := range balancers {
		sim.add(gooseberrymast.RoleBalancer, zoneOf(i), "", seeds)
	}
	for i := range agents {
		sim.add(gooseberrymast.RoleAgent, zoneOf(i), testServices[i%len(testServices)], seeds)
	}
	for _, n := range sim.nodes {
		n.start()
	}
	return sim
}

func zoneOf(i int) string {
	return fmt.Sprintf("cairo-%c", 'a'+i%3)
}

func TestRandomFaults(t *testing.T) {
	for i := range *runs {
		seed := *first + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newFleet(t, seed, 5, 8)
			sim.applyRevision("first", 0)
			sim.run(time.Duration(sim.random.Int64N(int64(20 * time.Second))))
			for range 25 {
				sim.injectFault()
				sim.run(time.Duration(sim.random.Int64N(int64(15 * time.Second))))
			}
			sim.endFaults()
			sim.run(convergenceTime)
			sim.checkConverged()
		})
	}
}

// injectFault starts or ends one fault. Several faults may be active at once.
func (sim *simulation) injectFault() {
	n := sim.nodes[sim.random.IntN(len(sim.nodes))]
	switch sim.random.IntN(17) {
	case 0, 1:
		sim.applyRevision("amina", 0)
		sim.applyRevision("bahiga", time.Duration(sim.random.Int64N(int64(time.Second))))
	case 2:
		sim.applyRevision("carol", time.Duration(sim.random.Int64N(int64(3*time.Second))))
	case 3:
		sim.store.SetFaults(platform.Faults{Down: true})
		sim.notify()
	case 4:
		sim.store.SetFaults(platform.Faults{LostAnswers: 0.4, LostWrites: 0.1, StaleReads: 0.3, CutWatches: 0.3})
	case 5:
		sim.storeDelay = time.Duration(sim.random.Int64N(int64(6 * time.Second)))
	case 6:
		sim.store.SetFaults(platform.Faults{})
		sim.storeDelay = 5 * time.Millisecond
	case 7:
		sim.pause(n, time.Duration(sim.random.Int64N(int64(time.Minute))))
	case 8:
		sim.pauseHolder()
	case 9:
		if n.running && !n.paused {
			sim.kill(n, sim.random.IntN(2) == 0)
		}
	case 10:
		if !n.running {
			n.start()
		}
	case 11:
		for _, other := range sim.nodes {
			other.partition = sim.random.IntN(2)
		}
	case 12:
		sim.healPartition()
	case 13:
		sim.restartBalancers()
	case 14:
		sim.applyRevision("in-spread", 0)
		sim.run(time.Duration(sim.random.Int64N(int64(20 * time.Millisecond))))
		if balancer := sim.nodes[sim.random.IntN(5)]; balancer.running && !balancer.paused {
			sim.kill(balancer, sim.random.IntN(2) == 0)
		}
	case 15:
		sim.stopGracefully(n)
	case 16:
		sim.failZone(n.config.Record.Zone)
	}
}

// stopGracefully stops a node as in a planned shutdown.
func (sim *simulation) stopGracefully(n *node) {
	if !n.running || n.paused {
		return
	}
	generation := n.generation
	n.dispatch(func(now time.Time) Actions { return n.m.RequestState(now, gooseberrymast.StateLeaving) })
	sim.after(3*time.Second, func() {
		if n.generation == generation {
			n.dispatch(func(now time.Time) Actions { return n.m.RequestState(now, gooseberrymast.StateGone) })
		}
	})
	sim.after(4*time.Second, func() {
		if n.generation == generation && n.running {
			sim.resume(n)
			sim.kill(n, false)
		}
	})
}

// failZone silently stops all nodes of an availability zone and restarts most
// of them later.
func (sim *simulation) failZone(zone string) {
	for _, n := range sim.nodes {
		if n.config.Record.Zone != zone || !n.running {
			continue
		}
		sim.kill(n, true)
		if sim.random.IntN(4) > 0 {
			sim.after(time.Duration(sim.random.Int64N(int64(time.Minute))), func() {
				if !n.running {
					n.start()
				}
			})
		}
	}
}

func (sim *simulation) pause(n *node, length time.Duration) {
	if !n.running || n.paused {
		return
	}
	n.paused = true
	sim.after(length, func() { sim.resume(n) })
}

// pauseHolder pauses a holder for longer than its lease.
func (sim *simulation) pauseHolder() {
	for _, n := range sim.nodes {
		if !n.running || n.paused {
			continue
		}
		for _, l := range n.m.leasers {
			if l.Holding(sim.now) {
				sim.pause(n, 20*time.Second+time.Duration(sim.random.Int64N(int64(20*time.Second))))
				return
			}
		}
	}
}

func (sim *simulation) restartBalancers() {
	for _, n := range sim.nodes {
		if n.config.Record.Role == gooseberrymast.RoleBalancer && n.running {
			sim.kill(n, false)
			sim.after(time.Duration(sim.random.Int64N(int64(2*time.Second))), func() {
				if !n.running {
					n.start()
				}
			})
		}
	}
}

// endFaults ends all faults. Stopped nodes stay stopped, except the first
// balancer and those with a scheduled restart.
func (sim *simulation) endFaults() {
	sim.store.SetFaults(platform.Faults{})
	sim.storeDelay = 5 * time.Millisecond
	sim.healPartition()
	for _, n := range sim.nodes {
		sim.resume(n)
	}
	sim.run(70 * time.Second) // Longer than any scheduled restart.
	if !sim.nodes[0].running {
		sim.nodes[0].start()
	}
}

// checkConverged asserts that all members agree with the expected state.
func (sim *simulation) checkConverged() {
	object, found := sim.readWithoutFaults(gooseberrymast.DocumentKey(testEnvironment))
	want := uint64(0)
	if found {
		newest, err := translator.DecodeRevision(object.Value)
		if err != nil {
			sim.t.Fatal(err)
		}
		want = newest.Number
	}
	for _, n := range sim.nodes {
		if !n.running {
			continue
		}
		if got := n.m.Revision().Number; got != want {
			sim.t.Errorf("node %d has revision %d in force, want %d", n.index, got, want)
		}
		sim.checkTable(n)
	}
	sim.checkCells()
}

// checkTable compares one node's table with the expected state.
func (sim *simulation) checkTable(n *node) {
	table := n.m.Directory.Table()
	for _, other := range sim.nodes {
		record := other.config.Record
		isAgent := record.Role == gooseberrymast.RoleAgent
		if isAgent && !n.m.isBalancer() && record.Service != n.config.Record.Service {
			continue
		}
		routable := false
		if isAgent {
			for _, member := range table.Members(record.Service) {
				if member.Identity.Address == record.Identity.Address {
					routable = member.Routable() && (!other.running || member.Identity == other.m.Identity())
				}
			}
		} else if n.m.isBalancer() {
			routable = !n.m.Directory.Suspect(other.m.self)
		} else {
			continue
		}
		if routable != other.running {
			entry, _ := n.m.Directory.Lookup(other.m.self)
			sim.t.Errorf("node %d sees node %d as routable %t, want %t (%+v)", n.index, other.index, routable, other.running, entry)
		}
	}
}

// checkCells asserts that each cell has exactly one holder among the running
// nodes.
func (sim *simulation) checkCells() {
	holders := map[string]int{}
	for _, n := range sim.nodes {
		if !n.running {
			continue
		}
		for _, l := range n.m.leasers {
			if l.Holding(sim.now) {
				holders[l.Cell.Name]++
			}
		}
	}
	for _, n := range sim.nodes {
		if !n.running || !n.m.isBalancer() {
			continue
		}
		for _, cell := range n.m.Directory.Cells() {
			if holders[cell.Name] != 1 {
				sim.t.Errorf("cell %s has %d holders", cell.Name, holders[cell.Name])
			}
		}
		return
	}
}
