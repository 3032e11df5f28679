package steerer

import (
	"time"

	"gooseberrymast"
)

// deliver forwards a packet to the recorded owner of its flow. If that agent is
// considered gone, the flow is searched for at the others: a copy of its opening
// packet may have opened it at one of them. It is searched for at all, the owner among
// them, if that may be silent and is only the one that the flow was offered to.
func (s *Steerer) deliver(steps []Step, header gooseberrymast.PacketHeader, owner gooseberrymast.Endpoint,
	hop gooseberrymast.Hop, now time.Time) []Step {
	reason, except := ReasonOwnerSilent, gooseberrymast.Endpoint{}
	switch {
	case s.gone(owner, now):
		s.Owners.Forget(header.FromCaller(), owner)
		reason, except = ReasonOwnerGone, owner
	case !s.unanswered(header, owner, now):
		return append(steps, s.toOwner(header, owner, hop))
	}
	first := len(steps)
	steps = s.walk(steps, header, hop, except, false, now)
	for i := first; i < len(steps); i++ {
		if steps[i].Action == Forward {
			steps[i].Reason = reason
		}
	}
	return steps
}

// toOwner returns the step that sends a packet to the recorded owner of its flow. An
// instance that was given to another service since must not ask its server.
func (s *Steerer) toOwner(header gooseberrymast.PacketHeader, owner gooseberrymast.Endpoint, hop gooseberrymast.Hop) Step {
	service := ""
	entry, known := s.Roster.Get(owner)
	if known && mayHold(entry, header.Destination, s.everAllowed(header.Destination)) {
		service = entry.Service
	}
	hop.Service = gooseberrymast.ServiceHash(service)
	return Step{Action: Forward, To: owner, Hop: hop}
}

// unanswered reports whether a packet is a retransmission and nothing was heard of the agent
// that its flow was offered to since the packet came first. One that has reported that it
// stops restarts as planned and keeps its flows.
func (s *Steerer) unanswered(header gooseberrymast.PacketHeader, agent gooseberrymast.Endpoint, now time.Time) bool {
	if header.Payload == 0 {
		return false
	}
	firstSeen, repeats := s.Owners.Repeats(header.FromCaller(), header.Sequence, now)
	if !repeats {
		return false
	}
	entry, known := s.Roster.Get(agent)
	return known && entry.State != gooseberrymast.StateLeaving && entry.ReportedAt.Before(firstSeen)
}
