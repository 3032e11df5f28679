package relayer_test

import (
	"testing"
	"time"

	"gooseberrymast"
)

// goneAt counts the live balancers outside a zone that take its agents for gone.
func (f *fleet) goneAt(zone int) (gone, total int) {
	for _, balancer := range f.processes {
		if balancer.self.Role != gooseberrymast.RoleBalancer || balancer.down || balancer.self.Zone == f.ofZone(gooseberrymast.RoleBalancer, zone)[0].self.Zone {
			continue
		}
		for i, agent := range f.processes {
			if agent.self.Role == gooseberrymast.RoleAgent && agent.self.Zone == f.ofZone(gooseberrymast.RoleAgent, zone)[0].self.Zone {
				total++
				if f.takesForGone(balancer, i) {
					gone++
				}
			}
		}
	}
	return gone, total
}

// All balancers of a zone can't reach the other zones, but their agents can: nothing is
// heard of these, since they still hear the zone's balancers. The other zones must not
// reset their flows, and must go on placing flows there.
func TestAgentsBehindCutBalancersAreNotTakenForGone(t *testing.T) {
	for _, balancers := range []int{1, 3} {
		f := newFleet(t, 1, 3, balancers, 6)
		f.run(5*time.Second, nil)
		cut := f.ofZone(gooseberrymast.RoleBalancer, 0)
		f.cut = func(from, to *process) bool {
			ofCut := func(p *process) bool {
				return p.self.Role == gooseberrymast.RoleBalancer && p.self.Zone == cut[0].self.Zone
			}
			return ofCut(from) != ofCut(to) && from.self.Zone != to.self.Zone
		}
		outside := func() {
			for _, p := range cut {
				p.undisturbedSince = f.now // not in touch
			}
			f.checkNoneFalselyGone()
		}
		f.run(30*time.Second, outside)
		missing := 0
		for _, balancer := range f.ofZone(gooseberrymast.RoleBalancer, 1) {
			for _, agent := range f.ofZone(gooseberrymast.RoleAgent, 0) {
				if entry, _ := balancer.roster.Get(agent.self.Endpoint); !entry.Reporting(f.now) {
					missing++
				}
			}
		}
		if missing > 0 {
			t.Errorf("%d balancers: %d of zone 1 hear nothing of zone 0's agents", balancers, missing)
		}
		f.cut = nil
		f.run(3*time.Second, outside)
		asked := f.questions
		f.run(5*time.Second, outside)
		if f.questions > asked {
			t.Error("agents are asked although summaries arrive")
		}
	}
}

// A whole zone loses its power. Callers of its flows need their resets: the other zones'
// relays have asked its agents, and none has answered.
func TestAgentsOfLostZoneAreTakenForGone(t *testing.T) {
	// As long as three lost summaries, all questions and two intervals of reports take.
	const bound = 6 * time.Second
	for _, balancers := range []int{1, 4} {
		f := newFleet(t, 1, 3, balancers, 6)
		f.run(5*time.Second, nil)
		for _, role := range []gooseberrymast.Role{gooseberrymast.RoleBalancer, gooseberrymast.RoleAgent} {
			for _, p := range f.ofZone(role, 0) {
				f.stop(p)
			}
		}
		f.run(bound, f.checkNoneFalselyGone)
		if gone, total := f.goneAt(0); gone < total {
			t.Errorf("%d balancers a zone: %d of %d pairs are gone after %v", balancers, gone, total, bound)
		}
		// The silence counts only as long as agents that live would be heard: each relay of the
		// two other zones asks the six lost ones again now and then, and nobody else does.
		asked := f.questions
		const further, relays, interval = 10 * time.Second, 2, 2 * time.Second
		f.run(further, f.checkNoneFalselyGone)
		limit := 2 * min(balancers, relays) * 6 * int(further/interval+1)
		if again := f.questions - asked; again == 0 || again > limit {
			t.Errorf("%d balancers a zone: %d further questions in %v, want 1 to %d", balancers, again, further, limit)
		}
		if gone, total := f.goneAt(0); gone < total {
			t.Errorf("%d balancers a zone: %d of %d pairs are gone later", balancers, gone, total)
		}
	}
}

// A balancer that hears nobody outside its zone is cut off itself, and must not take the
// other zones for lost.
func TestCutBalancerTakesNobodyForGone(t *testing.T) {
	f := newFleet(t, 1, 3, 1, 6)
	f.run(5*time.Second, nil)
	balancer := f.ofZone(gooseberrymast.RoleBalancer, 0)[0]
	f.cut = func(from, to *process) bool {
		return (from == balancer || to == balancer) && from.self.Zone != to.self.Zone
	}
	f.run(30*time.Second, f.checkNoneFalselyGone)
}
