package deliverer

import (
	"time"

	"gooseberrymast"
)

// Action is the kind of a step.
type Action uint8

// The actions of a step.
const (
	// Drop does nothing.
	Drop Action = iota
	// ToServer sends the packet to the backend server, marked with Tag.
	ToServer
	// ToCaller sends the server's packet to its caller.
	ToCaller
	// Forward sends the packet to a peer.
	Forward
)

// Reason says why a packet doesn't reach the server.
type Reason string

// The reasons of steps.
const (
	// ReasonWrongService: the flow was placed at another service, or the
	// routes in force don't allow the server's service.
	ReasonWrongService Reason = "wrong-service"
	// ReasonNeverServed: the server has not taken any flow of the address.
	ReasonNeverServed Reason = "never-served"
	// ReasonNotRecorded: the agent's entry in the store doesn't name the flow's address
	// yet.
	ReasonNotRecorded Reason = "not-recorded"
	// ReasonServerUnknown: the server has not announced itself yet.
	ReasonServerUnknown Reason = "server-unknown"
	// ReasonServerIntroduced: not all balancers know the server's instance yet.
	ReasonServerIntroduced Reason = "server-introduced"
	// ReasonServerLeaving: the server takes no new flows.
	ReasonServerLeaving Reason = "server-leaving"
	// ReasonServerSilent: the server's announcements have stopped.
	ReasonServerSilent Reason = "server-silent"
	// ReasonServerUnresponsive: the server has sent nothing since it got a packet that it
	// had to answer or return.
	ReasonServerUnresponsive Reason = "server-unresponsive"
	// ReasonServerGone: the server has ended.
	ReasonServerGone Reason = "server-gone"
	// ReasonServerFull: the server is at its limit of requests in progress, and
	// another candidate is left.
	ReasonServerFull Reason = "server-full"
	// ReasonRefusedBefore: a duplicate of an opening packet that the agent has just
	// refused definitely.
	ReasonRefusedBefore Reason = "refused-before"
	// ReasonAgentLeaving: the agent is being stopped.
	ReasonAgentLeaving Reason = "agent-leaving"
	// ReasonZoneEvacuated: the agent's zone takes no new flows.
	ReasonZoneEvacuated Reason = "zone-evacuated"
	// ReasonEvacuationUnknown: the agent has just started and doesn't know yet whether
	// its zone is evacuated.
	ReasonEvacuationUnknown Reason = "evacuation-unknown"
	// ReasonServerRefused: the server returned an opening packet.
	ReasonServerRefused Reason = "server-refused"
	// ReasonNotHeld: the server returned a packet of a flow that it doesn't
	// hold.
	ReasonNotHeld Reason = "not-held"
	// ReasonNoTry: there is no record of a returned packet.
	ReasonNoTry Reason = "no-try"
)

// Step is a decision on one packet.
type Step struct {
	Action Action
	// Tag is written into a packet for the server.
	Tag uint32
	// Keep is set for ToServer if the packet is to be kept (Deliverer.Keep): the server may
	// not hold the flow.
	Keep bool
	// To and Hop are set for Forward.
	To  gooseberrymast.Endpoint
	Hop gooseberrymast.Hop
	// Notify is a balancer to notify that this agent owns the flow.
	Notify gooseberrymast.Endpoint
	// Reason is set when the packet doesn't reach the server.
	Reason Reason
	// Event is logged; it is zero for ordinary packets of an open flow.
	Event Event
	// Answered is set on the first packet of an answer, with the request.
	Answered bool
	Request  Request
	// Forgotten is set if the server returned a packet of a flow that was open at it: it
	// has started again.
	Forgotten bool
}

// Event is a change of a flow.
type Event uint8

// The events of a flow.
const (
	// FlowTaken: a new flow was sent to the server.
	FlowTaken Event = iota + 1
	// FlowTried: the server is sent a packet of a flow that the agent doesn't
	// hold.
	FlowTried
	// FlowLearned: the server sent a packet of a flow that the agent didn't
	// hold.
	FlowLearned
	// RequestCut: the server ended a flow before it answered its request.
	RequestCut
	// RequestAbandoned: the caller ended a flow before its request was
	// answered.
	RequestAbandoned
)

// Request is a request that the server works on.
type Request struct {
	// ID is empty when the caller named none.
	ID string
	// Duration is the time from the request's first packet to its answer's.
	Duration time.Duration
	// SlotTime is the part of it for which the request had a slot of the server; zero
	// while that is unknown.
	SlotTime time.Duration
}
