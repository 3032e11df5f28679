package steerer

import (
	"cmp"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

// walk looks for the holder of a flow at every agent that may hold it, but for
// one that has just said that it doesn't.
func (s *Steerer) walk(steps []Step, header gooseberrymast.PacketHeader, hop gooseberrymast.Hop,
	except gooseberrymast.Endpoint, now time.Time) []Step {
	// Asked first: the list may be read at any moment, and agents that are
	// chosen before it is are too few.
	complete := s.Roster.IsComplete()
	holders := s.holders(header.Destination, except, now)
	if len(holders) == 0 {
		if complete && !except.IsZero() {
			return append(steps, Step{Action: Reset, Of: header, Reason: ReasonNoHolder})
		}
		return append(steps, Step{Action: Drop, Reason: ReasonHolderUnknown})
	}
	chainLength := gooseberrymast.MaxCandidates + 1
	number := s.beginWalk(header, (len(holders)+chainLength-1)/chainLength, complete, now)
	for len(holders) > 0 {
		chain := holders[:min(chainLength, len(holders))]
		holders = holders[len(chain):]
		steps = append(steps, Step{Action: Forward, To: chain[0], Hop: gooseberrymast.Hop{
			Mode:       gooseberrymast.HopWalk,
			Definite:   true,
			Passed:     true,
			Origin:     hop.Origin,
			Initiator:  s.Self,
			Walk:       number,
			Version:    hop.Version,
			Candidates: chain[1:],
		}})
	}
	return steps
}

// holders gives the agents that may hold a flow of an address, those heard
// lately first, since the others may not answer. These are the agents of the
// services that the address's route allows or did allow, and those that say in
// the store that they have served the address.
func (s *Steerer) holders(address, except gooseberrymast.Endpoint, now time.Time) []gooseberrymast.Endpoint {
	var heard []roster.Entry
	var silent []gooseberrymast.Endpoint
	hearsMost := s.HearsMost(now)
	allowed := s.everAllowed(address)
	s.Roster.Each(func(entry roster.Entry) {
		switch {
		case entry.Role != gooseberrymast.RoleAgent || entry.State == gooseberrymast.StateGone || entry.Endpoint == except:
		case !slices.Contains(allowed, entry.Service) && !slices.Contains(entry.Served, address):
		case hearsMost && s.silentTooLong(entry, now):
		case entry.Alive(now):
			heard = append(heard, entry)
		default:
			silent = append(silent, entry.Endpoint)
		}
	})
	// A chain goes from zone to zone, its own first, so that it crosses between
	// zones as seldom as it can.
	slices.SortFunc(heard, func(a, b roster.Entry) int {
		if (a.Zone == s.Zone) != (b.Zone == s.Zone) {
			if a.Zone == s.Zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), a.Endpoint.Compare(b.Endpoint))
	})
	holders := make([]gooseberrymast.Endpoint, 0, len(heard)+len(silent))
	for _, entry := range heard {
		holders = append(holders, entry.Endpoint)
	}
	return append(holders, silent...)
}

// beginWalk remembers a walk; complete is set when it asks all agents that may
// hold the flow.
func (s *Steerer) beginWalk(of gooseberrymast.PacketHeader, chains int, complete bool, now time.Time) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.walks == nil {
		s.walks = map[uint32]walk{}
	}
	for number, old := range s.walks {
		if len(s.walks) < maxWalks && now.Sub(old.began) < walkTimeout {
			break
		}
		delete(s.walks, number)
	}
	s.serial++
	s.walks[s.serial] = walk{of: of, chains: chains, definite: complete, began: now}
	return s.serial
}

// absent takes the end of one chain of a walk.
func (s *Steerer) absent(steps []Step, hop gooseberrymast.Hop) []Step {
	s.mu.Lock()
	found, ok := s.walks[hop.Walk]
	if ok {
		found.chains--
		found.definite = found.definite && hop.Definite
		s.walks[hop.Walk] = found
		if found.chains == 0 {
			delete(s.walks, hop.Walk)
		}
	}
	s.mu.Unlock()
	switch {
	case !ok || found.chains > 0:
		return steps
	case found.definite:
		return append(steps, Step{Action: Reset, Of: found.of, Reason: ReasonNoHolder})
	}
	return append(steps, Step{Action: Drop, Reason: ReasonHolderUnknown})
}

// Expire forgets walks that were not answered.
func (s *Steerer) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, old := range s.walks {
		if now.Sub(old.began) >= walkTimeout {
			delete(s.walks, number)
		}
	}
}

const (
	// GoneAfter is the time without a report after which an agent is taken as
	// gone with its flows: an agent whose process was killed is back sooner, and
	// a caller that is told then has time for another try.
	GoneAfter = 1300 * time.Millisecond
	// GoneAfterLeaving is that time for an agent that said that it stops: it may
	// take longer to start again, and its flows are to outlive that.
	GoneAfterLeaving = 4 * time.Second
	// GoneAfterStart is that time for an agent that was never heard. After a
	// restart of everything all agents report within 0.3 s of each other, and
	// one that doesn't was on an instance that is not there any more.
	GoneAfterStart = 700 * time.Millisecond
)

// gone reports whether an agent is taken as gone. A balancer that hears less
// than half of the agents takes itself for the one that is cut off.
func (s *Steerer) gone(agent gooseberrymast.Endpoint, now time.Time) bool {
	entry, known := s.Roster.Get(agent)
	switch {
	case !known:
		return false
	case entry.State == gooseberrymast.StateGone:
		return true
	}
	return s.silentTooLong(entry, now) && s.HearsMost(now)
}

func (s *Steerer) silentTooLong(entry roster.Entry, now time.Time) bool {
	limit := GoneAfter
	switch {
	case entry.Heard.IsZero():
		limit = GoneAfterStart
	case entry.State == gooseberrymast.StateLeaving:
		limit = GoneAfterLeaving
	}
	return s.silentFor(entry, now) > limit
}

// silentFor gives the time since an agent was heard, or since the balancer
// could first have heard it.
func (s *Steerer) silentFor(entry roster.Entry, now time.Time) time.Duration {
	since := s.Started
	for _, at := range []time.Time{entry.Heard, entry.Told} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since)
}

// HearsMost reports whether the balancer hears at least half of the agents.
func (s *Steerer) HearsMost(now time.Time) bool {
	heard, all := 0, 0
	s.Roster.Each(func(entry roster.Entry) {
		if entry.Role != gooseberrymast.RoleAgent || entry.State == gooseberrymast.StateGone {
			return
		}
		all++
		if entry.Alive(now) {
			heard++
		}
	})
	return heard > 0 && 2*heard >= all
}
