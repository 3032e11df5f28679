package opener_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/opener"
	"gooseberrymast/coordination/router"
)

const service gooseberrymast.ServiceTag = 9

var zones = []string{"cairo-a", "cairo-b", "cairo-c"}

func identity(n int) gooseberrymast.Identity {
	address := netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)})
	return gooseberrymast.Identity{Address: netip.AddrPortFrom(address, 4000), Incarnation: 1}
}

func member(n int) gooseberrymast.Member {
	return gooseberrymast.Member{Record: gooseberrymast.Record{
		Identity: identity(n), State: gooseberrymast.StateReady, Service: service, Zone: zones[n%len(zones)],
	}}
}

func firstMembers(n int) []gooseberrymast.Member {
	members := make([]gooseberrymast.Member, n)
	for i := range members {
		members[i] = member(i)
	}
	return members
}

func table(members []gooseberrymast.Member) *gooseberrymast.Table {
	return &gooseberrymast.Table{Services: map[gooseberrymast.ServiceTag][]gooseberrymast.Member{service: members}}
}

// change returns the members after one random change: a join, a member that
// begins to leave, another weight, or the removal of a member if remove is set.
func change(random *rand.Rand, members []gooseberrymast.Member, remove bool) []gooseberrymast.Member {
	next := append([]gooseberrymast.Member(nil), members...)
	i := random.IntN(len(next))
	if remove {
		return append(next[:i], next[i+1:]...)
	}
	switch random.IntN(3) {
	case 0:
		return append(next, member(len(next)))
	case 1:
		next[i].State = gooseberrymast.StateLeaving
	case 2:
		next[i].Weight = 5
	}
	return next
}

// balancerView is the state of one balancer.
type balancerView struct {
	zone              string
	current, previous *gooseberrymast.Table
}

// message is a packet, or a notification of a flow's new agent, on its way.
type message struct {
	to       gooseberrymast.Identity
	datagram int
	packet   opener.Packet
	moved    bool
	before   gooseberrymast.Identity
	after    gooseberrymast.Identity
}

// simulation has agents, balancers and the network between them, which delivers
// messages in any order.
type simulation struct {
	random  *rand.Rand
	agents  map[gooseberrymast.Identity]*opener.Opener
	busy    map[gooseberrymast.Identity]bool
	network []message
	takers  map[gooseberrymast.Identity]map[int]bool
	drops   int
	passed  int
}

func (s *simulation) send(balancer balancerView, key uint64, datagram int) error {
	query := router.Query{
		Service: service, Key: key, Opens: true,
		Zone: balancer.zone, Current: balancer.current, Previous: balancer.previous,
	}
	var route router.Route
	if err := router.Choose(&query, &route); err != nil {
		return err
	}
	packet := opener.Packet{Key: key, Takers: route.Takers, Homes: route.Homes}
	s.network = append(s.network, message{to: route.Homes[0], datagram: datagram, packet: packet})
	return nil
}

// deliver delivers one message, drawn at random, and sends what follows from it.
func (s *simulation) deliver() error {
	i := s.random.IntN(len(s.network))
	next := s.network[i]
	s.network = append(s.network[:i], s.network[i+1:]...)
	agent := s.agents[next.to]
	if agent == nil {
		return nil
	}
	if next.moved {
		agent.HandleMoved(next.packet.Key, next.before, next.after)
		return nil
	}
	if next.packet.Hop > opener.MaxHop {
		return fmt.Errorf("datagram %d reached %s at hop %d", next.datagram, next.to, next.packet.Hop)
	}
	decision := agent.FirstPacket(&next.packet, s.busy[next.to], now)
	switch decision.Verdict {
	case opener.VerdictTake:
		if s.takers[next.to] == nil {
			s.takers[next.to] = map[int]bool{}
		}
		s.takers[next.to][next.datagram] = true
	case opener.VerdictPass:
		s.pass(next, decision)
	case opener.VerdictDrop:
		s.drops++
	}
	return nil
}

func (s *simulation) pass(next message, decision opener.Decision) {
	s.passed++
	for _, home := range decision.Notify {
		if !home.IsZero() {
			s.network = append(s.network, message{
				to: home, packet: opener.Packet{Key: next.packet.Key}, moved: true, before: next.to, after: decision.Peer,
			})
		}
	}
	next.to = decision.Peer
	next.packet.Hop++
	next.packet.ToTaker = decision.ToTaker
	next.packet.Declined = decision.Declined
	s.network = append(s.network, next)
}

func newSimulation(random *rand.Rand, members int, busyShare float64) *simulation {
	s := &simulation{
		random: random,
		agents: map[gooseberrymast.Identity]*opener.Opener{},
		busy:   map[gooseberrymast.Identity]bool{},
		takers: map[gooseberrymast.Identity]map[int]bool{},
	}
	for n := range members {
		id := identity(n)
		s.agents[id] = &opener.Opener{Self: id}
		s.busy[id] = random.Float64() < busyShare
	}
	return s
}

