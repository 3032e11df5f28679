package predictor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/estimator"
)

// route holds what is known of one route's requests.
type route struct {
	// cost is the time in a slot in nanoseconds, and logCost its logarithm.
	cost, logCost estimator.Average
	// flows is the number of open flows.
	flows int
	// begun counts requests, followUps those on flows that had carried one before, and
	// flowTime is the time in seconds for which flows were open. All decay.
	begun, followUps, flowTime float64
	updated                    time.Time
}

// costOf returns the expected time in a slot of a route's requests in nanoseconds.
func (p *Predictor) costOf(r *route) float64 {
	if r.cost.Samples < minRouteSamples {
		return p.typical()
	}
	return r.cost.Mean * math.Exp(p.pace.Mean)
}

// typical returns the expected time in a slot of any request in nanoseconds.
func (p *Predictor) typical() float64 {
	if p.all.Samples == 0 {
		return float64(estimator.InitialTime)
	}
	return p.all.Mean
}

// flowShare returns the share of the slots that the requests on open flows are expected
// to take.
func (p *Predictor) flowShare(now time.Time) float64 {
	share := 0.0
	add := func(r *route) {
		r.advance(now)
		rate := r.followUps / (r.flowTime + rateCredit.Seconds())
		share += float64(r.flows) * rate * p.costOf(r) / float64(time.Second)
	}
	for _, r := range p.routes {
		add(r)
	}
	add(&p.other)
	return share / float64(p.slots)
}

// routeCosts returns the costs of the routes that cause the most work.
func (p *Predictor) routeCosts(now time.Time) (costs [gooseberrymast.MaxRouteCosts]gooseberrymast.RouteCost) {
	type entry struct {
		gooseberrymast.RouteCost
		work float64
	}
	entries := make([]entry, 0, len(p.routes))
	for address, r := range p.routes {
		if r.cost.Samples < minRouteSamples {
			continue
		}
		r.advance(now)
		cost := p.costOf(r)
		entries = append(entries, entry{
			gooseberrymast.RouteCost{Tag: gooseberrymast.RouteTag(address), Cost: time.Duration(cost)}, r.begun * cost,
		})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.Tag, b.Tag))
	})
	for i := range min(len(entries), len(costs)) {
		costs[i] = entries[i].RouteCost
	}
	return costs
}

// route returns the record of an address. The record of a route without flows that was
// used least recently gives way to a new one.
func (p *Predictor) route(address gooseberrymast.Endpoint, now time.Time) *route {
	if r, ok := p.routes[address]; ok {
		return r
	}
	if p.routes == nil {
		p.routes = map[gooseberrymast.Endpoint]*route{}
	}
	if len(p.routes) >= MaxRoutes && !p.evict() {
		return &p.other
	}
	r := &route{updated: now}
	p.routes[address] = r
	return r
}

func (p *Predictor) evict() bool {
	var oldest gooseberrymast.Endpoint
	var used *route
	for address, r := range p.routes {
		if r.flows == 0 && (used == nil || r.updated.Before(used.updated)) {
			oldest, used = address, r
		}
	}
	delete(p.routes, oldest)
	return used != nil
}

// advance lets the rates decay until now.
func (r *route) advance(now time.Time) {
	elapsed := now.Sub(r.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
	r.begun *= factor
	r.followUps *= factor
	// The integral of the flows over the time that has passed, which decays as well.
	r.flowTime = r.flowTime*factor + float64(r.flows)*(1-factor)*rateHalfLife.Seconds()/math.Ln2
	r.updated = now
}
