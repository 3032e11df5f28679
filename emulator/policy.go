package emulator

import (
	"fmt"
	"math/rand/v2"

	"gooseberrymast"
	"gooseberrymast/coordination/chooser"
)

// Policy names a way to place new flows.
type Policy string

// The policies.
const (
	// PolicyProduct is what the balancers do.
	PolicyProduct Policy = "product"
	// PolicyTrusting is PolicyProduct without its judgment of failing servers.
	PolicyTrusting Policy = "trusting"
	// PolicyRandom draws one agent: the baseline.
	PolicyRandom Policy = "random"
	// PolicyIdeal knows the work at every server at the moment: the upper bound
	// of what placing new flows by work can reach.
	PolicyIdeal Policy = "ideal"
)

// Policies lists every policy.
var Policies = []Policy{PolicyProduct, PolicyTrusting, PolicyRandom, PolicyIdeal}

// placer places the new flows of one balancer.
type placer interface {
	// place gives the server that takes a new flow; once is set when its request
	// may not run twice.
	place(candidates []chooser.Candidate, servers []*server, once bool, random *rand.Rand) int
}

func newPlacer(policy Policy, zone string) (placer, error) {
	switch policy {
	case PolicyProduct:
		return &productPlacer{chooser: chooser.Chooser{Zone: zone}}, nil
	case PolicyTrusting:
		return &trustingPlacer{productPlacer{chooser: chooser.Chooser{Zone: zone}}}, nil
	case PolicyRandom:
		return randomPlacer{}, nil
	case PolicyIdeal:
		return idealPlacer{}, nil
	}
	return nil, fmt.Errorf("no policy %q: want one of %v", policy, Policies)
}

type productPlacer struct {
	chooser chooser.Chooser
}

func (p *productPlacer) place(candidates []chooser.Candidate, _ []*server, once bool, random *rand.Rand) int {
	return indexOf(p.chooser.Choose(candidates, offeredAgents, once, random)[0])
}

type trustingPlacer struct {
	productPlacer
}

func (p *trustingPlacer) place(candidates []chooser.Candidate, servers []*server, once bool, random *rand.Rand) int {
	for i := range candidates {
		candidates[i].Load.Failing = 0
	}
	return p.productPlacer.place(candidates, servers, once, random)
}

type randomPlacer struct{}

func (randomPlacer) place(candidates []chooser.Candidate, _ []*server, _ bool, random *rand.Rand) int {
	return indexOf(candidates[random.IntN(len(candidates))].Endpoint)
}

type idealPlacer struct{}

func (idealPlacer) place(candidates []chooser.Candidate, servers []*server, _ bool, random *rand.Rand) int {
	best := indexOf(candidates[random.IntN(len(candidates))].Endpoint)
	for _, candidate := range candidates {
		index := indexOf(candidate.Endpoint)
		if servers[index].expected() < servers[best].expected() {
			best = index
		}
	}
	return best
}

// endpointOf names a server by its number, and indexOf gives the number back.
func endpointOf(index int) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{10, 0, byte(index >> 8), byte(index)}, Port: 1}
}

func indexOf(endpoint gooseberrymast.Endpoint) int {
	return int(endpoint.IP[2])<<8 | int(endpoint.IP[3])
}
