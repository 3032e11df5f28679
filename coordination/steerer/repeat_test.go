package steerer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// keep keeps the packet of the search that steps begin.
func (f *fixture) keep(t *testing.T, steps []Step) {
	t.Helper()
	if len(steps) == 0 || steps[0].Search == 0 || !f.steerer.Keep(steps[0].Search, []byte("packet")) {
		t.Fatal("the packet is not kept")
	}
}

// repeat counts ticks until a search is repeated, and returns its steps.
func (f *fixture) repeat(now time.Time) (steps []Step, ticks int) {
	for ticks = 1; ticks <= max(lookupTicks, chainTicks)+1; ticks++ {
		if repeated, _ := f.steerer.RepeatSearches(now); len(repeated) > 0 {
			return repeated[0].Steps, ticks
		}
	}
	return nil, ticks
}

// A chain ends at an agent that is frozen or cut off. Its report isn't late yet when the
// packet is sent, and the flow's own agent may be behind it, and behind others like it.
func TestPacketReachesEachAgentOfChainThatIsNotAnswered(t *testing.T) {
	is := is.New(t)
	f := newFixture(5)
	steps := f.steerer.FromCaller(nil, packet(false), epoch)
	is.Equal(len(steps), 1)
	f.keep(t, steps)
	repeated, ticks := f.repeat(epoch)
	is.Equal(ticks, chainTicks+1)
	is.Equal(len(repeated), 5)
	for _, step := range repeated {
		is.Equal(len(step.Hop.Candidates), 0)
		is.Equal(step.Reason, ReasonSearchUnanswered)
	}
	is.Equal(len(f.answerWalk(steps, true)), 0)        // the chain's late answer counts no longer
	is.Equal(len(f.answerWalk(repeated[:4], true)), 0) // silence of one agent proves nothing
	is.Equal(f.answerWalk(repeated[4:], true)[0].Action, Reset)
	again, _ := f.repeat(epoch)
	is.Equal(len(again), 0)
}

// A lookup balancer that is frozen or cut off is asked until its reports are missing.
func TestPacketGoesToAgentsWhenLookupBalancerIsSilent(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	f.reportBalancer(endpoint("10.1.0.2:7000"))
	header, steps := f.lookedUp()
	f.keep(t, steps)
	repeated, ticks := f.repeat(epoch)
	is.Equal(ticks, lookupTicks+1)
	is.Equal(repeated[0].Hop.Mode, gooseberrymast.HopWalk)
	is.Equal(1+len(repeated[0].Hop.Candidates), 3)
	f.keep(t, repeated)
	repeated, _ = f.repeat(epoch)
	is.Equal(len(repeated), 3)
	f.owners.Record(header.FromCaller(), agent(2), epoch)
	f.keep(t, f.searchAgain(header))
	repeated, _ = f.repeat(epoch)
	is.Equal(len(repeated), 1) // the owner may have announced the flow without the packet
	is.Equal(repeated[0].To, agent(2))
	is.Equal(repeated[0].Hop.Mode, gooseberrymast.HopDeliver)
}

// Searches of flows that nobody holds would cost twice as much.
func TestSearchEndsWithAnswerOfLookupBalancer(t *testing.T) {
	is := is.New(t)
	f, lookup := newFixture(3), newFixture(3)
	lookup.steerer.Self = endpoint("10.1.0.2:7000")
	f.reportBalancer(lookup.steerer.Self)
	header, steps := f.lookedUp()
	f.keep(t, steps)
	walked := lookup.steerer.FromPeer(nil, header, steps[0].Hop, self, epoch)
	hop := walked[0].Hop
	hop.Mode, hop.Candidates = gooseberrymast.HopAbsent, nil
	answered := lookup.steerer.FromPeer(nil, header, hop, agent(3), epoch)
	is.Equal(answered[0].To, self)
	is.Equal(answered[0].Hop.Mode, gooseberrymast.HopAbsent)
	is.Equal(answered[1].Action, ReadEntries) // it draws the conclusion itself
	is.Equal(len(f.steerer.FromPeer(nil, header, answered[0].Hop, lookup.steerer.Self, epoch)), 0)
	repeated, _ := f.repeat(epoch)
	is.Equal(len(repeated), 0)
}

