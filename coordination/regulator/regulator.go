// Package regulator decides at an agent which new flows its backend server gets while
// demand exceeds capacity.
//
// Load pattern: a traffic surge of 1.4 times the capacity for some seconds, in which open
// flows go on bringing requests, callers retry what was refused on new flows, and a
// server that is full sheds. Most new flows of such a surge are retries. A server that
// takes them has no place left for the first attempts that arrive on open flows, whose
// answers would still be on time, so the agent refuses new flows well before the server
// sheds. A refusal costs neither the server nor the caller's deadline.
package regulator

import (
	"time"

	"gooseberrymast"
)

// AdmissionPrefix is the prefix of every reason.
const AdmissionPrefix = "admission-"

// Reason says why a flow is not admitted.
type Reason string

// The reasons of decisions.
const (
	// ReasonQueueFull: the server has as many requests as flows of this rank may add to.
	ReasonQueueFull Reason = "admission-queue-full"
	// ReasonQueueing: the request would wait here, and another candidate may have a free
	// slot.
	ReasonQueueing Reason = "admission-queueing"
	// ReasonTooLate: the answer would be later than the route's objective.
	ReasonTooLate Reason = "admission-too-late"
)

const (
	// assumedQueue is the number of requests that a server queues, as both customers' do.
	// A server that sheds earlier lowers the bound.
	assumedQueue = 8
	// shedRecovery is the time in which a bound that was lowered because the server shed
	// rises by one.
	shedRecovery = 500 * time.Millisecond
	// answerMargin is the time between the arrival of an opening packet and that of its
	// request, plus the way of the answer: two round trips between distant zones.
	answerMargin = 15 * time.Millisecond
	// firstRequestTimeout is the time after which an admitted flow's first request no
	// longer counts as expected: four times the longest round trip.
	firstRequestTimeout = 40 * time.Millisecond
	// maxExpected bounds the admitted flows whose first request is expected.
	maxExpected = 256
	// normalPerSlot is the number of requests per slot from which a flow of the normal
	// rank is refused: one in the slot and one that waits. The rest of the queue is left
	// to requests on open flows, which nobody can refuse, and to the first rank.
	normalPerSlot = 2
)

// The ranks of flows: those with a lower rank may fill more of the server's queue.
const (
	rankFirst = iota
	rankNormal
	rankLast
)

// Regulator decides on the new flows of one server. It implements
// gooseberrymast.AdmissionGate; its calls must be serialized. Work must be set before use.
type Regulator struct {
	// Work estimates the server's work.
	Work gooseberrymast.WorkEstimator

	// slots is the latest known number of the server's slots.
	slots int
	// expected holds the admitted flows whose first request has not begun.
	expected []expectedRequest
	routes   []*routeState
	zones    shares[string]
	callers  shares[uint32]
	// shedBound is the number of requests at which the server shed at shedAt; zero if
	// it has not.
	shedBound int
	shedAt    time.Time
}

type expectedRequest struct {
	key gooseberrymast.FlowKey
	at  time.Time
}

// Decide implements gooseberrymast.FlowGate.
func (r *Regulator) Decide(offer gooseberrymast.FlowOffer, now time.Time) gooseberrymast.GateDecision {
	if offer.Slots == 0 {
		return gooseberrymast.GateDecision{}
	}
	r.slots = offer.Slots
	r.dropExpected(now)
	reason := r.refusal(offer, r.rankOffer(offer, now), now)
	if reason == "" {
		return gooseberrymast.GateDecision{}
	}
	return gooseberrymast.GateDecision{Verdict: gooseberrymast.GatePassOn, Reason: string(reason), Definite: true}
}

// Taken implements gooseberrymast.FlowGate.
func (r *Regulator) Taken(offer gooseberrymast.FlowOffer, now time.Time) {
	if len(r.expected) < maxExpected {
		r.expected = append(r.expected, expectedRequest{offer.Key, now})
	}
	r.zones.admit(offer.Zone, now)
	r.callers.admit(callerNumber(offer), now)
	if state := r.route(offer.Key.Service); state != nil {
		state.admitted.add(1, now, sharePeriod)
	}
}

