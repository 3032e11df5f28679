package steerer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/locator"
	"gooseberrymast/state/roster"
)

var (
	self    = endpoint("10.1.0.1:7000")
	address = endpoint("198.18.0.1:443")
	removed = endpoint("198.18.0.2:443")
	caller  = endpoint("100.64.0.7:40001")
	epoch   = time.Unix(1000, 0)
)

func endpoint(text string) gooseberrymast.Endpoint {
	parsed, err := gooseberrymast.ParseEndpoint(text)
	if err != nil {
		panic(err)
	}
	return parsed
}

func agent(number int) gooseberrymast.Endpoint {
	return endpoint(fmt.Sprintf("10.2.0.%d:7000", number))
}

// fleet is a balancer that knows agents of one service.
type fleet struct {
	sequence uint64
	steerer  Steerer
	roster   roster.Roster
	owners   locator.Locator
}

func newFleet(agents int) *fleet {
	f := &fleet{}
	f.steerer = Steerer{
		Self: self, Zone: "a", Started: epoch, Roster: &f.roster, Owners: &f.owners,
		Random: rand.New(rand.NewPCG(1, 2)),
	}
	for i := 1; i <= agents; i++ {
		f.hear(agent(i), "ledger", gooseberrymast.StateReady, epoch)
	}
	f.roster.Complete()
	f.steerer.SetRoutes(routes(1, map[gooseberrymast.Endpoint][]string{address: {"ledger"}, removed: {"ledger"}}))
	return f
}

func (f *fleet) hear(at gooseberrymast.Endpoint, service string, state gooseberrymast.State, now time.Time) {
	f.sequence++
	f.roster.Hear(gooseberrymast.Report{Peer: gooseberrymast.Peer{
		Endpoint: at, Role: gooseberrymast.RoleAgent, Incarnation: 1, Sequence: f.sequence, State: state, Service: service, Zone: "a",
	}, Load: gooseberrymast.FlowLoad{Slots: 4}}, now)
}

func routes(version uint64, services map[gooseberrymast.Endpoint][]string) *gooseberrymast.Routes {
	made := &gooseberrymast.Routes{Version: version, ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{}}
	for at, names := range services {
		route := gooseberrymast.Route{Address: at}
		for _, name := range names {
			route.Backends = append(route.Backends, gooseberrymast.WeightedService{Service: name, Weight: 1})
		}
		made.ByAddress[at] = route
	}
	return made
}

func packet(opens bool) gooseberrymast.PacketHeader {
	return gooseberrymast.PacketHeader{Source: caller, Destination: address, Opens: opens, Acknowledges: !opens, Acknowledgement: 99}
}

// absent answers a walk: no candidate of any chain holds the flow.
func (f *fleet) absent(steps []Step, definite bool) (last []Step) {
	for _, step := range steps {
		hop := step.Hop
		hop.Mode, hop.Definite, hop.Candidates = gooseberrymast.HopAbsent, definite, nil
		last = f.steerer.FromPeer(nil, packet(false), hop, step.To, epoch)
	}
	return last
}

func TestCopiesOfAnOpeningPacketGoWhereTheFirstWent(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	first := f.steerer.FromCaller(nil, packet(true), epoch)[0]
	is.Equal(first.Hop.Mode, gooseberrymast.HopPlace)
	is.Equal(len(first.Hop.Candidates), placeCandidates-1)
	for range 10 {
		is.Equal(f.steerer.FromCaller(nil, packet(true), epoch)[0].To, first.To)
	}
	is.Equal(f.steerer.FromCaller(nil, packet(false), epoch)[0].To, first.To)
}

func TestNewFlowsAvoidAgentsThatDoNotTakeThem(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.hear(agent(1), "ledger", gooseberrymast.StateLeaving, epoch)
	later := epoch.Add(roster.SilentAfter)
	f.hear(agent(3), "ledger", gooseberrymast.StateReady, later)
	for port := range 20 {
		header := packet(true)
		header.Source.Port = uint16(port + 1)
		step := f.steerer.FromCaller(nil, header, later)[0]
		is.Equal(step.To, agent(3)) // the first is leaving, the second silent
	}
}

func TestNoRouteAndNoAgent(t *testing.T) {
	is := is.New(t)
	var empty Steerer
	is.Equal(empty.FromCaller(nil, packet(true), epoch)[0].Reason, ReasonNoDocument)

	f := newFleet(0)
	step := f.steerer.FromCaller(nil, packet(true), epoch)[0]
	is.Equal(step.Action, Reset) // known to be unservable
	is.Equal(step.Reason, ReasonNoAgent)

	unknown := packet(false)
	unknown.Destination = endpoint("198.18.9.9:1")
	step = f.steerer.FromCaller(nil, unknown, epoch)[0]
	is.Equal(step.Action, Drop) // a later document may have the route
	unknown.Opens = true
	is.Equal(f.steerer.FromCaller(nil, unknown, epoch)[0].Action, Reset)
}

