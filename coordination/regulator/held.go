package regulator

import (
	"time"

	"gooseberrymast"
)

// Order is the order in which held flows of one rank are admitted.
type Order uint8

// The orders of held flows.
const (
	// OrderNewest admits the newest flow first: under lasting overload it is the one whose
	// request can still be answered in time.
	OrderNewest Order = iota
	// OrderOldest admits the oldest flow first.
	OrderOldest
)

const (
	// DefaultMaxHeld is the number of flows that are held: a little more than what a server
	// with 2 slots can serve in maxHold. With 4 more requests were refused (TestSurge).
	DefaultMaxHeld = 16
	// maxHold is the longest time for which a flow is held. It leaves time for a retry within
	// an objective of 250 ms: with 140 ms 0.014 of the requests on long flows were late, with
	// 80 ms 0.002, at the same number of answers in time (TestSurge). Without holds callers
	// were refused nearly twice as often. The caller sends its opening packet again after
	// 200 ms, long after the refusal is back at the balancer that placed the flow.
	maxHold = 80 * time.Millisecond
)

type heldFlow struct {
	offer gooseberrymast.FlowOffer
	rank  int
	at    time.Time
	until time.Time
}

func (r *Regulator) maxHeld() int {
	if r.MaxHeld == 0 {
		return DefaultMaxHeld
	}
	return r.MaxHeld
}

// holdUntil returns the time until which a flow may be held: the request that follows
// is to be answered within the route's objective.
func (r *Regulator) holdUntil(offer gooseberrymast.FlowOffer, now time.Time) time.Time {
	hold := maxHold
	if objective := offer.Route.Objective; objective > 0 {
		// Once released, the request has about as much work before it as now.
		hold = min(hold, objective-answerMargin-r.work().Cost(offer.Key.Service)-r.wait(now))
	}
	return now.Add(hold)
}

// Hold implements gooseberrymast.AdmissionGate.
func (r *Regulator) Hold(offer gooseberrymast.FlowOffer, now time.Time) (evicted gooseberrymast.FlowKey, full bool) {
	r.Unhold(offer.Key)
	rank := routeRank(offer.Route, offer.HasRoute)
	if r.ranked == offer.Key {
		rank = r.rankedRank
	}
	r.held = append(r.held, heldFlow{offer, rank, now, r.holdUntil(offer, now)})
	if len(r.held) <= r.maxHeld() {
		return gooseberrymast.FlowKey{}, false
	}
	last := 0
	for i := range r.held {
		if r.before(r.held[last], r.held[i]) {
			last = i
		}
	}
	evicted = r.held[last].offer.Key
	r.recordRefused(evicted, now)
	r.removeHeld(last)
	return evicted, true
}

// Unhold implements gooseberrymast.AdmissionGate.
func (r *Regulator) Unhold(key gooseberrymast.FlowKey) {
	for i := range r.held {
		if r.held[i].offer.Key == key {
			r.removeHeld(i)
			return
		}
	}
}

// Release implements gooseberrymast.AdmissionGate. It admits one flow at most, since the
// decision on the next one depends on it; the caller repeats the call until nothing is
// released.
func (r *Regulator) Release(now time.Time) []gooseberrymast.HeldDecision {
	if len(r.held) == 0 {
		return nil
	}
	r.latest = now
	r.dropExpected(now)
	var released []gooseberrymast.HeldDecision
	for i := 0; i < len(r.held); {
		if h := r.held[i]; !now.Before(h.until) {
			r.recordRefused(h.offer.Key, now)
			released = append(released, gooseberrymast.HeldDecision{Key: h.offer.Key, Decision: gooseberrymast.GateDecision{
				Verdict: gooseberrymast.GatePassOn, Reason: string(ReasonHoldEnded), Definite: true,
			}})
			r.removeHeld(i)
			continue
		}
		i++
	}
	first := -1
	for i := range r.held {
		if (first < 0 || r.before(r.held[i], r.held[first])) && r.refusal(r.held[i].offer, r.held[i].rank, now) == "" {
			first = i
		}
	}
	if first >= 0 {
		released = append(released, gooseberrymast.HeldDecision{Key: r.held[first].offer.Key})
		r.removeHeld(first)
	}
	return released
}

// before reports whether left is admitted before right.
func (r *Regulator) before(left, right heldFlow) bool {
	if left.rank != right.rank {
		return left.rank < right.rank
	}
	if r.Order == OrderOldest {
		return left.at.Before(right.at)
	}
	return left.at.After(right.at)
}

// heldBefore reports whether a held flow goes before a new one of the given rank.
func (r *Regulator) heldBefore(rank int) bool {
	for _, h := range r.held {
		if h.rank < rank || h.rank == rank && r.Order == OrderOldest {
			return true
		}
	}
	return false
}

func (r *Regulator) removeHeld(i int) {
	r.held = append(r.held[:i], r.held[i+1:]...)
}
