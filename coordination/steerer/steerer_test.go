package steerer

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// fixture is a balancer that holds reports of agents of one service.
type fixture struct {
	sequence uint64
	steerer  Steerer
	roster   roster.Roster
	owners   locator.Locator
}

func newFixture(agents int) *fixture {
	f := &fixture{}
	f.steerer = Steerer{
		Self: self, Zone: "a", Roster: &f.roster, Owners: &f.owners,
		Random: rand.New(rand.NewPCG(1, 2)),
	}
	f.roster.StartListening(epoch)
	for i := 1; i <= agents; i++ {
		f.report(agent(i), "ledger", gooseberrymast.StateReady, epoch)
	}
	f.roster.MarkComplete()
	f.steerer.SetRoutes(routes(1, map[gooseberrymast.Endpoint][]string{address: {"ledger"}, removed: {"ledger"}}))
	return f
}

// listen lets the balancer read its queue up to a time.
func (f *fixture) listen(until time.Time) {
	for at := f.roster.Listening().Until; at.Before(until); {
		at = at.Add(min(roster.MarkerInterval, until.Sub(at)))
		f.roster.HandleMarker(at)
	}
}

// report lets an agent report at a time, and as often as agents do since the balancer last
// read its queue: one that hears nobody for a while takes nobody for gone.
func (f *fixture) report(agent gooseberrymast.Endpoint, service string, state gooseberrymast.State, now time.Time) {
	f.reportAll([]gooseberrymast.Endpoint{agent}, service, state, now)
}

func (f *fixture) reportAll(agents []gooseberrymast.Endpoint, service string, state gooseberrymast.State, now time.Time) {
	const interval = 200 * time.Millisecond
	for at := f.roster.Listening().Until; ; {
		at = at.Add(min(interval, max(0, now.Sub(at))))
		for _, agent := range agents {
			f.sequence++
			f.roster.HandleReport(gooseberrymast.Report{Peer: gooseberrymast.Peer{
				Endpoint: agent, Role: gooseberrymast.RoleAgent, Incarnation: 1, Sequence: f.sequence, State: state, Service: service, Zone: "a",
			}, Load: gooseberrymast.FlowLoad{Slots: 4}}, at)
		}
		f.listen(at)
		if !at.Before(now) {
			return
		}
	}
}

// reportExcept lets all agents but one report.
func (f *fixture) reportExcept(agents int, silent gooseberrymast.Endpoint, now time.Time) {
	var others []gooseberrymast.Endpoint
	for i := 1; i <= agents; i++ {
		if agent(i) != silent {
			others = append(others, agent(i))
		}
	}
	f.reportAll(others, "ledger", gooseberrymast.StateReady, now)
}

