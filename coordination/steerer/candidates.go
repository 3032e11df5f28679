package steerer

import (
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/chooser"
	"gooseberrymast/state/roster"
)

// candidates returns the agents that may take a new flow of a route, all of one
// service: the one drawn by weight, or the next one that has any. Agents
// without a recent report are used only when none has one, those of evacuated zones
// never.
func (s *Steerer) candidates(route gooseberrymast.Route, now time.Time) (string, []chooser.Candidate) {
	s.chooser.Zone, s.chooser.ByWork = s.Zone, s.PlacesByWork
	first := s.drawService(route)
	evacuated := s.evacuatedZones()
	for i := range route.Backends {
		service := route.Backends[(first+i)%len(route.Backends)].Service
		reporting, silent := s.reporting[:0], s.silent[:0]
		balancers, ownBalancers := 1, 1
		s.Roster.Each(func(entry roster.Entry) {
			if entry.Role == gooseberrymast.RoleBalancer && entry.State == gooseberrymast.StateReady && entry.Reporting(now) {
				balancers++
				if entry.Zone == s.Zone {
					ownBalancers++
				}
			}
			if entry.Role != gooseberrymast.RoleAgent || entry.Service != service || slices.Contains(evacuated, entry.Zone) {
				return
			}
			candidate := chooser.Candidate{Endpoint: entry.Endpoint, Zone: entry.Zone, Load: entry.Load, Reported: entry.ReportedAt}
			switch {
			case entry.Reporting(now) && entry.State == gooseberrymast.StateReady:
				reporting = append(reporting, candidate)
			case !entry.Reporting(now) && (entry.State == gooseberrymast.StateReady || entry.State == gooseberrymast.StateStarting):
				silent = append(silent, candidate)
			}
		})
		s.reporting, s.silent = reporting, silent
		chooser.ShareRoom(reporting, s.Zone, balancers, ownBalancers)
		if len(reporting) > 0 {
			return service, reporting
		}
		if len(silent) > 0 {
			return service, silent
		}
	}
	return "", nil
}

func (s *Steerer) drawService(route gooseberrymast.Route) int {
	var total uint32
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	if total == 0 {
		return 0
	}
	drawn := s.Random.Uint32N(total)
	for i, backend := range route.Backends {
		if drawn < backend.Weight {
			return i
		}
		drawn -= backend.Weight
	}
	return 0
}

// readyBalancers returns the balancers among which the lookup balancers of a flow
// are chosen, including this one.
func (s *Steerer) readyBalancers(now time.Time) []gooseberrymast.Endpoint {
	balancers := []gooseberrymast.Endpoint{s.Self}
	s.Roster.Each(func(entry roster.Entry) {
		if entry.Role == gooseberrymast.RoleBalancer && entry.State == gooseberrymast.StateReady && entry.Reporting(now) {
			balancers = append(balancers, entry.Endpoint)
		}
	})
	return balancers
}

// moveFirst returns endpoints with first in front, whether or not it was among them.
func moveFirst(endpoints []gooseberrymast.Endpoint, first gooseberrymast.Endpoint) []gooseberrymast.Endpoint {
	moved := []gooseberrymast.Endpoint{first}
	for _, endpoint := range endpoints {
		if endpoint != first {
			moved = append(moved, endpoint)
		}
	}
	return moved
}
