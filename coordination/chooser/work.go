package chooser

import (
	"time"

	"gooseberrymast"
)

// flowHorizon is the time for which the requests that open flows are expected to bring
// count as work. In the emulator, with horizons from 25 ms to 1 s, servers of uneven speed
// answered the fewest requests late with 50 ms; longer ones count a slow server's own
// flows for more than its queue.
const flowHorizon = 50 * time.Millisecond

// outstandingShare is the share of the reported outstanding work that is expected to be
// left: reports are 100 ms old on average in the own zone, and some 400 ms from others.
// In the emulator, 16 seeds of uneven-servers had 8% fewer late answers than with 1, and
// heavy-tail and two-kinds none more.
const outstandingShare = 0.5

// reference holds what candidates report of a route on average, for those that don't
// report it.
type reference struct {
	// known is set if a candidate reports the expected work of its server.
	known bool
	tag   uint32
	// cost is the mean time in a slot of all requests, and routeFactor that of the
	// route's requests as a multiple of it.
	cost        time.Duration
	routeFactor float64
	// flowWork is the share of a slot that an open flow takes.
	flowWork float64
}

func newReference(candidates []Candidate, address gooseberrymast.Endpoint) reference {
	usual := reference{tag: gooseberrymast.RouteTag(address), routeFactor: 1}
	var reporting, withRoute, flows, flowSlots, factors float64
	for i := range candidates {
		load := &candidates[i].Load
		if load.Work.Cost <= 0 {
			continue
		}
		reporting++
		usual.cost += load.Work.Cost
		flows += float64(load.Flows)
		flowSlots += load.Work.FlowShare * float64(load.Slots)
		if cost := reportedCost(load.Work, usual.tag); cost > 0 {
			withRoute++
			factors += float64(cost) / float64(load.Work.Cost)
		}
	}
	if reporting == 0 {
		return reference{}
	}
	usual.known = true
	usual.cost = time.Duration(float64(usual.cost) / reporting)
	if flows > 0 {
		usual.flowWork = flowSlots / flows
	}
	if withRoute > 0 {
		usual.routeFactor = factors / withRoute
	}
	return usual
}

// reportedCost returns the cost of a route that a report names, or zero.
func reportedCost(work gooseberrymast.WorkLoad, tag uint32) time.Duration {
	for _, route := range work.RouteCosts {
		if route.Tag == tag && route.Cost > 0 {
			return route.Cost
		}
	}
	return 0
}

// costAt returns the expected time in a slot of the route's request at an agent that
// reports work. A report that doesn't name the route still shows how fast the server is.
func (r reference) costAt(work gooseberrymast.WorkLoad) time.Duration {
	if cost := reportedCost(work, r.tag); cost > 0 {
		return cost
	}
	cost := work.Cost
	if cost <= 0 {
		cost = r.cost
	}
	return time.Duration(float64(cost) * r.routeFactor)
}

// answerTime returns the expected time until a candidate's server has answered the
// request of the flow that is being placed, with additions that make it less preferred.
func (c *Chooser) answerTime(candidate Candidate, usual reference) time.Duration {
	load := candidate.Load
	slots := time.Duration(max(load.Slots, 1))
	outstanding, share := load.Work.Outstanding, load.Work.FlowShare
	if load.Work.Cost <= 0 {
		outstanding = usual.cost * time.Duration(load.InProgress) / slots
		share = usual.flowWork * float64(load.Flows) / float64(slots)
	}
	cost := usual.costAt(load.Work)
	outstanding = time.Duration(outstandingShare*float64(outstanding)) + c.placedAt(candidate).work/slots
	answer := outstanding + time.Duration(share*float64(flowHorizon)) + cost
	if load.WarmUpLeft > 0 {
		answer += time.Duration(warmUpWork*float64(cost)) / slots
	}
	if candidate.Zone != c.Zone {
		answer += time.Duration(otherZoneWork * float64(usual.cost))
	}
	return answer
}