func TestRemovedRouteEndsItsFlows(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	is.True(f.steerer.SetRoutes(routes(2, map[gooseberrymast.Endpoint][]string{address: {"ledger"}})))
	is.True(!f.steerer.SetRoutes(routes(1, nil))) // an older document changes nothing
	header := packet(false)
	header.Destination = removed
	step := f.steerer.FromCaller(nil, header, epoch)[0]
	is.Equal(step.Action, Reset)
	is.Equal(step.Reason, ReasonRouteRemoved)
}

func TestFlowIsLookedUpAtAPlace(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	place := endpoint("10.1.0.2:7000")
	f.roster.Hear(gooseberrymast.Report{Peer: gooseberrymast.Peer{
		Endpoint: place, Role: gooseberrymast.RoleBalancer, Incarnation: 1, State: gooseberrymast.StateReady,
	}}, epoch)
	step := f.steerer.FromCaller(nil, packet(false), epoch)[0]
	is.Equal(step.Hop.Mode, gooseberrymast.HopLookup)
	is.Equal(step.To, place)

	atPlace := newFleet(2)
	atPlace.owners.Learn(packet(false).FromCaller(), agent(2), epoch)
	step = atPlace.steerer.FromPeer(nil, packet(false), step.Hop, self, epoch)[0]
	is.Equal(step.To, agent(2))
	is.True(step.Hop.Passed)        // the owner tells the origin
	is.Equal(step.Hop.Origin, self) // which is the first balancer
}

func TestFlowIsResetOnlyWhenEveryHolderSaysNo(t *testing.T) {
	for _, agents := range []int{1, 5, 25, 26, 60} {
		is := is.New(t)
		f := newFleet(agents)
		steps := f.steerer.FromCaller(nil, packet(false), epoch)
		asked := map[gooseberrymast.Endpoint]bool{}
		for _, step := range steps {
			asked[step.To] = true
			for _, candidate := range step.Hop.Candidates {
				asked[candidate] = true
			}
		}
		is.Equal(len(asked), agents) // every agent, once
		if len(steps) > 1 {
			is.Equal(len(f.absent(steps[1:], true)), 0) // one chain has not answered
			steps = steps[:1]
		}
		last := f.absent(steps, true)
		is.Equal(last[0].Action, Reset)
		is.Equal(last[0].Of.Acknowledgement, uint32(99))
		is.Equal(len(f.absent(steps, true)), 0) // a copy of the answer resets nothing
	}
}

func TestFlowIsNotResetWithoutProof(t *testing.T) {
	t.Run("an agent can't say", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		last := f.absent(f.steerer.FromCaller(nil, packet(false), epoch), false)
		is.Equal(last[0].Action, Drop)
	})
	t.Run("the store's list was not read", func(t *testing.T) {
		is := is.New(t)
		f := &fleet{}
		f.steerer = Steerer{Self: self, Roster: &f.roster, Owners: &f.owners, Random: rand.New(rand.NewPCG(1, 2))}
		f.steerer.SetRoutes(routes(1, map[gooseberrymast.Endpoint][]string{address: {"ledger"}}))
		f.hear(agent(1), "ledger", gooseberrymast.StateReady, epoch)
		last := f.absent(f.steerer.FromCaller(nil, packet(false), epoch), true)
		is.Equal(last[0].Action, Drop)
	})
}

func TestWalkAsksServicesThatWereAllowedBefore(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.hear(agent(2), "receipts", gooseberrymast.StateReady, epoch)
	f.hear(agent(3), "keepsakes", gooseberrymast.StateReady, epoch)
	f.steerer.SetRoutes(routes(2, map[gooseberrymast.Endpoint][]string{address: {"ledger", "receipts"}}))
	f.steerer.SetRoutes(routes(3, map[gooseberrymast.Endpoint][]string{address: {"ledger"}}))
	step := f.steerer.FromCaller(nil, packet(false), epoch)[0]
	is.Equal(1+len(step.Hop.Candidates), 2) // ledger and receipts

	f.roster.SetStored(agent(3), []gooseberrymast.Endpoint{address}, 1)
	step = f.steerer.FromCaller(nil, packet(false), epoch)[0]
	is.Equal(1+len(step.Hop.Candidates), 3) // it says that it served the address
}

func TestReturnedPacketIsWalkedPastItsReturner(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	first := f.steerer.FromCaller(nil, packet(true), epoch)[0]
	hop := gooseberrymast.Hop{Mode: gooseberrymast.HopReturn, Definite: true, Origin: self}
	step := f.steerer.FromPeer(nil, packet(false), hop, first.To, epoch)[0]
	is.Equal(step.Hop.Mode, gooseberrymast.HopWalk)
	is.True(step.To != first.To)
	is.Equal(len(step.Hop.Candidates), 1)
	_, found := f.owners.Find(packet(false).FromCaller(), epoch)
	is.True(!found)
}

func TestFlowsOfAnAgentThatIsGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	key := packet(false).FromCaller()
	f.owners.Learn(key, agent(1), epoch)
	hearOthers := func(now time.Time) {
		for i := 2; i <= 4; i++ {
			f.hear(agent(i), "ledger", gooseberrymast.StateReady, now)
		}
	}
	at := epoch.Add(GoneAfter)
	hearOthers(at)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].Action, Forward) // it may be restarting
	at = at.Add(time.Millisecond)
	hearOthers(at)
	step := f.steerer.FromCaller(nil, packet(false), at)[0]
	is.Equal(step.Action, Reset)
	is.Equal(step.Reason, ReasonOwnerGone)
	f.hear(agent(1), "ledger", gooseberrymast.StateReady, at)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].Action, Forward) // it is back
}

// TestAgentThatNeverCameBack replays the restart of a balancer whose list names
// an agent that is gone with its instance.
func TestAgentThatNeverCameBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.roster.Merge([]gooseberrymast.Peer{{
		Endpoint: agent(4), Role: gooseberrymast.RoleAgent, State: gooseberrymast.StateStarting, Service: "ledger",
	}}, epoch)
	asked := func(now time.Time) int {
		for i := 1; i <= 3; i++ {
			f.hear(agent(i), "ledger", gooseberrymast.StateReady, now)
		}
		return 1 + len(f.steerer.FromCaller(nil, packet(false), now)[0].Hop.Candidates)
	}
	is.Equal(asked(epoch.Add(GoneAfterStart)), 4)
	is.Equal(asked(epoch.Add(GoneAfterStart+1)), 3)
}

func TestAgentThatOthersToldOfIsGivenTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	at := epoch.Add(time.Minute)
	f.hear(agent(1), "ledger", gooseberrymast.StateReady, at)
	f.roster.Merge([]gooseberrymast.Peer{{
		Endpoint: agent(2), Role: gooseberrymast.RoleAgent, Incarnation: 1, State: gooseberrymast.StateReady, Service: "ledger",
	}}, at)
	step := f.steerer.FromCaller(nil, packet(false), at)[0]
	is.Equal(1+len(step.Hop.Candidates), 2) // it may hold flows that others placed
}

func TestAgentThatSaidThatItStopsMayTakeLonger(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.owners.Learn(packet(false).FromCaller(), agent(1), epoch)
	f.hear(agent(1), "ledger", gooseberrymast.StateLeaving, epoch)
	at := epoch.Add(GoneAfterLeaving)
	f.hear(agent(2), "ledger", gooseberrymast.StateReady, at)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].Action, Forward)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at.Add(time.Millisecond))[0].Action, Reset)
}

// TestCopiesAvoidAnAgentThatDoesNotAnswer replays an opening packet and its
// copies after 200 and 600 ms, while the chosen agent is frozen.
func TestCopiesAvoidAnAgentThatDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	first := f.steerer.FromCaller(nil, packet(true), epoch)[0].To
	hearOthers := func(now time.Time) {
		for i := 1; i <= 4; i++ {
			if agent(i) != first {
				f.hear(agent(i), "ledger", gooseberrymast.StateReady, now)
			}
		}
	}
	second := packet(true)
	second.Copy = 1
	at := epoch.Add(lateReport)
	hearOthers(at)
	is.Equal(f.steerer.FromCaller(nil, second, at)[0].To, first) // its reports are not late
	third := packet(true)
	third.Copy = lastCopy
	to := f.steerer.FromCaller(nil, third, at)[0].To
	is.True(to != first)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].To, to) // what follows goes there too
}

func TestBalancerThatIsCutOffResetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.owners.Learn(packet(false).FromCaller(), agent(1), epoch)
	at := epoch.Add(time.Minute)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].Action, Forward)
	f.hear(agent(2), "ledger", gooseberrymast.StateReady, at)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].Action, Forward) // it hears one of four
}

// TestWalkBegunBeforeTheListIsReadProvesNothing replays a balancer that restarts:
// it hears agents and walks over them before it has read which others may hold
// the flow, and is answered after that.
func TestWalkBegunBeforeTheListIsReadProvesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.roster = roster.Roster{}
	for number := 1; number <= 3; number++ {
		f.hear(agent(number), "ledger", gooseberrymast.StateReady, epoch)
	}
	begun := f.steerer.FromCaller(nil, packet(false), epoch)
	f.roster.Complete()
	steps := f.absent(begun, true)
	is.Equal(len(steps), 1)
	is.Equal(steps[0].Action, Drop)
	is.Equal(steps[0].Reason, ReasonHolderUnknown)

	steps = f.absent(f.steerer.FromCaller(nil, packet(false), epoch), true)
	is.Equal(steps[0].Action, Reset) // the next copy's walk asks all
}
