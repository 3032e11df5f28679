// Package predictor estimates at an agent how much work its backend server has and
// what a request costs, from the requests that the agent sees begin and end.
//
// Load pattern: requests that look alike and cost a server very different amounts of
// work, on servers of different speed with few slots. A count of requests says little
// there about when a server can answer the next one.
//
// The time to the answer of a request includes its wait for a slot. A server runs its
// requests in the order of their arrival, so the agent follows which ones have a slot:
// the time in the slot is the sample, and the speed of the server is part of it.
package predictor

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/estimator"
)

const (
	// MaxRoutes is the number of routes with estimates of their own; further ones
	// share one.
	MaxRoutes = 64
	// MinSamples is the number of samples from which the estimates are reported: the
	// mean of 20 is within a quarter of the true one mostly, with tails of 3% at seven
	// times the usual cost.
	MinSamples = 20
	// minRouteSamples is the number of samples from which a route has its own cost.
	minRouteSamples = 3
	// costWeight is the weight of a sample in the cost of its route. A lower one than
	// paceWeight makes the costs of routes the memory, to which the pace is relative.
	costWeight = 1.0 / 256
	// paceWeight is the weight of a sample in the server's pace: it follows a change of
	// speed within 64 requests, a second or two, and one request of seven times the
	// usual cost moves it by 3%.
	paceWeight = 1.0 / 64
	// relearnSamples is the weight, in samples, of what was known before the server
	// changed.
	relearnSamples = 8
	// rateHalfLife is the time in which requests on open flows lose half of their
	// weight: longer than the pauses between two requests of most flows.
	rateHalfLife = 2 * time.Second
	// rateCredit is the time without requests that the flows of a route are credited
	// with, so that the first requests of a few flows don't count as a rate.
	rateCredit = time.Second
	// maxSimulated is the number of waiting requests whose start is simulated one by one.
	maxSimulated = 64
)

// ages are the ages, as multiples of a request's expected time in a slot, for which the
// remaining time is learned.
var ages = [...]float64{0, 0.5, 1, 2, 4}

// Predictor holds the estimates of one server. The zero value is ready, a nil
// Predictor does nothing.
type Predictor struct {
	mu    sync.Mutex
	slots int
	// coldUntil is when the server's warm-up ends; zero once it has been handled.
	coldUntil time.Time
	routes    map[gooseberrymast.Endpoint]*route
	// other is of the routes beyond MaxRoutes.
	other route
	all   estimator.Average
	// pace is the logarithm of how many times longer requests take of late than those
	// that the costs of their routes are from. With logarithms a change of speed shows
	// in all requests alike, and the tail moves it little.
	pace estimator.Average
	// remaining are the remaining times in a slot of requests that have reached each of
	// ages, as multiples of the expected time.
	remaining [len(ages)]estimator.Average
	samples   int
	// requests are those in progress, in the order of their arrival.
	requests    []request
	running     int
	lastRequest uint64
	// latest is the time of the latest event.
	latest time.Time
}

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

// request is a request in progress.
type request struct {
	id    uint64
	route *route
	// startedAt is when the request got its slot; zero while it waits.
	startedAt time.Time
	// uncertain is set if the request may have got its slot later.
	uncertain bool
}

// Flow is what a Predictor records of an open flow. The zero value is of a flow that it
// was not told of.
type Flow struct {
	route *route
	// request is the request in progress, or zero.
	request uint64
	// used is set once the flow has carried a request.
	used bool
}

// HandleServer processes the number of slots and the remaining warm-up that the server
// announces. restarted is set when it is another incarnation, which may be another
// version: what was known of the one before counts little from then on.
func (p *Predictor) HandleServer(slots int, warmUpLeft time.Duration, restarted bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if restarted {
		p.relearn()
	}
	if warmUpLeft > 0 {
		p.coldUntil = now.Add(warmUpLeft)
	}
	p.slots = slots
	p.startWaiting(now, false)
}

