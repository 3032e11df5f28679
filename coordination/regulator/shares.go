package regulator

import (
	"cmp"
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
type shares[K cmp.Ordered] struct {
	sources map[K]*sourceCounts
	// level is the fair level at levelAt; zero while there is no contention.
	level   float64
	levelAt time.Time
}

type sourceCounts struct {
	offers, admitted decayed
}

func (s *shares[K]) source(key K, now time.Time) *sourceCounts {
	if found := s.sources[key]; found != nil {
		return found
	}
	if s.sources == nil {
		s.sources = map[K]*sourceCounts{}
	}
	if len(s.sources) >= maxSources {
		s.evict()
	}
	created := &sourceCounts{}
	s.sources[key] = created
	return created
}

func (s *shares[K]) evict() {
	var oldest K
	var at time.Time
	for key, counts := range s.sources {
		if offered := counts.offers.at; at.IsZero() || offered.Before(at) || offered.Equal(at) && key < oldest {
			oldest, at = key, offered
		}
	}
	delete(s.sources, oldest)
}

func (s *shares[K]) offer(key K, now time.Time) {
	s.source(key, now).offers.add(1, now, sharePeriod)
}

func (s *shares[K]) admit(key K, now time.Time) {
	s.source(key, now).admitted.add(1, now, sharePeriod)
}

// exceeds reports whether a source has more than its fair share.
func (s *shares[K]) exceeds(key K, now time.Time) bool {
	if s.levelAt.IsZero() || now.Sub(s.levelAt) >= levelInterval {
		s.level, s.levelAt = s.fairLevel(now), now
	}
	found := s.sources[key]
	if s.level == 0 || found == nil {
		return false
	}
	return found.admitted.value(now, sharePeriod) > max(minAdmitted, shareTolerance*s.level)
}

// fairLevel returns the level at which the admitted flows are divided evenly, or zero if
// nearly all offers were admitted or there is one source only.
func (s *shares[K]) fairLevel(now time.Time) float64 {
	const uncontended = 0.95
	offers := make([]float64, 0, len(s.sources))
	admissions := make([]float64, 0, len(s.sources))
	for _, counts := range s.sources {
		offers = append(offers, counts.offers.value(now, sharePeriod))
		admissions = append(admissions, counts.admitted.value(now, sharePeriod))
	}
	offered, admitted := sum(offers), sum(admissions)
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

// sum adds up terms in the order of their size, so that the sum doesn't depend on the
// order in which a map returns them.
func sum(terms []float64) float64 {
	slices.Sort(terms)
	total := 0.0
	for _, term := range terms {
		total += term
	}
	return total
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

const (
	// retryWindow is the time after a refusal within which a new flow of the same address
	// counts as a retry.
	retryWindow = time.Second
	// retryShare is the number of retries for each other flow.
	retryShare = 0.1
	// maxRefused bounds the addresses whose refusal is remembered.
	maxRefused = 256
)

// recordRefused records that no agent admits a flow.
func (r *Regulator) recordRefused(key gooseberrymast.FlowKey, now time.Time) {
	r.rememberRefused(key.Caller, now)
	if state := r.route(key.Service); state != nil {
		state.demand.add(1, now, ratePeriod)
	}
}

func (r *Regulator) rememberRefused(caller gooseberrymast.Endpoint, now time.Time) {
	if r.refused == nil {
		r.refused = map[[4]byte]time.Time{}
	}
	if len(r.refused) >= maxRefused {
		for ip, at := range r.refused {
			if now.Sub(at) > retryWindow {
				delete(r.refused, ip)
			}
		}
	}
	if len(r.refused) < maxRefused {
		r.refused[caller.IP] = now
	}
}

// overBudget reports whether an offer is a retry beyond the budget. An address is
// refused once for each retry that it is counted for.
func (r *Regulator) overBudget(offer gooseberrymast.FlowOffer, now time.Time) bool {
	r.retries.Share = retryShare
	at, found := r.refused[offer.Key.Caller.IP]
	if !found || now.Sub(at) > retryWindow {
		r.retries.AddRequest()
		return false
	}
	delete(r.refused, offer.Key.Caller.IP)
	return !r.retries.Take()
}
