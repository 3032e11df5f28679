package gooseberrymast

// HopMode selects what the receiver does with a forwarded packet.
type HopMode uint8

// The modes of a forwarded packet.
const (
	// HopPlace: accept the new flow, or pass the packet on to the next candidate.
	HopPlace HopMode = iota + 1
	// HopDeliver: the sender assumes that the receiver owns the flow. A receiver
	// that doesn't own it returns the packet.
	HopDeliver
	// HopLookup: the receiver is a balancer at which the flow's owner is looked
	// up.
	HopLookup
	// HopWalk: deliver if the receiver owns the flow, else pass the packet on to
	// the next candidate.
	HopWalk
	// HopReturn: an agent that doesn't own the flow returns a HopDeliver packet
	// to its origin.
	HopReturn
	// HopAbsent: the last candidate of a walk reports that none of them holds
	// the flow, or that of a new flow that none takes it. A lookup balancer reports the same
	// of its search.
	HopAbsent
)

// String returns the mode in kebab case.
func (m HopMode) String() string {
	switch m {
	case HopPlace:
		return "place"
	case HopDeliver:
		return "deliver"
	case HopLookup:
		return "lookup"
	case HopWalk:
		return "walk"
	case HopReturn:
		return "return"
	case HopAbsent:
		return "absent"
	}
	return "unknown"
}

// MaxCandidates bounds the candidates that one forwarded packet carries: with
// 6 bytes each the longest packet still fits a datagram of 1,472 bytes.
const MaxCandidates = 24

// Hop is the header of a packet that is forwarded between balancers and agents.
type Hop struct {
	// Mode selects what the receiver does.
	Mode HopMode
	// Definite is set while every candidate so far has reported with certainty
	// that it doesn't hold the flow.
	Definite bool
	// NotifyOrigin is set when the receiver is not among the flow's possible
	// owners at the origin; a receiver that owns the flow then notifies the origin.
	NotifyOrigin bool
	// Origin is the balancer that received the packet from the caller.
	Origin Endpoint
	// Initiator is the balancer that started the walk or the lookup, or placed the new flow;
	// Walk is the number of the chain at that balancer. For a lookup and a new flow Initiator
	// is Origin, or zero for a retransmitted opening packet, which is never answered by a
	// reset.
	Initiator Endpoint
	Walk      uint32
	// Version is the version of the routes that the balancer used. Its number is sent with
	// new flows only, its digest never.
	Version DocumentVersion
	// Service is the ServiceHash of the service that a new flow is assigned to, or for which
	// a recorded owner or the agents of a walk are asked: as far as the sender knows, the
	// receiver's. Zero from earlier builds.
	Service uint64
	// Candidates are the agents to try after the receiver.
	Candidates []Endpoint
}
