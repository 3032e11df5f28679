package steerer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

// reportFrom lets an agent report from a zone.
func (f *fixture) reportFrom(agent gooseberrymast.Endpoint, zone string) {
	f.sequence++
	f.roster.HandleReport(gooseberrymast.Report{Peer: gooseberrymast.Peer{
		Endpoint: agent, Role: gooseberrymast.RoleAgent, Incarnation: 1, Sequence: f.sequence,
		State: gooseberrymast.StateReady, Service: "ledger", Zone: zone,
	}, Load: gooseberrymast.FlowLoad{Slots: 4}}, epoch)
}

// newZonesFixture has agents 1 and 2 in the balancer's zone, and 3 and 4 in another.
func newZonesFixture() *fixture {
	f := newFixture(2)
	f.reportFrom(agent(3), "b")
	f.reportFrom(agent(4), "b")
	return f
}

func openingFrom(port int, copyNumber int) gooseberrymast.PacketHeader {
	header := packet(true)
	header.Source.Port, header.Copy = uint16(port), copyNumber
	return header
}

// New flows must not go to an evacuated zone, be it the balancer's own, and not along a
// chain of candidates either. They spread over the agents of the others.
func TestNewFlowsAvoidEvacuatedZones(t *testing.T) {
	is := is.New(t)
	f := newZonesFixture()
	f.steerer.SetEvacuated([]string{"a", "no-such-zone"})
	placed := map[gooseberrymast.Endpoint]int{}
	for port := range 40 {
		step := f.steerer.FromCaller(nil, openingFrom(port+1, 0), epoch)[0]
		placed[step.To]++
		for _, to := range append(step.Hop.Candidates, step.To) {
			entry, _ := f.roster.Get(to)
			is.Equal(entry.Zone, "b")
		}
	}
	is.True(placed[agent(3)] >= 15 && placed[agent(4)] >= 15)
	f.steerer.SetEvacuated(nil)
	again := map[string]int{}
	for port := range 40 {
		entry, _ := f.roster.Get(f.steerer.FromCaller(nil, openingFrom(port+100, 0), epoch)[0].To)
		again[entry.Zone]++
	}
	is.True(again["a"] > 0) // the zone is back in service
}

// A retransmitted opening packet must not follow the first one into a zone that was
// evacuated meanwhile: the agent there may not have taken it.
func TestRetransmissionAvoidsEvacuatedZone(t *testing.T) {
	is := is.New(t)
	f := newZonesFixture()
	f.steerer.SetEvacuated([]string{"b"})
	first := f.steerer.FromCaller(nil, openingFrom(1, 0), epoch)[0]
	f.steerer.SetEvacuated([]string{"a"})
	for copyNumber := range 3 {
		step := f.steerer.FromCaller(nil, openingFrom(1, copyNumber), epoch)[0]
		is.True(step.To != first.To)
		entry, _ := f.roster.Get(step.To)
		is.Equal(entry.Zone, "b")
		f.owners.Record(openingFrom(1, 0).FromCaller(), first.To, epoch)
	}
	is.Equal(f.steerer.FromCaller(nil, request(1), epoch)[0].To, first.To) // the open flow stays
}

func request(port int) gooseberrymast.PacketHeader {
	header := packet(false)
	header.Source.Port = uint16(port)
	return header
}

// With every zone of a service evacuated a caller must learn it at once, except that a
// duplicate of an opening packet must not reset the flow that it opened.
func TestAllZonesEvacuated(t *testing.T) {
	is := is.New(t)
	f := newZonesFixture()
	open := f.steerer.FromCaller(nil, openingFrom(1, 0), epoch)[0]
	is.Equal(open.Action, Forward)
	f.steerer.SetEvacuated([]string{"a", "b"})
	step := f.steerer.FromCaller(nil, openingFrom(2, 0), epoch)[0]
	is.Equal(step.Action, Reset)
	is.Equal(step.Reason, ReasonNoAgent)
	is.Equal(f.steerer.FromCaller(nil, openingFrom(2, 1), epoch)[0].Action, Drop)
	is.Equal(f.steerer.FromCaller(nil, openingFrom(1, 0), epoch)[0].Action, Drop)
	is.Equal(f.steerer.FromCaller(nil, request(1), epoch)[0].To, open.To)
}

// Agents that are silent must not be chosen from an evacuated zone because the others
// are out of service.
func TestSilentAgentsOfEvacuatedZoneAreNotChosen(t *testing.T) {
	is := is.New(t)
	f := newZonesFixture()
	f.steerer.SetEvacuated([]string{"b"})
	later := epoch.Add(roster.SilentAfter)
	f.report(agent(1), "ledger", gooseberrymast.StateLeaving, later)
	f.report(agent(2), "ledger", gooseberrymast.StateLeaving, later)
	is.Equal(f.steerer.FromCaller(nil, openingFrom(1, 0), later)[0].Action, Reset)
}

// A balancer must send a cold server as many flows as its agent takes between two reports,
// and the others elsewhere.
func TestColdServerGetsItsShare(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.sequence++
	f.roster.HandleReport(gooseberrymast.Report{Peer: gooseberrymast.Peer{
		Endpoint: agent(1), Role: gooseberrymast.RoleAgent, Incarnation: 1, Sequence: f.sequence,
		State: gooseberrymast.StateReady, Service: "ledger", Zone: "a",
	}, Load: gooseberrymast.FlowLoad{Slots: 4, WarmUpLeft: time.Second, Limited: true, Room: 5}}, epoch)
	placed := map[gooseberrymast.Endpoint]int{}
	for port := range 60 {
		placed[f.steerer.FromCaller(nil, openingFrom(port+1, 0), epoch)[0].To]++
	}
	is.Equal(placed[agent(1)], 5)
	is.Equal(placed[agent(2)], 55)
}