// FlowClosed implements gooseberrymast.AdmissionGate.
func (r *Regulator) FlowClosed(key gooseberrymast.FlowKey) {
	r.removeExpected(key)
}

// RequestBegan implements gooseberrymast.AdmissionGate.
func (r *Regulator) RequestBegan(key gooseberrymast.FlowKey) {
	r.removeExpected(key)
}

// RequestShed implements gooseberrymast.AdmissionGate.
func (r *Regulator) RequestShed(inProgress int, now time.Time) {
	if r.slots > 0 {
		// Some requests may have been answered since the server shed this one.
		r.shedBound, r.shedAt = max(r.slots, inProgress), now
	}
}

// State implements gooseberrymast.AdmissionGate.
func (r *Regulator) State(now time.Time) gooseberrymast.AdmissionState {
	return gooseberrymast.AdmissionState{Wait: r.wait(now), Expected: len(r.expected)}
}

// refusal returns the reason for which a flow isn't admitted, or "".
func (r *Regulator) refusal(offer gooseberrymast.FlowOffer, rank int, now time.Time) Reason {
	requests := offer.InProgress + len(r.expected)
	if requests >= r.bound(rank, now) {
		return ReasonQueueFull
	}
	if !offer.Last && requests >= normalPerSlot*r.slots {
		return ReasonQueueing
	}
	if objective := offer.Route.Objective; objective > 0 && r.wait(now)+r.Work.Cost(offer.Key.Service)+answerMargin > objective {
		return ReasonTooLate
	}
	return ""
}

// wait returns the expected wait for a slot behind the requests in progress and the
// first requests that are expected.
func (r *Regulator) wait(now time.Time) time.Duration {
	wait := r.Work.Wait(now)
	for _, expected := range r.expected {
		wait += r.Work.Cost(expected.key.Service) / time.Duration(max(1, r.slots))
	}
	return wait
}

// bound returns the number of requests, in progress and expected, from which a flow of a
// rank is refused. The last rank still gets a slot that is free, and one place behind.
func (r *Regulator) bound(rank int, now time.Time) int {
	limit := r.slots + assumedQueue
	if r.shedBound > 0 {
		limit = min(limit, r.shedBound+int(now.Sub(r.shedAt)/shedRecovery))
	}
	switch rank {
	case rankFirst:
		return limit
	case rankNormal:
		return min(limit, normalPerSlot*r.slots)
	}
	return min(limit, r.slots+1)
}

// rankOffer counts an offer and returns its rank. Flows of requests that may not run twice
// and of urgent routes go first, and so do copies, whose callers have waited for 200 ms,
// and a route that gets less than its least share. What exceeds a fair share goes one
// rank later.
func (r *Regulator) rankOffer(offer gooseberrymast.FlowOffer, now time.Time) int {
	r.zones.offer(offer.Zone, now)
	r.callers.offer(callerNumber(offer), now)
	rank := rankNormal
	if offer.Copy > 0 || offer.HasRoute && (!offer.Route.Idempotent || offer.Route.Priority <= firstPriority) {
		rank = rankFirst
	}
	if r.zones.exceeds(offer.Zone, now) || r.callers.exceeds(callerNumber(offer), now) {
		return min(rank+1, rankLast)
	}
	if r.starved(r.route(offer.Key.Service), now) {
		return rankFirst
	}
	return rank
}

// firstPriority is the lowest priority of the routes that go first; both customers give
// their requests that may not run twice priority 1.
const firstPriority = 1

// dropExpected drops the first requests that have not come in time.
func (r *Regulator) dropExpected(now time.Time) {
	kept := r.expected[:0]
	for _, expected := range r.expected {
		if now.Sub(expected.at) < firstRequestTimeout {
			kept = append(kept, expected)
		}
	}
	r.expected = kept
}

// removeExpected removes a flow's expected request.
func (r *Regulator) removeExpected(key gooseberrymast.FlowKey) {
	for i, expected := range r.expected {
		if expected.key == key {
			r.expected = append(r.expected[:i], r.expected[i+1:]...)
			return
		}
	}
}
