// Package chooser places new flows at the agents of a service.
//
// Load pattern: demand that swings within seconds, before servers with few
// slots. A flow can't be moved once it is open, so placing it is the only
// lever. A few agents are drawn at random and the one with the least work takes
// the flow, so that balancers that decide at once by reports of the same age
// don't all choose the same agent. What a balancer placed since an agent's
// last report counts as that agent's work.
//
// Servers that fail their requests at once look idle. For requests that may not
// run twice, agents whose servers fail are left out: a failure there is final.
// Other requests are tried again elsewhere within milliseconds, and at a crest
// they need what failing servers still serve. Nobody is left out when most fail:
// then the cause is hardly the servers.
package chooser

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrymast"
)

const (
	// flowWork is the work that an open flow is expected to bring, in slots.
	flowWork = 0.05
	// placedWork is the work of a flow placed since the last report, in slots.
	placedWork = 1.0
	// coldWork is the work by which a cold server counts as busier, in slots.
	coldWork = 1.0
	// otherZoneWork is the work by which an agent of another availability zone
	// counts as busier, as a share of its slots: traffic between zones is paid.
	otherZoneWork = 0.25
	// FailingLimit is the share of failed answers from which an agent's server is
	// left out: twice what a healthy server fails when one of its requests in
	// twenty is cut by its caller.
	FailingLimit = 0.15
	// mostLeftOut is the largest share of the candidates that is left out.
	mostLeftOut = 0.5
	// ownDraws and otherDraws are the numbers of agents of the balancer's own
	// availability zone and of the others that are compared for a flow. With more
	// of them many balancers choose the same agent by the same reports.
	ownDraws   = 2
	otherDraws = 1
)

// Candidate is an agent that may take a new flow.
type Candidate struct {
	// Endpoint is the agent's.
	Endpoint gooseberrymast.Endpoint
	// Zone is the agent's availability zone.
	Zone string
	// Weight is the share of new flows of the agent's service, above zero.
	Weight float64
	// Load is what the agent last reported.
	Load gooseberrymast.FlowLoad
	// Reported is when that was.
	Reported time.Time
}

// Chooser remembers what it placed. The zero value is ready.
type Chooser struct {
	// Zone is the balancer's availability zone.
	Zone string

	placed map[gooseberrymast.Endpoint]placement
}

type placement struct {
	reported time.Time
	flows    int
}

// Choose draws candidates for a new flow, at most limit of them, and orders them
// by their work, the least first: a few of the balancer's own availability zone
// and of the others are compared for the first place, and the rest for the
// places behind. It counts the flow as placed at the first. The candidates
// change their order. Once is set for requests that may not run twice.
func (c *Chooser) Choose(candidates []Candidate, limit int, once bool, random *rand.Rand) []gooseberrymast.Endpoint {
	if len(candidates) == 0 {
		return nil
	}
	if once {
		candidates = withoutFailing(candidates)
	}
	own := c.ownFirst(candidates)
	draw(candidates[:own], ownDraws, random)
	draw(candidates[own:], otherDraws, random)
	compared := min(own, ownDraws)
	for i := range min(len(candidates)-own, otherDraws) {
		candidates[compared], candidates[own+i] = candidates[own+i], candidates[compared]
		compared++
	}
	draw(candidates[compared:], limit, random)
	// Where one kind is missing the other stands in.
	compared = min(ownDraws+otherDraws, len(candidates))
	byWork := func(a, b Candidate) int { return cmp.Compare(c.work(a), c.work(b)) }
	chosen := candidates[:min(max(limit, compared), len(candidates))]
	slices.SortStableFunc(chosen[:compared], byWork)
	slices.SortStableFunc(chosen[compared:], byWork)
	c.count(chosen[0])
	endpoints := make([]gooseberrymast.Endpoint, min(limit, len(chosen)))
	for i := range endpoints {
		endpoints[i] = chosen[i].Endpoint
	}
	return endpoints
}

// withoutFailing leaves out the candidates whose servers fail, unless these
// are too many.
func withoutFailing(candidates []Candidate) []Candidate {
	kept := 0
	for i := range candidates {
		if candidates[i].Load.Failing < FailingLimit {
			candidates[kept], candidates[i] = candidates[i], candidates[kept]
			kept++
		}
	}
	if float64(len(candidates)-kept) > mostLeftOut*float64(len(candidates)) {
		return candidates
	}
	return candidates[:kept]
}

// ownFirst puts the candidates of the balancer's own availability zone first
// and gives their number.
func (c *Chooser) ownFirst(candidates []Candidate) int {
	own := 0
	for i := range candidates {
		if candidates[i].Zone == c.Zone {
			candidates[own], candidates[i] = candidates[i], candidates[own]
			own++
		}
	}
	return own
}

// draw puts a random choice of candidates first.
func draw(candidates []Candidate, count int, random *rand.Rand) {
	for i := range min(count, len(candidates)) {
		j := i + random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
}

// work is the share of a candidate's slots that is taken or soon will be.
func (c *Chooser) work(candidate Candidate) float64 {
	load := candidate.Load
	slots := float64(max(load.Slots, 1))
	work := float64(load.InProgress) + flowWork*float64(load.Flows)
	if placed, ok := c.placed[candidate.Endpoint]; ok && placed.reported.Equal(candidate.Reported) {
		work += placedWork * float64(placed.flows)
	}
	if load.Cold > 0 {
		work += coldWork
	}
	share := work / slots
	if candidate.Zone != c.Zone {
		share += otherZoneWork
	}
	return share
}

func (c *Chooser) count(candidate Candidate) {
	if c.placed == nil {
		c.placed = map[gooseberrymast.Endpoint]placement{}
	}
	placed := c.placed[candidate.Endpoint]
	if !placed.reported.Equal(candidate.Reported) {
		placed = placement{reported: candidate.Reported}
	}
	placed.flows++
	c.placed[candidate.Endpoint] = placed
}
