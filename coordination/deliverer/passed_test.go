package deliverer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// A caller's first packets reach the first candidate of a new flow before the balancer
// knows that another one took it. They must follow the opening packet: a walk over all
// agents takes longer than the caller's retransmission.
func TestPacketsFollowPassedOnFlow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	next := gooseberrymast.Endpoint{IP: [4]byte{10, 0, 0, 2}, Port: 7000}
	origin := gooseberrymast.Endpoint{IP: [4]byte{10, 0, 0, 1}, Port: 7000}
	header := gooseberrymast.PacketHeader{
		Source:      gooseberrymast.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001},
		Destination: gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
		Opens:       true,
	}
	service := gooseberrymast.ServiceHash("ledger")
	leaving := Server{Status: tracker.Leaving, Service: "ledger"}
	var d Deliverer
	step := d.FromPeer(header, gooseberrymast.Hop{
		Mode: gooseberrymast.HopPlace, Origin: origin, Service: service, Candidates: []gooseberrymast.Endpoint{next},
	}, leaving, nil, now)
	is.Equal(step.To, next)

	header.Opens, header.Acknowledges = false, true
	hop := gooseberrymast.Hop{Mode: gooseberrymast.HopDeliver, Origin: origin}
	for range maxPassedOnUses {
		step = d.FromPeer(header, hop, leaving, nil, now.Add(8*time.Millisecond))
		is.Equal(step.Action, Forward)
		is.Equal(step.To, next)
		is.Equal(step.Hop.Mode, gooseberrymast.HopDeliver)
		is.True(step.Hop.NotifyOrigin) // the owner tells the balancer
	}
	// A packet must not go round between two agents that passed copies on to each other.
	step = d.FromPeer(header, hop, leaving, nil, now.Add(9*time.Millisecond))
	is.True(step.Reason != ReasonPassedOn)
}

// The record of a flow must not send its packets astray once the caller uses the port
// again, and records must not grow without bound.
func TestPassedOnRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	var p passedOn
	next := gooseberrymast.Endpoint{IP: [4]byte{10, 0, 0, 2}, Port: 7000}
	key := func(i int) gooseberrymast.FlowKey {
		return gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: 1}}
	}
	for i := range maxPassedOn + 10 {
		p.record(key(i), next, now)
	}
	is.Equal(len(p.next), maxPassedOn)
	_, ok := p.follow(key(0), now)
	is.True(!ok) // evicted
	_, ok = p.follow(key(maxPassedOn), now.Add(passedOnTimeout+time.Millisecond))
	is.True(!ok) // out of date
}
