package gooseberrymast

import (
	"net/netip"
	"time"
)

// WorkID is the number of a request at one agent.
type WorkID uint64

// Work describes one request to a Dispatcher.
type Work struct {
	// ID is unique within the incarnation of the dispatching agent.
	ID WorkID
	// Origin is the agent that holds the caller's flow. It equals the
	// dispatching agent's identity unless the request was handed over.
	Origin Identity
	// OriginID is the request's number at Origin.
	OriginID WorkID
	// Caller is the caller's IP address; the caller rate is limited by it.
	Caller netip.Addr
	// Path is the URL path; service times are estimated per path.
	Path string
	// Stream is set for a path that the document lists as a stream; it
	// counts against connections instead of slots.
	Stream bool
	// Idempotent is set when the request may safely run twice.
	Idempotent bool
	// Ticket is zero when the request carries none.
	Ticket Ticket
	// Deadline is never zero; without one from the caller it is derived from
	// the document's default.
	Deadline time.Time
	// Replayable is set while the whole body is still buffered, so that the
	// request can be sent again.
	Replayable bool
	// Displaced is set on a hand-over whose origin can't run requests at its
	// own backend server; the request may then queue at the receiver.
	Displaced bool
}

// HandedOver reports whether another agent holds the caller's flow.
func (w Work) HandedOver(self Identity) bool {
	return w.Origin != self
}

// ActionKind selects what the transport does.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionRun sends the request to the agent's own backend server.
	ActionRun ActionKind = iota + 1
	// ActionHandOver sends the request to Peer, which may run or refuse it.
	ActionHandOver
	// ActionQueryOutcome queries Peer whether it ran the request whose hand-over
	// broke.
	ActionQueryOutcome
	// ActionRefuse answers the caller with Refusal.
	ActionRefuse
	// ActionCancel stops the request where it runs, without an answer to the
	// caller.
	ActionCancel
	// ActionSpend requests permission to run from the ticket's issuer, Peer.
	ActionSpend
	// ActionCount reports Count admitted requests of Caller to Peer, the
	// caller's home agent. It belongs to no request: Work is zero.
	ActionCount
)

// Action is one instruction from a Dispatcher to the transport.
type Action struct {
	Kind ActionKind
	// Work is the request that the action is for.
	Work WorkID
	// Peer is set for ActionHandOver, ActionQueryOutcome, ActionSpend and
	// ActionCount.
	Peer Identity
	// Caller and Count are set for ActionCount.
	Caller netip.Addr
	Count  int
	// Displaced becomes Work.Displaced at the receiver of ActionHandOver.
	Displaced bool
	// Refusal is set for ActionRefuse.
	Refusal Refusal
}

// Result is the outcome of an attempt at a backend server or at a peer.
type Result uint8

// The results of an attempt.
const (
	// ResultAnswered: the complete response was received.
	ResultAnswered Result = iota + 1
	// ResultShed: the backend server responded that it is overloaded and
	// did not run the request.
	ResultShed
	// ResultFailed: the backend server responded with a failure of its own.
	ResultFailed
	// ResultNotSent: no byte of the request can have reached a backend server.
	ResultNotSent
	// ResultBroken: the connection broke after the request may have reached a
	// backend server and before a response began.
	ResultBroken
	// ResultTruncated: the response broke off after a part of it was forwarded.
	ResultTruncated
	// ResultRefused: the peer refused the hand-over; its refusal states whether
	// the request may have run there.
	ResultRefused
	// ResultTimedOut: the deadline passed during the attempt.
	ResultTimedOut
	// ResultCancelled: the caller disconnected or cancelled the request.
	ResultCancelled
)

// Load is an agent's own load, which it sends with every reply to a peer.
type Load struct {
	// FreeSlots is the number of requests the backend server could start now.
	FreeSlots int32
	// Queued is the number of requests that wait at the agent.
	Queued int32
	// Streams is the number of open streams.
	Streams int32
	// Flows is the number of callers' open flows at the agent, without those
	// that were requested to move.
	Flows int32
	// Leaving is set once the agent accepts no new work.
	Leaving bool
}

// Dispatcher runs, queues, hands over or refuses the requests at one agent. It
// is a state machine: every method takes the time of the event and returns the
// actions that follow. Calls for one dispatcher must be serialized.
type Dispatcher interface {
	// HandleRequest accepts a request from a caller's flow or a peer's hand-over.
	HandleRequest(now time.Time, work Work) []Action
	// Finish handles the end of ActionRun or ActionHandOver. The refusal is
	// the peer's for ResultRefused and zero otherwise. Finish must be called
	// exactly once for every such action, also after ActionCancel; until then
	// the slot stays in use. When Finish returns no action for the request, the
	// response of the attempt goes to the caller; after ResultFailed that is the
	// backend server's own failure. After ResultShed the request instead waits
	// for a later action.
	Finish(now time.Time, id WorkID, result Result, refusal Refusal) []Action
	// HandleOutcomeReply handles the reply to ActionQueryOutcome: known is false
	// when the peer did not reply, ran is set when the request ran or may still
	// run.
	HandleOutcomeReply(now time.Time, id WorkID, known, ran bool) []Action
	// HandleSpendReply handles the issuer's reply to ActionSpend: known is false when
	// the issuer did not reply.
	HandleSpendReply(now time.Time, id WorkID, known, granted bool) []Action
	// Cancel handles a caller that disconnected or cancelled its request.
	Cancel(now time.Time, id WorkID) []Action
	// Tick advances queues, deadlines and budgets to now.
	Tick(now time.Time) []Action
	// NextTick returns the time at which Tick is due, or zero. Each of the other
	// methods may change it.
	NextTick() time.Time
	// Configure puts the limits of a revision in force.
	Configure(now time.Time, revision uint64, service Service) []Action
	// HandleServerStatus updates the polled health and load of the backend server.
	// They are hints.
	HandleServerStatus(now time.Time, healthy bool, load int32)
	// SetPeers replaces the list of the service's other agents.
	SetPeers(now time.Time, peers []Member)
	// HandlePeerLoad updates the load of a peer, which came with its reply.
	HandlePeerLoad(now time.Time, peer Identity, load Load)
	// Leave permanently stops new work at the agent's own backend server.
	Leave(now time.Time) []Action
	// Load returns the agent's own load.
	Load() Load
	// HandleOutcomeQuery reports, to a peer whose hand-over broke, whether its
	// request ran or may still run here. A request that has not arrived is refused
	// from then on.
	HandleOutcomeQuery(now time.Time, origin Identity, originID WorkID) (ran bool)
	// Issue creates a ticket.
	Issue(now time.Time) Ticket
	// Spend grants at most one run for a ticket that this agent issued.
	Spend(now time.Time, ticket Ticket) (granted bool)
}

// CallerCounter counts the requests of callers over a whole service, each caller
// at its home agent. A Dispatcher that implements it may return ActionCount, if
// it is configured with a transport that supports it.
type CallerCounter interface {
	// HandleCount handles a peer's report of the requests of a caller that it
	// admitted. It returns how many more the peer may admit, or the time after
	// which it may admit one.
	HandleCount(now time.Time, caller netip.Addr, admitted int) (granted int, wait time.Duration)
	// HandleCountReply handles the reply to ActionCount; known is false when none
	// came.
	HandleCountReply(now time.Time, caller netip.Addr, known bool, granted int, wait time.Duration)
}
