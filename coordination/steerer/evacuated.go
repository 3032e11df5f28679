package steerer

import (
	"slices"

	"gooseberrymast"
)

// SetEvacuated sets the zones that take no new flows. The caller must not change them
// afterwards.
func (s *Steerer) SetEvacuated(zones []string) {
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	s.evacuated = zones
}

func (s *Steerer) evacuatedZones() []string {
	s.routesMu.RLock()
	defer s.routesMu.RUnlock()
	return s.evacuated
}

func (s *Steerer) inEvacuatedZone(agent gooseberrymast.Endpoint) bool {
	evacuated := s.evacuatedZones()
	if len(evacuated) == 0 {
		return false
	}
	entry, known := s.Roster.Get(agent)
	return known && slices.Contains(evacuated, entry.Zone)
}
