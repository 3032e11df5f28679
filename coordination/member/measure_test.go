package member

import (
	"fmt"
	"testing"
	"time"

	"gooseberrymast"
)

// messageOverhead is the number of bytes on the wire per message besides its
// payload: the length prefix, the headers of yamux, TLS 1.3, TCP and IPv4, and
// a separate acknowledgement.
const messageOverhead = 4 + 12 + 22 + 20 + 20 + 40

// fleetSizes are numbers of balancers, each with two agents.
var fleetSizes = []int{3, 10, 30, 100, 300}

func steadyFleet(b *testing.B, balancers int) *simulation {
	return steadyFleetOf(b, balancers, 2*balancers)
}

func steadyFleetOf(b *testing.B, balancers, agents int) *simulation {
	sim := newFleet(b, 1, balancers, agents)
	sim.applyRevision("amina", 0)
	sim.run(2 * time.Minute)
	return sim
}

// BenchmarkRevisionPropagation measures in virtual time, over links of 4 to 5
// ms, how long after its write a revision is in force at every process. With
// churn, one record changes every 200 ms.
func BenchmarkRevisionPropagation(b *testing.B) {
	for _, balancers := range fleetSizes {
		for _, churn := range []bool{false, true} {
			b.Run(fmt.Sprintf("balancers=%d/churn=%t", balancers, churn), func(b *testing.B) {
				sim := steadyFleet(b, balancers)
				if churn {
					sim.churn(balancers, 200*time.Millisecond)
				}
				worst, sum := time.Duration(0), time.Duration(0)
				for b.Loop() {
					written := sim.now
					sim.applyRevision("amina", 0)
					sim.run(8 * time.Second)
					last := written
					for _, n := range sim.nodes {
						if n.adoptedAt.Before(written) {
							b.Fatalf("node %d hasn't the revision in force", n.index)
						}
						last = maxTime(last, n.adoptedAt)
					}
					worst = max(worst, last.Sub(written))
					sum += last.Sub(written)
				}
				b.ReportMetric(worst.Seconds()*1000, "ms-worst")
				b.ReportMetric(sum.Seconds()*1000/float64(b.N), "ms-mean")
			})
		}
	}
}

// churn makes a random agent renew its record in each interval.
func (sim *simulation) churn(balancers int, interval time.Duration) {
	agents := sim.nodes[balancers:]
	n := agents[sim.random.IntN(len(agents))]
	n.dispatch(func(now time.Time) Actions {
		n.m.announcer.Renew()
		n.m.announce(now)
		return n.m.finish(now, false)
	})
	sim.after(interval, func() { sim.churn(balancers, interval) })
}

// BenchmarkIdle measures store calls and control traffic of an idle fleet in
// virtual time, by the number of balancers in three zones.
func BenchmarkIdle(b *testing.B) {
	const period = 5 * time.Minute
	for _, balancers := range fleetSizes {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			sim := steadyFleet(b, balancers)
			for b.Loop() {
				sim.resetCounts()
				sim.run(period)
			}
			sim.reportStore(b, period)
			sim.reportTraffic(b, balancers, period)
		})
	}
}

// BenchmarkChange measures the control traffic caused by one change of a
// revision or of a record.
func BenchmarkChange(b *testing.B) {
	const period = 100 * time.Second
	const changes = 20
	for _, kind := range []string{"revision", "record"} {
		for _, size := range []struct{ balancers, agents int }{{3, 6}, {30, 60}, {30, 300}, {300, 600}} {
			balancers := size.balancers
			b.Run(fmt.Sprintf("%s/balancers=%d/agents=%d", kind, balancers, size.agents), func(b *testing.B) {
				sim := steadyFleetOf(b, balancers, size.agents)
				sim.resetCounts()
				sim.run(period)
				baseline := sim.traffic(balancers)
				for b.Loop() {
					sim.resetCounts()
					for range changes {
						sim.applyChange(kind, balancers)
						sim.run(period / changes)
					}
				}
				perChange := (sim.traffic(balancers) - baseline) / changes / float64(balancers)
				b.ReportMetric(perChange, "B/balancer/change")
			})
		}
	}
}

func (sim *simulation) applyChange(kind string, balancers int) {
	if kind == "revision" {
		sim.applyRevision("amina", 0)
		return
	}
	agents := sim.nodes[balancers:]
	n := agents[sim.random.IntN(len(agents))]
	n.dispatch(func(now time.Time) Actions {
		n.m.announcer.Renew()
		n.m.announce(now)
		return n.m.finish(now, false)
	})
}

func (sim *simulation) resetCounts() {
	sim.watchCalls = 0
	sim.uncountedReads = 0
	sim.callsBefore = sim.store.Calls()
	for _, n := range sim.nodes {
		n.sent, n.received, n.messages = 0, 0, 0
	}
}

func (sim *simulation) reportStore(b *testing.B, period time.Duration) {
	calls := sim.store.Calls()
	reads := calls.Reads() - sim.callsBefore.Reads() - uint64(sim.uncountedReads) + uint64(sim.watchCalls)
	writes := calls.Writes() - sim.callsBefore.Writes()
	b.ReportMetric(float64(reads)/period.Seconds(), "reads/s")
	b.ReportMetric(float64(writes)/period.Seconds(), "writes/s")
}

// traffic returns the bytes that the balancers sent and received, including
// overhead.
func (sim *simulation) traffic(balancers int) float64 {
	sum := 0.0
	for _, n := range sim.nodes[:balancers] {
		sum += n.wireBytes()
	}
	return sum
}

func (n *node) wireBytes() float64 {
	return float64(n.sent + n.received + n.messages*messageOverhead)
}

func (sim *simulation) reportTraffic(b *testing.B, balancers int, period time.Duration) {
	worst := 0.0
	for _, n := range sim.nodes[:balancers] {
		worst = max(worst, n.wireBytes())
	}
	agent := 0.0
	for _, n := range sim.nodes[balancers:] {
		agent += n.wireBytes()
	}
	b.ReportMetric(sim.traffic(balancers)/float64(balancers)/period.Seconds(), "B/s/balancer")
	b.ReportMetric(worst/period.Seconds(), "B/s/busiest")
	b.ReportMetric(agent/float64(len(sim.nodes)-balancers)/period.Seconds(), "B/s/agent")
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// BenchmarkTick measures the CPU time per second of an idle process in a fleet
// of the current size, as opposed to the design size.
func BenchmarkTick(b *testing.B) {
	sim := steadyFleet(b, 4)
	for name, n := range map[string]*node{"balancer": sim.nodes[0], "agent": sim.nodes[5]} {
		b.Run(name, func(b *testing.B) {
			now := sim.now
			for b.Loop() {
				now = now.Add(time.Second)
				n.refreshSessions(now)
				n.m.Tick(now)
			}
		})
	}
}

// BenchmarkDesignFleet measures one balancer's CPU time at the design size:
// 187,000 records in 260 cells, and sessions with 8 peers and 20 agents.
func BenchmarkDesignFleet(b *testing.B) {
	sim := newSimulation(b, 1)
	sim.cells = designCellsPerZone
	n := sim.add(gooseberrymast.RoleBalancer, designZone(0), "", nil)
	n.generation = 1
	n.running = true
	n.config.Store = false
	n.loadDesignFleet()
	now := sim.now
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(time.Second)
			n.refreshSessions(now)
			n.m.Tick(now)
		}
	})
	b.Run("record", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			now = now.Add(300 * time.Millisecond)
			n.refreshSessions(now)
			n.m.HandleMessage(now, 1, agentDelta(i, now))
			n.m.Flush(now)
		}
	})
}
