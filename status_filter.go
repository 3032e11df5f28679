package gooseberrymast

import (
	"cmp"
	"slices"
)

// StatusFilter selects a part of a status. The zero value selects all of it.
type StatusFilter struct {
	// Service selects one service and omits the balancers and the cells.
	Service string
	// Summary replaces lists of processes by counts.
	Summary bool
}

// MemberCount counts the processes with the same zone, state and suspicion.
type MemberCount struct {
	// Zone is the availability zone's name.
	Zone string `json:"zone"`
	// State is the announced state in kebab case.
	State string `json:"state"`
	// Suspect is set while no registrar holds a session with the processes.
	Suspect bool `json:"suspect"`
	// Count is the number of processes.
	Count int `json:"count"`
}

// Filter returns the part of the status that filter selects. The result is
// false when there is no service of that name.
func (s Status) Filter(filter StatusFilter) (Status, bool) {
	if filter.Service != "" {
		i := slices.IndexFunc(s.Services, func(service ServiceStatus) bool { return service.Name == filter.Service })
		if i < 0 {
			return s, false
		}
		s.Services = s.Services[i : i+1]
		s.Balancers = nil
		s.Cells = nil
	}
	if filter.Summary {
		s.BalancerCounts = countMembers(s.Balancers)
		s.Balancers = nil
		s.Services = slices.Clone(s.Services)
		for i := range s.Services {
			service := &s.Services[i]
			service.Counts = countMembers(service.Members)
			service.Members = nil
		}
	}
	return s, true
}

// countMembers counts members by availability zone, state and suspicion, in
// that sort order.
func countMembers(members []MemberStatus) []MemberCount {
	numbers := map[MemberCount]int{}
	for _, member := range members {
		numbers[MemberCount{Zone: member.Zone, State: member.State, Suspect: member.Suspect}]++
	}
	counts := make([]MemberCount, 0, len(numbers))
	for count, number := range numbers {
		count.Count = number
		counts = append(counts, count)
	}
	slices.SortFunc(counts, func(a, b MemberCount) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.State, b.State), cmp.Compare(boolRank(a.Suspect), boolRank(b.Suspect)))
	})
	return counts
}

// boolRank converts a flag to a sort key that orders false before true.
func boolRank(flag bool) int {
	if flag {
		return 1
	}
	return 0
}