// Open records a new flow to an address.
func (p *Predictor) Open(address gooseberrymast.Endpoint, now time.Time) Flow {
	if p == nil {
		return Flow{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.route(address, now)
	r.advance(now)
	r.flows++
	return Flow{route: r}
}

// Close records the end of a flow.
func (p *Predictor) Close(f *Flow, now time.Time) {
	if p == nil || f.route == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(f, now)
}

// Drop records that a flow is no longer followed, with the request in progress on it.
func (p *Predictor) Drop(f *Flow) {
	if p == nil || f.route == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(f, false, p.latest)
	p.close(f, p.latest)
}

func (p *Predictor) close(f *Flow, now time.Time) {
	p.latest = now
	f.route.advance(now)
	f.route.flows--
	f.route = nil
}

// Begin records that a request goes to the server on a flow.
func (p *Predictor) Begin(f *Flow, now time.Time) {
	if p == nil || f.route == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest = now
	f.route.advance(now)
	f.route.begun++
	if f.used {
		f.route.followUps++
	}
	f.used = true
	p.lastRequest++
	f.request = p.lastRequest
	p.requests = append(p.requests, request{id: f.request, route: f.route})
	p.startWaiting(now, false)
}

// End records the end of a flow's request, and returns the time for which it had a slot,
// or zero if that is unknown. finished is false if the server may still work on it.
func (p *Predictor) End(f *Flow, finished bool, now time.Time) (slotTime time.Duration) {
	if p == nil || f.request == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.end(f, finished, now)
}

func (p *Predictor) end(f *Flow, finished bool, now time.Time) (slotTime time.Duration) {
	p.latest = now
	index, found := slices.BinarySearchFunc(p.requests, f.request, func(r request, id uint64) int { return cmp.Compare(r.id, id) })
	f.request = 0
	if !found {
		return 0
	}
	ended := p.requests[index]
	p.requests = slices.Delete(p.requests, index, index+1)
	if ended.startedAt.IsZero() {
		// The server has refused it, or runs more requests than the agent knows.
		return 0
	}
	p.running--
	p.startWaiting(now, !finished)
	if ended.uncertain {
		return 0
	}
	return now.Sub(ended.startedAt)
}

// AddSample adds the time that a request of an address had a slot. It must not be
// called for refusals: they take no slot and would make the server look fast.
func (p *Predictor) AddSample(address gooseberrymast.Endpoint, slotTime time.Duration, now time.Time) {
	if p == nil || slotTime <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.coldUntil.IsZero() && !now.Before(p.coldUntil) {
		p.coldUntil = time.Time{}
		p.relearn()
	}
	r := p.route(address, now)
	sample := float64(slotTime)
	if r.cost.Samples >= minRouteSamples {
		expected := p.costOf(r)
		sample = min(sample, estimator.LongFactor*expected)
		p.learnRemaining(sample / expected)
		p.pace.Add(math.Log(sample)-r.logCost.Mean, paceWeight)
	}
	r.cost.Add(sample, costWeight)
	r.logCost.Add(math.Log(sample), costWeight)
	p.all.Add(sample, paceWeight)
	p.samples++
}

// Wait implements gooseberrymast.WorkEstimator.
func (p *Predictor) Wait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slots == 0 || p.running < p.slots {
		return 0
	}
	free := make([]float64, 0, p.running)
	for _, r := range p.requests {
		if !r.startedAt.IsZero() {
			free = append(free, p.remainingTime(r, now))
		}
	}
	slices.Sort(free)
	// A server that has lowered its slots starts the next request once it is below them.
	free = free[len(free)-p.slots:]
	inSlots := 0.0
	for _, remaining := range free {
		inSlots += remaining
	}
	waiting, queued := 0, 0.0
	for _, r := range p.requests {
		if !r.startedAt.IsZero() {
			continue
		}
		if waiting++; waiting > maxSimulated {
			break
		}
		queued += p.costOf(r.route)
		free[0] += p.costOf(r.route)
		slices.Sort(free)
	}
	slots := float64(p.slots)
	// The first of several requests ends sooner than any of them is expected to: when a
	// slot becomes free, each of the others holds what is left of a request in progress.
	even := (inSlots/slots + queued) / slots
	beyond := float64(max(0, len(p.requests)-p.running-maxSimulated)) * p.typical() / slots
	return time.Duration(min(free[0], even) + beyond)
}

// Cost implements gooseberrymast.WorkEstimator.
func (p *Predictor) Cost(address gooseberrymast.Endpoint) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[address]
	if r == nil {
		r = &p.other
	}
	return time.Duration(p.costOf(r))
}

// Load returns what is reported to balancers; it is zero until there are MinSamples
// samples.
func (p *Predictor) Load(now time.Time) gooseberrymast.WorkLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.samples < MinSamples || p.slots == 0 {
		return gooseberrymast.WorkLoad{}
	}
	var outstanding float64
	for _, r := range p.requests {
		if r.startedAt.IsZero() {
			outstanding += p.costOf(r.route)
		} else {
			outstanding += p.remainingTime(r, now)
		}
	}
	return gooseberrymast.WorkLoad{
		Cost:        time.Duration(p.typical()),
		Outstanding: time.Duration(outstanding / float64(p.slots)),
		FlowShare:   p.flowShare(now),
		RouteCosts:  p.routeCosts(now),
	}
}

// startWaiting gives free slots to the requests that wait.
func (p *Predictor) startWaiting(now time.Time, uncertain bool) {
	for i := range p.requests {
		if p.running >= p.slots {
			return
		}
		if r := &p.requests[i]; r.startedAt.IsZero() {
			r.startedAt, r.uncertain = now, uncertain
			p.running++
		}
	}
}

// relearn makes the next samples count more than those before.
func (p *Predictor) relearn() {
	forget := func(a *estimator.Average) { a.Samples = min(a.Samples, relearnSamples) }
	forget(&p.all)
	forget(&p.pace)
	forget(&p.other.cost)
	forget(&p.other.logCost)
	for _, r := range p.routes {
		forget(&r.cost)
		forget(&r.logCost)
	}
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

// learnRemaining adds a time in a slot, as a multiple of the expected one, to the
// remaining times of the ages that it has passed.
func (p *Predictor) learnRemaining(factor float64) {
	for i, age := range ages {
		if factor > age {
			p.remaining[i].Add(factor-age, paceWeight)
		}
	}
}

// remainingTime returns the expected time in nanoseconds for which a request still has
// its slot. It doesn't fall to zero for a request that takes longer than expected: with
// a long tail, such a request has more left than one that has just begun.
func (p *Predictor) remainingTime(r request, now time.Time) float64 {
	expected := p.costOf(r.route)
	age := float64(now.Sub(r.startedAt)) / expected
	i := 0
	for i+1 < len(ages) && ages[i+1] <= age {
		i++
	}
	left := p.remainingAt(i)
	if i+1 < len(ages) {
		part := (age - ages[i]) / (ages[i+1] - ages[i])
		left += part * (p.remainingAt(i+1) - left)
	}
	return left * expected
}

// remainingAt returns the learned remaining time at one of ages, or that at the age
// before it until there are enough samples.
func (p *Predictor) remainingAt(i int) float64 {
	for ; i > 0; i-- {
		if p.remaining[i].Samples >= minRouteSamples {
			return p.remaining[i].Mean
		}
	}
	return 1
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
