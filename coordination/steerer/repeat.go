package steerer

import (
	"time"

	"gooseberrymast"
)

const (
	// lookupTicks is the number of ticks after which a lookup balancer that has led to
	// neither an owner nor a denial is taken for silent: 100 to 125 ms. The owner's server
	// takes up to 50 ms to show that it holds a flow.
	lookupTicks = 4
	// chainTicks is the same for the agents of a chain: 125 to 150 ms. Together with a
	// lookup the packet has reached each agent before the caller's second retransmission,
	// after 600 ms.
	chainTicks = 5
	// maxKept bounds the packets of searches that have not ended: 640 KB. Others are left
	// to the caller's retransmission.
	maxKept = 512
	// maxRepeated bounds the datagrams of repeated searches in a tick, some 5,000 a second.
	maxRepeated = 128
	// maxKeptFor is the age from which a packet is not worth repeating: the caller has
	// retransmitted it twice.
	maxKeptFor = 600 * time.Millisecond
)

// Repeated is a packet of which a search has not been answered, with the steps to take.
type Repeated struct {
	Header gooseberrymast.PacketHeader
	Packet []byte
	Steps  []Step
}

// Keep keeps a packet until the search for its flow must have ended. It reports whether it
// does.
func (s *Steerer) Keep(search uint32, packet []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun, pending := s.chains[search]
	if !pending {
		return false
	}
	ticks := chainTicks
	if begun.walk.lookup {
		ticks = lookupTicks
	}
	s.kept.Max = maxKept
	return s.kept.Keep(begun.walk, packet, ticks)
}

// RepeatSearches counts a tick of the packets that are kept, and repeats the searches that
// have not been answered. Any party on the way may be silent, so that a packet that was sent
// to a lookup balancer goes to the agents, and one that was sent along a chain goes to each
// agent of it directly. Silence proves nothing: a flow is reset only once each agent has
// denied it. more is set if others are kept.
func (s *Steerer) RepeatSearches(now time.Time) (repeated []Repeated, more bool) {
	s.mu.Lock()
	due := s.kept.Tick()
	s.mu.Unlock()
	sent := 0
	for _, packet := range due {
		if sent >= maxRepeated {
			s.mu.Lock()
			s.kept.Keep(packet.Value, packet.Bytes, 0)
			s.mu.Unlock()
			continue
		}
		if steps := s.repeatSearch(packet.Value, now); len(steps) > 0 {
			repeated = append(repeated, Repeated{Header: packet.Value.header, Packet: packet.Bytes, Steps: steps})
			sent += len(steps)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return repeated, s.kept.Len() > 0
}

// repeatSearch returns the steps by which a search goes on, if it has not ended.
func (s *Steerer) repeatSearch(w *walk, now time.Time) (steps []Step) {
	routes := s.Routes()
	if _, ok := routes.Lookup(w.header.Destination); !ok || now.Sub(w.started) > maxKeptFor {
		return nil
	}
	s.mu.Lock()
	ended := w.pendingChains == 0
	if w.lookup {
		s.endChain(w.firstChain)
	}
	s.mu.Unlock()
	hop := gooseberrymast.Hop{Origin: s.Self, Version: routes.Version}
	owner, found := s.Owners.Find(w.header.FromCaller(), now)
	switch {
	case ended:
		return nil
	case found && !s.unanswered(w.header, owner, now):
		// It may have announced the flow without having got the packet.
		hop.Mode = gooseberrymast.HopDeliver
		steps = []Step{s.toOwner(w.header, owner, hop)}
	case w.lookup:
		steps = s.walk(nil, w.header, hop, gooseberrymast.Endpoint{}, false, now)
	default:
		steps = s.splitChains(w, hop, now)
	}
	for i := range steps {
		if steps[i].Action == Forward {
			steps[i].Reason = ReasonSearchUnanswered
		}
	}
	return steps
}

// splitChains gives each agent of the chains that have not been answered a chain of its own.
func (s *Steerer) splitChains(w *walk, hop gooseberrymast.Hop, now time.Time) (steps []Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var single []chain
	for i := range w.chainCount {
		id := w.firstChain + i
		if unanswered := s.chains[id]; unanswered.walk == w && len(unanswered.agents) > 1 {
			s.endChain(id)
			for _, agent := range unanswered.agents {
				single = append(single, chain{service: unanswered.service, agents: []gooseberrymast.Endpoint{agent}})
			}
		}
	}
	if len(single) == 0 {
		return nil
	}
	hop.Initiator = s.Self
	return appendChainSteps(nil, s.addChains(w, single, now), single, hop)
}

// endLookup ends the lookup that led to an agent which returned the packet.
func (s *Steerer) endLookup(hop gooseberrymast.Hop, key gooseberrymast.FlowKey) {
	if hop.Initiator != s.Self {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if begun, pending := s.chains[hop.Walk]; pending && begun.walk.lookup && begun.walk.header.FromCaller() == key {
		s.endChain(hop.Walk)
	}
}

// endChain removes a chain. The caller must hold mu.
func (s *Steerer) endChain(id uint32) {
	if ended, pending := s.chains[id]; pending {
		delete(s.chains, id)
		ended.walk.pendingChains--
	}
}
