package deliverer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// tickUntilOverdue counts ticks until packets are overdue, at most as many as there may be.
func tickUntilOverdue(d *Deliverer) (overdue []Overdue, ticks int) {
	for ticks = 1; ticks <= returnTicks+1; ticks++ {
		if overdue, _ = d.PassOnUnanswered(); len(overdue) > 0 {
			return overdue, ticks
		}
	}
	return nil, ticks
}

// try gives the server a packet of a flow that the agent doesn't hold.
func try(d *Deliverer, hop gooseberrymast.Hop) Step {
	step := d.FromPeer(request(1), hop, ledger, routes, epoch)
	if step.Keep {
		d.Keep(step, request(1), []byte("packet"))
	}
	return step
}

// A search ended at an agent whose server had crashed or hung: it returned nothing, and the
// agents behind it never got the packet.
func TestSearchGoesOnPastSilentServer(t *testing.T) {
	for _, status := range []tracker.Status{tracker.Ready, tracker.Silent, tracker.Unknown} {
		is := is.New(t)
		d := &Deliverer{}
		server := Server{Status: status, Service: "ledger"}
		step := d.FromPeer(request(1), walkHop(next), server, routes, epoch)
		is.Equal(step.Action, ToServer)
		is.True(step.Keep)
		d.Keep(step, request(1), []byte("packet"))
		overdue, ticks := tickUntilOverdue(d)
		is.Equal(ticks, returnTicks+1)
		is.Equal(len(overdue), 1)
		is.Equal(overdue[0].Step.Action, Forward)
		is.Equal(overdue[0].Step.To, next)
		is.True(!overdue[0].Step.Hop.Definite) // silence is no denial
		is.Equal(overdue[0].Step.Reason, ReasonServerUnresponsive)
		is.Equal(string(overdue[0].Packet), "packet")
		try(d, walkHop(next))
		_, ticks = tickUntilOverdue(d)
		is.Equal(ticks, 1) // the server is known to be silent
	}
}

// A balancer may have recorded an agent whose server only answered a copy of the flow's
// opening packet. It must learn that the packet got no further.
func TestSilentServerOfRecordedOwnerReturnsPacketToItsBalancer(t *testing.T) {
	is := is.New(t)
	d := &Deliverer{}
	try(d, gooseberrymast.Hop{Mode: gooseberrymast.HopDeliver, Origin: balancer})
	overdue, _ := tickUntilOverdue(d)
	is.Equal(overdue[0].Step.To, balancer)
	is.Equal(overdue[0].Step.Hop.Mode, gooseberrymast.HopReturn)
	is.True(!overdue[0].Step.Hop.Definite)

	d = &Deliverer{}
	d.FromPeer(opening(), placeHop(), ledger, routes, epoch)
	accepts := answer(0)
	accepts.Accepts, accepts.Sequence = true, 1000
	d.FromServer(accepts, epoch)
	elsewhere := request(1)
	elsewhere.Acknowledgement = 1 << 30
	step := d.FromPeer(elsewhere, walkHop(next), ledger, routes, epoch)
	is.True(step.Keep)
	is.True(step.Notify.IsZero()) // the flow is open at another server
	own := request(1)
	own.Acknowledgement = 1001
	step = d.FromPeer(own, walkHop(next), ledger, routes, epoch)
	is.True(!step.Keep)
	is.Equal(step.Notify, balancer)
}

// A server that works on a request sends nothing for the flow until it has the answer. It has
// not returned the packet before others that it has sent since, and so it holds the flow.
func TestServerThatSendsOtherPacketsIsNotSilent(t *testing.T) {
	is := is.New(t)
	d := &Deliverer{}
	try(d, walkHop(next))
	d.FromServer(gooseberrymast.PacketHeader{Source: address, Destination: endpoint("100.64.0.8:1"), Payload: 10}, epoch)
	overdue, _ := tickUntilOverdue(d)
	is.Equal(len(overdue), 0)
}

func TestReturnedPacketIsNotPassedOnTwice(t *testing.T) {
	is := is.New(t)
	d := &Deliverer{}
	returned := request(1)
	returned.Tag, returned.Returned = try(d, walkHop(next)).Tag, true
	is.Equal(d.HandleReturned(returned, epoch).To, next)
	overdue, _ := tickUntilOverdue(d)
	is.Equal(len(overdue), 0)

	d = &Deliverer{}
	returned.Tag = try(d, walkHop(next)).Tag
	overdue, _ = tickUntilOverdue(d)
	is.Equal(len(overdue), 1)
	is.Equal(d.HandleReturned(returned, epoch).Reason, ReasonNoTry) // it came late
}

// The balancer that waits for the end of a search learns the owner at once.
func TestOriginLearnsOwnerFromServersFirstPacket(t *testing.T) {
	is := is.New(t)
	d := &Deliverer{}
	try(d, walkHop(next))
	step := d.FromServer(answer(10), epoch)
	is.Equal(step.Event, FlowLearned)
	is.Equal(step.Notify, balancer)
}

// A copy of a request that the server had got while the agent didn't hold the flow counted as
// another request in progress, for good. After restarts agents refused new flows for it.
func TestCopyOfTriedRequestIsNoRequestInProgress(t *testing.T) {
	is := is.New(t)
	d := &Deliverer{}
	sent := request(5000)
	step := d.FromPeer(sent, walkHop(next), ledger, routes, epoch)
	d.Keep(step, sent, nil)
	received := answer(10)
	received.Acknowledgement = sent.Sequence + uint32(sent.Payload)
	is.Equal(d.FromServer(received, epoch).Event, FlowLearned)
	is.Equal(d.FromPeer(sent, walkHop(next), ledger, routes, epoch).Action, ToServer)
	_, busy := d.Load()
	is.Equal(busy, 0)
	sent.Sequence += uint32(sent.Payload)
	d.FromPeer(sent, walkHop(next), ledger, routes, epoch)
	_, busy = d.Load()
	is.Equal(busy, 1)
}

// The first two copies of an opening packet go to the same agent while it reports. With a
// silent server the flow opened only by the third one, after 600 ms.
func TestOpeningGoesOnPastSilentServer(t *testing.T) {
	is := is.New(t)
	d := &Deliverer{}
	is.Equal(d.FromPeer(opening(), placeHop(next), ledger, routes, epoch).Action, ToServer)
	duplicate := opening()
	duplicate.Copy = 1
	again := epoch.Add(2 * unansweredAfter)
	step := d.FromPeer(duplicate, placeHop(next), ledger, routes, again)
	is.Equal(step.To, next)
	is.True(!step.Hop.Definite)
	is.Equal(d.FromPeer(duplicate, placeHop(), ledger, routes, again).Action, ToServer) // nobody else is left

	is.True(d.HasUnansweredOpening(again))
	fresh := opening()
	fresh.Source.Port++
	is.Equal(d.FromPeer(fresh, placeHop(next), ledger, routes, again).Reason, ReasonServerUnresponsive)
	d.FromServer(answer(0), again)
	is.Equal(d.FromPeer(fresh, placeHop(next), ledger, routes, again).Action, ToServer)
	is.Equal(d.FromPeer(opening(), placeHop(next), ledger, routes, again.Add(time.Second)).Action, ToServer)
}

func TestKeptPacketsAreBounded(t *testing.T) {
	is := is.New(t)
	d := &Deliverer{}
	for range maxKept + 1 {
		try(d, walkHop(next))
	}
	overdue, _ := tickUntilOverdue(d)
	is.Equal(len(overdue), maxKept)
}
