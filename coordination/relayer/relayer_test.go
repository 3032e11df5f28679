package relayer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/steerer"
	"gooseberrymast/state/roster"
)

// The time from the start of a fleet until every balancer hears every agent, by way
// of summaries: a report, a summary, and slack for lost ones.
const settleTime = 2 * time.Second

func TestEveryBalancerHearsEveryAgent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 5, 3, 6)
	f.loss = 0.0015
	f.run(settleTime, nil)
	is.Equal(f.missing(), 0)
	f.run(10*time.Second, func() {
		f.checkNoneFalselyGone()
		is.Equal(f.missing(), 0)
	})
}

// What an agent sends depends on its zone, not on the number of zones.
func TestReportsDoNotGrowWithTheNumberOfZones(t *testing.T) {
	perAgent := func(zones int) (sent int, crossZone int) {
		f := newFleet(t, 1, zones, 3, 6)
		f.run(settleTime, nil)
		agent := f.ofZone(gooseberrymast.RoleAgent, 0)[0]
		before := agent.sentReports
		f.crossZone = 0
		f.run(10*time.Second, nil)
		return agent.sentReports - before, f.crossZone
	}
	is := is.New(t)
	sentOfTwo, _ := perAgent(2)
	sentOfSix, crossZoneOfSix := perAgent(6)
	is.Equal(sentOfTwo, sentOfSix)
	// Two relays of six zones send to two balancers of five others, 2.5 times a second.
	const summaries = 2 * 6 * 5 * 25
	is.True(crossZoneOfSix <= summaries)
}

// The verdict that a killed agent is gone takes its silence, the wait for the next
// summary, and one lost summary.
func TestKilledAgentIsGoneEverywhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 3, 3, 6)
	f.run(10*time.Second, nil)
	agents := f.ofZone(gooseberrymast.RoleAgent, 1)
	f.stop(agents[2])
	killed := -1
	for i, p := range f.processes {
		if p == agents[2] {
			killed = i
		}
	}
	f.run(steerer.GoneAfter-agentReportInterval-step, func() {
		for _, p := range f.processes {
			is.True(p.steerer == nil || !f.takesForGone(p, killed))
		}
	})
	f.run(steerer.GoneAfterRelayed-steerer.GoneAfter+agentReportInterval+2*balancerReportInterval, nil)
	for _, p := range f.processes {
		is.True(p.steerer == nil || f.takesForGone(p, killed))
	}
}

// Each fault strikes the relays of a zone, whose agents go on serving their flows.
// No balancer of another zone may take these for gone.
func TestFaultsOfRelaysBreakNoFlows(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet, balancers []*process)
	}{
		{"both relays are killed", func(f *fleet, balancers []*process) {
			f.stop(balancers[0])
			f.stop(balancers[1])
		}},
		{"both relays restart", func(f *fleet, balancers []*process) {
			f.start(balancers[0])
			f.start(balancers[1])
		}},
		{"both relays are paused", func(f *fleet, balancers []*process) {
			f.pause(balancers[0], 3*time.Second)
			f.pause(balancers[1], 3500*time.Millisecond)
		}},
		{"all balancers are killed", func(f *fleet, balancers []*process) {
			for _, balancer := range balancers {
				f.stop(balancer)
			}
		}},
		{"all balancers restart after a second", func(f *fleet, balancers []*process) {
			for _, balancer := range balancers {
				f.stop(balancer)
			}
			f.run(time.Second, f.checkNoneFalselyGone)
			for _, balancer := range balancers {
				f.start(balancer)
			}
		}},
		{"all balancers come back after eight seconds", func(f *fleet, balancers []*process) {
			for _, balancer := range balancers {
				f.stop(balancer)
			}
			f.run(8*time.Second, f.checkNoneFalselyGone)
			for _, balancer := range balancers {
				f.start(balancer)
			}
		}},
		{"a relay is cut off", func(f *fleet, balancers []*process) {
			f.lossAt[balancers[0]] = 1
		}},
		{"a relay loses half of its messages", func(f *fleet, balancers []*process) {
			f.lossAt[balancers[0]] = 0.5
			f.stop(balancers[1])
			f.stop(balancers[2])
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := newFleet(t, seed, 3, 3, 6)
				f.loss = 0.0015
				f.run(5*time.Second, nil)
				test.fault(f, f.ofZone(gooseberrymast.RoleBalancer, 1))
				f.run(15*time.Second, f.checkNoneFalselyGone)
			}
		})
	}
}

