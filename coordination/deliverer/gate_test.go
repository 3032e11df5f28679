package deliverer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// recordingGate returns one decision and records what it was told.
type recordingGate struct {
	decision gooseberrymast.GateDecision
	offers   []gooseberrymast.FlowOffer
	taken    int
}

func (g *recordingGate) Decide(offer gooseberrymast.FlowOffer, _ time.Time) gooseberrymast.GateDecision {
	g.offers = append(g.offers, offer)
	return g.decision
}

func (g *recordingGate) Taken(gooseberrymast.FlowOffer, time.Time) { g.taken++ }

// A flow that a gate refuses must neither reach the server nor be counted by a gate
// that admitted it, and its refusal is definite only if the gate says so.
func TestGateRefusesFlow(t *testing.T) {
	for _, test := range []struct {
		name     string
		definite bool
		want     Action
	}{
		{"definite, the origin is told", true, Forward},
		{"not definite, the next copy decides", false, Drop},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			admitting := &recordingGate{}
			refusing := &recordingGate{decision: gooseberrymast.GateDecision{
				Verdict: gooseberrymast.GatePassOn, Reason: "some-limit", Definite: test.definite,
			}}
			d := &Deliverer{Gates: []gooseberrymast.FlowGate{admitting, refusing}}
			balancer := gooseberrymast.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 7000}
			header := gooseberrymast.PacketHeader{
				Source:      gooseberrymast.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001},
				Destination: gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
				Opens:       true,
			}
			hop := gooseberrymast.Hop{
				Mode: gooseberrymast.HopPlace, Definite: true, Origin: balancer, Initiator: balancer,
				Service: gooseberrymast.ServiceHash("ledger"),
			}
			step := d.FromPeer(header, hop, Server{Status: tracker.Ready, Service: "ledger"}, nil, time.Unix(1, 0))
			is.Equal(step.Action, test.want)
			is.Equal(step.Reason, Reason("some-limit"))
			is.Equal(admitting.taken, 0) // the flow was not taken
			is.Equal(len(refusing.offers), 1)
			is.True(refusing.offers[0].Last)
			flows, _ := d.Load()
			is.Equal(flows, 0)
		})
	}
}

// Every gate must learn of a flow that goes to the server, and only once for its copies.
func TestGateCountsTakenFlowOnce(t *testing.T) {
	is := is.New(t)
	gate := &recordingGate{}
	d := &Deliverer{Gates: []gooseberrymast.FlowGate{gate}}
	header := gooseberrymast.PacketHeader{
		Source:      gooseberrymast.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001},
		Destination: gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
		Opens:       true,
	}
	hop := gooseberrymast.Hop{Mode: gooseberrymast.HopPlace, Service: gooseberrymast.ServiceHash("ledger")}
	server := Server{Status: tracker.Ready, Service: "ledger"}
	is.Equal(d.FromPeer(header, hop, server, nil, time.Unix(1, 0)).Action, ToServer)
	header.Copy = 1
	is.Equal(d.FromPeer(header, hop, server, nil, time.Unix(1, 0).Add(200*time.Millisecond)).Action, ToServer)
	is.Equal(gate.taken, 1)
	is.Equal(len(gate.offers), 1)
}
