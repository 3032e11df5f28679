package regulator

import (
	"container/list"
	"encoding/binary"
	"slices"
	"time"

	"gooseberrymast"
)

const (
	// maxSources bounds the zones and the caller addresses that are counted. The one that has
	// had no offer for the longest makes room for a new one.
	maxSources = 256
	// sharePeriod is the period over which shares are counted: a source that begins to
	// crowd out others is found within a second.
	sharePeriod = time.Second
	// levelInterval is the time for which a fair level is used, so that one decision
	// doesn't cost a pass over all sources.
	levelInterval = 50 * time.Millisecond
	// shareTolerance is the factor by which a source may exceed its fair share: some 20
	// flows a second at one server vary that much by chance.
	shareTolerance = 1.25
	// minAdmitted is the number of flows up to which a source is never over its share.
	minAdmitted = 4
	// minRouteShare is the share of the admitted flows that each route gets if it asks
	// for as many.
	minRouteShare = 0.05
)

// shares counts the offered and admitted flows of each source. Under contention a source
// exceeds its fair share once it has more than the level at which the admitted flows
// are divided evenly among the sources, none of which gets more than it asked for
// (max-min fairness).
type shares[K comparable] struct {
	sources map[K]*list.Element
	// recent holds the sources' counts, the one that was offered last at the back.
	recent *list.List
	// level is the fair level at levelAt; zero while there is no contention.
	level   float64
	levelAt time.Time
}

type sourceCounts[K comparable] struct {
	key              K
	offers, admitted decayed
}

// source returns a source's counts and creates them if necessary.
func (s *shares[K]) source(key K) *sourceCounts[K] {
	if found := s.sources[key]; found != nil {
		return found.Value.(*sourceCounts[K])
	}
	if s.sources == nil {
		s.sources, s.recent = map[K]*list.Element{}, list.New()
	}
	if len(s.sources) >= maxSources {
		oldest := s.recent.Remove(s.recent.Front()).(*sourceCounts[K])
		delete(s.sources, oldest.key)
	}
	created := &sourceCounts[K]{key: key}
	s.sources[key] = s.recent.PushBack(created)
	return created
}

func (s *shares[K]) offer(key K, now time.Time) {
	s.source(key).offers.add(1, now, sharePeriod)
	s.recent.MoveToBack(s.sources[key])
}

func (s *shares[K]) admit(key K, now time.Time) {
	s.source(key).admitted.add(1, now, sharePeriod)
}

// exceeds reports whether a source has more than its fair share.
func (s *shares[K]) exceeds(key K, now time.Time) bool {
	if s.levelAt.IsZero() || now.Sub(s.levelAt) >= levelInterval {
		s.level, s.levelAt = s.fairLevel(now), now
	}
	if s.level == 0 {
		return false
	}
	return s.source(key).admitted.value(now, sharePeriod) > max(minAdmitted, shareTolerance*s.level)
}

// fairLevel returns the level at which the admitted flows are divided evenly, or zero if
// nearly all offers were admitted or there is one source only.
func (s *shares[K]) fairLevel(now time.Time) float64 {
	const uncontended = 0.95
	if s.recent == nil {
		return 0
	}
	offers := make([]float64, 0, len(s.sources))
	offered, admitted := 0.0, 0.0
	for element := s.recent.Front(); element != nil; element = element.Next() {
		counts := element.Value.(*sourceCounts[K])
		offer := counts.offers.value(now, sharePeriod)
		offers = append(offers, offer)
		offered += offer
		admitted += counts.admitted.value(now, sharePeriod)
	}
	if len(offers) < 2 || admitted >= uncontended*offered {
		return 0
	}
	low, high := 0.0, slices.Max(offers)
	const steps = 20
	for range steps {
		level, divided := (low+high)/2, 0.0
		for _, offer := range offers {
			divided += min(offer, level)
		}
		if divided < admitted {
			low = level
		} else {
			high = level
		}
	}
	return high
}

func callerNumber(offer gooseberrymast.FlowOffer) uint32 {
	return binary.BigEndian.Uint32(offer.Key.Caller.IP[:])
}

// starved reports whether a route has less than its least share of the admitted flows.
func (r *Regulator) starved(state *routeState, now time.Time) bool {
	if state == nil {
		return false
	}
	total := 0.0
	for _, other := range r.routes {
		total += other.admitted.value(now, sharePeriod)
	}
	return total >= 1 && state.admitted.value(now, sharePeriod) < minRouteShare*total
}
