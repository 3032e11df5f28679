// Package router decides which agents a packet goes to. It does no I/O, keeps
// no state and allocates nothing.
//
// A packet of an established flow shows a token, the identity of its agent,
// and goes there whatever the table says: a balancer with an empty table
// routes it as well as any other.
//
// A packet that may open a flow is routed by weighted rendezvous hashing of
// its flow key over the members of the service. The result names two takers,
// the members that may take the flow in the balancer's own availability zone
// first, and up to two homes. The home is the first member over all zones. It
// does not depend on the balancer, so the packets of one flow meet there even
// if balancers of different zones got them; package opener says how. The
// second home is the first member by the previous table, so that the packets
// meet even while the tables of balancers differ.
package router

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"gooseberrymast"
)

// Candidates is the number of takers and of homes in a Route.
const Candidates = 2

// Refusal says why a packet has no route.
type Refusal string

// The refusals of a packet.
const (
	// RefusalWrongService is a token of another service.
	RefusalWrongService Refusal = "wrong-service"
	// RefusalNoMember is an opening packet of a service that has no member
	// in the zones allowed.
	RefusalNoMember Refusal = "no-member"
	// RefusalNotOpening is a packet without a token that can't open a flow.
	RefusalNotOpening Refusal = "not-opening"
)

// Error makes a refusal an error.
func (r Refusal) Error() string {
	return "route: " + string(r)
}

// Token is the content of a connection id that an agent made.
type Token struct {
	// Identity is the agent; zero stands for no token.
	Identity gooseberrymast.Identity
	// Service is the agent's service.
	Service gooseberrymast.ServiceTag
}

// Query is what the router knows of one packet and of the fleet.
type Query struct {
	// Service is the service that the caller addressed.
	Service gooseberrymast.ServiceTag
	// Key is the hash of the id that the caller chose for the flow.
	Key uint64
	// Opens is set when the packet can open a flow.
	Opens bool
	// Token is zero when the packet shows none.
	Token Token
	// Zone is the balancer's availability zone; empty prefers none.
	Zone string
	// CrossZone is the service's rule; CrossZoneNever keeps flows in Zone.
	CrossZone string
	// Current and Previous are the table in force and the one before it;
	// either may be nil.
	Current, Previous *gooseberrymast.Table
	// Known holds also the members that get no new flows under the document
	// in force, but may still be asked for a flow's taker; nil stands for
	// Current.
	Known *gooseberrymast.Table
}

// Route names the agents that a packet goes to.
type Route struct {
	// Opening is set when the packet may open a flow; it is sent to Homes[0].
	// Otherwise it is sent to Takers[0] and there are no homes.
	Opening bool
	// Takers are the agents that may take the flow, in order; unused ones are
	// zero and last.
	Takers [Candidates]gooseberrymast.Identity
	// Homes decide between takers, in order; unused ones are zero and last.
	Homes [Candidates]gooseberrymast.Identity
}

// Choose finds the route of a packet, or gives a Refusal.
//
// A token of another service is refused unless the packet can open a flow:
// then the id is one of the caller's own making that happens to decrypt.
func Choose(query *Query, route *Route) error {
	*route = Route{}
	token := &query.Token
	if !token.Identity.IsZero() && token.Service == query.Service {
		route.Takers[0] = token.Identity
		return nil
	}
	if !query.Opens {
		if token.Identity.IsZero() {
			return RefusalNotOpening
		}
		return RefusalWrongService
	}
	return open(query, route)
}

func open(query *Query, route *Route) error {
	members := query.Current.Members(query.Service)
	local, all := rank(members, query)
	route.Takers[0] = local.ids[0]
	if query.CrossZone != gooseberrymast.CrossZoneNever {
		// The second taker may be of any zone: zones whose balancers or
		// agents are fewer would otherwise hold more or fewer flows each.
		fill(&route.Takers, all.ids)
	}
	fill(&route.Takers, local.ids)
	if route.Takers[0].IsZero() {
		return RefusalNoMember
	}
	route.Opening = true
	route.Homes[0] = all.ids[0]
	if query.Previous == query.Current {
		return nil
	}
	_, before := rank(query.Previous.Members(query.Service), query)
	if query.Known != nil {
		members = query.Known.Members(query.Service)
	}
	if before.ids[0] != route.Homes[0] && answers(members, before.ids[0]) {
		route.Homes[1] = before.ids[0]
	}
	return nil
}

// fill adds the members that are not yet in takers.
func fill(takers *[Candidates]gooseberrymast.Identity, more [Candidates]gooseberrymast.Identity) {
	for _, id := range more {
		if id.IsZero() || id == takers[0] || id == takers[1] {
			continue
		}
		if takers[0].IsZero() {
			takers[0] = id
		} else if takers[1].IsZero() {
			takers[1] = id
		}
	}
}

// noneRoutable reports whether every member is suspect or not ready. Then
// suspicion is ignored.
func noneRoutable(members []gooseberrymast.Member) bool {
	for i := range members {
		if members[i].Routable() {
			return false
		}
	}
	return true
}

// answers reports whether the agent is a member that runs and isn't suspect, so
// that it can be asked who takes a flow.
func answers(members []gooseberrymast.Member, id gooseberrymast.Identity) bool {
	if id.IsZero() {
		return false
	}
	for i := range members {
		member := &members[i]
		if member.Identity != id {
			continue
		}
		alive := member.State == gooseberrymast.StateReady || member.State == gooseberrymast.StateLeaving
		return alive && !member.Suspect
	}
	return false
}

// ranking holds the members with the highest scores.
type ranking struct {
	ids    [Candidates]gooseberrymast.Identity
	scores [Candidates]float64
}

func (r *ranking) add(id gooseberrymast.Identity, score float64) {
	switch {
	case score > r.scores[0]:
		r.ids[1], r.scores[1] = r.ids[0], r.scores[0]
		r.ids[0], r.scores[0] = id, score
	case score > r.scores[1]:
		r.ids[1], r.scores[1] = id, score
	}
}

// rank gives the members with the highest scores in the query's zone and in
// all zones. Headers and connection ids have room for IPv4 addresses only.
func rank(members []gooseberrymast.Member, query *Query) (local, all ranking) {
	lenient := noneRoutable(members)
	for i := range members {
		member := &members[i]
		willing := member.Routable() || lenient && member.State == gooseberrymast.StateReady
		if !willing || !member.Identity.Address.Addr().Is4() {
			continue
		}
		points := score(query.Key, member)
		all.add(member.Identity, points)
		if query.Zone == "" || member.Zone == query.Zone {
			local.add(member.Identity, points)
		}
	}
	return local, all
}

// score is the member's weight over an exponential variable drawn by the hash
// of key and address: the highest of these falls on a member with a chance in
// proportion to its weight, and a change to one member moves only its share.
func score(key uint64, member *gooseberrymast.Member) float64 {
	weight := float64(max(member.Weight, 1))
	uniform := (float64(hash(key, member.Identity.Address)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

func hash(key uint64, address netip.AddrPort) uint64 {
	var input [14]byte
	ip := address.Addr().As4()
	binary.LittleEndian.PutUint64(input[:], key)
	copy(input[8:], ip[:])
	binary.LittleEndian.PutUint16(input[12:], address.Port())
	return xxhash.Sum64(input[:])
}
