package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/standin/platform"
)

// stabilisationTime is the time that a fleet needs to become idle after a
// planned restart.
const stabilisationTime = 2 * time.Minute

// sequences returns the sequence of each node's own record.
func (sim *simulation) sequences() []uint32 {
	sequences := make([]uint32, len(sim.nodes))
	for i, n := range sim.nodes {
		sequences[i] = n.m.announcer.Entry.Record.Sequence
	}
	return sequences
}

// restart stops a node gracefully and starts it again. It returns the number of
// record changes that this caused: of the node's own record and of others.
func (sim *simulation) restart(n *node) (own, others int) {
	before := sim.sequences()
	sim.stopGracefully(n)
	sim.run(10 * time.Second)
	own = int(n.m.announcer.Entry.Record.Sequence - before[n.index])
	n.start()
	sim.run(stabilisationTime)
	for i, sequence := range sim.sequences() {
		if i == n.index {
			own += int(sequence)
			continue
		}
		others += int(sequence - before[i])
	}
	return own, others
}

// BenchmarkPlannedRestart measures the record changes caused by one planned
// restart, by role and number of agents per balancer.
func BenchmarkPlannedRestart(b *testing.B) {
	const balancers = 30
	for _, role := range []gooseberrymast.Role{gooseberrymast.RoleAgent, gooseberrymast.RoleBalancer} {
		for _, agents := range []int{2, 10} {
			b.Run(fmt.Sprintf("role=%d/agents=%d", role, agents), func(b *testing.B) {
				sim := newFleet(b, 1, balancers, agents*balancers)
				sim.applyRevision("amina", 0)
				sim.run(stabilisationTime)
				own, others, restarts := 0, 0, 0
				for b.Loop() {
					for i := range 5 {
						n := sim.nodes[3*i+1]
						if role == gooseberrymast.RoleAgent {
							n = sim.nodes[balancers+7*i]
						}
						ownChanges, otherChanges := sim.restart(n)
						own += ownChanges
						others += otherChanges
						restarts++
					}
				}
				b.ReportMetric(float64(own)/float64(restarts), "own-changes")
				b.ReportMetric(float64(others)/float64(restarts), "others-changes")
			})
		}
	}
}

// BenchmarkZoneLoss measures the mean control traffic of the surviving
// balancers, beyond idle traffic, in the two minutes after one of three
// availability zones fails silently, per process lost.
func BenchmarkZoneLoss(b *testing.B) {
	const agents = 10
	for _, balancers := range []int{9, 30, 60} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			for b.Loop() {
				sim := newFleet(b, 1, balancers, agents*balancers)
				sim.applyRevision("amina", 0)
				sim.run(stabilisationTime)
				sim.resetCounts()
				sim.run(stabilisationTime)
				baseline := sim.survivorBytes(balancers)
				sim.resetCounts()
				lost := 0
				for _, n := range sim.nodes {
					if n.config.Record.Zone == zoneOf(0) {
						sim.kill(n, true)
						lost++
					}
				}
				sim.run(stabilisationTime)
				b.ReportMetric((sim.survivorBytes(balancers)-baseline)/float64(lost), "B/balancer/lost")
				b.ReportMetric(float64(lost), "lost")
			}
		})
	}
}

// survivorBytes returns the mean number of bytes that the balancers outside the
// first zone sent and received.
func (sim *simulation) survivorBytes(balancers int) float64 {
	sum, count := 0.0, 0.0
	for _, n := range sim.nodes[:balancers] {
		if n.config.Record.Zone != zoneOf(0) {
			sum += n.wireBytes()
			count++
		}
	}
	return sum / count
}

