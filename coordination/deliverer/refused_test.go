package deliverer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// observingGate counts the requests on open flows.
type observingGate struct {
	recordingGate
	requests int
}

func (g *observingGate) HandleRequest(int, time.Time) { g.requests++ }

// A gate must learn of requests on open flows, but not a second time of what it has
// counted with the opening packet, nor of a request's further packets.
func TestGateIsToldOfLaterRequests(t *testing.T) {
	is := is.New(t)
	gate := &observingGate{}
	d := Deliverer{Gates: []gooseberrymast.FlowGate{gate}}
	d.FromPeer(opening(), placeHop(), ledger, routes, epoch)
	d.FromServer(gooseberrymast.PacketHeader{Source: address, Destination: caller, Opens: true, Acknowledges: true}, epoch)
	for i := range uint32(3) {
		d.FromPeer(request(1000*i+1), placeHop(), ledger, routes, epoch)
		d.FromPeer(request(1000*i+101), placeHop(), ledger, routes, epoch)
		d.FromServer(answer(10), epoch)
	}
	is.Equal(gate.requests, 2)
	is.Equal(gate.offers[0].OpenFlows, 0)
}

// fill makes the server work on as many requests as make it full.
func fill(d *Deliverer) {
	for range fullFactor {
		f := d.addFlow(gooseberrymast.FlowKey{Caller: endpoint("100.64.0.9:1"), Service: address}, epoch)
		d.setBusy(f, true)
	}
}

// Where all candidates are full or refuse a flow, its caller must learn it at once. Then
// no duplicate of the opening packet may open the flow meanwhile.
func TestFullServerRefusesDefinitelyOnlyWithoutLaterTaking(t *testing.T) {
	is := is.New(t)
	full := ledger
	full.Slots = 1
	d := Deliverer{}
	fill(&d)
	step := d.FromPeer(opening(), placeHop(next), full, routes, epoch)
	is.Equal(step.Reason, ReasonServerFull)
	is.True(!step.Hop.Definite) // as before

	d = Deliverer{RefuseFullDefinitely: true}
	fill(&d)
	is.True(d.FromPeer(opening(), placeHop(next), full, routes, epoch).Hop.Definite)
	soon := epoch.Add(refusedFor - 1)
	step = d.FromPeer(opening(), placeHop(), ledger, routes, soon)
	is.Equal(step.Reason, ReasonRefusedBefore)
	is.Equal(step.To, balancer)
	copied := opening()
	copied.Copy = 1
	is.Equal(d.FromPeer(copied, placeHop(), ledger, routes, soon).Event, FlowTaken)
	other := opening()
	other.Source.Port++
	is.Equal(d.FromPeer(other, placeHop(), ledger, routes, soon).Event, FlowTaken)
}

// The same holds for what a gate refuses and would admit a moment later.
func TestGateRefusesDuplicatesToo(t *testing.T) {
	is := is.New(t)
	gate := &recordingGate{decision: gooseberrymast.GateDecision{Verdict: gooseberrymast.GatePassOn, Reason: "some-limit", Definite: true}}
	d := Deliverer{Gates: []gooseberrymast.FlowGate{gate}}
	is.True(d.FromPeer(opening(), placeHop(next), ledger, routes, epoch).Hop.Definite)
	gate.decision = gooseberrymast.GateDecision{}
	is.Equal(d.FromPeer(opening(), placeHop(next), ledger, routes, epoch).Reason, ReasonRefusedBefore)
}

// The memory of refusals is bounded; beyond it a refusal proves nothing.
func TestRefusalsAreBounded(t *testing.T) {
	is := is.New(t)
	var refused refusals
	key := func(port int) gooseberrymast.FlowKey {
		return gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{1, 1, 1, 1}, Port: uint16(port)}}
	}
	for port := range maxRefused {
		is.True(refused.add(key(port), epoch))
	}
	is.True(!refused.add(key(maxRefused), epoch))
	is.True(refused.has(key(0), epoch.Add(refusedFor-1)))
	is.True(!refused.has(key(0), epoch.Add(refusedFor)))
	is.True(refused.add(key(maxRefused), epoch.Add(refusedFor)))
	is.Equal(len(refused.at), 1)
}

// A server that has crashed and started again returns packets of flows that were open at
// it. Flows that have ended, or never opened, are no sign of that.
func TestReturnedPacketOfOpenFlowShowsRestart(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(d *Deliverer)
		want    bool
	}{
		{"open", func(*Deliverer) {}, true},
		{"ended by the caller", func(d *Deliverer) {
			reset := request(1)
			reset.Payload, reset.Resets = 0, true
			d.FromPeer(reset, placeHop(), ledger, routes, epoch)
		}, false},
		{"ended by the server", func(d *Deliverer) {
			d.FromServer(gooseberrymast.PacketHeader{Source: address, Destination: caller, Finishes: true}, epoch)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := Deliverer{}
			d.FromPeer(opening(), placeHop(), ledger, routes, epoch)
			d.FromServer(gooseberrymast.PacketHeader{Source: address, Destination: caller, Opens: true, Acknowledges: true}, epoch)
			d.FromPeer(request(1), placeHop(), ledger, routes, epoch)
			d.FromServer(answer(10), epoch)
			test.prepare(&d)
			step := d.FromPeer(request(101), walkHop(), ledger, routes, epoch)
			returned := request(101)
			returned.Tag, returned.Returned = step.Tag, true
			is.Equal(d.HandleReturned(returned, epoch).Forgotten, test.want)
		})
	}
	is := is.New(t)
	d := Deliverer{}
	step := d.FromPeer(opening(), placeHop(), ledger, routes, epoch)
	returned := opening()
	returned.Tag, returned.Returned = step.Tag, true
	is.True(!d.HandleReturned(returned, epoch).Forgotten) // the server refused the flow
}