func routes(number uint64, services map[gooseberrymast.Endpoint][]string) *gooseberrymast.Routes {
	made := &gooseberrymast.Routes{Version: gooseberrymast.DocumentVersion{Number: number}, ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{}}
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

// answerWalk answers every chain of a walk: none of its candidates holds the flow.
func (f *fixture) answerWalk(steps []Step, definite bool) (last []Step) {
	for _, step := range steps {
		hop := step.Hop
		hop.Mode, hop.Definite, hop.Candidates = gooseberrymast.HopAbsent, definite, nil
		last = f.readEntries(f.steerer.FromPeer(nil, packet(false), hop, step.To, epoch))
	}
	return last
}

// readEntries replaces each step that reads the store's entries by those that follow if
// they name no other agents.
func (f *fixture) readEntries(steps []Step) (all []Step) {
	for _, step := range steps {
		if step.Action != ReadEntries {
			all = append(all, step)
			continue
		}
		now := f.roster.Listening().Until
		all = f.steerer.HandleEntries(all, now, f.roster.IsComplete(), now)
	}
	return all
}

func TestRetransmittedOpeningPacketsKeepTheirAgent(t *testing.T) {
	is := is.New(t)
	f := newFixture(5)
	first := f.steerer.FromCaller(nil, packet(true), epoch)[0]
	is.Equal(first.Hop.Mode, gooseberrymast.HopPlace)
	is.Equal(len(first.Hop.Candidates), placeCandidates-1)
	for range 10 {
		is.Equal(f.steerer.FromCaller(nil, packet(true), epoch)[0].To, first.To)
	}
	is.Equal(f.steerer.FromCaller(nil, packet(false), epoch)[0].To, first.To)
}

func TestNewFlowsAvoidLeavingAndSilentAgents(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	f.report(agent(1), "ledger", gooseberrymast.StateLeaving, epoch)
	later := epoch.Add(roster.SilentAfter)
	f.report(agent(3), "ledger", gooseberrymast.StateReady, later)
	for port := range 20 {
		header := packet(true)
		header.Source.Port = uint16(port + 1)
		step := f.steerer.FromCaller(nil, header, later)[0]
		is.Equal(step.To, agent(3)) // agent 1 is leaving, agent 2 silent
	}
}

func TestPacketsWithoutDocumentRouteOrAgent(t *testing.T) {
	is := is.New(t)
	var empty Steerer
	is.Equal(empty.FromCaller(nil, packet(true), epoch)[0].Reason, ReasonNoDocument)

	f := newFixture(0)
	step := f.steerer.FromCaller(nil, packet(true), epoch)[0]
	is.Equal(step.Action, Reset) // no agent can serve it
	is.Equal(step.Reason, ReasonNoAgent)

	unknown := packet(false)
	unknown.Destination = endpoint("198.18.9.9:1")
	step = f.steerer.FromCaller(nil, unknown, epoch)[0]
	is.Equal(step.Action, Drop) // a later document may have the route
	unknown.Opens = true
	is.Equal(f.steerer.FromCaller(nil, unknown, epoch)[0].Action, Reset)
}

// The store decides between two contents of one number, so that the other one may
// already be in force.
func TestOtherContentOfSameNumberReplacesRoutes(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	opening := packet(true)
	opening.Destination = removed
	f.steerer.FromCaller(nil, opening, epoch)
	is.True(f.steerer.SetRoutes(routes(1, map[gooseberrymast.Endpoint][]string{address: {"ledger"}})))
	header := packet(false)
	header.Destination = removed
	is.Equal(f.steerer.FromCaller(nil, header, epoch)[0].Reason, ReasonRouteRemoved)
}

func TestRemovedRouteResetsItsFlows(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	opening := packet(true)
	opening.Destination = removed
	f.steerer.FromCaller(nil, opening, epoch)
	is.True(f.steerer.SetRoutes(routes(2, map[gooseberrymast.Endpoint][]string{address: {"ledger"}})))
	is.True(!f.steerer.SetRoutes(routes(1, nil))) // an older document changes nothing
	header := packet(false)
	header.Destination = removed
	step := f.steerer.FromCaller(nil, header, epoch)[0]
	is.Equal(step.Action, Reset)
	is.Equal(step.Reason, ReasonRouteRemoved)
}

// A document removes a route and a later one, which this balancer doesn't have yet,
// has it again. Flows that other balancers opened under that one must not be reset.
func TestFlowOfRestoredRouteIsNotReset(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.steerer.SetRoutes(routes(2, map[gooseberrymast.Endpoint][]string{address: {"ledger"}}))
	header := packet(false)
	header.Destination = removed
	is.Equal(f.steerer.FromCaller(nil, header, epoch)[0].Action, Drop)
	f.owners.Record(header.FromCaller(), agent(1), epoch) // its owner announces it to this balancer
	is.Equal(f.steerer.FromCaller(nil, header, epoch)[0].Action, Drop)
	f.steerer.SetRoutes(routes(3, map[gooseberrymast.Endpoint][]string{address: {"ledger"}, removed: {"ledger"}}))
	is.Equal(f.steerer.FromCaller(nil, header, epoch)[0].To, agent(1))
}

func TestUnknownFlowIsForwardedToLookupBalancer(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	lookup := endpoint("10.1.0.2:7000")
	f.roster.HandleReport(gooseberrymast.Report{Peer: gooseberrymast.Peer{
		Endpoint: lookup, Role: gooseberrymast.RoleBalancer, Incarnation: 1, State: gooseberrymast.StateReady,
	}}, epoch)
	step := f.steerer.FromCaller(nil, packet(false), epoch)[0]
	is.Equal(step.Hop.Mode, gooseberrymast.HopLookup)
	is.Equal(step.To, lookup)

	lookupFixture := newFixture(2)
	lookupFixture.owners.Record(packet(false).FromCaller(), agent(2), epoch)
	step = lookupFixture.steerer.FromPeer(nil, packet(false), step.Hop, self, epoch)[0]
	is.Equal(step.To, agent(2))
	is.True(step.Hop.NotifyOrigin)  // the owner notifies the origin
	is.Equal(step.Hop.Origin, self) // which is the first balancer
}

func TestFlowIsResetOnlyAfterEveryAgentAnswersDefinitely(t *testing.T) {
	for _, agents := range []int{1, 5, 25, 26, 60} {
		is := is.New(t)
		f := newFixture(agents)
		steps := f.steerer.FromCaller(nil, packet(false), epoch)
		queried := map[gooseberrymast.Endpoint]bool{}
		for _, step := range steps {
			queried[step.To] = true
			for _, candidate := range step.Hop.Candidates {
				queried[candidate] = true
			}
		}
		is.Equal(len(queried), agents) // every agent is queried once
		if len(steps) > 1 {
			is.Equal(len(f.answerWalk(steps[1:], true)), 0) // one chain has not answered
			steps = steps[:1]
		}
		last := f.answerWalk(steps, true)
		is.Equal(last[0].Action, Reset)
		is.Equal(last[0].CallerHeader.Acknowledgement, uint32(99))
		is.Equal(len(f.answerWalk(steps, true)), 0) // a copy of the answer resets nothing
	}
}

func TestFlowIsNotResetAfterIncompleteWalk(t *testing.T) {
	t.Run("an agent does not answer definitely", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(3)
		last := f.answerWalk(f.steerer.FromCaller(nil, packet(false), epoch), false)
		is.Equal(last[0].Action, Drop)
	})
	t.Run("the list of peers was not read from the store", func(t *testing.T) {
		is := is.New(t)
		f := &fixture{}
		f.roster.StartListening(epoch)
		f.steerer = Steerer{Self: self, Roster: &f.roster, Owners: &f.owners, Random: rand.New(rand.NewPCG(1, 2))}
		f.steerer.SetRoutes(routes(1, map[gooseberrymast.Endpoint][]string{address: {"ledger"}}))
		f.report(agent(1), "ledger", gooseberrymast.StateReady, epoch)
		last := f.answerWalk(f.steerer.FromCaller(nil, packet(false), epoch), true)
		is.Equal(last[0].Action, Drop)
	})
}

