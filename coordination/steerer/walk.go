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
	holders, all := s.holders(route, except, now)
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
			Definite:   all,
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

// maxAsked bounds the agents that are asked for one flow. Beyond it only the
// agents of the services that the document allows are asked, and the flow is
// never reset.
const maxAsked = 128

// holders gives the agents that may hold a flow of a route. Those of the
// services that the document allows come first, and among them those heard
// lately, since the others may not answer. Those of other services follow: an
// earlier document may have allowed them. All is false when some are left out.
func (s *Steerer) holders(route gooseberrymast.Route, except gooseberrymast.Endpoint, now time.Time) (
	holders []gooseberrymast.Endpoint, all bool) {
	var heard, silent, others []gooseberrymast.Endpoint
	s.Roster.Each(func(entry roster.Entry) {
		switch {
		case entry.Role != gooseberrymast.RoleAgent || entry.State == gooseberrymast.StateGone || entry.Endpoint == except:
		case !route.Allows(entry.Service):
			others = append(others, entry.Endpoint)
		case entry.Alive(now):
			heard = append(heard, entry.Endpoint)
		default:
			silent = append(silent, entry.Endpoint)
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Random.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
	holders = append(heard, silent...)
	if len(holders)+len(others) > maxAsked {
		return holders[:min(len(holders), maxAsked)], false
	}
	return append(holders, others...), true
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
