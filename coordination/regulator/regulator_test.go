package regulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var epoch = time.Unix(1000, 0)

func flow(caller, port int) gooseberrymast.FlowKey {
	return gooseberrymast.FlowKey{
		Caller:  gooseberrymast.Endpoint{IP: [4]byte{100, 64, byte(caller >> 8), byte(caller)}, Port: uint16(port)},
		Service: gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
}

func offerOf(key gooseberrymast.FlowKey) gooseberrymast.FlowOffer {
	return gooseberrymast.FlowOffer{
		Key: key, HasRoute: true, Last: true, Slots: 2,
		Route: gooseberrymast.Route{Address: key.Service, Idempotent: true, Priority: 2, Objective: 250 * time.Millisecond},
	}
}

// fill begins requests, each on a flow of its own.
func fill(r *Regulator, requests int) {
	r.counts.slots = 2
	for i := range requests {
		r.RequestBegan(flow(9, 1000+i), epoch)
	}
}

// Each verdict and its reason must follow from the state of the server alone.
func TestDecide(t *testing.T) {
	slow := gooseberrymast.Route{Idempotent: false, Objective: 30 * time.Millisecond}
	tests := []struct {
		name     string
		requests int
		adapt    func(*Regulator, *gooseberrymast.FlowOffer)
		want     gooseberrymast.GateVerdict
		reason   Reason
	}{
		{"a free slot", 1, nil, gooseberrymast.GateAdmit, ""},
		{"a server's own queue is used", 4, nil, gooseberrymast.GateAdmit, ""},
		{"a queue, and others may have a free slot", 4, func(_ *Regulator, o *gooseberrymast.FlowOffer) { o.Last = false }, gooseberrymast.GatePassOn, ReasonQueueing},
		{"a full queue", 10, nil, gooseberrymast.GateHold, ReasonQueueFull},
		{"other candidates are left", 10, func(_ *Regulator, o *gooseberrymast.FlowOffer) { o.Last = false }, gooseberrymast.GatePassOn, ReasonQueueFull},
		{"a caller's copy is not held", 10, func(_ *Regulator, o *gooseberrymast.FlowOffer) { o.Copy = 1 }, gooseberrymast.GatePassOn, ReasonQueueFull},
		{"holding is off", 10, func(r *Regulator, _ *gooseberrymast.FlowOffer) { r.MaxHeld = -1 }, gooseberrymast.GatePassOn, ReasonQueueFull},
		{"no time to hold", 6, func(_ *Regulator, o *gooseberrymast.FlowOffer) { o.Route = slow }, gooseberrymast.GatePassOn, ReasonTooLate},
		{"the slots are unknown", 10, func(_ *Regulator, o *gooseberrymast.FlowOffer) { o.Slots = 0 }, gooseberrymast.GateAdmit, ""},
		{"others that go first are held", 1, func(r *Regulator, _ *gooseberrymast.FlowOffer) {
			r.held = []heldFlow{{rank: rankFirst, at: epoch, until: epoch.Add(time.Second)}}
		}, gooseberrymast.GateHold, ReasonBehindHeld},
		{"first requests are expected", 1, func(r *Regulator, _ *gooseberrymast.FlowOffer) {
			for i := range 9 {
				r.Taken(offerOf(flow(8, i+1)), epoch)
			}
		}, gooseberrymast.GateHold, ReasonQueueFull},
		{"first requests never came", 1, func(r *Regulator, _ *gooseberrymast.FlowOffer) {
			for i := range 9 {
				r.Taken(offerOf(flow(8, i+1)), epoch.Add(-firstRequestTimeout))
			}
		}, gooseberrymast.GateAdmit, ""},
		{"the server has shed at three requests", 3, func(r *Regulator, _ *gooseberrymast.FlowOffer) {
			r.RequestShed(flow(9, 1), epoch)
		}, gooseberrymast.GateHold, ReasonQueueFull},
		{"it shed at three requests long ago", 3, func(r *Regulator, _ *gooseberrymast.FlowOffer) {
			r.RequestShed(flow(9, 1), epoch.Add(-7*shedRecovery))
		}, gooseberrymast.GateAdmit, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r, offer := &Regulator{}, offerOf(flow(1, 1))
			fill(r, test.requests)
			if test.adapt != nil {
				test.adapt(r, &offer)
			}
			got := r.Decide(offer, epoch)
			is.Equal(got.Verdict, test.want)
			is.Equal(got.Reason, string(test.reason))
			is.Equal(got.Definite, test.want != gooseberrymast.GateAdmit) // the packet is not delivered later
		})
	}
}

// Flows that exceed the budget for retries must go after others, and no more of them than
// the budget allows may count as first attempts.
func TestRetriesBeyondBudgetGoLast(t *testing.T) {
	is := is.New(t)
	r := &Regulator{}
	fill(r, 10)
	ranks := map[int]int{}
	for i := range 40 {
		offer := offerOf(flow(1, 1+i))
		offer.Copy, offer.Route.Idempotent = 0, false
		r.MaxHeld = -1
		r.Decide(offer, epoch)
		ranks[r.rankedRank]++
	}
	// The first one is no retry; ten retries are saved up.
	is.Equal(ranks[rankFirst], 11)
	is.Equal(ranks[rankNormal], 29)
	r.Decide(offerOf(flow(2, 1)), epoch)
	is.Equal(r.rankedRank, rankNormal) // another address is no retry
	late := offerOf(flow(1, 99))
	r.Decide(late, epoch.Add(retryWindow+time.Millisecond))
	is.Equal(r.rankedRank, rankNormal) // nor is a flow long after the refusal
}