func TestWalkIncludesFormerlyAllowedServices(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	f.report(agent(2), "receipts", gooseberrymast.StateReady, epoch)
	f.report(agent(3), "keepsakes", gooseberrymast.StateReady, epoch)
	f.steerer.SetRoutes(routes(2, map[gooseberrymast.Endpoint][]string{address: {"ledger", "receipts"}}))
	f.steerer.SetRoutes(routes(3, map[gooseberrymast.Endpoint][]string{address: {"ledger"}}))
	is.Equal(walkedAgents(f.steerer.FromCaller(nil, packet(false), epoch)), []gooseberrymast.Endpoint{agent(1), agent(2)}) // ledger and receipts

	f.roster.HandleStored([]roster.Stored{{
		Peer: gooseberrymast.Peer{Endpoint: agent(3), Role: gooseberrymast.RoleAgent}, Served: []gooseberrymast.Endpoint{address}, Version: 1,
	}}, epoch)
	// Agent 3 is stored as having served the address.
	is.Equal(walkedAgents(f.steerer.FromCaller(nil, packet(false), epoch)), []gooseberrymast.Endpoint{agent(1), agent(2), agent(3)})
}

func TestWalkOfReturnedPacketSkipsItsSender(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	first := f.steerer.FromCaller(nil, packet(true), epoch)[0]
	hop := gooseberrymast.Hop{Mode: gooseberrymast.HopReturn, Definite: true, Origin: self}
	step := f.steerer.FromPeer(nil, packet(false), hop, first.To, epoch)[0]
	is.Equal(step.Hop.Mode, gooseberrymast.HopWalk)
	is.True(step.To != first.To)
	is.Equal(len(step.Hop.Candidates), 1)
	_, found := f.owners.Find(packet(false).FromCaller(), epoch)
	is.True(!found)
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
		f.reportExcept(3, agent(4), now)
		return len(slices.Concat(walkChains(f.steerer.FromCaller(nil, packet(false), now))...))
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
	walked := slices.Concat(walkChains(f.steerer.FromCaller(nil, packet(false), at))...)
	is.Equal(len(walked), 2) // agent 2 may hold flows that other balancers placed
}

