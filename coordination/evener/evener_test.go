package evener

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// maxImbalance bounds the ratio of the largest to the mean number of flows.
const maxImbalance = 1.25

func identity(i int) gooseberrymast.Identity {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
	return gooseberrymast.Identity{Address: address, Incarnation: 1}
}

func members(n int) []gooseberrymast.Member {
	var all []gooseberrymast.Member
	for i := range n {
		record := gooseberrymast.Record{Identity: identity(i), State: gooseberrymast.StateReady}
		all = append(all, gooseberrymast.Member{Record: record})
	}
	return all
}

func TestPassOn(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name  string
		own   int32
		other gooseberrymast.Load
		age   time.Duration
		want  bool
	}{
		{"other has fewer", 10, gooseberrymast.Load{Flows: 5}, time.Second, true},
		{"even", 10, gooseberrymast.Load{Flows: 10}, time.Second, false},
		{"within the margin", 11, gooseberrymast.Load{Flows: 10}, time.Second, false},
		{"outdated report", 10, gooseberrymast.Load{Flows: 5}, MaxAge + time.Second, false},
		{"leaving", 10, gooseberrymast.Load{Flows: 5, Leaving: true}, time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := Evener{Self: identity(0)}
			e.Update(members(2))
			is.Equal(e.PassOn(start, test.own, identity(1)), false) // no load was reported yet
			e.HandleLoad(start, identity(1), test.other)
			is.Equal(e.PassOn(start.Add(test.age), test.own, identity(1)), test.want)
		})
	}
}

func TestRoundQueriesLessOftenWhileIdle(t *testing.T) {
	is := is.New(t)
	e := Evener{Self: identity(0), Random: rand.New(rand.NewPCG(1, 1))}
	e.Update(members(7))
	is.Equal(len(e.PeersToQuery()), 0)
	e.PassOn(time.Unix(1, 0), 0, identity(1))
	is.Equal(len(e.PeersToQuery()), QueriesPerRound)
	for range IdleRounds - 1 {
		is.Equal(len(e.PeersToQuery()), 0)
	}
	is.Equal(len(e.PeersToQuery()), QueriesPerRound) // an idle agent still queries from time to time
}

func TestExcess(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name  string
		own   int32
		peers []int32
		want  int
	}{
		{"no reports", 100, nil, 0},
		{"too few reports", 100, []int32{0}, 0},
		{"even", 20, []int32{20, 20, 20}, 0},
		{"within the tolerance", 22, []int32{20, 20, 20}, 0},
		{"one server joined", 30, []int32{30, 30, 0}, 3},
		{"a few flows", 5, []int32{0, 0, 0}, 1},
		{"fewer than the others", 10, []int32{20, 20, 20}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := Evener{Self: identity(0)}
			e.Update(members(4))
			for i, flows := range test.peers {
				e.HandleLoad(now, identity(i+1), gooseberrymast.Load{Flows: flows})
			}
			is.Equal(e.Excess(now, test.own), test.want)
			is.Equal(e.Excess(now.Add(MaxAge+1), test.own), 0) // outdated reports move no flows
		})
	}
}

// Flows of limited duration are opened at agents of which one starts empty. Once
// all flows have been replaced the imbalance must be within its bound.
func TestFlowsStayBalanced(t *testing.T) {
	const (
		agents = 7
		flows  = 140
		rounds = 60
	)
	for seed := range uint64(3) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		open := make([]int32, agents)
		eveners := make([]*Evener, agents)
		for i := range eveners {
			eveners[i] = &Evener{Self: identity(i), Random: random}
			eveners[i].Update(members(agents))
		}
		var holders []int
		now := time.Unix(0, 0)
		for range rounds {
			now = now.Add(Period)
			exchangeLoads(now, eveners, open)
			for range flows / 6 {
				if len(holders) >= flows {
					closed := random.IntN(len(holders))
					open[holders[closed]]--
					holders[closed] = holders[len(holders)-1]
					holders = holders[:len(holders)-1]
				}
				first, second := random.IntN(agents), random.IntN(agents)
				if first != second && eveners[first].PassOn(now, open[first], identity(second)) {
					first = second
				}
				open[first]++
				holders = append(holders, first)
			}
		}
		most, total := int32(0), int32(0)
		for _, n := range open {
			most = max(most, n)
			total += n
		}
		is.True(float64(most)*agents/float64(total) <= maxImbalance) // largest over mean
	}
}

// exchangeLoads delivers the queries of one round and their answers.
func exchangeLoads(now time.Time, eveners []*Evener, open []int32) {
	for _, e := range eveners {
		for _, queried := range e.PeersToQuery() {
			i := int(queried.Address.Addr().As4()[3])
			e.HandleLoad(now, queried, gooseberrymast.Load{Flows: open[i]})
		}
	}
}
