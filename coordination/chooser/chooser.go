// Package chooser places new flows at the agents of a service.
//
// Load pattern: demand that changes within seconds, and servers with few slots.
// An open flow can't be moved, so the load is balanced only by placing new flows.
// A few agents are drawn at random and the one with the least work takes the
// flow, so that balancers that decide at the same time by reports of the same age
// don't all choose the same agent. Flows that a balancer placed since an agent's
// last report count as that agent's work.
//
// Servers that fail their requests immediately look idle. For requests that may
// not run twice, agents whose servers fail are excluded, because a failure there
// is final. Other requests are retried elsewhere within milliseconds, and at a
// peak load they need what failing servers still serve. No agent is excluded when
// most fail: then the servers are probably not the cause.
//
// Load pattern: servers of different speed, and requests of very different cost. Where
// agents report the expected work of their servers, the flow goes to the drawn agent
// that is expected to answer its request first. Agents without such a report are
// compared by what their counts mean at the others.
package chooser

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrymast"
)

const (
	// flowWork is the work that an open flow is expected to cause, in slots.
	flowWork = 0.05
	// placedWork is the work of a flow placed since the last report, in slots.
	placedWork = 1.0
	// warmUpWork is the work added for a server that is warming up, in slots.
	warmUpWork = 1.0
	// otherZoneWork is the work added for an agent of another availability zone, as
	// a share of its slots: traffic between zones costs money.
	otherZoneWork = 0.25
	// FailingLimit is the share of failed answers from which an agent's server is
	// excluded: twice the share that a healthy server reaches when one of twenty of
	// its requests is cut by its caller.
	FailingLimit = 0.15
	// maxExcludedShare is the largest share of the candidates that is excluded.
	maxExcludedShare = 0.5
	// ownDraws and otherDraws are the numbers of agents of the balancer's own
	// availability zone and of other zones that are compared for a flow. With higher
	// numbers many balancers choose the same agent by the same reports.
	ownDraws   = 2
	otherDraws = 1
)

// Candidate is an agent that may take a new flow.
type Candidate struct {
	// Endpoint is the agent's.
	Endpoint gooseberrymast.Endpoint
	// Zone is the agent's availability zone.
	Zone string
	// Weight is the agent's share of new flows of its service, above zero.
	Weight float64
	// Load is the agent's last report.
	Load gooseberrymast.FlowLoad
	// Reported is the time of that report.
	Reported time.Time
	// Room is this balancer's share of the flows that an agent with a limited server
	// takes until its next report. It counts only if Load.Limited is set.
	Room float64
}

// Chooser counts the flows that it placed. The zero value is ready.
type Chooser struct {
	// Zone is the balancer's availability zone.
	Zone string
	// ByWork is set if reports of the expected work are used.
	ByWork bool
	// PlacedByWork and PlacedByCount are the numbers of flows placed by either rule.
	PlacedByWork, PlacedByCount uint64

	placed map[gooseberrymast.Endpoint]placement
}

type placement struct {
	reported time.Time
	flows    int
	// work is the expected time in a slot of the flows' first requests.
	work time.Duration
	// drawn, from 0 to 1, decides on a share of less than one flow.
	drawn float64
}

// Choose returns the endpoints of at most limit candidates for a new flow, the
// preferred one first. It draws a few of the balancer's own availability zone and
// of other zones, sorts these by their work, and draws the remaining candidates
// behind them, sorted likewise. It counts the flow as placed at the first one. Choose
// reorders candidates.
func (c *Chooser) Choose(candidates []Candidate, limit int, route gooseberrymast.Route, random *rand.Rand) []gooseberrymast.Endpoint {
	if len(candidates) == 0 {
		return nil
	}
	rank := c.workShare
	var usual reference
	if c.ByWork {
		usual = newReference(candidates, route.Address)
	}
	if usual.known {
		rank = func(candidate Candidate) float64 { return c.answerTime(candidate, usual).Seconds() }
	}
	if !route.Idempotent {
		candidates = withoutFailing(candidates)
	}
	candidates = c.withRoom(candidates, random)
	own := c.ownZoneFirst(candidates)
	draw(candidates[:own], ownDraws, random)
	draw(candidates[own:], otherDraws, random)
	compared := min(own, ownDraws)
	for i := range min(len(candidates)-own, otherDraws) {
		candidates[compared], candidates[own+i] = candidates[own+i], candidates[compared]
		compared++
	}
	draw(candidates[compared:], limit, random)
	// Where one kind of zone has too few agents, others take their place.
	compared = min(ownDraws+otherDraws, len(candidates))
	byRank := func(a, b Candidate) int { return cmp.Compare(rank(a), rank(b)) }
	chosen := candidates[:min(max(limit, compared), len(candidates))]
	slices.SortStableFunc(chosen[:compared], byRank)
	slices.SortStableFunc(chosen[compared:], byRank)
	unlimitedLast(chosen[:min(limit, len(chosen))])
	c.countPlaced(chosen[0], usual)
	endpoints := make([]gooseberrymast.Endpoint, min(limit, len(chosen)))
	for i := range endpoints {
		endpoints[i] = chosen[i].Endpoint
	}
	return endpoints
}

