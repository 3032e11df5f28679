package steerer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// The agent that a balancer has recorded for a flow may have been offered an opening
// packet that it never received, and a copy by another balancer opened the flow
// elsewhere. Once the first agent is gone, the flow must be searched for.
func TestOpenFlowSurvivesLossOfAgentThatItWasOfferedTo(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	offered := f.steerer.FromCaller(nil, packet(true), epoch)[0].To
	holder := agent(1)
	if holder == offered {
		holder = agent(2)
	}
	at := epoch.Add(GoneAfter + time.Millisecond)
	f.reportExcept(4, offered, at)
	step := f.steerer.FromCaller(nil, packet(false), at)[0]
	is.Equal(step.Action, Forward) // nothing shows that the flow opened at the agent that is gone
	is.Equal(step.Hop.Mode, gooseberrymast.HopWalk)
	is.Equal(step.Reason, ReasonOwnerGone)
	is.True(step.To == holder || slices.Contains(step.Hop.Candidates, holder))
	f.owners.Record(packet(false).FromCaller(), holder, at) // the owner notifies the balancer
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].To, holder)
}

// Two agents may announce the same flow to its lookup balancers, if both servers
// answered a copy of its opening packet.
func TestLookupBalancerSearchesForFlowOfGoneAgent(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.owners.Record(packet(false).FromCaller(), agent(1), epoch)
	at := epoch.Add(GoneAfter + time.Millisecond)
	f.reportExcept(4, agent(1), at)
	hop := gooseberrymast.Hop{Mode: gooseberrymast.HopLookup, Origin: endpoint("10.1.0.2:7000")}
	step := f.steerer.FromPeer(nil, packet(false), hop, hop.Origin, at)[0]
	is.Equal(step.Hop.Mode, gooseberrymast.HopWalk)
	is.Equal(step.Hop.Origin, hop.Origin)
	is.True(step.Hop.NotifyOrigin)
}

func TestFlowsOfGoneAgentAreResetWithProof(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	key := packet(false).FromCaller()
	f.owners.Record(key, agent(1), epoch)
	at := epoch.Add(GoneAfter)
	f.reportExcept(4, agent(1), at)
	step := f.steerer.FromCaller(nil, packet(false), at)[0]
	is.Equal(step.To, agent(1)) // it may be restarting
	is.Equal(step.Hop.Mode, gooseberrymast.HopDeliver)
	at = at.Add(time.Millisecond)
	f.reportExcept(4, agent(1), at)
	steps := f.steerer.FromCaller(nil, packet(false), at)
	is.Equal(len(steps), 1)
	is.Equal(1+len(steps[0].Hop.Candidates), 3) // all but the one that is gone
	last := f.answerWalk(steps, true)
	is.Equal(last[0].Action, Reset)
	is.Equal(last[0].Reason, ReasonNoHolder)
	f.report(agent(1), "ledger", gooseberrymast.StateReady, at)
	step = f.steerer.FromCaller(nil, packet(false), at)[0]
	is.Equal(1+len(step.Hop.Candidates), 4) // it is back
}

// With the only agent of a service nobody is left to ask.
func TestFlowOfLastAgentIsResetWhenItIsGone(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	f.report(agent(2), "receipts", gooseberrymast.StateReady, epoch)
	f.owners.Record(packet(false).FromCaller(), agent(1), epoch)
	at := epoch.Add(GoneAfter + time.Millisecond)
	f.report(agent(2), "receipts", gooseberrymast.StateReady, at)
	step := f.readEntries(f.steerer.FromCaller(nil, packet(false), at))[0]
	is.Equal(step.Action, Reset)
	is.Equal(step.Reason, ReasonNoHolder)
}

func TestLeavingAgentIsGoneAfterLongerTimeout(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.owners.Record(packet(false).FromCaller(), agent(1), epoch)
	f.report(agent(1), "ledger", gooseberrymast.StateLeaving, epoch)
	at := epoch.Add(GoneAfterLeaving)
	f.report(agent(2), "ledger", gooseberrymast.StateReady, at)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].To, agent(1))
	at = at.Add(time.Millisecond)
	f.listen(at)
	steps := f.steerer.FromCaller(nil, packet(false), at)
	is.Equal(steps[0].To, agent(2))
	is.Equal(f.answerWalk(steps, true)[0].Action, Reset)
}

// A copy of an opening packet may arrive after another copy has opened the flow.
func TestOnlyTheFirstOpeningPacketIsReset(t *testing.T) {
	later := packet(true)
	later.Copy = 1
	t.Run("no agent", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(0)
		is.Equal(f.steerer.FromCaller(nil, packet(true), epoch)[0].Action, Reset)
		is.Equal(f.steerer.FromCaller(nil, later, epoch)[0].Action, Drop)
	})
	t.Run("no route", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(2)
		first, second := packet(true), later
		first.Destination, second.Destination = endpoint("198.18.9.9:1"), endpoint("198.18.9.9:1")
		is.Equal(f.steerer.FromCaller(nil, first, epoch)[0].Action, Reset)
		is.Equal(f.steerer.FromCaller(nil, second, epoch)[0].Action, Drop)
	})
	t.Run("refused by all candidates", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(5)
		refuse := func(header gooseberrymast.PacketHeader, at time.Time) []Step {
			hop := f.steerer.FromCaller(nil, header, epoch)[0].Hop
			hop.Mode, hop.Candidates = gooseberrymast.HopAbsent, nil
			return f.steerer.FromPeer(nil, header, hop, agent(1), at)
		}
		steps := refuse(packet(true), epoch.Add(firstRetransmission-1))
		is.Equal(len(steps), 1)
		is.Equal(steps[0].Action, Reset)
		is.Equal(steps[0].Reason, ReasonNoAgent)
		is.Equal(refuse(packet(true), epoch.Add(firstRetransmission))[0].Action, Drop) // the copy may have opened it
		is.Equal(len(refuse(later, epoch)), 0)
	})
}