// Most agents of a zone are lost for good. Its relays hear fewer than half of those in
// the list, and the others go on serving their flows.
func TestAgentIsHeardElsewhereAfterLossOfMostOfItsZone(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(t, seed, 3, 2, 3)
		f.loss = 0.0015
		f.run(5*time.Second, nil)
		agents := f.ofZone(gooseberrymast.RoleAgent, 1)
		f.stop(agents[0])
		f.stop(agents[1])
		f.run(20*time.Second, f.checkNoneFalselyGone)
		for i, agent := range f.processes {
			for _, balancer := range f.ofZone(gooseberrymast.RoleBalancer, 2) {
				if agent.down && !f.takesForGone(balancer, i) {
					t.Fatalf("seed %d: balancer %s waits for agent %s, which was killed", seed, balancer.self.Endpoint, agent.self.Endpoint)
				}
			}
		}
	}
}

// A balancer restarts while an agent does, so it has never heard that the agent
// stops as planned. The others have.
func TestStartingBalancerAwaitsAgentThatRestarts(t *testing.T) {
	for _, balancers := range []int{1, 2} {
		for zone := range 2 {
			f := newFleet(t, 1, 3, balancers, 4)
			f.run(5*time.Second, nil)
			agent, balancer := f.ofZone(gooseberrymast.RoleAgent, 0)[0], f.ofZone(gooseberrymast.RoleBalancer, zone)[0]
			f.stop(balancer)
			agent.self.State = gooseberrymast.StateLeaving
			agent.self.Sequence++
			agent.relayer.Leave()
			f.report(agent)
			f.run(600*time.Millisecond, nil)
			f.stop(agent)
			f.start(balancer)
			f.run(2*time.Second, func() {
				for i, p := range f.processes {
					if p == agent && f.takesForGone(balancer, i) {
						t.Fatalf("%d balancers a zone, %v: balancer %s resets a flow of agent %s, which restarts",
							balancers, f.now.Sub(epoch), balancer.self.Endpoint, agent.self.Endpoint)
					}
				}
			})
		}
	}
}

// All balancers of a zone are lost just before an agent of it stops as planned. Those
// of other zones must hear of that, to tell the balancers that start.
func TestPlannedStopIsKnownWithoutRelaysOfTheZone(t *testing.T) {
	f := newFleet(t, 1, 3, 3, 4)
	f.run(5*time.Second, nil)
	balancers := f.ofZone(gooseberrymast.RoleBalancer, 0)
	agent := f.ofZone(gooseberrymast.RoleAgent, 0)[0]
	for _, balancer := range balancers {
		f.stop(balancer)
	}
	agent.self.State = gooseberrymast.StateLeaving
	agent.self.Sequence++
	agent.relayer.Leave()
	f.report(agent)
	f.stop(agent)
	f.run(200*time.Millisecond, nil)
	for _, balancer := range balancers {
		f.start(balancer)
	}
	f.run(2*time.Second, func() {
		for i, p := range f.processes {
			for _, balancer := range balancers {
				if p == agent && f.takesForGone(balancer, i) {
					t.Fatalf("%v: balancer %s resets a flow of agent %s, which restarts", f.now.Sub(epoch), balancer.self.Endpoint, agent.self.Endpoint)
				}
			}
		}
	})
}

// Agents whose zone has no balancer report to all of the others, and stop when one
// is back.
func TestAgentsOfAZoneWithoutBalancersReportToAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 3, 2, 4)
	f.run(5*time.Second, nil)
	balancers := f.ofZone(gooseberrymast.RoleBalancer, 1)
	for _, balancer := range balancers {
		f.stop(balancer)
	}
	f.run(3*time.Second, f.checkNoneFalselyGone)
	is.Equal(f.missing(), 0) // each agent is heard by the balancers that are left
	agent := f.ofZone(gooseberrymast.RoleAgent, 1)[0]
	is.True(agent.relayer.Isolated())
	hears := 0
	agent.roster.Each(func(entry roster.Entry) {
		if entry.Role == gooseberrymast.RoleBalancer && entry.Reporting(f.now) {
			hears++
		}
	})
	is.Equal(hears, 4) // and hears them, as they report to it directly
	f.start(balancers[0])
	f.run(5*time.Second, f.checkNoneFalselyGone)
	is.True(!agent.relayer.Isolated())
	before := agent.sentReports
	f.run(time.Second, f.checkNoneFalselyGone)
	is.Equal(agent.sentReports-before, 5*2) // five reports to the two balancers of its zone that it knows
	is.Equal(f.missing(), 0)
}

