// Package regulator decides at an agent which new flows its backend server gets while
// demand exceeds capacity.
//
// Load pattern: a traffic surge of 1.4 times the capacity for some seconds, in which open
// flows go on bringing requests, callers retry what was refused on new flows, and a
// server that is full sheds: only the agent sees all requests of its server, and its
// refusal of a flow costs neither the server nor the caller's deadline.
package regulator

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/retrier"
)

// AdmissionPrefix is the prefix of every reason.
const AdmissionPrefix = "admission-"

// Reason says why a flow is not admitted at once.
type Reason string

// The reasons of decisions.
const (
	// ReasonQueueFull: the server would shed the request, or one on an open flow.
	ReasonQueueFull Reason = "admission-queue-full"
	// ReasonQueueing: the request would wait for a whole service time, and another
	// candidate may have a free slot.
	ReasonQueueing Reason = "admission-queueing"
	// ReasonTooLate: the answer would be later than the route's objective.
	ReasonTooLate Reason = "admission-too-late"
	// ReasonReserved: the server's capacity is needed for requests on open flows.
	ReasonReserved Reason = "admission-reserved"
	// ReasonBehindHeld: flows that rank before this one are held.
	ReasonBehindHeld Reason = "admission-behind-held"
	// ReasonHoldEnded: the flow was held for as long as its objective allows.
	ReasonHoldEnded Reason = "admission-hold-ended"
)

const (
	// assumedQueue is the number of requests that a server queues, as both customers' do.
	// A server that sheds earlier lowers the bound.
	assumedQueue = 8
	// shedRecovery is the time in which a bound that was lowered because the server shed
	// rises by one.
	shedRecovery = 500 * time.Millisecond
	// passOnPerSlot is the number of requests for each slot from which a flow is passed on
	// while candidates are left, as without the gate.
	passOnPerSlot = 2
	// answerMargin is the time between the arrival of an opening packet and that of its
	// request, plus the way of the answer: two round trips between distant zones.
	answerMargin = 15 * time.Millisecond
	// firstRequestTimeout is the time after which an admitted flow's first request no
	// longer counts as expected: four times the longest round trip.
	firstRequestTimeout = 40 * time.Millisecond
	// maxExpected bounds the admitted flows whose first request is expected.
	maxExpected = 256
)

// The ranks of flows: those with a lower rank go first.
const (
	rankFirst = iota
	rankNormal
	rankLast
)

// Regulator decides on the new flows of one server. It implements
// gooseberrymast.AdmissionGate; its calls must be serialized. The zero value is ready.
type Regulator struct {
	// Work estimates the server's work; nil estimates it from counts of requests.
	Work gooseberrymast.WorkEstimator
	// Order is the order in which held flows of one rank are admitted.
	Order Order
	// MaxHeld is the number of flows that may be held; zero means DefaultMaxHeld, and a
	// negative number none.
	MaxHeld int

	// ranked is the latest offer that was ranked, and its rank: Hold follows Decide.
	ranked     gooseberrymast.FlowKey
	rankedRank int
	// latest is the time of the latest event.
	latest time.Time
	counts counts
	// expected holds the admitted flows whose first request has not begun.
	expected []expectedRequest
	routes   []*routeState
	held     []heldFlow
	zones    shares[string]
	callers  shares[uint32]
	retries  retrier.Budget
	// refused holds the addresses whose flow or request was refused lately.
	refused map[[4]byte]time.Time
	// shedBound is the number of requests at which the server shed at shedAt; zero if
	// it has not.
	shedBound int
	shedAt    time.Time
}

type expectedRequest struct {
	key gooseberrymast.FlowKey
	at  time.Time
}

func (r *Regulator) work() gooseberrymast.WorkEstimator {
	if r.Work != nil {
		return r.Work
	}
	return &r.counts
}

// Decide implements gooseberrymast.FlowGate.
func (r *Regulator) Decide(offer gooseberrymast.FlowOffer, now time.Time) gooseberrymast.GateDecision {
	r.latest, r.counts.slots = now, offer.Slots
	if offer.Slots == 0 {
		return gooseberrymast.GateDecision{}
	}
	r.dropExpected(now)
	rank := r.rankOffer(offer, now)
	reason := r.refusal(offer, rank, now)
	if reason == "" && r.heldBefore(rank) {
		reason = ReasonBehindHeld
	}
	if reason == "" {
		return gooseberrymast.GateDecision{}
	}
	if offer.Last && offer.Copy == 0 && r.maxHeld() > 0 && r.holdUntil(offer, now).After(now) {
		return gooseberrymast.GateDecision{Verdict: gooseberrymast.GateHold, Reason: string(reason), Definite: true}
	}
	if offer.Last {
		r.recordRefused(offer.Key, now)
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
		state.demand.add(1, now, ratePeriod)
	}
}

