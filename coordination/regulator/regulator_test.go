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

// fakeWork is a server whose requests each take 15 ms in one of two slots.
type fakeWork struct{ requests int }

func (w *fakeWork) Wait(time.Time) time.Duration {
	return time.Duration(max(0, w.requests-1)) * 15 * time.Millisecond / 2
}
func (w *fakeWork) Cost(gooseberrymast.Endpoint) time.Duration { return 15 * time.Millisecond }

func offerOf(key gooseberrymast.FlowKey, inProgress int) gooseberrymast.FlowOffer {
	return gooseberrymast.FlowOffer{
		Key: key, HasRoute: true, Last: true, Slots: 2, InProgress: inProgress,
		Route: gooseberrymast.Route{Address: key.Service, Idempotent: true, Priority: 2, Objective: 250 * time.Millisecond},
	}
}

// Each verdict and its reason must follow from the state of the server alone.
func TestDecide(t *testing.T) {
	urgent := func(o *gooseberrymast.FlowOffer) { o.Route.Idempotent = false }
	tests := []struct {
		name     string
		requests int
		adapt    func(*Regulator, *gooseberrymast.FlowOffer)
		want     Reason
	}{
		{"a free slot", 1, nil, ""},
		{"one waits", 3, nil, ""},
		{"one waits for each slot", 4, nil, ReasonQueueFull},
		{"others may have a free slot, and it may not run twice", 4, func(_ *Regulator, o *gooseberrymast.FlowOffer) {
			urgent(o)
			o.Last = false
		}, ReasonQueueing},
		{"no other is left, and it may not run twice", 9, func(_ *Regulator, o *gooseberrymast.FlowOffer) { urgent(o) }, ""},
		{"the server would shed it", 10, func(_ *Regulator, o *gooseberrymast.FlowOffer) { urgent(o) }, ReasonQueueFull},
		{"an urgent route", 9, func(_ *Regulator, o *gooseberrymast.FlowOffer) { o.Route.Priority = 0 }, ""},
		{"a caller's copy", 9, func(_ *Regulator, o *gooseberrymast.FlowOffer) { o.Copy = 1 }, ""},
		{"no time to answer", 6, func(_ *Regulator, o *gooseberrymast.FlowOffer) {
			urgent(o)
			o.Route.Objective = 30 * time.Millisecond
		}, ReasonTooLate},
		{"the slots are unknown", 10, func(_ *Regulator, o *gooseberrymast.FlowOffer) { o.Slots = 0 }, ""},
		{"first requests are expected", 1, func(r *Regulator, _ *gooseberrymast.FlowOffer) {
			for i := range 3 {
				r.Taken(offerOf(flow(8, i+1), 1), epoch)
			}
		}, ReasonQueueFull},
		{"a first request has come", 1, func(r *Regulator, _ *gooseberrymast.FlowOffer) {
			for i := range 3 {
				r.Taken(offerOf(flow(8, i+1), 1), epoch)
			}
			r.RequestBegan(flow(8, 1))
			r.FlowClosed(flow(8, 2))
		}, ""},
		{"first requests never came", 1, func(r *Regulator, _ *gooseberrymast.FlowOffer) {
			for i := range 9 {
				r.Taken(offerOf(flow(8, i+1), 1), epoch.Add(-firstRequestTimeout))
			}
		}, ""},
		{"the server has shed at three requests", 3, func(r *Regulator, o *gooseberrymast.FlowOffer) {
			urgent(o)
			r.slots = 2
			r.RequestShed(3, epoch)
		}, ReasonQueueFull},
		{"it shed at three requests long ago", 3, func(r *Regulator, o *gooseberrymast.FlowOffer) {
			urgent(o)
			r.slots = 2
			r.RequestShed(3, epoch.Add(-shedRecovery))
		}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r, offer := &Regulator{Work: &fakeWork{test.requests}}, offerOf(flow(1, 1), test.requests)
			if test.adapt != nil {
				test.adapt(r, &offer)
			}
			got := r.Decide(offer, epoch)
			is.Equal(got.Reason, string(test.want))
			is.Equal(got.Verdict == gooseberrymast.GatePassOn, test.want != "")
			is.Equal(got.Definite, test.want != "") // the packet is not delivered later
		})
	}
}

// What the gate keeps must stay bounded, whatever callers and routes there are.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	r := &Regulator{Work: &fakeWork{}}
	for i := range 5000 {
		at := epoch.Add(time.Duration(i) * 100 * time.Microsecond)
		key := flow(i, 1+i)
		key.Service.Port = uint16(1 + i%500)
		offer := offerOf(key, 0)
		offer.Zone = string(rune('a' + i%1000))
		r.Decide(offer, at)
		r.Taken(offer, at)
	}
	is.True(len(r.routes) <= maxRoutes)
	is.True(len(r.callers.sources) <= maxSources)
	is.True(len(r.zones.sources) <= maxSources)
	is.True(len(r.expected) <= maxExpected)
}

// BenchmarkDecide measures a decision on a flow at a full server, with as many callers and
// routes as have state of their own.
func BenchmarkDecide(b *testing.B) {
	r := &Regulator{Work: &fakeWork{10}}
	for i := range maxSources {
		offer := offerOf(flow(i, 1), 10)
		offer.Key.Service.Port = uint16(1 + i%maxRoutes)
		r.Decide(offer, epoch)
		r.Taken(offer, epoch)
	}
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		offer := offerOf(flow(i%(2*maxSources), 1), 10)
		offer.Last = false
		r.Decide(offer, now)
	}
}
