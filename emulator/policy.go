package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/chooser"
	"gooseberrymast/coordination/deliverer"
)

// Policy is the name of a method to place new flows.
type Policy string

const (
	// PolicyProduct places flows as the balancers and agents do by default: by work where
	// the rule of the settings calls for it, else by count.
	PolicyProduct Policy = "product"
	// PolicyByCount is PolicyProduct with placement by count.
	PolicyByCount Policy = "by-count"
	// PolicyByWork is PolicyProduct with placement by work.
	PolicyByWork Policy = "by-work"
	// PolicyLeastRequests takes, of as many agents as the product compares, the one with
	// the fewest requests in progress.
	PolicyLeastRequests Policy = "least-requests"
	// PolicyIgnoreFailing is PolicyProduct without its assessment of failing servers.
	PolicyIgnoreFailing Policy = "trusting"
	// PolicyNoPassing is PolicyProduct with agents that never pass flows on.
	PolicyNoPassing Policy = "keeping"
	// PolicyUnlimited is PolicyProduct without the limit of cold servers.
	PolicyUnlimited Policy = "unlimited"
	// PolicyRandom places each flow at a random agent. It is the baseline.
	PolicyRandom Policy = "random"
	// PolicyIdeal places flows by the current work at every server instead of
	// reports: the upper bound of what placing new flows by work can reach.
	PolicyIdeal Policy = "ideal"
)

// Policies lists every policy.
var Policies = []Policy{
	PolicyProduct, PolicyByCount, PolicyByWork, PolicyLeastRequests, PolicyIgnoreFailing, PolicyNoPassing, PolicyUnlimited, PolicyRandom, PolicyIdeal,
}

// placer decides where the new flows of one balancer go.
type placer interface {
	// place returns the server that takes a new flow of a route, or noServer, and the
	// number of agents that passed it on.
	place(candidates []chooser.Candidate, servers []*server, route gooseberrymast.Route, random *rand.Rand) (server, passes int)
}

func newPlacer(policy Policy, pattern Pattern, zone string, now func() time.Duration) (placer, error) {
	product := productPlacer{chooser: chooser.Chooser{Zone: zone, ByWork: placesByWork(pattern)}, now: now}
	switch policy {
	case PolicyProduct, PolicyUnlimited:
		return &product, nil
	case PolicyByCount, PolicyByWork:
		product.chooser.ByWork = policy == PolicyByWork
		return &product, nil
	case PolicyLeastRequests:
		return &leastRequestsPlacer{}, nil
	case PolicyIgnoreFailing:
		return &ignoreFailingPlacer{product}, nil
	case PolicyNoPassing:
		product.noPassing = true
		return &product, nil
	case PolicyRandom:
		return randomPlacer{}, nil
	case PolicyIdeal:
		return idealPlacer{now: now}, nil
	}
	return nil, fmt.Errorf("no policy %q: want one of %v", policy, Policies)
}

// placesByWork reports whether the default settings place the flows of a pattern by work.
func placesByWork(pattern Pattern) bool {
	var settings gooseberrymast.ForwardingSettings
	settings.SetDefaults()
	return settings.PlacementRule().Active(pattern.Slots, service, pattern.routes())
}

type productPlacer struct {
	chooser chooser.Chooser
	// noPassing makes the first agent take every flow, even if its server is full.
	noPassing bool
	now       func() time.Duration
}

// noServer is the result for a flow that all candidates refuse.
const noServer = -1

func (p *productPlacer) place(candidates []chooser.Candidate, servers []*server, route gooseberrymast.Route, random *rand.Rand) (server, passes int) {
	offered := p.chooser.Choose(candidates, candidateAgents, route, random)
	for i, endpoint := range offered {
		candidate, last := servers[indexOf(endpoint)], i == len(offered)-1
		full := !last && deliverer.Full(candidate.running+len(candidate.waiting), candidate.slots)
		if p.noPassing || !full && candidate.admits(p.now()) {
			return indexOf(endpoint), i
		}
	}
	return noServer, len(offered)
}

// ignoreFailingPlacer removes the failing share from the reports.
type ignoreFailingPlacer struct {
	productPlacer
}

func (p *ignoreFailingPlacer) place(candidates []chooser.Candidate, servers []*server, route gooseberrymast.Route, random *rand.Rand) (server, passes int) {
	for i := range candidates {
		candidates[i].Load.Failing = 0
	}
	return p.productPlacer.place(candidates, servers, route, random)
}

// leastRequestsPlacer compares reported requests in progress and adds what it has placed
// since, like the product.
type leastRequestsPlacer struct {
	placed   map[gooseberrymast.Endpoint]int
	reported time.Time
}

func (p *leastRequestsPlacer) place(candidates []chooser.Candidate, _ []*server, _ gooseberrymast.Route, random *rand.Rand) (server, passes int) {
	if p.placed == nil || !candidates[0].Reported.Equal(p.reported) {
		p.placed, p.reported = map[gooseberrymast.Endpoint]int{}, candidates[0].Reported
	}
	const draws = 3
	best, fewest := candidates[0].Endpoint, math.MaxInt
	for range draws {
		drawn := candidates[random.IntN(len(candidates))]
		if requests := drawn.Load.InProgress + p.placed[drawn.Endpoint]; requests < fewest {
			best, fewest = drawn.Endpoint, requests
		}
	}
	p.placed[best]++
	return indexOf(best), 0
}

type randomPlacer struct{}

func (randomPlacer) place(candidates []chooser.Candidate, _ []*server, _ gooseberrymast.Route, random *rand.Rand) (server, passes int) {
	return indexOf(candidates[random.IntN(len(candidates))].Endpoint), 0
}

// idealPlacer reads the current work of every server, and whether it is slow or
// failing, instead of the reports.
type idealPlacer struct {
	now func() time.Duration
}

func (p idealPlacer) place(candidates []chooser.Candidate, servers []*server, route gooseberrymast.Route, random *rand.Rand) (server, passes int) {
	best := indexOf(candidates[random.IntN(len(candidates))].Endpoint)
	for _, candidate := range candidates {
		index := indexOf(candidate.Endpoint)
		if p.cost(servers[index], !route.Idempotent) < p.cost(servers[best], !route.Idempotent) {
			best = index
		}
	}
	return best, 0
}

// cost ranks a server for a new flow by the work ahead of the flow's request. A
// failing server gets a penalty if once is set.
func (p idealPlacer) cost(s *server, once bool) float64 {
	// failingPenalty is larger than any work that a server can hold.
	const failingPenalty = 1000
	cost := s.expectedLoad() * s.workFactor(p.now())
	if once && s.failRate > 0 && p.now() >= s.failFrom && p.now() < s.failUntil {
		cost += failingPenalty
	}
	return cost
}

// endpointOf encodes a server's index as an endpoint; indexOf decodes it.
func endpointOf(index int) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{10, 0, byte(index >> 8), byte(index)}, Port: 1}
}

func indexOf(endpoint gooseberrymast.Endpoint) int {
	return int(endpoint.IP[2])<<8 | int(endpoint.IP[3])
}
