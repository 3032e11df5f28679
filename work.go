package gooseberrymast

import (
	"net/netip"
	"time"
)

// WorkID numbers the requests at one agent.
type WorkID uint64

// Work is what the deciding code knows of one request.
type Work struct {
	// ID is unique in the incarnation of the agent that decides.
	ID WorkID
	// Origin is the agent that holds the caller's flow. It equals the
	// deciding agent's identity unless the request was handed over.
	Origin Identity
	// OriginID is the request's number at Origin.
	OriginID WorkID
	// Caller is the caller's IP address, the subject of the caller rate.
	Caller netip.Addr
	// Path is the URL path, by which service times are estimated.
	Path string
	// Stream is set for a path that the document lists as a stream; it
	// counts against connections instead of slots.
	Stream bool
	// Idempotent is set when a second run does no harm.
	Idempotent bool
	// Ticket is zero when the request carries none.
	Ticket Ticket
	// Deadline is never zero; the document's default stands in.
	Deadline time.Time
	// Replayable is set while the whole body is still held, so that the
	// request can be sent again.
	Replayable bool
	// Displaced is set on a hand-over whose origin can't run requests at its
	// own backend server, so that the request may wait at the receiver.
	Displaced bool
}

// HandedOver reports whether another agent holds the caller's flow.
func (w Work) HandedOver(self Identity) bool {
	return w.Origin != self
}

// ActionKind tells the transport what to do.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionRun gives the request to the agent's own backend server.
	ActionRun ActionKind = iota + 1
	// ActionHandOver sends the request to Peer, which may run or refuse it.
	ActionHandOver
	// ActionAsk asks Peer whether it ran the request whose hand-over broke.
	ActionAsk
	// ActionRefuse answers the caller with Refusal.
	ActionRefuse
	// ActionCancel stops the request where it runs; nothing is answered.
	ActionCancel
	// ActionSpend asks the ticket's issuer, Peer, for leave to run.
	ActionSpend
	// ActionCount reports Count admitted requests of Caller to Peer, the
	// caller's home agent. It belongs to no request: Work is zero.
	ActionCount
)

// Action is one instruction from the deciding code to the transport.
type Action struct {
	Kind ActionKind
	// Work is the request that the action is for.
	Work WorkID
	// Peer is set for ActionHandOver, ActionAsk and ActionSpend.
	Peer Identity
	// Caller and Count are set for ActionCount.
	Caller netip.Addr
	Count  int
	// Displaced is Work.Displaced for the receiver of ActionHandOver.
	Displaced bool
	// Refusal is set for ActionRefuse.
	Refusal Refusal
}

// Result says how an attempt ended.
type Result uint8

// The results of an attempt at a backend server or at a peer.
const (
	// ResultAnswered: the whole answer was received.
	ResultAnswered Result = iota + 1
	// ResultShed: the backend server answered that it is overloaded and
	// did not run the request.
	ResultShed
	// ResultFailed: the backend server answered with a failure of its own.
	ResultFailed
	// ResultNotSent: no byte of the request can have reached a backend server.
	ResultNotSent
	// ResultBroken: the attempt broke after the request may have been given
	// to a backend server, before an answer began.
	ResultBroken
	// ResultTorn: the answer broke after its beginning was passed on.
	ResultTorn
	// ResultRefused: the peer refused the hand-over; its refusal says whether
	// the request can have run there.
	ResultRefused
	// ResultTimedOut: the deadline passed during the attempt.
	ResultTimedOut
	// ResultCancelled: the caller went away.
	ResultCancelled
)

// Load is what an agent says of its own load on every answer to a peer.
type Load struct {
	// FreeSlots is the number of requests the backend server could start now.
	FreeSlots int32
	// Queued is the number of requests that wait at the agent.
	Queued int32
	// Streams is the number of open streams.
	Streams int32
	// Flows is the number of callers' flows that are open at the agent and
	// were not asked to move.
	Flows int32
	// Leaving is set once the agent takes no new work.
	Leaving bool
}

// Dispatcher decides what becomes of each request at one agent. It is a state
// machine: every method takes the time of the event and gives the actions that
// follow. The caller serializes the calls for one dispatcher.
type Dispatcher interface {
	// Arrive takes a request from a caller's flow or a peer's hand-over.
	Arrive(now time.Time, work Work) []Action
	// Finish reports how ActionRun or ActionHandOver ended. The refusal is
	// the peer's for ResultRefused and zero otherwise. Finish follows every
	// such action exactly once, also after ActionCancel: until then the slot
	// counts as held. When no action comes back for the request, the answer
	// of the attempt is the caller's: after ResultFailed that is the backend
	// server's own failure. After ResultShed the request then waits for a
	// further action.
	Finish(now time.Time, id WorkID, result Result, refusal Refusal) []Action
	// Answered reports the reply to ActionAsk: known is false when the peer
	// gave no answer, ran tells whether the request ran or may still run.
	Answered(now time.Time, id WorkID, known, ran bool) []Action
	// Spent reports the issuer's reply to ActionSpend: known is false when
	// the issuer gave no answer.
	Spent(now time.Time, id WorkID, known, granted bool) []Action
	// Cancel reports that the caller of a request went away.
	Cancel(now time.Time, id WorkID) []Action
	// Tick lets time pass: queues, deadlines and budgets.
	Tick(now time.Time) []Action
	// NextTick gives the time at which Tick has something to do, or zero. It
	// is asked again after each of the other methods.
	NextTick() time.Time
	// Configure puts the limits of a revision in force.
	Configure(now time.Time, revision uint64, service Service) []Action
	// Observe reports the backend server's health and load, as polled. They
	// are hints.
	Observe(now time.Time, healthy bool, load int32)
	// Peers replaces the members of the service other than this agent.
	Peers(now time.Time, peers []Member)
	// PeerLoad reports the load that came with a peer's answer.
	PeerLoad(now time.Time, peer Identity, load Load)
	// Leave stops new work at the agent's own backend server for good.
	Leave(now time.Time) []Action
	// Load gives the agent's own load.
	Load() Load
	// Ask answers a peer whose hand-over broke: whether its request ran or
	// may still run here. A request that is not known is refused from then on.
	Ask(now time.Time, origin Identity, originID WorkID) (ran bool)
	// Issue makes a ticket.
	Issue(now time.Time) Ticket
	// Spend grants one run for a ticket that this agent issued.
	Spend(now time.Time, ticket Ticket) (granted bool)
}

// CallerCounter counts callers over a whole service, each at its home agent. A
// Dispatcher that implements it may give ActionCount, if it is told that the
// transport carries it.
type CallerCounter interface {
	// Count answers a peer that has admitted so many requests of a caller: how
	// many more it may admit, or the time after which it may admit one.
	Count(now time.Time, caller netip.Addr, admitted int) (granted int, wait time.Duration)
	// Counted takes the reply to ActionCount; known is false when none came.
	Counted(now time.Time, caller netip.Addr, known bool, granted int, wait time.Duration)
}
