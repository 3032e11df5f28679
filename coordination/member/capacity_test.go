package member

import (
	"fmt"
	"testing"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
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
