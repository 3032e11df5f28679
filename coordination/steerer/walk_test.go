package steerer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

// walkChains returns the agents that each chain of a walk goes over.
func walkChains(steps []Step) (chains [][]gooseberrymast.Endpoint) {
	for _, step := range steps {
		if step.Action == Forward && step.Hop.Mode == gooseberrymast.HopWalk {
			chains = append(chains, append([]gooseberrymast.Endpoint{step.To}, step.Hop.Candidates...))
		}
	}
	return chains
}

// walkedAgents returns the agents that all chains of a walk go over, sorted.
func walkedAgents(steps []Step) []gooseberrymast.Endpoint {
	return slices.SortedFunc(slices.Values(slices.Concat(walkChains(steps)...)), gooseberrymast.Endpoint.Compare)
}

// An agent that is being restarted ends the chain that it is in: the packet never
// reached the holder behind it, however often it was retransmitted.
func TestWalkReachesHolderWhileOtherAgentsRestart(t *testing.T) {
	is := is.New(t)
	f := newFixture(5)
	now := epoch.Add(lateReportAge + 1)
	f.report(agent(1), "ledger", gooseberrymast.StateLeaving, now)
	// Agent 2 was killed: its report is late.
	for i := 3; i <= 5; i++ {
		f.report(agent(i), "ledger", gooseberrymast.StateReady, now)
	}
	chains := walkChains(f.steerer.FromCaller(nil, packet(false), now))
	is.Equal(chains, [][]gooseberrymast.Endpoint{{agent(3), agent(4), agent(5)}, chains[1], chains[2]})
	is.Equal(len(chains[1]), 1)
	is.Equal(len(chains[2]), 1)
	is.True(chains[1][0] == agent(1) && chains[2][0] == agent(2) || chains[1][0] == agent(2) && chains[2][0] == agent(1))
}

// After a loss of power no agent reports. A walk over all of them must not cost a
// balancer one packet for each.
func TestWalkOverSilentAgentsHasFewChains(t *testing.T) {
	for _, test := range []struct{ agents, chains int }{
		{1, 1}, {maxDoubtfulChains, maxDoubtfulChains}, {maxDoubtfulChains + 1, 5}, {100, maxDoubtfulChains}, {240, 10},
	} {
		is := is.New(t)
		f := newFixture(test.agents)
		now := epoch.Add(GoneAfter - 1)
		chains := walkChains(f.steerer.FromCaller(nil, packet(false), now))
		is.Equal(len(chains), test.chains)
		walked := map[gooseberrymast.Endpoint]bool{}
		for _, chain := range chains {
			is.True(len(chain) <= gooseberrymast.MaxCandidates+1)
			for _, at := range chain {
				walked[at] = true
			}
		}
		is.Equal(len(walked), test.agents)
	}
}

// Most walks find every agent reporting; they cross between zones in one chain.
func TestWalkOverAnsweringAgentsIsOneChain(t *testing.T) {
	is := is.New(t)
	f := newFixture(gooseberrymast.MaxCandidates + 1)
	is.Equal(len(walkChains(f.steerer.FromCaller(nil, packet(false), epoch.Add(100*time.Millisecond)))), 1)
}

// An agent forwards a walk to the next one of its chain, so one that restarts ends
// the chain. The holder of the flow may be behind it.
func TestWalkReachesHolderBehindRestartingAgent(t *testing.T) {
	tests := []struct {
		name string
		down func(f *fixture, now time.Time)
	}{
		{"leaves", func(f *fixture, now time.Time) { f.report(agent(2), "ledger", gooseberrymast.StateLeaving, now) }},
		{"is late", func(f *fixture, now time.Time) {
			f.report(agent(2), "ledger", gooseberrymast.StateReady, now.Add(-lateReportAge-1))
		}},
		{"is silent", func(f *fixture, now time.Time) {
			f.report(agent(2), "ledger", gooseberrymast.StateReady, now.Add(-roster.SilentAfter))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(4)
			now := epoch.Add(time.Minute)
			f.report(agent(1), "ledger", gooseberrymast.StateReady, now.Add(-roster.SilentAfter))
			test.down(f, now)
			for i := 3; i <= 4; i++ {
				f.report(agent(i), "ledger", gooseberrymast.StateReady, now)
			}
			reached := map[gooseberrymast.Endpoint]bool{}
			for _, step := range f.steerer.FromCaller(nil, packet(false), now) {
				for _, next := range append([]gooseberrymast.Endpoint{step.To}, step.Hop.Candidates...) {
					reached[next] = true
					if next == agent(1) || next == agent(2) {
						break
					}
				}
			}
			is.Equal(len(reached), 4)
		})
	}
}

// After the loss of most agents each flow is searched for. A packet for each agent
// that may not run would fill the links.
func TestWalkAfterLossOfMostAgentsHasFewChains(t *testing.T) {
	is := is.New(t)
	f := newFixture(40)
	now := epoch.Add(roster.SilentAfter)
	for i := 1; i <= 4; i++ {
		f.report(agent(i), "ledger", gooseberrymast.StateReady, now)
	}
	steps := f.steerer.FromCaller(nil, packet(false), now)
	is.Equal(len(slices.Concat(walkChains(steps)...)), 40)
	is.Equal(len(steps), 1+maxDoubtfulChains)
}
