package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/chooser"
	"gooseberrymast/coordination/deliverer"
)

// Policy names a way to place new flows.
type Policy string

// The policies.
const (
	// PolicyProduct is what the balancers do.
	PolicyProduct Policy = "product"
	// PolicyTrusting is PolicyProduct without its judgment of failing servers.
	PolicyTrusting Policy = "trusting"
	// PolicyKeeping is PolicyProduct without agents that pass flows on.
	PolicyKeeping Policy = "keeping"
	// PolicyRandom draws one agent: the baseline.
	PolicyRandom Policy = "random"
	// PolicyIdeal knows the work at every server at the moment: the upper bound
	// of what placing new flows by work can reach.
	PolicyIdeal Policy = "ideal"
)

// Policies lists every policy.
var Policies = []Policy{PolicyProduct, PolicyTrusting, PolicyKeeping, PolicyRandom, PolicyIdeal}

// placer places the new flows of one balancer.
type placer interface {
	// place gives the server that takes a new flow, and how many agents passed it
	// on; once is set when its request may not run twice.
	place(candidates []chooser.Candidate, servers []*server, once bool, random *rand.Rand) (server, passes int)
}

func newPlacer(policy Policy, zone string, now func() time.Duration) (placer, error) {
	switch policy {
	case PolicyProduct:
		return &productPlacer{chooser: chooser.Chooser{Zone: zone}}, nil
	case PolicyTrusting:
		return &trustingPlacer{productPlacer{chooser: chooser.Chooser{Zone: zone}}}, nil
	case PolicyKeeping:
		return &productPlacer{chooser: chooser.Chooser{Zone: zone}, keeps: true}, nil
	case PolicyRandom:
		return randomPlacer{}, nil
	case PolicyIdeal:
		return idealPlacer{now: now}, nil
	}
	return nil, fmt.Errorf("no policy %q: want one of %v", policy, Policies)
}

type productPlacer struct {
	chooser chooser.Chooser
	// keeps is set when agents pass no flow on.
	keeps bool
}

func (p *productPlacer) place(candidates []chooser.Candidate, servers []*server, once bool, random *rand.Rand) (server, passes int) {
	offered := p.chooser.Choose(candidates, offeredAgents, once, random)
	for ; !p.keeps && passes < len(offered)-1; passes++ {
		if taker := servers[indexOf(offered[passes])]; !deliverer.Full(taker.running+len(taker.waiting), taker.slots) {
			break
		}
	}
	return indexOf(offered[passes]), passes
}

type trustingPlacer struct {
	productPlacer
}

func (p *trustingPlacer) place(candidates []chooser.Candidate, servers []*server, once bool, random *rand.Rand) (server, passes int) {
	for i := range candidates {
		candidates[i].Load.Failing = 0
	}
	return p.productPlacer.place(candidates, servers, once, random)
}

type randomPlacer struct{}

func (randomPlacer) place(candidates []chooser.Candidate, _ []*server, _ bool, random *rand.Rand) (server, passes int) {
	return indexOf(candidates[random.IntN(len(candidates))].Endpoint), 0
}

// idealPlacer knows the work at every server at the moment, which of them are
// slow, and which fail.
type idealPlacer struct {
	now func() time.Duration
}

func (p idealPlacer) place(candidates []chooser.Candidate, servers []*server, once bool, random *rand.Rand) (server, passes int) {
	best := indexOf(candidates[random.IntN(len(candidates))].Endpoint)
	for _, candidate := range candidates {
		index := indexOf(candidate.Endpoint)
		if p.cost(servers[index], once) < p.cost(servers[best], once) {
			best = index
		}
	}
	return best, 0
}

// cost orders servers for a new flow by the work that its request would find.
func (p idealPlacer) cost(s *server, once bool) float64 {
	// More than any work that a server can hold.
	const failing = 1000
	cost := s.expected() * s.factor(p.now())
	if once && s.failShare > 0 && p.now() >= s.failFrom && p.now() < s.failUntil {
		cost += failing
	}
	return cost
}

// endpointOf names a server by its number, and indexOf gives the number back.
func endpointOf(index int) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{10, 0, byte(index >> 8), byte(index)}, Port: 1}
}

func indexOf(endpoint gooseberrymast.Endpoint) int {
	return int(endpoint.IP[2])<<8 | int(endpoint.IP[3])
}
