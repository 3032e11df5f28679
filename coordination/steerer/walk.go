package steerer

import (
	"cmp"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

// walk searches for the holder of a flow at every agent that may hold it. owner is the
// agent that was known to hold it, if any; denied is set if that agent has just answered
// definitely that it doesn't.
func (s *Steerer) walk(steps []Step, header gooseberrymast.PacketHeader, hop gooseberrymast.Hop,
	owner gooseberrymast.Endpoint, denied bool, now time.Time) []Step {
	w := &walk{header: header, definite: true, started: now}
	if hop.Origin != s.Self && hop.Initiator == hop.Origin {
		w.askedBy, w.askedID = hop.Initiator, hop.Walk
	}
	if denied {
		w.asked = append(w.asked, owner)
	}
	answering, doubtful := s.possibleHolders(header.Destination, w.asked, now)
	for _, entry := range slices.Concat(answering, doubtful) {
		w.asked = append(w.asked, entry.Endpoint)
	}
	// Each retransmission has other agents in one chain.
	s.mu.Lock()
	s.Random.Shuffle(len(doubtful), func(i, j int) { doubtful[i], doubtful[j] = doubtful[j], doubtful[i] })
	s.mu.Unlock()
	chains := appendChains(nil, answering, gooseberrymast.MaxCandidates+1)
	chains = appendChains(chains, doubtful, min(gooseberrymast.MaxCandidates+1, (len(doubtful)+maxDoubtfulChains-1)/maxDoubtfulChains))
	if len(chains) == 0 {
		if owner.IsZero() {
			// The balancer may have just started.
			return append(steps, Step{Action: Drop, Reason: ReasonHolderUnknown})
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return append(steps, s.awaitEntries(w, now))
	}
	first := len(steps)
	steps = appendChainSteps(steps, s.beginWalk(w, chains, now), chains, gooseberrymast.Hop{
		Origin: hop.Origin, Initiator: s.Self, Version: hop.Version,
	})
	if hop.Origin == s.Self && slices.ContainsFunc(chains, func(c chain) bool { return len(c.agents) > 1 }) {
		steps[first].Search = w.firstChain
	}
	return steps
}

// appendChainSteps appends the steps that send a packet along chains with successive ids.
func appendChainSteps(steps []Step, firstChain uint32, chains []chain, hop gooseberrymast.Hop) []Step {
	hop.Mode, hop.Definite, hop.NotifyOrigin = gooseberrymast.HopWalk, true, true
	for i, c := range chains {
		hop.Walk, hop.Service, hop.Candidates = firstChain+uint32(i), gooseberrymast.ServiceHash(c.service), c.agents[1:]
		steps = append(steps, Step{Action: Forward, To: c.agents[0], Hop: hop})
	}
	return steps
}

// EntriesFresh is the time for which a list of the store's entries names every agent that
// may hold a flow of which a packet arrives: an agent takes a flow only once its entry has
// named the flow's address for longer (deliverer.RecordedBefore).
const EntriesFresh = 250 * time.Millisecond

// awaitEntries keeps a walk that has found no holder until the store's entries have been
// read, and concludes it at once if this was done a moment ago. The list names every agent
// that may hold the flow, whatever this balancer has missed. The caller must hold mu.
func (s *Steerer) awaitEntries(w *walk, now time.Time) Step {
	if !s.entriesAt.IsZero() && w.started.Sub(s.entriesAt) <= EntriesFresh {
		return s.conclude(w, true, now)
	}
	if len(s.denied) == maxChains {
		s.denied = s.denied[1:]
	}
	s.denied = append(s.denied, w)
	return Step{Action: ReadEntries, Reason: ReasonEntriesAwaited}
}

// conclude returns the step for a flow that all agents which were asked have denied, with
// a list of entries that was fresh when its packet arrived.
func (s *Steerer) conclude(w *walk, complete bool, now time.Time) Step {
	answering, doubtful := s.possibleHolders(w.header.Destination, w.asked, now)
	switch {
	case !complete:
		return Step{Action: Drop, CallerHeader: w.header, Reason: ReasonEntriesIncomplete}
	case len(answering)+len(doubtful) > 0:
		// It is asked when the caller retransmits the packet.
		return Step{Action: Drop, CallerHeader: w.header, Reason: ReasonHolderNotAsked}
	}
	return Step{Action: Reset, CallerHeader: w.header, Reason: ReasonNoHolder}
}

// AwaitsEntries reports whether a walk waits for the store's entries.
func (s *Steerer) AwaitsEntries(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	return len(s.denied) > 0
}

// HandleEntries concludes the walks for which a list of the store's entries is fresh, whose
// read began at a time and which is in the roster now, and appends the steps to take.
// complete is set if the list is sure to have the entries of all instances.
func (s *Steerer) HandleEntries(steps []Step, began time.Time, complete bool, now time.Time) []Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	if complete {
		s.entriesAt = began
	}
	s.dropExpired(now)
	s.denied = slices.DeleteFunc(s.denied, func(w *walk) bool {
		fresh := w.started.Sub(began) <= EntriesFresh
		if fresh {
			steps = append(steps, s.conclude(w, complete, now))
		}
		return fresh
	})
	return steps
}

// dropExpired drops the walks that have waited too long for the store's entries. The
// caller must hold mu.
func (s *Steerer) dropExpired(now time.Time) {
	s.denied = slices.DeleteFunc(s.denied, func(w *walk) bool { return now.Sub(w.started) >= walkTimeout })
}

// maxDoubtfulChains is the number of chains over the agents that may not answer. Up to
// this number each of them has a chain of its own; a balancer's work for one packet
// stays bounded when all agents are silent.
const maxDoubtfulChains = 8

// appendChains cuts agents into chains of a length, each of one service.
func appendChains(chains []chain, agents []roster.Entry, length int) []chain {
	first := len(chains)
	for _, agent := range agents {
		i := first + slices.IndexFunc(chains[first:], func(c chain) bool { return c.service == agent.Service && len(c.agents) < length })
		if i < first {
			i = len(chains)
			chains = append(chains, chain{service: agent.Service})
		}
		chains[i].agents = append(chains[i].agents, agent.Endpoint)
	}
	return chains
}

// mayHold reports whether an agent's server may hold flows of an address that its route
// allows, or has allowed, some services.
func mayHold(agent roster.Entry, address gooseberrymast.Endpoint, allowed []string) bool {
	return agent.Unreadable || slices.Contains(allowed, agent.Service) || slices.Contains(agent.Served, address)
}

// possibleHolders returns the agents that may hold a flow of an address: those
// of the services that the address's route allows or did allow, and those whose entries
// in the store name the address or can't be decoded. Agents that are being stopped or whose
// report is late are doubtful: one that doesn't answer ends its chain, and the
// packet would not reach those behind it. Those that were asked before are left out.
func (s *Steerer) possibleHolders(address gooseberrymast.Endpoint, asked []gooseberrymast.Endpoint, now time.Time) (answering, doubtful []roster.Entry) {
	mostReporting := s.HasMostReports(now)
	allowed := s.everAllowed(address)
	listening := s.Roster.Hearing()
	s.Roster.Each(func(entry roster.Entry) {
		switch {
		case entry.Role != gooseberrymast.RoleAgent || entry.State == gooseberrymast.StateGone || slices.Contains(asked, entry.Endpoint):
		case !mayHold(entry, address, allowed):
		case mostReporting && silentTooLong(entry, listening):
		case entry.Reporting(now) && entry.ReportAge(now) <= lateReportAge && entry.State != gooseberrymast.StateLeaving:
			answering = append(answering, entry)
		default:
			doubtful = append(doubtful, entry)
		}
	})
	// A chain goes from zone to zone, beginning with this balancer's own, so that
	// it crosses between zones as seldom as possible.
	slices.SortFunc(answering, func(a, b roster.Entry) int {
		if (a.Zone == s.Zone) != (b.Zone == s.Zone) {
			if a.Zone == s.Zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), a.Endpoint.Compare(b.Endpoint))
	})
	return answering, doubtful
}

