package steerer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

// walked returns the number of agents that the chains of a walk name.
func walked(steps []Step) int {
	agents := 0
	for _, step := range steps {
		agents += 1 + len(step.Hop.Candidates)
	}
	return agents
}

// The stored list of a balancer that restarts contains an agent that was lost
// with its instance. Walks must stop querying it after GoneAfterStart.
func TestWalkSkipsAgentThatNeverReported(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	f.roster.Merge([]gooseberrymast.Peer{{
		Endpoint: agent(4), Role: gooseberrymast.RoleAgent, State: gooseberrymast.StateStarting, Service: "ledger",
	}}, epoch)
	walkLength := func(now time.Time) int {
		for i := 1; i <= 3; i++ {
			f.report(agent(i), "ledger", gooseberrymast.StateReady, now)
		}
		return walked(f.steerer.FromCaller(nil, packet(false), now))
	}
	is.Equal(walkLength(epoch.Add(GoneAfterStart)), 4)
	is.Equal(walkLength(epoch.Add(GoneAfterStart+1)), 3)
}

func TestWalkIncludesAgentLearnedFromPeers(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	at := epoch.Add(time.Minute)
	f.report(agent(1), "ledger", gooseberrymast.StateReady, at)
	f.roster.Merge([]gooseberrymast.Peer{{
		Endpoint: agent(2), Role: gooseberrymast.RoleAgent, Incarnation: 1, State: gooseberrymast.StateReady, Service: "ledger",
	}}, at)
	is.Equal(walked(f.steerer.FromCaller(nil, packet(false), at)), 2) // agent 2 may hold flows that other balancers placed
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
	is.Equal(walked(steps), 40)
	is.Equal(len(steps), 1+maxUncertainChains)
}
