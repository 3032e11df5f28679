// Package router decides which agents a packet goes to. It does no I/O, keeps
// no state and allocates nothing.
//
// A packet of an established flow carries a token with the identity of its agent
// and goes there whatever the table holds: a balancer with an empty table routes
// it as well as any other.
//
// A packet that may open a flow is routed by weighted rendezvous hashing of
// its flow key over the members of the service. The route names two takers, the
// agents that may take the flow, beginning with the balancer's own availability
// zone, and up to two homes, the agents that decide between the takers. The
// first home is the member with the highest score over all zones. It does not
// depend on the balancer, so the packets of one flow meet there even if
// balancers of different zones received them; package opener describes how. The
// second home is the member with the highest score in the previous table, so that
// the packets meet even while the tables of balancers differ.
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

// Refusal is the reason why a packet has no route.
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

// Error implements the error interface.
func (r Refusal) Error() string {
	return "route: " + string(r)
}

// Token is the content of a connection id that an agent issued.
type Token struct {
	// Identity is the agent's; zero means that there is no token.
	Identity gooseberrymast.Identity
	// Service is the agent's service.
	Service gooseberrymast.ServiceTag
}

// Query is the input of a routing decision.
type Query struct {
	// Service is the service that the caller addressed.
	Service gooseberrymast.ServiceTag
	// Key is the hash of the id that the caller chose for the flow.
	Key uint64
	// Opens is set when the packet can open a flow.
	Opens bool
	// Token is zero when the packet carries none.
	Token Token
	// Zone is the balancer's availability zone; empty prefers none.
	Zone string
	// CrossZone is the service's setting; CrossZoneNever keeps flows in Zone.
	CrossZone string
	// Current and Previous are the table in force and the one before it;
	// either may be nil.
	Current, Previous *gooseberrymast.Table
	// Known also holds the members that get no new flows under the document in
	// force but can still be queried for a flow's taker; nil means Current.
	Known *gooseberrymast.Table
}

// Route names the agents that a packet goes to.
type Route struct {
	// Opening is set when the packet may open a flow; it is sent to Homes[0].
	// Otherwise it is sent to Takers[0] and there are no homes.
	Opening bool
	// Takers are the agents that may take the flow, in order of preference. Unused
	// ones are zero and last.
	Takers [Candidates]gooseberrymast.Identity
	// Homes are the agents that decide between takers, in order. Unused ones are
	// zero and last.
	Homes [Candidates]gooseberrymast.Identity
}

// Choose sets the route of a packet or returns a Refusal.
//
// A token of another service is refused unless the packet can open a flow. In
// that case the id is one that the caller chose and that happens to decrypt.
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
	return routeOpening(query, route)
}

func routeOpening(query *Query, route *Route) error {
	members := query.Current.Members(query.Service)
	local, all := rank(members, query)
	route.Takers[0] = local.ids[0]
	if query.CrossZone != gooseberrymast.CrossZoneNever {
		// The second taker may be of any zone. Otherwise zones with fewer
		// balancers or agents would hold more or fewer flows each.
		appendTakers(&route.Takers, all.ids)
	}
	appendTakers(&route.Takers, local.ids)
	if route.Takers[0].IsZero() {
		return RefusalNoMember
	}
	route.Opening = true
	route.Homes[0] = all.ids[0]
	if query.Previous == query.Current {
		return nil
	}
	_, previous := rank(query.Previous.Members(query.Service), query)
	if query.Known != nil {
		members = query.Known.Members(query.Service)
	}
	if previous.ids[0] != route.Homes[0] && reachable(members, previous.ids[0]) {
		route.Homes[1] = previous.ids[0]
	}
	return nil
}

// appendTakers adds the members that are not yet in takers, up to Candidates.
func appendTakers(takers *[Candidates]gooseberrymast.Identity, more [Candidates]gooseberrymast.Identity) {
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

// noneRoutable reports whether no member is ready and free of suspicion. In that
// case suspicion is ignored.
func noneRoutable(members []gooseberrymast.Member) bool {
	for i := range members {
		if members[i].Routable() {
			return false
		}
	}
	return true
}

// reachable reports whether the agent is a member that runs and isn't suspect, so
// that it can be queried for a flow's taker.
func reachable(members []gooseberrymast.Member, id gooseberrymast.Identity) bool {
	if id.IsZero() {
		return false
	}
	for i := range members {
		member := &members[i]
		if member.Identity != id {
			continue
		}
		running := member.State == gooseberrymast.StateReady || member.State == gooseberrymast.StateLeaving
		return running && !member.Suspect
	}
	return false
}

// ranking holds the members with the highest scores, the highest first.
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

// rank returns the members with the highest scores in the query's zone and in
// all zones. Members without an IPv4 address are left out, because headers and
// connection ids have room for IPv4 addresses only.
func rank(members []gooseberrymast.Member, query *Query) (local, all ranking) {
	ignoreSuspicion := noneRoutable(members)
	for i := range members {
		member := &members[i]
		eligible := member.Routable() || ignoreSuspicion && member.State == gooseberrymast.StateReady
		if !eligible || !member.Identity.Address.Addr().Is4() {
			continue
		}
		memberScore := score(query.Key, member)
		all.add(member.Identity, memberScore)
		if query.Zone == "" || member.Zone == query.Zone {
			local.add(member.Identity, memberScore)
		}
	}
	return local, all
}

// score returns the member's weight over an exponential variable drawn by the
// hash of key and address. The highest score falls on a member with a
// probability in proportion to its weight, and a change to one member moves only
// its share.
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