// The held flow that goes first is released once there is room, one for each place, and
// none is held for longer than its objective and the caller's timeout allow.
func TestReleaseOrderAndEnd(t *testing.T) {
	is := is.New(t)
	r := &Regulator{}
	fill(r, 10)
	hold := func(port int, idempotent bool, at time.Time) {
		offer := offerOf(flow(1, port))
		offer.Route.Idempotent = idempotent
		is.Equal(r.Decide(offer, at).Verdict, gooseberrymast.GateHold)
		_, full := r.Hold(offer, at)
		is.True(!full)
	}
	hold(1, true, epoch)
	hold(2, false, epoch.Add(time.Millisecond))
	hold(3, true, epoch.Add(2*time.Millisecond))
	at := epoch.Add(3 * time.Millisecond)
	is.Equal(len(r.Release(at)), 0) // the server is still full
	var order []uint16
	for i := range 10 {
		r.RequestEnded(flow(9, 1000+i), at)
		for _, decision := range r.Release(at) {
			is.Equal(decision.Decision.Verdict, gooseberrymast.GateAdmit)
			order = append(order, decision.Key.Caller.Port)
		}
	}
	is.Equal(order, []uint16{2, 3, 1}) // by rank, then the newest first
	r = &Regulator{}
	fill(r, 10)
	hold(4, true, epoch)
	is.Equal(len(r.Release(epoch.Add(maxHold-time.Millisecond))), 0)
	ended := r.Release(epoch.Add(maxHold))
	is.Equal(len(ended), 1)
	is.Equal(ended[0].Decision, gooseberrymast.GateDecision{Verdict: gooseberrymast.GatePassOn, Reason: string(ReasonHoldEnded), Definite: true})
	is.Equal(len(r.held), 0)
}

// When too many flows are held, the one that goes last gives way.
func TestTooManyHeldFlows(t *testing.T) {
	is := is.New(t)
	r := &Regulator{MaxHeld: 2}
	fill(r, 10)
	for port := 1; port <= 3; port++ {
		offer := offerOf(flow(1, port))
		offer.Route.Idempotent = port == 2
		at := epoch.Add(time.Duration(port) * time.Millisecond)
		r.Decide(offer, at)
		evicted, full := r.Hold(offer, at)
		is.Equal(full, port == 3)
		if full {
			is.Equal(evicted, flow(1, 2)) // its request may run twice
		}
	}
	is.Equal(len(r.held), 2)
}

// What the gate keeps must stay bounded, whatever callers and routes there are.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	r := &Regulator{}
	for i := range 5000 {
		at := epoch.Add(time.Duration(i) * 100 * time.Microsecond)
		key := flow(i, 1+i)
		key.Service.Port = uint16(1 + i%500)
		offer := offerOf(key)
		offer.Zone = string(rune('a' + i%1000))
		switch r.Decide(offer, at).Verdict {
		case gooseberrymast.GateAdmit:
			r.Taken(offer, at)
		case gooseberrymast.GateHold:
			r.Hold(offer, at)
		}
		r.FlowOpened(key, at)
		r.RequestBegan(key, at)
	}
	is.True(len(r.routes) <= maxRoutes)
	is.True(len(r.callers.sources) <= maxSources)
	is.True(len(r.zones.sources) <= maxSources)
	is.True(len(r.refused) <= maxRefused)
	is.True(len(r.expected) <= maxExpected)
	is.True(len(r.held) <= DefaultMaxHeld)
	is.True(len(r.counts.requests) <= maxInProgress)
	for i := range 5000 {
		key := flow(i, 1+i)
		key.Service.Port = uint16(1 + i%500)
		r.FlowClosed(key)
	}
	is.Equal(len(r.counts.requests), 0)
}

// The time in a slot must not include the wait for it, nor the answer to a request that
// was shed, or the gate takes a crowded server for a slow one.
func TestCostIsTimeInSlot(t *testing.T) {
	is := is.New(t)
	r := &Regulator{}
	r.counts.slots = 1
	for round := range 50 {
		at := epoch.Add(time.Duration(round) * time.Second)
		for i := range 4 {
			r.RequestBegan(flow(1, 1+i), at)
		}
		r.RequestBegan(flow(1, 9), at)
		r.RequestEnded(flow(1, 9), at.Add(time.Millisecond)) // shed
		for i := range 4 {
			r.RequestEnded(flow(1, 1+i), at.Add(time.Duration(i+1)*20*time.Millisecond))
		}
	}
	is.Equal(r.work().Cost(flow(1, 1).Service).Round(time.Millisecond), 20*time.Millisecond)
	fill(r, 3)
	r.counts.slots = 1
	is.Equal(r.work().Wait(epoch).Round(time.Millisecond), 60*time.Millisecond)
}

// BenchmarkDecide measures a decision on a flow at a full server, with as many callers and
// routes as have state of their own.
func BenchmarkDecide(b *testing.B) {
	r := &Regulator{}
	for i := range maxSources {
		offer := offerOf(flow(i, 1))
		offer.Key.Service.Port = uint16(1 + i%maxRoutes)
		r.Decide(offer, epoch)
		r.Taken(offer, epoch)
	}
	fill(r, 10)
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		offer := offerOf(flow(i%(2*maxSources), 1))
		offer.Last = false
		r.Decide(offer, now)
	}
}
