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

// restTime is the time after which a fleet has taken in a planned restart.
const restTime = 2 * time.Minute

// sequences gives the sequence of each node's own record.
func (w *world) sequences() []uint32 {
	sequences := make([]uint32, len(w.nodes))
	for i, n := range w.nodes {
		sequences[i] = n.m.announcer.Entry.Record.Sequence
	}
	return sequences
}

// restart stops a node as planned and starts it again. It gives the number of
// changes of records that this caused: the node's own, and others'.
func (w *world) restart(n *node) (own, others int) {
	before := w.sequences()
	w.leave(n)
	w.run(10 * time.Second)
	own = int(n.m.announcer.Entry.Record.Sequence - before[n.index])
	n.start()
	w.run(restTime)
	for i, sequence := range w.sequences() {
		if i == n.index {
			own += int(sequence)
			continue
		}
		others += int(sequence - before[i])
	}
	return own, others
}

// BenchmarkRestart measures the changes of records that one planned restart
// causes, by the number of agents for each balancer, and the control traffic
// of a balancer beyond that at rest.
func BenchmarkRestart(b *testing.B) {
	const balancers = 30
	for _, role := range []gooseberrymast.Role{gooseberrymast.RoleAgent, gooseberrymast.RoleBalancer} {
		for _, agents := range []int{2, 10} {
			b.Run(fmt.Sprintf("role=%d/agents=%d", role, agents), func(b *testing.B) {
				w := newFleet(b, 1, balancers, agents*balancers)
				w.apply("amina", 0)
				w.run(restTime)
				own, others, restarts := 0, 0, 0
				for b.Loop() {
					for i := range 5 {
						n := w.nodes[3*i+1]
						if role == gooseberrymast.RoleAgent {
							n = w.nodes[balancers+7*i]
						}
						o, rest := w.restart(n)
						own += o
						others += rest
						restarts++
					}
				}
				b.ReportMetric(float64(own)/float64(restarts), "own-changes")
				b.ReportMetric(float64(others)/float64(restarts), "others-changes")
			})
		}
	}
}

// BenchmarkZoneLoss measures what each surviving balancer sends and receives
// beyond rest in the two minutes after one of three availability zones went
// without a word, for each process lost, and the messages of the busiest.
func BenchmarkZoneLoss(b *testing.B) {
	const agents = 10
	for _, balancers := range []int{9, 30, 60} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			for b.Loop() {
				w := newFleet(b, 1, balancers, agents*balancers)
				w.apply("amina", 0)
				w.run(restTime)
				w.resetCounts()
				w.run(restTime)
				rest := w.survivorBytes(balancers)
				w.resetCounts()
				lost := 0
				for _, n := range w.nodes {
					if n.config.Record.Zone == zoneOf(0) {
						w.kill(n, true)
						lost++
					}
				}
				w.run(restTime)
				b.ReportMetric((w.survivorBytes(balancers)-rest)/float64(lost), "B/balancer/lost")
				b.ReportMetric(float64(lost), "lost")
			}
		})
	}
}

// survivorBytes gives the mean of the bytes that a balancer outside the first
// zone sent and received.
func (w *world) survivorBytes(balancers int) float64 {
	sum, count := 0.0, 0.0
	for _, n := range w.nodes[:balancers] {
		if n.config.Record.Zone != zoneOf(0) {
			sum += n.wire()
			count++
		}
	}
	return sum / count
}

// BenchmarkBurst measures one balancer's processor time for each record of a
// delta, with 187,000 records known and 8 peers that take the news.
func BenchmarkBurst(b *testing.B) {
	w := newWorld(b, 1)
	w.cells = letterCells
	n := w.add(gooseberrymast.RoleBalancer, letterZone(0), "", nil)
	n.life = 1
	n.alive = true
	n.config.Store = false
	n.fillLetter()
	now := w.now
	sequence := uint32(10)
	for _, records := range []int{1, 30, 1000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			for b.Loop() {
				sequence++
				delta := &messenger.Delta{}
				for i := range records {
					entry := letterEntry(letterBalancers + (i*7+int(sequence)*records)%letterAgents)
					entry.Record.Sequence = sequence
					delta.News = append(delta.News, messenger.News{Entry: entry})
				}
				now = now.Add(300 * time.Millisecond)
				n.keepAlive(now)
				n.m.Received(now, 1, &messenger.Message{Delta: delta})
				n.m.Flush(now)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*records), "us/record")
		})
	}
}

// celledFleet is a fleet of balancers in three availability zones with a number
// of cells each, at rest.
func celledFleet(b *testing.B, balancers, cells int) *world {
	w := newWorld(b, 1)
	w.cells = cells
	var seeds []netip.AddrPort
	for i := range min(balancers, 5) {
		seeds = append(seeds, controlOf(i))
	}
	for i := range balancers {
		w.add(gooseberrymast.RoleBalancer, zoneOf(i), "", seeds)
	}
	for _, n := range w.nodes {
		n.start()
	}
	w.apply("amina", 0)
	w.run(restTime)
	return w
}

// storeCalls gives the calls of all kinds since the counts were reset.
func (w *world) storeCalls() (reads, writes float64) {
	calls := w.store.Calls()
	before := w.callsBefore
	reads = float64(calls.Reads() - before.Reads() - uint64(w.peeks) + uint64(w.watchCalls))
	return reads, float64(calls.Writes() - before.Writes())
}

// BenchmarkStoreDown measures the calls of each cell while the store is down,
// and the most calls of one second after it is back.
func BenchmarkStoreDown(b *testing.B) {
	for _, cells := range []int{1, 5} {
		b.Run(fmt.Sprintf("cells=%d", 3*cells), func(b *testing.B) {
			for b.Loop() {
				w := celledFleet(b, 30, cells)
				w.store.SetFaults(platform.Faults{Down: true})
				w.run(restTime)
				w.resetCounts()
				w.run(restTime)
				reads, writes := w.storeCalls()
				perSecond := 1 / restTime.Seconds() / float64(3*cells)
				b.ReportMetric(reads*perSecond, "reads/s/cell")
				b.ReportMetric(writes*perSecond, "writes/s/cell")
				w.store.SetFaults(platform.Faults{})
				worst := 0.0
				for range 10 {
					w.resetCounts()
					w.run(time.Second)
					reads, writes = w.storeCalls()
					worst = max(worst, reads+writes)
				}
				b.ReportMetric(worst/float64(3*cells), "calls-in-a-second/cell")
			}
		})
	}
}

// BenchmarkMassRestart measures the reads of the store in the busiest second
// after all balancers began at once, for each balancer, and the time until the
// last of them has a revision in force.
func BenchmarkMassRestart(b *testing.B) {
	for _, balancers := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("balancers=%d", balancers), func(b *testing.B) {
			for b.Loop() {
				w := celledFleet(b, balancers, 1)
				for _, n := range w.nodes {
					w.kill(n, true)
				}
				w.run(time.Minute)
				began := w.now
				for _, n := range w.nodes {
					n.start()
				}
				worst := 0.0
				for range 30 {
					w.resetCounts()
					w.run(time.Second)
					reads, _ := w.storeCalls()
					worst = max(worst, reads)
				}
				last := began
				for _, n := range w.nodes {
					if n.adoptedAt.Before(began) {
						b.Fatalf("node %d has no revision in force", n.index)
					}
					last = maxTime(last, n.adoptedAt)
				}
				b.ReportMetric(worst/float64(balancers), "reads-in-a-second/balancer")
				b.ReportMetric(last.Sub(began).Seconds(), "s-in-force")
			}
		})
	}
}