// BenchmarkReceiveDelta measures one balancer's CPU time per record of a delta,
// with 187,000 known records and 8 downstream peers.
func BenchmarkReceiveDelta(b *testing.B) {
	sim := newSimulation(b, 1)
	sim.cells = designCellsPerZone
	n := sim.add(gooseberrymast.RoleBalancer, designZone(0), "", nil)
	n.generation = 1
	n.running = true
	n.config.Store = false
	n.loadDesignFleet()
	now := sim.now
	sequence := uint32(10)
	for _, records := range []int{1, 30, 1000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			for b.Loop() {
				sequence++
				delta := &messenger.Delta{}
				for i := range records {
					entry := designEntry(designBalancers + (i*7+int(sequence)*records)%designAgents)
					entry.Record.Sequence = sequence
					delta.Updates = append(delta.Updates, messenger.Update{Entry: entry})
				}
				now = now.Add(300 * time.Millisecond)
				n.refreshSessions(now)
				n.m.HandleMessage(now, 1, &messenger.Message{Delta: delta})
				n.m.Flush(now)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*records), "us/record")
		})
	}
}

// newBalancerFleet returns an idle fleet of balancers in three availability
// zones with the given number of cells per zone.
func newBalancerFleet(b *testing.B, balancers, cells int) *simulation {
	sim := newSimulation(b, 1)
	sim.cells = cells
	var seeds []netip.AddrPort
	for i := range min(balancers, 5) {
		seeds = append(seeds, controlOf(i))
	}
	for i := range balancers {
		sim.add(gooseberrymast.RoleBalancer, zoneOf(i), "", seeds)
	}
	for _, n := range sim.nodes {
		n.start()
	}
	sim.applyRevision("amina", 0)
	sim.run(stabilisationTime)
	return sim
}

// storeCalls returns the number of store calls since the counts were reset.
func (sim *simulation) storeCalls() (reads, writes float64) {
	calls := sim.store.Calls()
	before := sim.callsBefore
	reads = float64(calls.Reads() - before.Reads() - uint64(sim.uncountedReads) + uint64(sim.watchCalls))
	return reads, float64(calls.Writes() - before.Writes())
}

// BenchmarkStoreOutage measures the store calls per cell while the store is
// down and in the busiest second after it recovers.
func BenchmarkStoreOutage(b *testing.B) {
	for _, cells := range []int{1, 5} {
		b.Run(fmt.Sprintf("cells=%d", 3*cells), func(b *testing.B) {
			for b.Loop() {
				sim := newBalancerFleet(b, 30, cells)
				sim.store.SetFaults(platform.Faults{Down: true})
				sim.run(stabilisationTime)
				sim.resetCounts()
				sim.run(stabilisationTime)
				reads, writes := sim.storeCalls()
				perSecond := 1 / stabilisationTime.Seconds() / float64(3*cells)
				b.ReportMetric(reads*perSecond, "reads/s/cell")
				b.ReportMetric(writes*perSecond, "writes/s/cell")
				sim.store.SetFaults(platform.Faults{})
				peak := 0.0
				for range 10 {
					sim.resetCounts()
					sim.run(time.Second)
					reads, writes = sim.storeCalls()
					peak = max(peak, reads+writes)
				}
				b.ReportMetric(peak/float64(3*cells), "calls-in-a-second/cell")
			}
		})
	}
}

// BenchmarkMassRestart measures, after all balancers start at once, the store
// reads per balancer in the busiest second and the time until every balancer
// has a revision in force.
func BenchmarkMassRestart(b *testing.B) {
	for _, balancers := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			for b.Loop() {
				sim := newBalancerFleet(b, balancers, 1)
				for _, n := range sim.nodes {
					sim.kill(n, true)
				}
				sim.run(time.Minute)
				restarted := sim.now
				for _, n := range sim.nodes {
					n.start()
				}
				worst := 0.0
				for range 30 {
					sim.resetCounts()
					sim.run(time.Second)
					reads, _ := sim.storeCalls()
					worst = max(worst, reads)
				}
				last := restarted
				for _, n := range sim.nodes {
					if n.adoptedAt.Before(restarted) {
						b.Fatalf("node %d has no revision in force", n.index)
					}
					last = maxTime(last, n.adoptedAt)
				}
				b.ReportMetric(worst/float64(balancers), "reads-in-a-second/balancer")
				b.ReportMetric(last.Sub(restarted).Seconds(), "s-in-force")
			}
		})
	}
}
