package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/standin/platform"
)

func TestNewcomerTakesTheStoreOverStalePeers(t *testing.T) {
	is := is.New(t)
	w := newFleet(t, 1, 3, 2)
	w.apply("amina", 0)
	w.run(20 * time.Second)
	newcomer := w.nodes[2]
	w.kill(newcomer, false)
	for _, n := range w.nodes {
		n.paused = n != newcomer // Nobody else learns of the next revision.
	}
	w.apply("amina", 0)
	w.run(time.Second)
	for _, n := range w.nodes {
		n.backlog = nil
		n.paused = false
	}
	newcomer.start()
	for range 40 {
		w.run(250 * time.Millisecond)
		ready := newcomer.m.State() == gooseberrymast.StateReady
		is.True(!ready || newcomer.m.Revision().Number == 2) // never ready with the stale revision
	}
	is.Equal(newcomer.m.State(), gooseberrymast.StateReady)
}

func TestRestartOfEveryBalancerWithTheStoreDown(t *testing.T) {
	is := is.New(t)
	w := newFleet(t, 2, 4, 8)
	w.apply("amina", 0)
	w.run(30 * time.Second)
	w.store.SetFaults(platform.Faults{Down: true})
	w.notify()
	for _, n := range w.nodes[:4] {
		w.kill(n, false)
	}
	w.run(5 * time.Second)
	for _, n := range w.nodes[:4] {
		n.start()
	}
	leaving := w.nodes[11]
	w.run(30 * time.Second)
	w.leave(leaving)
	joined := w.nodes[10]
	w.kill(joined, true)
	w.run(time.Minute)
	joined.start()
	w.run(58 * time.Minute)
	for _, n := range w.nodes {
		if n.alive {
			is.Equal(n.m.Revision().Number, uint64(1)) // the agents gave it back
			is.Equal(n.m.State(), gooseberrymast.StateReady)
			w.checkView(n)
		}
	}
	w.store.SetFaults(platform.Faults{})
	w.apply("amina", 0)
	w.run(time.Minute)
	w.checkAll()
}

func TestLeavingAgentGetsNoNewFlowsWithinSeconds(t *testing.T) {
	is := is.New(t)
	w := newFleet(t, 3, 5, 10)
	w.apply("amina", 0)
	w.run(30 * time.Second)
	leaving := w.nodes[7]
	leaving.do(func(now time.Time) Actions { return leaving.m.Move(now, gooseberrymast.StateLeaving) })
	w.run(2 * time.Second)
	for _, n := range w.nodes {
		for _, member := range n.m.Directory.Table().Members(leaving.config.Record.Service) {
			if member.Identity.Address == leaving.config.Record.Identity.Address {
				is.True(!member.Routable())
			}
		}
	}
}

func TestEarlierLifeIsRisenAbove(t *testing.T) {
	is := is.New(t)
	w := newFleet(t, 4, 2, 2)
	w.apply("amina", 0)
	w.run(30 * time.Second)
	n := w.nodes[3]
	for range 8 { // The earlier life has a high sequence.
		n.do(func(now time.Time) Actions {
			n.m.announcer.Renew()
			n.m.announce(now)
			return n.m.finish(now, false)
		})
		w.run(time.Second)
	}
	w.kill(n, false)
	n.life-- // The clock that gives the incarnation stood still.
	n.start()
	w.run(30 * time.Second)
	is.True(n.m.Identity().Incarnation > 1)
	w.checkAll()
}

func TestStatusCountsRevisionsAndStragglers(t *testing.T) {
	is := is.New(t)
	w := newFleet(t, 5, 3, 4)
	w.apply("amina", 0)
	w.run(time.Minute)
	root := w.nodes[0]
	for _, n := range w.nodes[:3] {
		if n.m.place().root {
			root = n
		}
	}
	status := root.m.Status(w.now, nil)
	is.True(status.InForceEverywhere())
	is.Equal(len(status.Balancers), 3)
	is.Equal(len(status.Services), 2)

	// A paused agent keeps the old revision and is named.
	straggler := w.nodes[5]
	straggler.paused = true
	w.apply("amina", 0)
	w.run(5 * time.Second)
	status = root.m.Status(w.now, nil)
	is.True(!status.InForceEverywhere())
	is.Equal(status.Revisions[1].Number, uint64(1))
	is.Equal(status.Revisions[1].Identities, []gooseberrymast.Identity{straggler.m.Identity()})
	w.resume(straggler)
	w.run(30 * time.Second)
	is.True(root.m.Status(w.now, nil).InForceEverywhere())
}