func TestSearchEndsWhenLookedUpOwnerReturnsPacket(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	f.reportBalancer(endpoint("10.1.0.2:7000"))
	header, steps := f.lookedUp()
	f.keep(t, steps)
	hop := steps[0].Hop
	hop.Mode = gooseberrymast.HopReturn
	walked := f.steerer.FromPeer(nil, header, hop, agent(1), epoch)
	is.Equal(walked[0].Hop.Mode, gooseberrymast.HopWalk)
	f.keep(t, walked)
	for range lookupTicks + 1 {
		repeated, _ := f.steerer.RepeatSearches(epoch)
		is.Equal(len(repeated), 0) // of the lookup
	}
}

// The agent that a flow was offered to may have been silent from the start, and a copy of
// the opening packet by another balancer opened the flow elsewhere.
func TestRetransmissionIsSearchedForWhenOfferedAgentIsSilent(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	offered := f.steerer.FromCaller(nil, packet(true), epoch)[0].To
	request := packet(false)
	request.Payload = 10
	at := epoch.Add(200 * time.Millisecond)
	is.Equal(f.steerer.FromCaller(nil, request, at)[0].Hop.Mode, gooseberrymast.HopDeliver)
	f.reportExcept(4, offered, at)
	steps := f.steerer.FromCaller(nil, request, at.Add(200*time.Millisecond))
	is.Equal(steps[0].Hop.Mode, gooseberrymast.HopWalk)
	is.Equal(steps[0].Reason, ReasonOwnerSilent)
	asked := 0
	for _, step := range steps {
		asked += 1 + len(step.Hop.Candidates)
	}
	is.Equal(asked, 4) // with the agent itself

	f.report(offered, "ledger", gooseberrymast.StateReady, at.Add(100*time.Millisecond))
	is.Equal(f.steerer.FromCaller(nil, request, at.Add(300*time.Millisecond))[0].To, offered) // it runs
	f.report(offered, "ledger", gooseberrymast.StateLeaving, at.Add(100*time.Millisecond))
	request.Sequence++
	f.steerer.FromCaller(nil, request, at.Add(400*time.Millisecond))
	is.Equal(f.steerer.FromCaller(nil, request, at.Add(600*time.Millisecond))[0].To, offered) // it restarts as planned
}

// reportBalancer lets a balancer report.
func (f *fixture) reportBalancer(balancer gooseberrymast.Endpoint) {
	f.roster.HandleReport(gooseberrymast.Report{Peer: gooseberrymast.Peer{
		Endpoint: balancer, Role: gooseberrymast.RoleBalancer, Incarnation: 1, Sequence: 1, State: gooseberrymast.StateReady, Zone: "a",
	}}, epoch)
}

// lookedUp returns a packet whose flow another balancer looks up, and the steps for it.
func (f *fixture) lookedUp() (gooseberrymast.PacketHeader, []Step) {
	for port := uint16(1); ; port++ {
		header := packet(false)
		header.Source.Port = port
		if steps := f.searchAgain(header); steps[0].Hop.Mode == gooseberrymast.HopLookup {
			return header, steps
		}
	}
}

// searchAgain returns the steps for a packet of a flow whose owner is not recorded.
func (f *fixture) searchAgain(header gooseberrymast.PacketHeader) []Step {
	key := header.FromCaller()
	owner, found := f.owners.Find(key, epoch)
	if found {
		f.owners.Forget(key, owner)
		defer f.owners.Record(key, owner, epoch)
	}
	return f.steerer.FromCaller(nil, header, epoch)
}
