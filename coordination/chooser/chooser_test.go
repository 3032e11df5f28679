package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var epoch = time.Unix(1000, 0)

// idempotent is a route whose requests may run twice.
var idempotent = gooseberrymast.Route{Idempotent: true}

func candidate(number byte, load gooseberrymast.FlowLoad) Candidate {
	load.Slots = 4
	return Candidate{
		Endpoint: gooseberrymast.Endpoint{IP: [4]byte{10, 0, 0, number}, Port: 7000},
		Zone:     "a", Load: load, Reported: epoch,
	}
}

func TestChoosesTheLeastWork(t *testing.T) {
	tests := []struct {
		name  string
		other Candidate
	}{
		{"in progress", candidate(2, gooseberrymast.FlowLoad{InProgress: 2})},
		{"open flows that will cause more work", candidate(2, gooseberrymast.FlowLoad{Flows: 40})},
		{"warming up", candidate(2, gooseberrymast.FlowLoad{WarmUpLeft: time.Second})},
		{"another zone", func() Candidate {
			far := candidate(2, gooseberrymast.FlowLoad{})
			far.Zone = "b"
			return far
		}()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				chooser := Chooser{Zone: "a"}
				free := candidate(1, gooseberrymast.FlowLoad{})
				chosen := chooser.Choose([]Candidate{test.other, free}, 2, idempotent, rand.New(rand.NewPCG(seed, 1)))
				is.Equal(chosen[0], free.Endpoint)
				is.Equal(chosen[1], test.other.Endpoint)
			}
		})
	}
}

// Servers that fail requests immediately look idle and must be excluded, except
// when most servers fail, which has another cause.
func TestFailingServersAreExcluded(t *testing.T) {
	tests := []struct {
		name    string
		failing []float64
		want    int
	}{
		{"one of four", []float64{0.5, 0, 0, 0}, 3},
		{"half", []float64{0.5, 0.5, 0.1, 0}, 2},
		{"most", []float64{0.5, 0.5, 0.5, 0}, 4},
		{"all", []float64{0.5, 0.5, 0.5, 0.5}, 4},
		{"the only one", []float64{0.5}, 1},
		{"a few failures", []float64{0.1, 0.1}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			chosen := map[gooseberrymast.Endpoint]bool{}
			for seed := range uint64(50) {
				var candidates []Candidate
				for number, share := range test.failing {
					candidates = append(candidates, candidate(byte(number), gooseberrymast.FlowLoad{Failing: share}))
				}
				chooser := Chooser{Zone: "a"}
				for _, endpoint := range chooser.Choose(candidates, 4, gooseberrymast.Route{}, rand.New(rand.NewPCG(seed, 1))) {
					chosen[endpoint] = true
				}
			}
			is.Equal(len(chosen), test.want)
		})
	}
}

func TestNoCandidates(t *testing.T) {
	is := is.New(t)
	var chooser Chooser
	is.Equal(len(chooser.Choose(nil, 3, idempotent, rand.New(rand.NewPCG(1, 1)))), 0)
}

// 40 new flows arrive between two reports. The flows placed since the last report
// must count as work, so that they are spread over all agents.
func TestFlowsPlacedBetweenReportsAreSpread(t *testing.T) {
	is := is.New(t)
	const agents, flows = 8, 40
	chooser := Chooser{Zone: "a"}
	random := rand.New(rand.NewPCG(5, 6))
	counts := map[gooseberrymast.Endpoint]int{}
	for range flows {
		var candidates []Candidate
		for number := range byte(agents) {
			candidates = append(candidates, candidate(number, gooseberrymast.FlowLoad{}))
		}
		counts[chooser.Choose(candidates, 1, idempotent, random)[0]]++
	}
	for _, count := range counts {
		is.True(count <= flows/agents+2)
	}
}

// 30 balancers each place one flow by the same reports. The one idle agent among
// busy ones must not get all of them.
func TestBalancersWithSameReportsDoNotAllChooseIdleAgent(t *testing.T) {
	is := is.New(t)
	const agents, balancers = 20, 30
	counts := map[gooseberrymast.Endpoint]int{}
	for seed := range uint64(balancers) {
		chooser := Chooser{Zone: "a"}
		var candidates []Candidate
		for number := range byte(agents) {
			load := gooseberrymast.FlowLoad{InProgress: 1}
			if number == 0 {
				load.InProgress = 0
			}
			candidates = append(candidates, candidate(number, load))
		}
		counts[chooser.Choose(candidates, 1, idempotent, rand.New(rand.NewPCG(seed, 7)))[0]]++
	}
	idle := candidate(0, gooseberrymast.FlowLoad{}).Endpoint
	is.True(counts[idle] < balancers/3)
}

// Balancers must not send a cold server more than it takes, but its share; and where all
// servers are cold their agents decide.
func TestLimitedServerGetsItsShare(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	limited := func(number byte, room float64) Candidate {
		return Candidate{
			Endpoint: gooseberrymast.Endpoint{IP: [4]byte{10, 0, 0, number}, Port: 7000}, Zone: "a", Room: room,
			Load: gooseberrymast.FlowLoad{Slots: 2, Limited: true},
		}
	}
	warm := limited(9, 0)
	warm.Load = gooseberrymast.FlowLoad{Slots: 2, InProgress: 3}
	counts := map[byte]int{}
	const rounds = 400
	for round := range rounds {
		c := Chooser{Zone: "a"}
		for range 10 {
			candidates := []Candidate{limited(1, 2.5), limited(2, 0), warm}
			for i := range candidates {
				candidates[i].Reported = time.Unix(int64(round), 0)
			}
			counts[c.Choose(candidates, 4, gooseberrymast.Route{Idempotent: true}, random)[0].IP[3]]++
		}
	}
	is.True(counts[1] > 9*rounds/4 && counts[1] < 11*rounds/4) // 2.5 between two reports
	is.Equal(counts[2], 0)
	c := Chooser{Zone: "a"}
	is.Equal(len(c.Choose([]Candidate{limited(1, 0), limited(2, 0)}, 4, gooseberrymast.Route{Idempotent: true}, random)), 2)
}

// The last candidate takes a flow even if its server is full. A cold one would not.
func TestLastCandidateIsNotLimited(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		var candidates []Candidate
		for number := range byte(4) {
			candidates = append(candidates, Candidate{
				Endpoint: gooseberrymast.Endpoint{IP: [4]byte{10, 0, 0, number}, Port: 7000}, Zone: "a", Room: 9,
				Load: gooseberrymast.FlowLoad{Slots: 2, InProgress: 4 - int(number), Limited: number < 2},
			})
		}
		c := Chooser{Zone: "a"}
		chosen := c.Choose(candidates, 4, gooseberrymast.Route{Idempotent: true}, random)
		is.Equal(len(chosen), 4)
		is.True(chosen[3].IP[3] >= 2)
	}
}

// A server that its agent limits must get its share from each balancer, be it of the own
// zone or another, and not all of it from each.
func TestRoomIsSharedByBalancers(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{
		{Zone: "a", Load: gooseberrymast.FlowLoad{Limited: true, Room: 6}},
		{Zone: "b", Load: gooseberrymast.FlowLoad{Limited: true, Room: 6}},
	}
	ShareRoom(candidates, "a", 12, 3)
	is.Equal(candidates[0].Room, 2.0)
	is.Equal(candidates[1].Room, 0.5)
}
