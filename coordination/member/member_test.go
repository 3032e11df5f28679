package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/standin/platform"
)

func TestNewcomerIsNotReadyWithStaleRevision(t *testing.T) {
	is := is.New(t)
	sim := newFleet(t, 1, 3, 2)
	sim.applyRevision("amina", 0)
	sim.run(20 * time.Second)
	newcomer := sim.nodes[2]
	sim.kill(newcomer, false)
	for _, n := range sim.nodes {
		n.paused = n != newcomer // Only the newcomer can read the next revision.
	}
	sim.applyRevision("amina", 0)
	sim.run(time.Second)
	for _, n := range sim.nodes {
		n.backlog = nil
		n.paused = false
	}
	newcomer.start()
	for range 40 {
		sim.run(250 * time.Millisecond)
		ready := newcomer.m.State() == gooseberrymast.StateReady
		is.True(!ready || newcomer.m.Revision().Number == 2) // never ready with the stale revision
	}
	is.Equal(newcomer.m.State(), gooseberrymast.StateReady)
}

func TestAllBalancersRestartWithStoreDown(t *testing.T) {
	is := is.New(t)
	sim := newFleet(t, 2, 4, 8)
	sim.applyRevision("amina", 0)
	sim.run(30 * time.Second)
	sim.store.SetFaults(platform.Faults{Down: true})
	sim.notify()
	for _, n := range sim.nodes[:4] {
		sim.kill(n, false)
	}
	sim.run(5 * time.Second)
	for _, n := range sim.nodes[:4] {
		n.start()
	}
	leaving := sim.nodes[11]
	sim.run(30 * time.Second)
	sim.stopGracefully(leaving)
	joined := sim.nodes[10]
	sim.kill(joined, true)
	sim.run(time.Minute)
	joined.start()
	sim.run(58 * time.Minute)
	for _, n := range sim.nodes {
		if n.running {
			is.Equal(n.m.Revision().Number, uint64(1)) // recovered from the agents
			is.Equal(n.m.State(), gooseberrymast.StateReady)
			sim.checkTable(n)
		}
	}
	sim.store.SetFaults(platform.Faults{})
	sim.applyRevision("amina", 0)
	sim.run(time.Minute)
	sim.checkConverged()
}

func TestLeavingAgentIsUnroutableAfterTwoSeconds(t *testing.T) {
	is := is.New(t)
	sim := newFleet(t, 3, 5, 10)
	sim.applyRevision("amina", 0)
	sim.run(30 * time.Second)
	leaving := sim.nodes[7]
	leaving.dispatch(func(now time.Time) Actions { return leaving.m.RequestState(now, gooseberrymast.StateLeaving) })
	sim.run(2 * time.Second)
	for _, n := range sim.nodes {
		for _, member := range n.m.Directory.Table().Members(leaving.config.Record.Service) {
			if member.Identity.Address == leaving.config.Record.Identity.Address {
				is.True(!member.Routable())
			}
		}
	}
}

func TestIncarnationRisesAboveEarlierOne(t *testing.T) {
	is := is.New(t)
	sim := newFleet(t, 4, 2, 2)
	sim.applyRevision("amina", 0)
	sim.run(30 * time.Second)
	n := sim.nodes[3]
	for range 8 { // Gives the earlier incarnation a high sequence.
		n.dispatch(func(now time.Time) Actions {
			n.m.announcer.Renew()
			n.m.announce(now)
			return n.m.finish(now, false)
		})
		sim.run(time.Second)
	}
	sim.kill(n, false)
	n.generation-- // Restarts with the same incarnation.
	n.start()
	sim.run(30 * time.Second)
	is.True(n.m.Identity().Incarnation > 1)
	sim.checkConverged()
}

func TestStatusCountsRevisionsAndStragglers(t *testing.T) {
	is := is.New(t)
	sim := newFleet(t, 5, 3, 4)
	sim.applyRevision("amina", 0)
	sim.run(time.Minute)
	root := sim.nodes[0]
	for _, n := range sim.nodes[:3] {
		if n.m.position().root {
			root = n
		}
	}
	status := root.m.Status(sim.now, nil)
	is.True(status.InForceEverywhere())
	is.Equal(len(status.Balancers), 3)
	is.Equal(len(status.Services), 2)

	// A paused agent keeps the old revision and is listed.
	straggler := sim.nodes[5]
	straggler.paused = true
	sim.applyRevision("amina", 0)
	sim.run(5 * time.Second)
	status = root.m.Status(sim.now, nil)
	is.True(!status.InForceEverywhere())
	is.Equal(status.Revisions[1].Number, uint64(1))
	is.Equal(status.Revisions[1].Identities, []gooseberrymast.Identity{straggler.m.Identity()})
	sim.resume(straggler)
	sim.run(30 * time.Second)
	is.True(root.m.Status(sim.now, nil).InForceEverywhere())
}