// refusal returns the reason for which a flow can't be admitted now, or "".
func (r *Regulator) refusal(offer gooseberrymast.FlowOffer, rank int, now time.Time) Reason {
	work, address := r.work(), offer.Key.Service
	open := r.openLoad(now)
	if state := r.route(address); state.long(now) {
		further := state.furtherRate(now) * work.Cost(address).Seconds() / float64(r.counts.slots)
		if open+further > r.openLoadLimit(min(rank, state.rank), now) {
			return ReasonReserved
		}
	}
	requests := len(r.counts.requests) + len(r.expected)
	if requests >= r.bound(rank, open, now) {
		return ReasonQueueFull
	}
	if !offer.Last && requests >= passOnPerSlot*r.counts.slots {
		return ReasonQueueing
	}
	if objective := offer.Route.Objective; objective > 0 {
		if r.wait(now)+work.Cost(address)+answerMargin > objective {
			return ReasonTooLate
		}
	}
	return ""
}

// wait returns the expected wait for a slot behind the requests in progress and the
// first requests that are expected.
func (r *Regulator) wait(now time.Time) time.Duration {
	wait := r.work().Wait(now)
	for _, expected := range r.expected {
		wait += r.work().Cost(expected.key.Service) / time.Duration(r.counts.slots)
	}
	return wait
}

// bound returns the number of requests, in progress and expected, from which a flow of a
// rank is refused. The first rank leaves the few places free that requests on open flows
// may take until its own request arrives, even if open flows fill the queue. Each other
// rank leaves two more places free than the one before it, so that the demand of one
// rank never takes the places of those before it.
func (r *Regulator) bound(rank int, openLoad float64, now time.Time) int {
	const placesPerRank = 2
	slots := r.counts.slots
	limit := slots + assumedQueue
	if r.shedBound > 0 {
		limit = min(limit, r.shedBound+int(now.Sub(r.shedAt)/shedRecovery))
	}
	if rank == rankFirst {
		return limit - min(headroom(openLoad), maxFirstHeadroom)
	}
	// The least bounds still differ by rank, and keep every slot in use.
	return max(limit-headroom(openLoad)-placesPerRank*rank, slots+1)
}

// maxFirstHeadroom is the number of places that flows of the first rank leave free: in the
// 2 to 10 ms until their request arrives, a server with 2 slots gets one or two others.
// With 4 the requests of such flows lost more than half the share of others in one run of
// three in which open flows alone needed more than the slots.
const maxFirstHeadroom = 3

// rankOffer counts an offer and returns its rank. A route that gets less than its least
// share goes first. So do flows of requests that may not run twice, and copies, whose
// callers have waited for 200 ms. Others follow by priority; what exceeds a fair share
// or the budget for retries goes one rank later.
func (r *Regulator) rankOffer(offer gooseberrymast.FlowOffer, now time.Time) int {
	r.zones.offer(offer.Zone, now)
	r.callers.offer(callerNumber(offer), now)
	rank := routeRank(offer.Route, offer.HasRoute)
	state := r.route(offer.Key.Service)
	if state != nil {
		state.rank = rank
	}
	if offer.Copy > 0 {
		rank = rankFirst
	}
	if r.overBudget(offer, now) || r.zones.exceeds(offer.Zone, now) || r.callers.exceeds(callerNumber(offer), now) {
		rank = min(rank+1, rankLast)
	} else if r.starved(state, now) {
		rank = rankFirst
	}
	r.ranked, r.rankedRank = offer.Key, rank
	return rank
}

// firstPriority is the lowest priority of the routes that go first; both customers give
// their requests that may not run twice priority 1.
const firstPriority = 1

func routeRank(route gooseberrymast.Route, known bool) int {
	if known && (!route.Idempotent || route.Priority <= firstPriority) {
		return rankFirst
	}
	return rankNormal
}

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

// removeExpected removes a flow's expected request and reports whether there was one.
func (r *Regulator) removeExpected(key gooseberrymast.FlowKey) bool {
	for i, expected := range r.expected {
		if expected.key == key {
			r.expected = append(r.expected[:i], r.expected[i+1:]...)
			return true
		}
	}
	return false
}
