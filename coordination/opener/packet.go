package opener

import "gooseberrymast"

// Verdict is what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	// VerdictTake passes the packet to the agent's own QUIC stack.
	VerdictTake Verdict = iota + 1
	// VerdictPass sends the packet to another agent.
	VerdictPass
	// VerdictDrop drops the packet for Decision.Reason.
	VerdictDrop
)

// Reason is why a packet is dropped.
type Reason string

// The reasons of a drop.
const (
	// ReasonNotNamed is a packet whose first home is another agent.
	ReasonNotNamed Reason = "not-named"
	// ReasonHalfOpen is a flow above the limit of half-open handshakes.
	ReasonHalfOpen Reason = "half-open-limit"
	// ReasonHops is a packet that would be passed on more than MaxHop times.
	ReasonHops Reason = "hop-limit"
)

// Packet is the opener's input for one packet that may open a flow.
type Packet struct {
	// Key is the hash of the id that the caller chose.
	Key uint64
	// Hop counts how often the packet was passed on.
	Hop uint8
	// ToTaker is set when the packet was passed on to be taken, and clear when it
	// was passed on to a home.
	ToTaker bool
	// Declined is set when the first taker passed the flow on: the second taker
	// must take it.
	Declined bool
	// Takers and Homes are the balancer's candidates; unused ones are zero and last.
	Takers, Homes [2]gooseberrymast.Identity
}

// Decision is the opener's decision on one packet.
type Decision struct {
	Verdict Verdict
	// New is set for VerdictTake at the first packet of a flow.
	New bool
	// Peer is set for VerdictPass and is never the agent itself.
	Peer gooseberrymast.Identity
	// ToTaker and Declined are set in the packet that is passed on.
	ToTaker, Declined bool
	// Notify lists the homes to notify that Peer takes the flow instead of this
	// agent; see HandleMoved. Unused ones are zero.
	Notify [2]gooseberrymast.Identity
	// Reason is set for VerdictDrop.
	Reason Reason
}
