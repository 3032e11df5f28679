package deliverer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// Guards against records of flows that are no longer open, that another incarnation of
// the server may hold, or whose requests may run twice.
func TestLongFlows(t *testing.T) {
	const minAge = 2 * time.Second
	accept := answer(0)
	accept.Accepts = true
	acknowledgement := gooseberrymast.PacketHeader{Acknowledges: true, Acknowledgement: 1}
	finish := answer(0)
	finish.Finishes = true
	receives := func(header gooseberrymast.PacketHeader) func(*Deliverer) {
		return func(d *Deliverer) {
			header.Source, header.Destination = caller, address
			hop := gooseberrymast.Hop{Mode: gooseberrymast.HopDeliver, Origin: balancer}
			if header.Opens {
				hop = placeHop()
			}
			d.FromPeer(header, hop, ledger, routes, epoch)
		}
	}
	sends := func(header gooseberrymast.PacketHeader) func(*Deliverer) {
		return func(d *Deliverer) { d.FromServer(header, epoch) }
	}
	announced := func(d *Deliverer) { d.HandleAnnouncement(false) }
	opened := func(more ...func(*Deliverer)) []func(*Deliverer) {
		return append([]func(*Deliverer){receives(opening()), sends(accept), receives(acknowledgement)}, more...)
	}
	idempotent := &gooseberrymast.Routes{ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{address: {Address: address, Idempotent: true}}}
	tests := []struct {
		name   string
		events []func(*Deliverer)
		routes *gooseberrymast.Routes
		age    time.Duration
		found  bool
	}{
		{"announced twice since it was accepted", opened(announced, announced), routes, minAge, true},
		{"too young", opened(announced, announced), routes, minAge - 1, false},
		{"announced once: a later incarnation may have accepted it", opened(announced), routes, minAge, false},
		{"idempotent", opened(announced, announced), idempotent, minAge, false},
		{"route removed", opened(announced, announced), &gooseberrymast.Routes{}, minAge, false},
		{"no document", opened(announced, announced), nil, minAge, false},
		{"closed by the server", opened(announced, announced, sends(finish)), routes, minAge, false},
		{"closed by the caller", opened(announced, announced, receives(gooseberrymast.PacketHeader{Acknowledges: true, Acknowledgement: 1, Finishes: true})), routes, minAge, false},
		{"reset by the caller", opened(announced, announced, receives(gooseberrymast.PacketHeader{Resets: true, Acknowledgement: 1})), routes, minAge, false},
		{"not acknowledged by its caller", []func(*Deliverer){receives(opening()), sends(accept), announced, announced}, routes, minAge, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var d Deliverer
			for _, event := range test.events {
				event(&d)
			}
			found := d.LongFlows(test.routes, minAge, epoch.Add(test.age))
			is.Equal(len(found) == 1, test.found)
			if test.found {
				is.Equal(found[0], gooseberrymast.HeldFlow{
					Key: gooseberrymast.FlowKey{Caller: caller, Service: address}, Acknowledgement: 1, Age: test.age,
				})
			}
		})
	}
}

// Guards against records where each flow carries one request, and against resets of a
// flow that the agent itself holds.
func TestRequestsOfFlowsAreCounted(t *testing.T) {
	is := is.New(t)
	var d Deliverer
	key := gooseberrymast.FlowKey{Caller: caller, Service: address}
	is.True(!d.Holds(key))
	takeFlow(&d, routes, address)
	accept := answer(0)
	accept.Accepts = true
	d.FromServer(accept, epoch)
	for number := range uint32(3) {
		request := gooseberrymast.PacketHeader{
			Source: caller, Destination: address, Acknowledges: true, Acknowledgement: 1, Sequence: 1 + 100*number, Payload: 100,
		}
		for range 2 { // the copy is no request of its own
			d.FromPeer(request, gooseberrymast.Hop{Mode: gooseberrymast.HopDeliver, Origin: balancer}, ledger, routes, epoch)
		}
		d.FromServer(answer(100), epoch)
	}
	d.HandleAnnouncement(false)
	d.HandleAnnouncement(false)
	is.Equal(d.LongFlows(routes, 0, epoch)[0].Requests, 3)
	is.True(d.Holds(key))
}
