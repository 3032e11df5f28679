package gooseberrymast

import "time"

// FlowOffer is an opening packet that an agent may take.
type FlowOffer struct {
	// Key is the new flow's.
	Key FlowKey
	// Route is the flow's route in the agent's document. HasRoute is false if the
	// document has none; then Route is the zero Route.
	Route    Route
	HasRoute bool
	// Copy counts the earlier copies of the opening packet that the caller has sent.
	Copy int
	// Last is set if no other candidate is left for the flow.
	Last bool
	// Zone is the availability zone of the balancer that the caller's packet reached;
	// empty while it is unknown.
	Zone string
	// Slots is the number of requests that the server runs at once; zero while it is
	// unknown.
	Slots int
	// InProgress counts the requests that the server has not answered.
	InProgress int
	// OpenFlows is the number of flows that are open at the server.
	OpenFlows int
}

// GateVerdict is what a gate decides on a new flow.
type GateVerdict uint8

// The verdicts on a new flow.
const (
	// GateAdmit lets the flow go to the server.
	GateAdmit GateVerdict = iota
	// GatePassOn offers the flow to the next candidate. Without one the offer ends.
	GatePassOn
)

// GateDecision is a gate's verdict with its cause.
type GateDecision struct {
	Verdict GateVerdict
	// Reason is the cause in kebab case, for logs and metrics; empty for GateAdmit.
	Reason string
	// Definite is set if the agent will not deliver this opening packet later. Only
	// a flow that every candidate refused definitely may be reset.
	Definite bool
}

// FlowGate restricts which new flows an agent takes. An agent asks its gates for each
// opening packet of a flow that it doesn't hold, under a lock: a gate must neither
// block nor call the agent.
type FlowGate interface {
	// Decide decides on an offer.
	Decide(offer FlowOffer, now time.Time) GateDecision
	// Taken records that the flow of an offer goes to the server.
	Taken(offer FlowOffer, now time.Time)
}

// AdmissionGate is the FlowGate that decides when a server is full. It learns of the
// requests of the server. Its calls are made in the order of the events, under the same
// lock as those of FlowGate.
type AdmissionGate interface {
	FlowGate
	// FlowClosed records the end of a flow.
	FlowClosed(key FlowKey)
	// RequestBegan records a request that goes to the server.
	RequestBegan(key FlowKey)
	// RequestShed records that the server refused a request without running it, while it
	// worked on a number of others.
	RequestShed(inProgress int, now time.Time)
	// State returns what the decisions are based on.
	State(now time.Time) AdmissionState
}

// AdmissionState is what an admission gate knows of its server.
type AdmissionState struct {
	// Wait is the expected wait of a new request for a slot.
	Wait time.Duration
	// Expected counts the admitted flows whose first request has not come.
	Expected int
}

// RequestObserver is a FlowGate that also counts requests on open flows, which no gate
// can refuse.
type RequestObserver interface {
	// HandleRequest records that a request begins on an open flow; the first one of a
	// flow that was taken is not reported. openFlows is the number of open flows.
	HandleRequest(openFlows int, now time.Time)
}

// WorkEstimator estimates the work of one backend server.
type WorkEstimator interface {
	// Wait returns the expected time until a request that arrives now gets a slot.
	Wait(now time.Time) time.Duration
	// Cost returns the expected time in a slot of a request to an address.
	Cost(address Endpoint) time.Duration
}
