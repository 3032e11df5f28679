package gooseberrymast

import "time"

// Status is one balancer's view of its environment. Its counts come from
// reports that are a few seconds old.
type Status struct {
	// Instance is the balancer that made the status.
	Instance Identity `json:"instance"`
	// Time is when the balancer made the status, by its own clock.
	Time time.Time `json:"time"`
	// Environment is the environment's name.
	Environment string `json:"environment"`
	// Revision is the revision that the balancer has in force, or zero.
	Revision uint64 `json:"revision"`
	// Newest is the highest revision that was reported to the balancer. It is
	// never below Revision.
	Newest uint64 `json:"newest"`
	// Fault explains why Newest isn't in force at the balancer, or is empty.
	Fault string `json:"fault,omitempty"`
	// Revisions lists the revisions in force at any instance, highest first.
	// Zero counts the instances that have none or sent no report.
	Revisions []RevisionStatus `json:"revisions"`
	// Services lists the services by name.
	Services []ServiceStatus `json:"services"`
	// Balancers lists the balancers by address.
	Balancers []MemberStatus `json:"balancers"`
	// BalancerCounts counts the balancers in a summary, which lists none.
	BalancerCounts []MemberCount `json:"balancer-counts,omitempty"`
	// Cells lists the cells by name.
	Cells []CellStatus `json:"cells"`
	// Violations counts the violated invariants of the balancer by name.
	Violations []ViolationStatus `json:"violations,omitempty"`
	// StoreReachable is set when the store answered the balancer's last call,
	// and before the first call.
	StoreReachable bool `json:"store-reachable"`
}

// InForceEverywhere reports whether every running instance has Newest in force.
func (s Status) InForceEverywhere() bool {
	if s.Newest == 0 || s.Revision != s.Newest {
		return false
	}
	for _, revision := range s.Revisions {
		if revision.Number != s.Newest && revision.Instances > 0 {
			return false
		}
	}
	return true
}

// RevisionStatus counts the instances that have one revision in force.
type RevisionStatus struct {
	// Number is the revision, or zero for instances without one.
	Number uint64 `json:"number"`
	// Instances counts the running instances that have it in force.
	Instances int `json:"instances"`
	// Identities lists at most MaxStatusIdentities of these instances; it is
	// empty for the newest revision.
	Identities []Identity `json:"identities,omitempty"`
}

// MaxStatusIdentities bounds the identities that a status lists for one
// revision.
const MaxStatusIdentities = 100

// ServiceStatus lists the agents of one service.
type ServiceStatus struct {
	// Name is the service's name, or empty when the document in force has no
	// service with the tag.
	Name string `json:"name"`
	// Tag is the service's tag.
	Tag ServiceTag `json:"tag"`
	// Members are sorted by address.
	Members []MemberStatus `json:"members"`
	// Counts counts the agents in a summary, which lists none.
	Counts []MemberCount `json:"counts,omitempty"`
}

// MemberStatus is the status of one process.
type MemberStatus struct {
	Identity Identity `json:"identity"`
	// Zone is the availability zone's name.
	Zone string `json:"zone"`
	// State is the announced state in kebab case.
	State string `json:"state"`
	// Suspect is set while no registrar holds a session with the process.
	Suspect bool `json:"suspect"`
	// Why explains in one sentence why the process receives no new flows, or is
	// empty.
	Why string `json:"why,omitempty"`
	// Revision is the revision that the process has in force, or zero.
	Revision uint64 `json:"revision"`
}

// CellStatus is one cell of the membership and its lease.
type CellStatus struct {
	// Name is the cell's name: its availability zone and its number there.
	Name string `json:"name"`
	// Holder is the holder of the cell's lease as last read by the balancer, or
	// zero.
	Holder Identity `json:"holder"`
	// Version is the version of the cell's object in the store.
	Version uint64 `json:"version"`
	// Members counts the records of the cell.
	Members int `json:"members"`
}

// ViolationStatus counts the violations of one invariant.
type ViolationStatus struct {
	Invariant string `json:"invariant"`
	Count     uint64 `json:"count"`
}
