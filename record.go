package gooseberrymast

import (
	"maps"
	"net/netip"
)

// Role is the kind of a process that forwards packets.
type Role uint8

// The roles of a process.
const (
	RoleAgent Role = iota + 1
	RoleBalancer
)

// String returns the role in kebab case.
func (r Role) String() string {
	switch r {
	case RoleAgent:
		return "agent"
	case RoleBalancer:
		return "balancer"
	}
	return "unknown"
}

// State is the life-cycle state that a process announces.
type State uint8

// The states, in the order in which a process passes through them.
const (
	StateStarting State = iota + 1
	StateReady
	StateLeaving
	StateGone
)

// String returns the state in kebab case.
func (s State) String() string {
	switch s {
	case StateStarting:
		return "starting"
	case StateReady:
		return "ready"
	case StateLeaving:
		return "leaving"
	case StateGone:
		return "gone"
	}
	return "unknown"
}

// Record is what one process announces about itself.
type Record struct {
	// Identity is the process that the record describes, its only writer.
	Identity Identity
	// Sequence rises with each change that the writer makes within its incarnation.
	Sequence uint32
	// Control is the TCP address for sessions between processes.
	Control netip.AddrPort
	// Role is RoleAgent or RoleBalancer.
	Role Role
	// State never moves back within one incarnation.
	State State
	// Service is the tag of the agent's service and zero for a balancer.
	Service ServiceTag
	// Zone is the availability zone's name.
	Zone string
	// Weight is the agent's weight for new flows relative to the service's other
	// agents; zero counts as one.
	Weight uint16
}

// Newer reports whether r supersedes other. Both must have the same address.
func (r Record) Newer(other Record) bool {
	if r.Identity.Incarnation != other.Identity.Incarnation {
		return r.Identity.Incarnation > other.Identity.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Member is a record with its reachability, as routing uses it.
type Member struct {
	Record
	// Suspect is set while no registrar holds a session with the process.
	// A suspect member receives no new flows; established flows are still
	// forwarded to it.
	Suspect bool
}

// Routable reports whether the member may receive new flows.
func (m Member) Routable() bool {
	return m.State == StateReady && !m.Suspect
}

// Table is an immutable snapshot of the members by service.
type Table struct {
	// Version rises with each snapshot that one directory publishes.
	Version uint64
	// Revision is the revision of the document in force, or zero before any.
	Revision uint64
	// Services holds the agents of each service, sorted by address.
	Services map[ServiceTag][]Member
}

// Members returns the agents of a service; it returns nil for a nil table.
func (t *Table) Members(service ServiceTag) []Member {
	if t == nil {
		return nil
	}
	return t.Services[service]
}

// clone copies the table; the lists of members are shared.
func (t *Table) clone() *Table {
	other := *t
	other.Services = maps.Clone(t.Services)
	return &other
}
