package member

import (
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
)

// The times of a member.
const (
	// gatherTime is the time for which a newcomer that heard of a revision
	// waits for a higher one from other peers.
	gatherTime = 500 * time.Millisecond
	// storeTime is the time for which it waits for the store, when it has one.
	storeTime = 3 * time.Second
	// repairInterval is the least time between two repairs with peers whose
	// digest differs.
	repairInterval = 30 * time.Second
	// probeInterval is the time between two sessions with a random peer.
	probeInterval = 30 * time.Second
	// probeLife is the length of such a session.
	probeLife = 10 * time.Second
	// hintInterval is the time between two looks for peers in the store.
	hintInterval = 30 * time.Second
	// loneTime is the time without any peer after which it is asked.
	loneTime = 3 * time.Second
	// minRedial and maxRedial bound the time between two dials of an address.
	minRedial = 500 * time.Millisecond
	maxRedial = 10 * time.Second
	// renewInterval is the least time between two refutations of a loss.
	renewInterval = time.Second
	// agentRevisionInterval is the least time between two revisions that one
	// agent is sent.
	agentRevisionInterval = 2 * time.Second
	// acknowledgeInterval is the least time before a heartbeat that only tells
	// or acknowledges a revision's number.
	acknowledgeInterval = 2 * time.Second
	// askInterval is the time between two requests for a peer's revision.
	askInterval = 5 * time.Second
	// maxQueryHops bounds the way of a query to the root.
	maxQueryHops = 16
)

// Actions is what the transport has to do after an event, in this order.
type Actions struct {
	// Identity is set when the own identity changed.
	Identity *gooseberrymast.Identity
	// Adopted is set when a revision came into force.
	Adopted *Adopted
	// Table is set when a snapshot was published.
	Table *gooseberrymast.Table
	// Balancers is set when an agent's sessions with balancers changed. It
	// holds their forwarding addresses, of which there may be none.
	Balancers *[]netip.AddrPort
	// Dials lists the control addresses to connect to. Each is answered by
	// Connected or Refused.
	Dials []netip.AddrPort
	// Sends lists the messages to send, in order.
	Sends []Send
	// Closes lists the sessions to close, after the messages were sent. They
	// are not answered by Closed.
	Closes []messenger.Session
	// Calls lists the calls to the store, each answered by Stored.
	Calls []Call
	// Answers lists the answers to Query.
	Answers []messenger.Answer
	// Faults lists what went wrong, for the log.
	Faults []error
}

// Adopted is a revision that came into force. An agent's document may be older
// in what it says of other services.
type Adopted struct {
	Revision gooseberrymast.Revision
	Document gooseberrymast.Document
}

// Send is one message for a session.
type Send struct {
	Session messenger.Session
	Message *messenger.Message
}

// Call is one call to the store.
type Call struct {
	// ID is unique for the member.
	ID   uint64
	Call messenger.Call
}

// Counters count what happened to a member since its start.
type Counters struct {
	// SilentSessions counts sessions that were closed for their silence.
	SilentSessions uint64
	// LostWriters counts writers that were reported as lost.
	LostWriters uint64
	// UnreachablePeers counts peers that were reported as unreachable.
	UnreachablePeers uint64
	// Repairs counts repairs that this member began.
	Repairs uint64
	// Probes counts sessions with random peers.
	Probes uint64
	// Adoptions counts revisions that came into force.
	Adoptions uint64
	// Refusals counts revisions and sessions that were refused.
	Refusals uint64
	// Renewals counts refutations of losses.
	Renewals uint64
}

func (m *Member) send(session messenger.Session, message *messenger.Message) {
	m.actions.Sends = append(m.actions.Sends, Send{Session: session, Message: message})
}

func (m *Member) fault(err error) {
	m.actions.Faults = append(m.actions.Faults, err)
}