// beginWalk records a walk along chains and returns the id of the first one.
func (s *Steerer) beginWalk(w *walk, chains []chain, now time.Time) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.firstChain, w.chainCount = s.addChains(w, chains, now), uint32(len(chains))
	return w.firstChain
}

// addChains adds chains to a walk and returns the id of the first one; the others follow.
// The caller must hold mu.
func (s *Steerer) addChains(w *walk, chains []chain, now time.Time) uint32 {
	if s.chains == nil {
		s.chains = map[uint32]chain{}
		// A late answer to a walk of the balancer's last incarnation must not
		// count for one of this.
		s.lastChainID = s.Random.Uint32()
	}
	// Chains are dropped in the map's random order, up to the first one that has
	// not timed out and leaves room for the new ones.
	for id, other := range s.chains {
		if len(s.chains)+len(chains) <= maxChains && now.Sub(other.walk.started) < walkTimeout {
			break
		}
		delete(s.chains, id)
	}
	first := s.lastChainID + 1
	s.lastChainID += uint32(len(chains))
	for i, added := range chains {
		added.walk = w
		s.chains[first+uint32(i)] = added
	}
	w.pendingChains += len(chains)
	return first
}

// firstRetransmission is the time after which a caller retransmits an opening packet.
// A refusal that arrives later may concern a flow that the copy has opened.
const firstRetransmission = 200 * time.Millisecond