// During a rolling update some processes report to all and know no summaries.
func TestMixedVersionsHearEachOther(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 3, 2, 4)
	for i, p := range f.processes {
		f.legacy[p] = i%2 == 0
		f.start(p)
	}
	f.run(settleTime, nil)
	f.run(10*time.Second, func() {
		f.checkNoneFalselyGone()
		is.Equal(f.missing(), 0)
	})
}

// In a zone whose balancers are all of an earlier version nobody sends summaries. Its
// agents report to all (soak seed 1702 with two builds).
func TestZoneOfEarlierBalancersIsHeard(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 3, 2, 4)
	for _, p := range f.ofZone(gooseberrymast.RoleBalancer, 1) {
		f.legacy[p] = true
		f.start(p)
	}
	f.run(3*time.Second, nil)
	f.run(10*time.Second, func() {
		f.checkNoneFalselyGone()
		is.Equal(f.missing(), 0)
	})
}

// Random kills, restarts and pauses strike a fleet whose messages get lost.
func TestRandomFaultsBreakNoFlows(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, seed, 3, 3, 4)
		f.loss = 0.01
		f.run(5*time.Second, nil)
		for range 12 {
			p := f.processes[f.random.IntN(len(f.processes))]
			switch f.random.IntN(3) {
			case 0:
				f.stop(p)
			case 1:
				f.start(p)
			case 2:
				f.pause(p, time.Duration(f.random.IntN(4000))*time.Millisecond)
			}
			f.run(time.Duration(f.random.IntN(1500))*time.Millisecond, f.checkNoneFalselyGone)
		}
		for _, p := range f.processes {
			if p.down {
				f.start(p)
			}
		}
		f.run(6*time.Second, f.checkNoneFalselyGone)
		if missing := f.missing(); missing != 0 {
			t.Fatalf("seed %d: %d agents are not heard at the end", seed, missing)
		}
	}
}

// A relay that has been paused knows its zone only as it was before.
func TestPausedRelaySendsNothingAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5, 2, 1, 3)
	f.run(3*time.Second, nil)
	relay := f.ofZone(gooseberrymast.RoleBalancer, 0)[0]
	is.True(relay.relayer.Due(false, f.now.Add(400*time.Millisecond)))
	is.True(!relay.relayer.Due(true, f.now.Add(5*time.Second)))
	_, recipients := relay.relayer.Summary(relay.roster.Entries(nil), relay.self, relay.roster.Hearing(), f.now.Add(5100*time.Millisecond))
	is.Equal(len(recipients), 0) // it has heard none of its agents since
}

// Two of a zone's three agents lose power for good. The third one serves on, and no
// balancer of another zone may take it for gone because the relays of its zone hear
// few agents.
func TestLastAgentOfAZoneIsHeardElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 3, 3, 3)
	f.run(5*time.Second, nil)
	agents := f.ofZone(gooseberrymast.RoleAgent, 1)
	f.stop(agents[0])
	f.stop(agents[1])
	f.run(15*time.Second, f.checkNoneFalselyGone)
	is.Equal(f.missing(), 0)
	for i, lost := range f.processes {
		for _, balancer := range f.processes {
			if lost.down && balancer.steerer != nil {
				is.True(f.takesForGone(balancer, i))
			}
		}
	}
}

// A balancer is paused and then reads the messages that have waited one by one. The
// agents whose messages it has not reached yet were not silent.
func TestBalancerBehindItsQueueTakesNoAgentForGone(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(t, seed, 3, 2, 8)
		f.loss = 0.0015
		// The pause begins between the reports of the own zone's agents and the
		// summaries of the others, so that the summaries come first in the queue.
		f.run(5650*time.Millisecond, nil)
		for _, balancer := range f.ofZone(gooseberrymast.RoleBalancer, 1) {
			f.pause(balancer, 4*time.Second)
			balancer.readLimit = 1
		}
		f.run(4*time.Second, nil)
		for end := f.now.Add(3 * time.Second); f.now.Before(end); {
			f.run(step, nil)
			for _, balancer := range f.ofZone(gooseberrymast.RoleBalancer, 1) {
				for i, agent := range f.processes {
					if agent.steerer == nil && f.takesForGone(balancer, i) {
						t.Fatalf("seed %d, %v: balancer %s resets a flow of agent %s, which runs",
							seed, f.now.Sub(epoch), balancer.self.Endpoint, agent.self.Endpoint)
					}
				}
			}
		}
	}
}
