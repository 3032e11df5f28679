package regulator

import (
	"math"
	"time"

	"gooseberrymast"
)

const (
	// maxRoutes bounds the routes with state of their own; the others count as routes
	// whose flows carry one request.
	maxRoutes = 64
	// ratePeriod is the period of the rates of requests and offers: a surge shows within
	// half a second, of some 70 requests at one server.
	ratePeriod = 500 * time.Millisecond
	// longFlowRequests is the mean number of further requests on a flow from which a
	// route's flows are long.
	longFlowRequests = 0.5
	// maxOpenLoad is the share of the slots that the requests on open flows are to need at
	// most: open flows are spread unevenly, and where they need more than the slots the gate
	// can do nothing. At 1 servers shed 0.10 of the arrivals, at 0.85 still 0.06 to 0.07
	// (TestSurgeOfTwoLongRoutes), at 0.76 0.046 in the mean of 16 runs.
	maxOpenLoad = 0.76
	// openLoadPerRank is the share that each rank of long flows leaves to those before it.
	openLoadPerRank = 0.04
	// maxReserved is the share of the slots that is kept from long flows for flows that
	// carry one request each and rank before them.
	maxReserved = 0.5
)

// routeState is what is known of the flows of one route.
type routeState struct {
	address gooseberrymast.Endpoint
	// open is the number of open flows.
	open int
	// opened and further count the flows that opened and their requests after the first;
	// flowSeconds is the time for which flows were open.
	opened, further, flowSeconds decayed
	flowSecondsAt                time.Time
	// admitted counts the flows that were admitted; demand adds those that this agent
	// refused as the last candidate, so that each attempt of a caller counts once.
	admitted, demand decayed
	rank             int
}

// route returns the state of a route, or nil if there are too many.
func (r *Regulator) route(address gooseberrymast.Endpoint) *routeState {
	for _, state := range r.routes {
		if state.address == address {
			return state
		}
	}
	if len(r.routes) >= maxRoutes {
		return nil
	}
	state := &routeState{address: address, rank: rankNormal}
	r.routes = append(r.routes, state)
	return state
}

// advance adds the time since the last call to the open time of the flows.
func (s *routeState) advance(now time.Time) {
	if elapsed := now.Sub(s.flowSecondsAt); !s.flowSecondsAt.IsZero() && elapsed > 0 {
		s.flowSeconds.add(float64(s.open)*elapsed.Seconds(), now, ratePeriod)
	}
	s.flowSecondsAt = now
}

// furtherRate returns the requests a second that one open flow is expected to bring.
func (s *routeState) furtherRate(now time.Time) float64 {
	// A tenth of a second more keeps the rate low until flows have been open for a while.
	const prior = 0.1
	return s.further.value(now, ratePeriod) / (s.flowSeconds.value(now, ratePeriod) + prior)
}

// long reports whether flows of the route carry more than one request.
func (s *routeState) long(now time.Time) bool {
	return s != nil && s.further.value(now, ratePeriod) > longFlowRequests*s.opened.value(now, ratePeriod)
}

// openLoad returns the share of the slots that the requests on open flows are expected
// to need.
func (r *Regulator) openLoad(now time.Time) float64 {
	if r.counts.slots == 0 {
		return 0
	}
	load := 0.0
	for _, state := range r.routes {
		state.advance(now)
		load += float64(state.open) * state.furtherRate(now) * r.work().Cost(state.address).Seconds()
	}
	return load / float64(r.counts.slots)
}

// maxKnownLoad is the share of the slots that open flows and the flows before them in rank
// are to need at most. The rest goes to the first requests of flows of the same rank: at
// 0.85 servers shed 0.044 to 0.059 of the arrivals, at 0.79 0.032 to 0.041 (TestSurge).
const maxKnownLoad = 0.79

// openLoadLimit returns the load of open flows up to which long flows of a rank are
// admitted.
func (r *Regulator) openLoadLimit(rank int, now time.Time) float64 {
	return min(maxKnownLoad-r.reserved(rank, now), maxOpenLoad-openLoadPerRank*float64(rank))
}

// reserved returns the share of the slots that is kept from long flows of a rank: what
// flows with one request each need that rank before them.
func (r *Regulator) reserved(rank int, now time.Time) float64 {
	load := 0.0
	for _, state := range r.routes {
		if state.rank < rank && !state.long(now) {
			load += state.demand.value(now, ratePeriod) / ratePeriod.Seconds() * r.work().Cost(state.address).Seconds()
		}
	}
	return min(maxReserved, load/float64(max(1, r.counts.slots)))
}

// headroom returns the places in the server's queue that stay free for requests on open
// flows. If new flows fill up the rest at once, the queue exceeds them by h places for
// a share (1 - load) * load^h of the time.
func headroom(load float64) int {
	if load <= 0.05 {
		return 1
	}
	load = min(load, 0.95)
	if load*(1-load) <= maxShedShare {
		return 1
	}
	return max(1, int(math.Ceil(math.Log(maxShedShare/(1-load))/math.Log(load))))
}

// maxShedShare is the share of requests on open flows that may be shed because new
// flows were admitted before them, a little over half of the 5% that are allowed at most.
const maxShedShare = 0.03
