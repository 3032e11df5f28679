package gooseberrymast

// HopMode says what the receiver of a forwarded packet is asked to do.
type HopMode uint8

// The modes of a forwarded packet.
const (
	// HopPlace: take the new flow, or pass the packet on to the next candidate.
	HopPlace HopMode = iota + 1
	// HopDeliver: the sender believes that the receiver owns the flow. A
	// receiver that doesn't returns the packet.
	HopDeliver
	// HopLookup: the receiver is a balancer where the flow is looked up.
	HopLookup
	// HopWalk: deliver if the flow is there, else pass on to the next candidate.
	HopWalk
	// HopReturn: an agent gives a packet of HopDeliver back to its origin.
	HopReturn
	// HopAbsent: the last candidate of a walk reports that none of them holds
	// the flow.
	HopAbsent
)

// String gives the mode in kebab case.
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

// Hop is what travels with a packet between the system's processes.
type Hop struct {
	// Mode says what the receiver does.
	Mode HopMode
	// Definite is set while every candidate so far has answered for certain
	// that it doesn't hold the flow.
	Definite bool
	// Passed is set when the origin doesn't know that the receiver may own
	// the flow, so that an owner tells it.
	Passed bool
	// Origin is the balancer that took the packet from the caller.
	Origin Endpoint
	// Initiator is the balancer that began a walk, and Walk its number there.
	Initiator Endpoint
	Walk      uint32
	// Version is the version of the routes by which the balancer decided.
	Version uint64
	// Service is the hash of the service that a new flow is placed at.
	Service uint64
	// Candidates are the agents to try after the receiver.
	Candidates []Endpoint
}
