package deliverer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// admissionGate returns one decision and records what it is told.
type admissionGate struct {
	recordingGate
	events []string
}

func (g *admissionGate) FlowClosed(gooseberrymast.FlowKey)   { g.events = append(g.events, "closed") }
func (g *admissionGate) RequestBegan(gooseberrymast.FlowKey) { g.events = append(g.events, "began") }
func (g *admissionGate) RequestShed(int, time.Time)          { g.events = append(g.events, "shed") }
func (g *admissionGate) State(time.Time) gooseberrymast.AdmissionState {
	return gooseberrymast.AdmissionState{}
}

// With admission in force the gate decides when a server is full, and a refusal by the
// last candidate reaches the balancer at once. A duplicate of a refused packet must not
// open the flow while its balancer may reset it.
func TestAdmissionGateRefusesFlow(t *testing.T) {
	is := is.New(t)
	crowded := Server{Status: tracker.Ready, Service: "ledger", Slots: 1, Admission: true}
	gate := &admissionGate{recordingGate: recordingGate{
		decision: gooseberrymast.GateDecision{Verdict: gooseberrymast.GatePassOn, Reason: "admission-queue-full", Definite: true},
	}}
	d := &Deliverer{Admission: gate}
	fill(d)
	step := d.FromPeer(opening(), placeHop(), crowded, routes, epoch)
	is.Equal(step.To, balancer)
	is.Equal(step.Hop.Mode, gooseberrymast.HopAbsent)
	is.True(step.Hop.Definite)
	is.Equal(gate.offers[0].InProgress, fullFactor)
	gate.decision = gooseberrymast.GateDecision{}
	step = d.FromPeer(opening(), placeHop(next), crowded, routes, epoch.Add(time.Millisecond))
	is.Equal(step.Reason, ReasonRefusedBefore)
	again := opening()
	again.Copy = 1
	is.Equal(d.FromPeer(again, placeHop(next), crowded, routes, epoch.Add(199*time.Millisecond)).Event, FlowTaken)
}

// The gate must know each request of the server, also on flows that it has not admitted,
// or it goes on expecting one that has come.
func TestAdmissionGateLearnsOfRequests(t *testing.T) {
	is := is.New(t)
	gate := &admissionGate{}
	d := &Deliverer{Admission: gate}
	d.FromPeer(opening(), placeHop(), ledger, routes, epoch)
	d.FromServer(answer(0), epoch)
	d.FromPeer(request(1), walkHop(), ledger, routes, epoch)
	d.FromServer(answer(100), epoch)
	d.HandleShed(epoch)
	d.FromPeer(request(101), walkHop(), ledger, routes, epoch)
	d.DropFlows()
	is.Equal(gate.events, []string{"began", "shed", "began", "closed"})
	is.Equal(len(gate.offers), 0) // the gate is not in force at this server
}