// forSeeds runs a check with the random source of each of many seeds.
func forSeeds(t *testing.T, stream uint64, check func(seed uint64, random *rand.Rand) error) {
	t.Helper()
	for seed := range uint64(4000) {
		if err := check(seed, rand.New(rand.NewPCG(seed, stream))); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// scenario is the opening of one flow while two tables are in use.
type scenario struct {
	busy float64
	// afterUpdate is set when the other balancers have only the newer table
	// (they have dropped the older one), rather than only the older table
	// (they have not yet received the newer one).
	afterUpdate bool
	// removed is set when the change is the removal of a failed member.
	removed bool
}

// The datagrams of a flow must reach one agent while two tables are in use that
// differ by one change, through balancers of all zones and in any order.
func TestDatagramsReachOneAgent(t *testing.T) {
	tests := []struct {
		name string
		scenario
	}{
		{"before all have the change", scenario{}},
		{"before all have the change, some agents busy", scenario{busy: 0.4}},
		{"after all have the change", scenario{afterUpdate: true}},
		{"after all have the change, some agents busy", scenario{busy: 0.4, afterUpdate: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			passed := 0
			forSeeds(t, 1, func(_ uint64, random *rand.Rand) error {
				s, err := openFlow(random, test.scenario)
				if err != nil {
					return err
				}
				if test.busy == 0 {
					is.Equal(s.drops, 0) // nothing is dropped while no agent declines a flow
				}
				passed += s.passed
				return s.checkOneTaker()
			})
			is.True(passed > 4000) // packets were passed on
		})
	}
}

// The failure of a member must never leave a flow at two agents.
func TestRemovedMemberLeavesAtMostOneTaker(t *testing.T) {
	forSeeds(t, 2, func(seed uint64, random *rand.Rand) error {
		s, err := openFlow(random, scenario{removed: true, afterUpdate: seed%2 == 0})
		if err == nil && len(s.takers) > 1 {
			err = fmt.Errorf("%d agents took the flow", len(s.takers))
		}
		return err
	})
}

// While the home moves twice in a row two agents may take the datagrams, but none
// may be passed on more than MaxHop times, which the opener asserts as well.
func TestHopLimitHoldsWhileHomeMovesTwice(t *testing.T) {
	first, second, third := table(firstMembers(3)), table(firstMembers(4)), table(firstMembers(5))
	views := []balancerView{
		{current: first, previous: first},
		{current: second, previous: first},
		{current: third, previous: second},
	}
	forSeeds(t, 3, func(_ uint64, random *rand.Rand) error {
		return newSimulation(random, 5, 0.2).retransmit(random.Uint64(), views)
	})
}

// checkOneTaker returns an error unless one agent took the flow with all its datagrams.
func (s *simulation) checkOneTaker() error {
	if len(s.takers) != 1 {
		return fmt.Errorf("%d agents took the flow: %v", len(s.takers), s.takers)
	}
	for id, taken := range s.takers {
		if len(taken) != datagrams {
			return fmt.Errorf("%s got %d of %d datagrams", id, len(taken), datagrams)
		}
	}
	return nil
}

// datagrams is the number of datagrams of one flow's opening.
const datagrams = 3

// openFlow sends the datagrams of a flow several times, as a caller retransmits
// them. A datagram that was taken elsewhere because a busy agent's notification
// came too late reaches the flow's agent when it is repeated.
func openFlow(random *rand.Rand, scenario scenario) (*simulation, error) {
	members := firstMembers(2 + random.IntN(6))
	changed := change(random, members, scenario.removed)
	before, after := table(members), table(changed)
	other := balancerView{current: before, previous: before}
	if scenario.afterUpdate {
		other = balancerView{current: after, previous: after}
	}
	s := newSimulation(random, len(members)+1, scenario.busy)
	if scenario.removed {
		s.stopRemoved(members, changed)
	}
	return s, s.retransmit(random.Uint64(), []balancerView{other, {current: after, previous: before}})
}

// retransmit sends a flow's datagrams a few times, each through a balancer of
// any zone with one of the views.
func (s *simulation) retransmit(key uint64, views []balancerView) error {
	const rounds = 4
	for range rounds {
		for datagram := range datagrams {
			balancer := views[s.random.IntN(len(views))]
			balancer.zone = zones[s.random.IntN(len(zones))]
			if err := s.send(balancer, key, datagram); err != nil {
				return err
			}
		}
		for len(s.network) > 0 {
			if err := s.deliver(); err != nil {
				return err
			}
		}
	}
	return nil
}

// stopRemoved stops the agents that are no longer members.
func (s *simulation) stopRemoved(before, after []gooseberrymast.Member) {
	for _, member := range before {
		if !slices.ContainsFunc(after, func(m gooseberrymast.Member) bool { return m.Identity == member.Identity }) {
			delete(s.agents, member.Identity)
		}
	}
}
