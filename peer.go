package gooseberrymast

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peer describes one process that forwards packets. Only that process writes
// it. It holds the full name of the service because the 16-bit tag of a Record
// can stand for two services of a large fleet.
type Peer struct {
	// Endpoint receives forwarded packets and messages of peers.
	Endpoint Endpoint
	// Role is RoleAgent or RoleBalancer.
	Role Role
	// Incarnation rises with each restart at the endpoint.
	Incarnation uint64
	// Sequence rises with each change within an incarnation.
	Sequence uint64
	// State is the state of the process and, at an agent, of its backend server.
	State State
	// Service is the service of an agent's backend server.
	Service string
	// Zone is the availability zone's name.
	Zone string
}

// Newer reports whether p supersedes other. Both must have the same endpoint.
func (p Peer) Newer(other Peer) bool {
	if p.Incarnation != other.Incarnation {
		return p.Incarnation > other.Incarnation
	}
	return p.Sequence > other.Sequence
}

// FlowLoad is the load of a backend server, as its agent measures it from the
// packets that it forwards.
type FlowLoad struct {
	// Slots is the number of requests that the server runs at once.
	Slots int
	// InProgress is the number of requests that the server has not answered.
	InProgress int
	// Flows is the number of open flows.
	Flows int
	// WarmUpLeft is the remaining time for which the server is slow after its start.
	WarmUpLeft time.Duration
	// Limited is set while the agent limits the new flows of a cold server, and Room is
	// the number that it will take until its next report.
	Limited bool
	Room    int
	// Failing is the share of failures among the server's latest responses, 0
	// to 1.
	Failing float64
	// Work is the expected work of the requests; zero if the agent reports counts only.
	Work WorkLoad
}

// MaxRouteCosts is the number of routes in a WorkLoad: the customers' services have up to
// three routes each.
const MaxRouteCosts = 4

// WorkLoad is the work that an agent expects of its backend server, in time at this
// server's speed.
type WorkLoad struct {
	// Cost is the expected time in a slot of a request, over all routes. It is zero in a
	// zero WorkLoad only.
	Cost time.Duration
	// Outstanding is the expected time in a slot of the requests in progress and queued,
	// less the time for which they had one, divided by the slots.
	Outstanding time.Duration
	// FlowShare is the share of the slots that requests on open flows are expected to
	// take; over 1 if these exceed the server's capacity.
	FlowShare float64
	// RouteCosts are the expected times in a slot of the routes that cause the most work;
	// unused ones are zero.
	RouteCosts [MaxRouteCosts]RouteCost
}

// RouteCost is the expected time in a slot of a route's requests.
type RouteCost struct {
	// Tag is the RouteTag of the route's address.
	Tag  uint32
	Cost time.Duration
}

// RouteTag returns a hash that identifies a route's address in a report. Two addresses of
// one service with the same tag take each other's cost, which is an estimate in any case.
func RouteTag(address Endpoint) uint32 {
	ip := address.IP
	return uint32(xxhash.Sum64([]byte{ip[0], ip[1], ip[2], ip[3], byte(address.Port >> 8), byte(address.Port)}))
}

// DocumentStatus is the version of the document that a process holds, and the
// time since it was confirmed to be the latest.
type DocumentStatus struct {
	// Version is zero when the process holds none.
	Version DocumentVersion
	// StoreEra is the highest era of the store that the process has seen; zero when it
	// has seen none.
	StoreEra uint64
	// SettledEra is the highest era that the process knows to have settled: every
	// running instance has had the time to verify its entry in the store.
	SettledEra uint64
	// ReadAge is the time since the sender itself read the store's document, whichever
	// version it found there.
	ReadAge time.Duration
	// Read is set when ReadAge is valid.
	Read bool
	// Age is the time since the sender itself read the version from the store.
	Age time.Duration
	// Confirmed is set when Age is valid.
	Confirmed bool
}

// RosterDigests are hashes over the endpoints of the peers in a process's
// roster, itself included and those in StateGone excluded.
type RosterDigests struct {
	Balancers, Agents uint64
}

// Report is what one process sends to its peers at regular intervals.
type Report struct {
	Peer     Peer
	Load     FlowLoad
	Document DocumentStatus
	// Digests differ when sender and receiver hold different peers.
	Digests RosterDigests
	// Relayed is set when peers of other availability zones learn about the sender
	// from the summaries of its own zone. Otherwise it reports to them itself.
	Relayed bool
	// Evacuations is what the sender knows of evacuated zones.
	Evacuations EvacuationStatus
}

// PeerSummary is what a relay knows about one peer of its availability zone.
type PeerSummary struct {
	Peer Peer
	// Load is from the peer's last report to the relay.
	Load FlowLoad
	// Silence is the time since that report, or, without one, since the relay could
	// first have received it.
	Silence time.Duration
	// Heard is set when the peer has reported to the relay.
	Heard bool
}

// Summary is what a relay sends to the other availability zones about the peers of
// its own.
type Summary struct {
	// Zone is the relay's availability zone.
	Zone string
	// Forwarded is set when the summary was passed on inside the receiver's zone.
	// It is not passed on again.
	Forwarded bool
	// Document is the relay's own status; zero in a forwarded summary, since its age
	// would be too low by the time that forwarding took.
	Document DocumentStatus
	// Evacuations is the relay's own status, too.
	Evacuations EvacuationStatus
	Peers       []PeerSummary
}
