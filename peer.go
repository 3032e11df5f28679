package gooseberrymast

import "time"

// Peer is what is known of one process that forwards packets. Its one writer
// is the process itself. It names its service in full, since a record's tag of
// 16 bits can stand for two services of a large fleet.
type Peer struct {
	// Endpoint receives forwarded packets and messages of peers.
	Endpoint Endpoint
	// Role is RoleAgent or RoleBalancer.
	Role Role
	// Incarnation rises with each restart at one endpoint.
	Incarnation uint64
	// Sequence rises with each change within an incarnation.
	Sequence uint64
	// State is that of the process and, at an agent, of its backend server.
	State State
	// Service is the service of an agent's backend server.
	Service string
	// Zone is the availability zone's name.
	Zone string
}

// Newer reports whether p supersedes other. Both must have one endpoint.
func (p Peer) Newer(other Peer) bool {
	if p.Incarnation != other.Incarnation {
		return p.Incarnation > other.Incarnation
	}
	return p.Sequence > other.Sequence
}

// FlowLoad is an agent's measure of its backend server, taken from the packets
// that pass.
type FlowLoad struct {
	// Slots is the number of requests that the server runs at once.
	Slots int
	// InProgress is the number of requests that the server has not answered.
	InProgress int
	// Flows is the number of open flows.
	Flows int
	// Cold is how much longer the server is slow after its start.
	Cold time.Duration
	// Failing is the share of the server's latest answers that were failures, 0
	// to 1.
	Failing float64
}

// DocumentNews tells which version of the document a process holds and how
// long ago it was known to be the latest.
type DocumentNews struct {
	// Version is zero when the process holds none.
	Version uint64
	// Age is the time since the sender itself read the version from the store.
	Age time.Duration
	// Confirmed is set when Age is known.
	Confirmed bool
}

// RosterDigests are hashes over the endpoints of the peers that a process knows,
// itself among them, without those that are gone.
type RosterDigests struct {
	Balancers, Agents uint64
}

// Report is what one process tells its peers again and again.
type Report struct {
	Peer     Peer
	Load     FlowLoad
	Document DocumentNews
	// Digests tell whether sender and receiver know the same peers.
	Digests RosterDigests
}
