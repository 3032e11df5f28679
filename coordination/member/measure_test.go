package member

import (
	"fmt"
	"testing"
	"time"

	"gooseberrymast"
)

// messageOverhead is what a message costs on the wire beside its own bytes: its
// length, and the headers of yamux, TLS 1.3, TCP and IPv4, and an
// acknowledgement of its own.
const messageOverhead = 4 + 12 + 22 + 20 + 20 + 40

// fleetSizes are numbers of balancers, with two agents each.
var fleetSizes = []int{3, 10, 30, 100, 300}

func steadyFleet(b *testing.B, balancers int) *world {
	return steadyFleetOf(b, balancers, 2*balancers)
}

func steadyFleetOf(b *testing.B, balancers, agents int) *world {
	w := newFleet(b, 1, balancers, agents)
	w.apply("amina", 0)
	w.run(2 * time.Minute)
	return w
}

// BenchmarkInForce measures in virtual time, over links of 4 to 5 ms, how long
// after its write a revision is in force at every process. In "churn" a record
// changes every 200 ms meanwhile.
func BenchmarkInForce(b *testing.B) {
	for _, balancers := range fleetSizes {
		for _, churn := range []bool{false, true} {
			b.Run(fmt.Sprintf("balancers=%d/churn=%t", balancers, churn), func(b *testing.B) {
				w := steadyFleet(b, balancers)
				if churn {
					w.churn(balancers, 200*time.Millisecond)
				}
				worst, sum := time.Duration(0), time.Duration(0)
				for b.Loop() {
					began := w.now
					w.apply("amina", 0)
					w.run(8 * time.Second)
					last := began
					for _, n := range w.nodes {
						if n.adoptedAt.Before(began) {
							b.Fatalf("node %d hasn't the revision in force", n.index)
						}
						last = maxTime(last, n.adoptedAt)
					}
					worst = max(worst, last.Sub(began))
					sum += last.Sub(began)
				}
				b.ReportMetric(worst.Seconds()*1000, "ms-worst")
				b.ReportMetric(sum.Seconds()*1000/float64(b.N), "ms-mean")
			})
		}
	}
}

// churn makes an agent renew its record once an interval.
func (w *world) churn(balancers int, interval time.Duration) {
	agents := w.nodes[balancers:]
	n := agents[w.random.IntN(len(agents))]
	n.do(func(now time.Time) Actions {
		n.m.announcer.Renew()
		n.m.announce(now)
		return n.m.finish(now, false)
	})
	w.after(interval, func() { w.churn(balancers, interval) })
}

// BenchmarkRest measures store calls and control traffic at rest, in virtual
// time, by the number of balancers in three zones.
func BenchmarkRest(b *testing.B) {
	const period = 5 * time.Minute
	for _, balancers := range fleetSizes {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			w := steadyFleet(b, balancers)
			for b.Loop() {
				w.resetCounts()
				w.run(period)
			}
			w.reportStore(b, period)
			w.reportTraffic(b, balancers, period)
		})
	}
}

// BenchmarkChange measures the control traffic that one change causes: a
// revision's, or a record's.
func BenchmarkChange(b *testing.B) {
	const period = 100 * time.Second
	const changes = 20
	for _, kind := range []string{"revision", "record"} {
		for _, size := range []struct{ balancers, agents int }{{3, 6}, {30, 60}, {30, 300}, {300, 600}} {
			balancers := size.balancers
			b.Run(fmt.Sprintf("%s/balancers=%d/agents=%d", kind, balancers, size.agents), func(b *testing.B) {
				w := steadyFleetOf(b, balancers, size.agents)
				w.resetCounts()
				w.run(period)
				rest := w.traffic(balancers)
				for b.Loop() {
					w.resetCounts()
					for range changes {
						w.change(kind, balancers)
						w.run(period / changes)
					}
				}
				perChange := (w.traffic(balancers) - rest) / changes / float64(balancers)
				b.ReportMetric(perChange, "B/balancer/change")
			})
		}
	}
}

func (w *world) change(kind string, balancers int) {
	if kind == "revision" {
		w.apply("amina", 0)
		return
	}
	agents := w.nodes[balancers:]
	n := agents[w.random.IntN(len(agents))]
	n.do(func(now time.Time) Actions {
		n.m.announcer.Renew()
		n.m.announce(now)
		return n.m.finish(now, false)
	})
}

func (w *world) resetCounts() {
	w.watchCalls = 0
	w.peeks = 0
	w.callsBefore = w.store.Calls()
	for _, n := range w.nodes {
		n.sent, n.received, n.messages = 0, 0, 0
	}
}

func (w *world) reportStore(b *testing.B, period time.Duration) {
	calls := w.store.Calls()
	reads := calls.Reads() - w.callsBefore.Reads() - uint64(w.peeks) + uint64(w.watchCalls)
	writes := calls.Writes() - w.callsBefore.Writes()
	b.ReportMetric(float64(reads)/period.Seconds(), "reads/s")
	b.ReportMetric(float64(writes)/period.Seconds(), "writes/s")
}

// traffic gives the bytes on the wire that balancers sent and received.
func (w *world) traffic(balancers int) float64 {
	sum := 0.0
	for _, n := range w.nodes[:balancers] {
		sum += n.wire()
	}
	return sum
}

func (n *node) wire() float64 {
	return float64(n.sent + n.received + n.messages*messageOverhead)
}

func (w *world) reportTraffic(b *testing.B, balancers int, period time.Duration) {
	worst := 0.0
	for _, n := range w.nodes[:balancers] {
		worst = max(worst, n.wire())
	}
	agent := 0.0
	for _, n := range w.nodes[balancers:] {
		agent += n.wire()
	}
	b.ReportMetric(w.traffic(balancers)/float64(balancers)/period.Seconds(), "B/s/balancer")
	b.ReportMetric(worst/period.Seconds(), "B/s/busiest")
	b.ReportMetric(agent/float64(len(w.nodes)-balancers)/period.Seconds(), "B/s/agent")
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// BenchmarkTick measures the processor time of one second at rest, in today's
// sizes.
func BenchmarkTick(b *testing.B) {
	w := steadyFleet(b, 4)
	for name, n := range map[string]*node{"balancer": w.nodes[0], "agent": w.nodes[5]} {
		b.Run(name, func(b *testing.B) {
			now := w.now
			for b.Loop() {
				now = now.Add(time.Second)
				n.keepAlive(now)
				n.m.Tick(now)
			}
		})
	}
}

// BenchmarkLetter measures one balancer's processor time at the letter's size:
// 187,000 records in 260 cells, and sessions with 8 peers and 20 agents.
func BenchmarkLetter(b *testing.B) {
	w := newWorld(b, 1)
	w.cells = letterCells
	n := w.add(gooseberrymast.RoleBalancer, letterZone(0), "", nil)
	n.life = 1
	n.alive = true
	n.config.Store = false
	n.fillLetter()
	now := w.now
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(time.Second)
			n.keepAlive(now)
			n.m.Tick(now)
		}
	})
	b.Run("record", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			now = now.Add(300 * time.Millisecond)
			n.keepAlive(now)
			n.m.Received(now, 1, letterDelta(i, now))
			n.m.Flush(now)
		}
	})
}
