package deliverer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// A balancer that doesn't know of the evacuation must not get a flow into the zone, not
// even as the last choice, and its caller must learn at once that nobody takes it.
func TestEvacuatedZoneTakesNoFlow(t *testing.T) {
	for _, status := range []tracker.Status{tracker.Ready, tracker.Unknown, tracker.Silent} {
		is := is.New(t)
		d := Deliverer{}
		evacuated := Server{Status: status, Service: "ledger", Evacuated: true}
		step := d.FromPeer(opening(), placeHop(next), evacuated, routes, epoch)
		is.Equal(step.To, next)
		is.Equal(step.Reason, ReasonZoneEvacuated)
		is.True(step.Hop.Definite)
		step = d.FromPeer(opening(), placeHop(), evacuated, routes, epoch)
		is.Equal(step.To, balancer)
		is.Equal(step.Hop.Mode, gooseberrymast.HopAbsent)
		is.True(step.Hop.Definite)
	}
}

// A flow that was taken before is open or opening, and its caller retransmits.
func TestFlowTakenBeforeEvacuationIsDelivered(t *testing.T) {
	is := is.New(t)
	d := Deliverer{}
	is.Equal(d.FromPeer(opening(), placeHop(next), ledger, routes, epoch).Event, FlowTaken)
	evacuated := ledger
	evacuated.Evacuated = true
	is.Equal(d.FromPeer(opening(), placeHop(next), evacuated, routes, epoch).Action, ToServer)
	is.Equal(d.FromPeer(request(1), placeHop(next), evacuated, routes, epoch).Action, ToServer)
	d.FromServer(gooseberrymast.PacketHeader{Source: address, Destination: caller, Finishes: true}, epoch)
	again := d.FromPeer(opening(), placeHop(next), evacuated, routes, epoch.Add(time.Second))
	is.Equal(again.Reason, ReasonZoneEvacuated) // the caller uses the port of the closed flow again
}

// An agent that has just started must not take what it would refuse a moment later.
func TestAgentWithoutListTakesNoFlow(t *testing.T) {
	is := is.New(t)
	d := Deliverer{}
	unknown := ledger
	unknown.EvacuationUnknown = true
	step := d.FromPeer(opening(), placeHop(next), unknown, routes, epoch)
	is.Equal(step.To, next)
	is.Equal(step.Reason, ReasonEvacuationUnknown)
	is.True(!step.Hop.Definite) // it may take the next copy
	is.Equal(d.FromPeer(opening(), placeHop(), unknown, routes, epoch).Action, Drop)
}
