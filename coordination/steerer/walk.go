package steerer

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

// walk looks for the holder of a flow at every agent that may hold it, but for
// one that has just said that it doesn't.
func (s *Steerer) walk(steps []Step, header gooseberrymast.PacketHeader, hop gooseberrymast.Hop,
	except gooseberrymast.Endpoint, now time.Time) []Step {
	route, ok := s.Routes().Lookup(header.Destination)
	if !ok {
		return append(steps, Step{Action: Drop, Reason: ReasonNoRoute})
	}
	holders := s.holders(route, except, now)
	if len(holders) == 0 {
		if s.Roster.IsComplete() && !except.IsZero() {
			return append(steps, Step{Action: Reset, Of: header, Reason: ReasonNoHolder})
		}
		return append(steps, Step{Action: Drop, Reason: ReasonHolderUnknown})
	}
	chainLength := gooseberrymast.MaxCandidates + 1
	number := s.beginWalk(header, (len(holders)+chainLength-1)/chainLength, now)
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

// holders gives the agents that may hold a flow of a route: those heard lately
// first, since the others may not answer.
func (s *Steerer) holders(route gooseberrymast.Route, except gooseberrymast.Endpoint, now time.Time) []gooseberrymast.Endpoint {
	var heard, others []gooseberrymast.Endpoint
	s.Roster.Each(func(entry roster.Entry) {
		switch {
		case entry.Role != gooseberrymast.RoleAgent || entry.State == gooseberrymast.StateGone:
		case entry.Endpoint == except || !route.Allows(entry.Service):
		case entry.Alive(now):
			heard = append(heard, entry.Endpoint)
		default:
			others = append(others, entry.Endpoint)
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Random.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
	return append(heard, others...)
}

func (s *Steerer) beginWalk(of gooseberrymast.PacketHeader, chains int, now time.Time) uint32 {
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
	s.walks[s.serial] = walk{of: of, chains: chains, definite: true, began: now}
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
	case found.definite && s.Roster.IsComplete():
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
