package gooseberrymast

import "time"

// Status is what one balancer knows of its environment. Its counts come from
// reports that are a few seconds old.
type Status struct {
	// Instance is the balancer that answered.
	Instance Identity `json:"instance"`
	// Time is when the balancer answered, by its own clock.
	Time time.Time `json:"time"`
	// Environment is the environment's name.
	Environment string `json:"environment"`
	// Revision is the revision that the balancer has in force, or zero.
	Revision uint64 `json:"revision"`
	// Newest is the highest revision that the balancer has heard of. It is
	// never below Revision.
	Newest uint64 `json:"newest"`
	// Fault says why Newest isn't in force at the balancer, or is empty.
	Fault string `json:"fault,omitempty"`
	// Revisions lists the revisions in force anywhere, highest first, with
	// zero for instances that have none or sent no report.
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
	// StoreReachable tells whether the balancer's last store call was
	// answered; it is true before the first.
	StoreReachable bool `json:"store-reachable"`
}

// InForceEverywhere reports whether every live instance has Newest in force.
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
	// Instances counts the live instances that have it in force.
	Instances int `json:"instances"`
	// Identities names at most MaxStatusIdentities of the instances whose
	// revision isn't the newest; it is empty for the newest.
	Identities []Identity `json:"identities,omitempty"`
}

// MaxStatusIdentities bounds the identities that a status lists for one
// revision.
const MaxStatusIdentities = 100

// ServiceStatus lists the agents of one service.
type ServiceStatus struct {
	// Name is the service's name, or empty when no document in force names
	// a service with the tag.
	Name string `json:"name"`
	// Tag is the service's tag.
	Tag ServiceTag `json:"tag"`
	// Members are sorted by address.
	Members []MemberStatus `json:"members"`
	// Counts counts the agents in a summary, which lists none.
	Counts []MemberCount `json:"counts,omitempty"`
}

// MemberStatus is one process as the status shows it.
type MemberStatus struct {
	Identity Identity `json:"identity"`
	// Zone is the availability zone's name.
	Zone string `json:"zone"`
	// State is the announced state in kebab case.
	State string `json:"state"`
	// Suspect is set while no registrar holds a session with the process.
	Suspect bool `json:"suspect"`
	// Why is one sentence on why the process gets no new flows, or empty.
	Why string `json:"why,omitempty"`
	// Revision is the revision that the process has in force, or zero.
	Revision uint64 `json:"revision"`
}

// CellStatus is one cell of the membership and its lease.
type CellStatus struct {
	// Name is the cell's name: its availability zone and its number there.
	Name string `json:"name"`
	// Holder holds the cell's lease as the balancer last read it, or is zero.
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