// handleAbsent processes the answer at the end of one chain of a walk, or of the
// candidates for a new flow. A second answer of a chain, from a duplicated packet, is
// ignored.
func (s *Steerer) handleAbsent(steps []Step, hop gooseberrymast.Hop, now time.Time) []Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered, ok := s.chains[hop.Walk]
	if !ok {
		return steps
	}
	delete(s.chains, hop.Walk)
	w := answered.walk
	w.pendingChains--
	w.definite = w.definite && hop.Definite
	if w.pendingChains > 0 || w.lookup {
		return steps
	}
	if !w.askedBy.IsZero() {
		steps = append(steps, Step{Action: Forward, To: w.askedBy, Hop: gooseberrymast.Hop{
			Mode: gooseberrymast.HopAbsent, Definite: w.definite, Origin: w.askedBy, Initiator: w.askedBy, Walk: w.askedID,
		}})
	}
	switch {
	case !w.definite:
		return append(steps, Step{Action: Drop, Reason: ReasonHolderUnknown})
	case !w.header.Opens:
		return append(steps, s.awaitEntries(w, now))
	case now.Sub(w.started) >= firstRetransmission:
		return append(steps, Step{Action: Drop, Reason: ReasonNoAgent})
	}
	return append(steps, refuseOpening(w.header, ReasonNoAgent))
}

// Expire drops walks that were not answered in time.
func (s *Steerer) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	for id, other := range s.chains {
		if now.Sub(other.walk.started) >= walkTimeout {
			delete(s.chains, id)
		}
	}
}

const (
	// GoneAfter is the time without a report after which an agent is considered
	// gone with its flows: an agent whose process was killed is back sooner, and
	// a caller whose flow is reset by then has time for another try.
	GoneAfter = 1300 * time.Millisecond
	// GoneAfterRelayed is the same for an agent of another availability zone. Its
	// silence is known from relays, and one that loses half of its messages must not
	// take a live agent for gone: it would have to lose twelve reports in a row.
	GoneAfterRelayed = 2500 * time.Millisecond
	// GoneAfterLeaving is the same for an agent that reported, to this balancer or
	// another, that it stops: it may take longer to start again, and its flows must
	// survive that.
	GoneAfterLeaving = 4 * time.Second
	// GoneAfterAsked is the same for an agent of another availability zone of which no
	// summaries arrive, and which has left this balancer's own questions unanswered.
	GoneAfterAsked = 3500 * time.Millisecond
	// GoneAfterStart is the same for an agent that has never sent a report. It may be
	// restarting as planned, which nobody has heard if all balancers were restarted at
	// the same time; with 0.7 s, flows of agents that took 1.1 s were reset.
	GoneAfterStart = GoneAfterLeaving
)

// gone reports whether an agent is considered gone. A balancer with recent
// reports from less than half of the agents assumes that it is itself cut off, and
// considers no agent gone for its silence.
func (s *Steerer) gone(agent gooseberrymast.Endpoint, now time.Time) bool {
	entry, known := s.Roster.Get(agent)
	switch {
	case !known:
		return false
	case entry.State == gooseberrymast.StateGone:
		return true
	}
	return silentTooLong(entry, s.Roster.Hearing()) && s.HasMostReports(now)
}

func silentTooLong(entry roster.Entry, listening roster.Listening) bool {
	limit := GoneAfter
	switch {
	case entry.State == gooseberrymast.StateLeaving:
		limit = GoneAfterLeaving
	case entry.ReportedAt.IsZero():
		limit = GoneAfterStart
	case entry.Relayed:
		limit = GoneAfterRelayed
	}
	return entry.Silence(listening) > limit || entry.AskedSilence(listening) > GoneAfterAsked
}

// HasMostReports reports whether at least half of the agents have reported recently.
func (s *Steerer) HasMostReports(now time.Time) bool {
	return s.Roster.HearsMost(now)
}
