package gooseberrymast

import (
	"maps"
	"net/netip"
)

// Role tells a balancer's record from an agent's.
type Role uint8

// The roles of a process.
const (
	RoleAgent Role = iota + 1
	RoleBalancer
)

// String gives the role in kebab case.
func (r Role) String() string {
	switch r {
	case RoleAgent:
		return "agent"
	case RoleBalancer:
		return "balancer"
	}
	return "unknown"
}

// State is the stage of a process that its record announces.
type State uint8

// The states of a record, in the order in which a process passes them.
const (
	StateStarting State = iota + 1
	StateReady
	StateLeaving
	StateGone
)

// String gives the state in kebab case.
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
	// Identity names the one writer of the record.
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
	// Weight is the share of new flows against the other records of the
	// service; zero counts as one.
	Weight uint16
}

// Newer reports whether r supersedes other. Both must have one address.
func (r Record) Newer(other Record) bool {
	if r.Identity.Incarnation != other.Identity.Incarnation {
		return r.Identity.Incarnation > other.Identity.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Member is a record as a router sees it.
type Member struct {
	Record
	// Suspect is set while no registrar holds a session with the process.
	// A suspect member gets no new flows; its established ones are forwarded.
	Suspect bool
}

// Routable reports whether the member may be given new flows.
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

// Members gives the agents of a service. A nil table has none.
func (t *Table) Members(service ServiceTag) []Member {
	if t == nil {
		return nil
	}
	return t.Services[service]
}

// clone copies the table but for the members' lists.
func (t *Table) clone() *Table {
	other := *t
	other.Services = maps.Clone(t.Services)
	return &other
}