// An opening packet is retransmitted after 200 and 600 ms while the chosen agent
// is suspended. The second retransmission must go to another agent.
func TestRetransmissionsAvoidUnresponsiveAgent(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	first := f.steerer.FromCaller(nil, packet(true), epoch)[0].To
	reportOthers := func(now time.Time) {
		for i := 1; i <= 4; i++ {
			if agent(i) != first {
				f.report(agent(i), "ledger", gooseberrymast.StateReady, now)
			}
		}
	}
	second := packet(true)
	second.Copy = 1
	at := epoch.Add(lateReportAge)
	reportOthers(at)
	is.Equal(f.steerer.FromCaller(nil, second, at)[0].To, first) // its reports are not late
	third := packet(true)
	third.Copy = rerouteFromCopy
	to := f.steerer.FromCaller(nil, third, at)[0].To
	is.True(to != first)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].To, to) // later packets follow
}

func TestIsolatedBalancerResetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.owners.Record(packet(false).FromCaller(), agent(1), epoch)
	at := epoch.Add(time.Minute)
	f.listen(at)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].Action, Forward)
	f.report(agent(2), "ledger", gooseberrymast.StateReady, at)
	is.Equal(f.steerer.FromCaller(nil, packet(false), at)[0].Action, Forward) // it receives reports from one of four
}

// A balancer knows too few agents when it begins a walk: it has just started, or has missed
// messages. That all of them deny the flow must not reset it: only a list of the store's
// entries that was read after the packet arrived shows whether there are others.
func TestWalkOverTooFewAgentsResetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	begin := func() []Step { return f.steerer.FromCaller(nil, packet(false), epoch) }
	deny := func(steps []Step) (last []Step) {
		for _, step := range steps {
			hop := step.Hop
			hop.Mode, hop.Candidates = gooseberrymast.HopAbsent, nil
			last = f.steerer.FromPeer(nil, packet(false), hop, step.To, epoch)
		}
		return last
	}
	last := deny(begin())
	is.Equal(len(last), 1)
	is.Equal(last[0].Action, ReadEntries)
	is.Equal(len(f.steerer.HandleEntries(nil, epoch.Add(-EntriesFresh-1), true, epoch)), 0) // this list is too old
	is.True(f.steerer.AwaitsEntries(epoch))
	steps := f.steerer.HandleEntries(nil, epoch, false, epoch)
	is.Equal(len(steps), 1)
	is.Equal(steps[0].Action, Drop)
	is.Equal(steps[0].Reason, ReasonEntriesIncomplete)
	is.True(!f.steerer.AwaitsEntries(epoch))

	deny(begin())
	f.roster.HandleStored([]roster.Stored{{
		Peer:   gooseberrymast.Peer{Endpoint: agent(4), Role: gooseberrymast.RoleAgent, Service: "receipts", Zone: "a"},
		Served: []gooseberrymast.Endpoint{address}, Version: 7,
	}}, epoch)
	steps = f.steerer.HandleEntries(nil, epoch, true, epoch)
	is.Equal(len(steps), 1)
	is.Equal(steps[0].Action, Drop)
	is.Equal(steps[0].Reason, ReasonHolderNotAsked)

	begun := begin() // the next packet's walk queries all agents
	is.True(slices.Contains(slices.Concat(walkChains(begun)...), agent(4)))
	last = deny(begun) // the last list is fresh
	is.Equal(len(last), 1)
	is.Equal(last[0].Action, Reset)
	is.Equal(last[0].Reason, ReasonNoHolder)
}

// Nobody holds a flow, and the store can't be read: the search ends without a reset, and
// the balancer keeps no state of it.
func TestSearchEndsWhileStoreCannotBeRead(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	hop := f.steerer.FromCaller(nil, packet(false), epoch)[0].Hop
	hop.Mode = gooseberrymast.HopAbsent
	is.Equal(f.steerer.FromPeer(nil, packet(false), hop, agent(1), epoch)[0].Action, ReadEntries)
	is.True(f.steerer.AwaitsEntries(epoch.Add(walkTimeout - 1)))
	late := epoch.Add(walkTimeout)
	is.True(!f.steerer.AwaitsEntries(late))
	is.Equal(len(f.steerer.HandleEntries(nil, late, true, late)), 0)
}
