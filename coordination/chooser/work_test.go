package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var (
	cheap     = gooseberrymast.Route{Address: gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 80}, Idempotent: true}
	expensive = gooseberrymast.Route{Address: gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 80}, Idempotent: true}
)

const (
	cheapCost     = 10 * time.Millisecond
	expensiveCost = 100 * time.Millisecond
)

// working returns a candidate with two slots that reports work, at a multiple of the usual
// speed.
func working(number byte, speed float64, change func(*gooseberrymast.FlowLoad)) Candidate {
	at := func(cost time.Duration) time.Duration { return time.Duration(float64(cost) / speed) }
	c := candidate(number, gooseberrymast.FlowLoad{Flows: 40})
	c.Load.Slots = 2
	c.Load.Work = gooseberrymast.WorkLoad{Cost: at(30 * time.Millisecond), FlowShare: 0.5 / speed}
	c.Load.Work.RouteCosts[0] = gooseberrymast.RouteCost{Tag: gooseberrymast.RouteTag(cheap.Address), Cost: at(cheapCost)}
	c.Load.Work.RouteCosts[1] = gooseberrymast.RouteCost{Tag: gooseberrymast.RouteTag(expensive.Address), Cost: at(expensiveCost)}
	if change != nil {
		change(&c.Load)
	}
	return c
}

func first(t *testing.T, chooser *Chooser, route gooseberrymast.Route, candidates ...Candidate) gooseberrymast.Endpoint {
	t.Helper()
	return chooser.Choose(candidates, 2, route, rand.New(rand.NewPCG(1, 1)))[0]
}

// TestTheFirstAnswerIsChosen guards against placement that leaves out a part of the time
// until the answer.
func TestTheFirstAnswerIsChosen(t *testing.T) {
	usual := working(1, 1, nil)
	later := func(by time.Duration) func(*gooseberrymast.FlowLoad) {
		return func(load *gooseberrymast.FlowLoad) { load.Work.Outstanding = by }
	}
	counts := func(inProgress, flows int) Candidate {
		return candidate(2, gooseberrymast.FlowLoad{InProgress: inProgress, Flows: flows})
	}
	far := working(2, 1, nil)
	far.Zone = "b"
	tests := []struct {
		name  string
		route gooseberrymast.Route
		other Candidate
		// better is set if other answers first.
		better bool
	}{
		{"slower", cheap, working(2, 0.5, nil), false},
		{"faster", cheap, working(2, 1.2, nil), true},
		{"busier", cheap, working(2, 1, later(5*time.Millisecond)), false},
		{"faster, but too busy for a cheap request", cheap, working(2, 2, later(60*time.Millisecond)), false},
		{"faster, worth the wait for an expensive one", expensive, working(2, 2, later(60*time.Millisecond)), true},
		{"busier by open flows", cheap, working(2, 1, func(load *gooseberrymast.FlowLoad) { load.Work.FlowShare = 0.8 }), false},
		{"warming up", cheap, working(2, 1, func(load *gooseberrymast.FlowLoad) { load.WarmUpLeft = time.Second }), false},
		{"another zone", cheap, far, false},
		{"a slow one that doesn't name the route", cheap, working(2, 0.5, func(load *gooseberrymast.FlowLoad) {
			load.Work.RouteCosts = [gooseberrymast.MaxRouteCosts]gooseberrymast.RouteCost{}
			load.Work.FlowShare = usual.Load.Work.FlowShare
		}), false},
		{"a fast one that doesn't name the route", cheap, working(2, 2, func(load *gooseberrymast.FlowLoad) {
			load.Work.RouteCosts = [gooseberrymast.MaxRouteCosts]gooseberrymast.RouteCost{}
			load.Work.FlowShare, load.Work.Outstanding = usual.Load.Work.FlowShare, 8*time.Millisecond
		}), true},
		{"counts of a busy server", cheap, counts(6, 160), false},
		{"counts of an idle server", cheap, counts(0, 0), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			want := usual.Endpoint
			if test.better {
				want = test.other.Endpoint
			}
			is := is.New(t)
			is.Equal(first(t, &Chooser{Zone: "a", ByWork: true}, test.route, usual, test.other), want)
			is.Equal(first(t, &Chooser{Zone: "a", ByWork: true}, test.route, test.other, usual), want)
		})
	}
}

// TestPlacedFlowsCountByTheirCost guards against an expensive request that is followed by
// as many others until the next report as a cheap one.
func TestPlacedFlowsCountByTheirCost(t *testing.T) {
	is := is.New(t)
	chooser := Chooser{Zone: "a", ByWork: true}
	usual := working(1, 1, nil)
	busier := working(2, 1, func(load *gooseberrymast.FlowLoad) { load.Work.Outstanding = 40 * time.Millisecond })
	is.Equal(first(t, &chooser, expensive, usual, busier), usual.Endpoint)
	is.Equal(first(t, &chooser, cheap, usual, busier), busier.Endpoint) // 50 ms for the first flow
	usual.Reported = usual.Reported.Add(time.Millisecond)
	is.Equal(first(t, &chooser, cheap, usual, busier), usual.Endpoint) // the report includes it
	is.Equal(chooser.PlacedByWork, uint64(3))
}

// TestCountsDecideWithoutWork guards deployments that place by count against any change:
// with the setting, and where agents of an earlier build report counts only.
func TestCountsDecideWithoutWork(t *testing.T) {
	is := is.New(t)
	choose := func(byWork, reported bool, seed uint64) []gooseberrymast.Endpoint {
		random := rand.New(rand.NewPCG(seed, 1))
		chooser := Chooser{Zone: "a", ByWork: byWork}
		var chosen []gooseberrymast.Endpoint
		for range 20 {
			var candidates []Candidate
			for number := range byte(12) {
				c := working(number, 0.5+random.Float64(), func(load *gooseberrymast.FlowLoad) {
					load.InProgress, load.Flows = random.IntN(5), random.IntN(60)
					if !reported {
						load.Work = gooseberrymast.WorkLoad{}
					}
				})
				if number%3 == 0 {
					c.Zone = "b"
				}
				candidates = append(candidates, c)
			}
			chosen = append(chosen, chooser.Choose(candidates, 4, cheap, random)...)
		}
		return chosen
	}
	for seed := range uint64(20) {
		want := choose(false, false, seed)
		is.Equal(choose(false, true, seed), want)
		is.Equal(choose(true, false, seed), want)
	}
}

// TestBalancersWithSameWorkDoNotAllChooseTheBest guards against 30 balancers that send
// their flows to the one agent whose report promises the earliest answer.
func TestBalancersWithSameWorkDoNotAllChooseTheBest(t *testing.T) {
	is := is.New(t)
	const agents, balancers = 20, 30
	counts := map[gooseberrymast.Endpoint]int{}
	for seed := range uint64(balancers) {
		chooser := Chooser{Zone: "a", ByWork: true}
		var candidates []Candidate
		for number := range byte(agents) {
			speed := 1.0
			if number == 0 {
				speed = 2
			}
			candidates = append(candidates, working(number, speed, nil))
		}
		counts[chooser.Choose(candidates, 1, cheap, rand.New(rand.NewPCG(seed, 7)))[0]]++
	}
	is.True(counts[working(0, 2, nil).Endpoint] < balancers/3)
}