// withoutFailing excludes the candidates whose servers fail, unless these are too
// many.
func withoutFailing(candidates []Candidate) []Candidate {
	kept := 0
	for i := range candidates {
		if candidates[i].Load.Failing < FailingLimit {
			candidates[kept], candidates[i] = candidates[i], candidates[kept]
			kept++
		}
	}
	if float64(len(candidates)-kept) > maxExcludedShare*float64(len(candidates)) {
		return candidates
	}
	return candidates[:kept]
}

// ShareRoom sets the balancer's shares of what limited servers may get. Most flows come
// from the balancers of an agent's own zone, which share it; a balancer of another
// zone has as much as if all had.
func ShareRoom(candidates []Candidate, zone string, balancers, ownBalancers int) {
	for i := range candidates {
		shared := balancers
		if candidates[i].Zone == zone {
			shared = ownBalancers
		}
		candidates[i].Room = float64(candidates[i].Load.Room) / float64(shared)
	}
}

// withRoom excludes the candidates whose servers are cold and have had this balancer's
// share of their limit, unless these are all. A share of less than one flow is drawn once
// for each report.
func (c *Chooser) withRoom(candidates []Candidate, random *rand.Rand) []Candidate {
	kept := 0
	for i, candidate := range candidates {
		if !candidate.Load.Limited || c.hasRoom(candidate, random) {
			candidates[kept], candidates[i] = candidates[i], candidates[kept]
			kept++
		}
	}
	if kept == 0 {
		return candidates
	}
	return candidates[:kept]
}

func (c *Chooser) hasRoom(candidate Candidate, random *rand.Rand) bool {
	placed := c.placed[candidate.Endpoint]
	if !placed.reported.Equal(candidate.Reported) {
		placed = placement{reported: candidate.Reported, drawn: random.Float64()}
		c.setPlaced(candidate.Endpoint, placed)
	}
	return float64(placed.flows)+placed.drawn < candidate.Room
}

// unlimitedLast makes the last candidate one whose server is not limited, if the first
// isn't the only one: the last candidate takes a flow also if its server is full, which
// a cold one may not.
func unlimitedLast(chosen []Candidate) {
	last := len(chosen) - 1
	for i := last; i > 0; i-- {
		if !chosen[i].Load.Limited {
			chosen[i], chosen[last] = chosen[last], chosen[i]
			return
		}
	}
}

// ownZoneFirst moves the candidates of the balancer's own availability zone to the
// front and returns their number.
func (c *Chooser) ownZoneFirst(candidates []Candidate) int {
	own := 0
	for i := range candidates {
		if candidates[i].Zone == c.Zone {
			candidates[own], candidates[i] = candidates[i], candidates[own]
			own++
		}
	}
	return own
}

// draw moves count random candidates to the front.
func draw(candidates []Candidate, count int, random *rand.Rand) {
	for i := range min(count, len(candidates)) {
		j := i + random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
}

// workShare returns the share of a candidate's slots that is or soon will be taken,
// plus otherZoneWork for an agent of another zone.
func (c *Chooser) workShare(candidate Candidate) float64 {
	load := candidate.Load
	slots := float64(max(load.Slots, 1))
	work := float64(load.InProgress) + flowWork*float64(load.Flows)
	work += placedWork * float64(c.placedAt(candidate).flows)
	if load.WarmUpLeft > 0 {
		work += warmUpWork
	}
	share := work / slots
	if candidate.Zone != c.Zone {
		share += otherZoneWork
	}
	return share
}

// placedAt returns what was placed at a candidate since its last report.
func (c *Chooser) placedAt(candidate Candidate) placement {
	if placed := c.placed[candidate.Endpoint]; placed.reported.Equal(candidate.Reported) {
		return placed
	}
	return placement{reported: candidate.Reported}
}

func (c *Chooser) countPlaced(candidate Candidate, usual reference) {
	if usual.known {
		c.PlacedByWork++
	} else {
		c.PlacedByCount++
	}
	placed := c.placedAt(candidate)
	placed.flows++
	placed.work += usual.costAt(candidate.Load.Work)
	c.setPlaced(candidate.Endpoint, placed)
}

func (c *Chooser) setPlaced(agent gooseberrymast.Endpoint, placed placement) {
	if c.placed == nil {
		c.placed = map[gooseberrymast.Endpoint]placement{}
	}
	c.placed[agent] = placed
}
