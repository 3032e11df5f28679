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

// change gives the members after one change at random: a join, a member that
// begins to leave, another weight, or a member that is gone if die is set.
func change(random *rand.Rand, members []gooseberrymast.Member, die bool) []gooseberrymast.Member {
	next := append([]gooseberrymast.Member(nil), members...)
	i := random.IntN(len(next))
	if die {
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

// view is what one balancer knows.
type view struct {
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

// run is a fleet of agents and balancers, and the network between them, which
// delivers in any order.
type run struct {
	random  *rand.Rand
	agents  map[gooseberrymast.Identity]*opener.Opener
	busy    map[gooseberrymast.Identity]bool
	network []message
	takers  map[gooseberrymast.Identity]map[int]bool
	drops   int
	passed  int
}

func (r *run) send(balancer view, key uint64, datagram int) error {
	query := router.Query{
		Service: service, Key: key, Opens: true,
		Zone: balancer.zone, Current: balancer.current, Previous: balancer.previous,
	}
	var route router.Route
	if err := router.Choose(&query, &route); err != nil {
		return err
	}
	packet := opener.Packet{Key: key, Takers: route.Takers, Homes: route.Homes}
	r.network = append(r.network, message{to: route.Homes[0], datagram: datagram, packet: packet})
	return nil
}

// deliver hands one message over, drawn at random, and sends what follows.
func (r *run) deliver() error {
	i := r.random.IntN(len(r.network))
	next := r.network[i]
	r.network = append(r.network[:i], r.network[i+1:]...)
	agent := r.agents[next.to]
	if agent == nil {
		return nil
	}
	if next.moved {
		agent.Moved(next.packet.Key, next.before, next.after)
		return nil
	}
	if next.packet.Hop > opener.MaxHop {
		return fmt.Errorf("datagram %d reached %s at hop %d", next.datagram, next.to, next.packet.Hop)
	}
	decision := agent.FirstPacket(&next.packet, r.busy[next.to], now)
	switch decision.Verdict {
	case opener.VerdictTake:
		if r.takers[next.to] == nil {
			r.takers[next.to] = map[int]bool{}
		}
		r.takers[next.to][next.datagram] = true
	case opener.VerdictPass:
		r.pass(next, decision)
	case opener.VerdictDrop:
		r.drops++
	}
	return nil
}

func (r *run) pass(next message, decision opener.Decision) {
	r.passed++
	for _, home := range decision.Tell {
		if !home.IsZero() {
			r.network = append(r.network, message{
				to: home, packet: opener.Packet{Key: next.packet.Key}, moved: true, before: next.to, after: decision.Peer,
			})
		}
	}
	next.to = decision.Peer
	next.packet.Hop++
	next.packet.Given = decision.Given
	next.packet.Declined = decision.Declined
	r.network = append(r.network, next)
}

func newRun(random *rand.Rand, members int, chanceBusy float64) *run {
	r := &run{
		random: random,
		agents: map[gooseberrymast.Identity]*opener.Opener{},
		busy:   map[gooseberrymast.Identity]bool{},
		takers: map[gooseberrymast.Identity]map[int]bool{},
	}
	for n := range members {
		id := identity(n)
		r.agents[id] = &opener.Opener{Self: id}
		r.busy[id] = random.Float64() < chanceBusy
	}
	return r
}

// forSeeds makes a check with the random source of each of many seeds.
func forSeeds(t *testing.T, stream uint64, check func(seed uint64, random *rand.Rand) error) {
	t.Helper()
	for seed := range uint64(4000) {
		if err := check(seed, rand.New(rand.NewPCG(seed, stream))); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// trial is one flow's opening while two tables are in use.
type trial struct {
	busy float64
	// late is set when the newer table's balancers meet those that have
	// already forgotten the older one, in place of those that have not yet
	// heard of the newer.
	late bool
	// die is set when the change is a member's death.
	die bool
}

// The datagrams of a flow meet at one agent while two tables are in use, which
// differ by one change, through balancers of all zones and in any order.
func TestDatagramsMeet(t *testing.T) {
	tests := []struct {
		name string
		trial
	}{
		{"before all have the change", trial{}},
		{"before all have the change, some agents busy", trial{busy: 0.4}},
		{"after all have the change", trial{late: true}},
		{"after all have the change, some agents busy", trial{busy: 0.4, late: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			passed := 0
			forSeeds(t, 1, func(_ uint64, random *rand.Rand) error {
				r, err := openFlow(random, test.trial)
				if err != nil {
					return err
				}
				if test.busy == 0 {
					is.Equal(r.drops, 0) // nothing is dropped where no agent moves the flow
				}
				passed += r.passed
				return r.met()
			})
			is.True(passed > 4000) // the runs passed packets on
		})
	}
}

// A member's death never leaves a flow at two agents.
func TestDeathLeavesOneTaker(t *testing.T) {
	forSeeds(t, 2, func(seed uint64, random *rand.Rand) error {
		r, err := openFlow(random, trial{die: true, late: seed%2 == 0})
		if err == nil && len(r.takers) > 1 {
			err = fmt.Errorf("%d agents took the flow", len(r.takers))
		}
		return err
	})
}

// While the home moves twice in a row the datagrams may be taken by two agents,
// but none is passed on too often, which the opener asserts as well.
func TestTwoChangesKeepTheHopLimit(t *testing.T) {
	first, second, third := table(firstMembers(3)), table(firstMembers(4)), table(firstMembers(5))
	views := []view{
		{current: first, previous: first},
		{current: second, previous: first},
		{current: third, previous: second},
	}
	forSeeds(t, 3, func(_ uint64, random *rand.Rand) error {
		return newRun(random, 5, 0.2).retransmit(random.Uint64(), views)
	})
}

// met reports whether one agent took the flow with all its datagrams.
func (r *run) met() error {
	if len(r.takers) != 1 {
		return fmt.Errorf("%d agents took the flow: %v", len(r.takers), r.takers)
	}
	for id, taken := range r.takers {
		if len(taken) != datagrams {
			return fmt.Errorf("%s got %d of %d datagrams", id, len(taken), datagrams)
		}
	}
	return nil
}

// datagrams is the number of datagrams of one flow's opening.
const datagrams = 3

// openFlow sends the datagrams of a flow several times, as a caller retransmits
// them. A repeated datagram arrives where a busy agent's notification came too
// late for the first.
func openFlow(random *rand.Rand, trial trial) (*run, error) {
	members := firstMembers(2 + random.IntN(6))
	changed := change(random, members, trial.die)
	before, after := table(members), table(changed)
	other := view{current: before, previous: before}
	if trial.late {
		other = view{current: after, previous: after}
	}
	r := newRun(random, len(members)+1, trial.busy)
	if trial.die {
		r.kill(members, changed)
	}
	return r, r.retransmit(random.Uint64(), []view{other, {current: after, previous: before}})
}

// retransmit sends a flow's datagrams a few times, each through a balancer of
// any zone with one of the views.
func (r *run) retransmit(key uint64, views []view) error {
	const rounds = 4
	for range rounds {
		for datagram := range datagrams {
			balancer := views[r.random.IntN(len(views))]
			balancer.zone = zones[r.random.IntN(len(zones))]
			if err := r.send(balancer, key, datagram); err != nil {
				return err
			}
		}
		for len(r.network) > 0 {
			if err := r.deliver(); err != nil {
				return err
			}
		}
	}
	return nil
}

// kill stops the agents that are no longer members.
func (r *run) kill(before, after []gooseberrymast.Member) {
	for _, member := range before {
		if !slices.ContainsFunc(after, func(m gooseberrymast.Member) bool { return m.Identity == member.Identity }) {
			delete(r.agents, member.Identity)
		}
	}
}
