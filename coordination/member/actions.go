package member

import (
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
)

// Timing of a member.
const (
	// peerSettleTime is how long a new member with a revision waits for a newer
	// one from other peers before it becomes ready.
	peerSettleTime = 500 * time.Millisecond
	// storeSettleTime is how long it waits for the store, if it has one.
	storeSettleTime = 3 * time.Second
	// repairInterval is the minimum time between two repairs with peers whose
	// digests differ.
	repairInterval = 30 * time.Second
	// probeInterval is the time between two probes, short sessions with a
	// random peer.
	probeInterval = 30 * time.Second
	// probeDuration is the duration of a probe.
	probeDuration = 10 * time.Second
	// discoveryInterval is the time between two searches for peers in the
	// store.
	discoveryInterval = 30 * time.Second
	// discoveryDelay is the time without any peer before the store is searched.
	discoveryDelay = 3 * time.Second
	// minDialDelay and maxDialDelay bound the delay between two dials of an
	// address.
	minDialDelay = 500 * time.Millisecond
	maxDialDelay = 10 * time.Second
	// refuteInterval is the minimum time between two refutations of a loss.
	refuteInterval = time.Second
	// agentRevisionInterval is the minimum time between two revisions sent to
	// an agent.
	agentRevisionInterval = 2 * time.Second
	// acknowledgeInterval is the minimum time since the last heartbeat before
	// another is sent only to announce or acknowledge a revision number.
	acknowledgeInterval = 2 * time.Second
	// requestInterval is the time between two requests for a peer's revision.
	requestInterval = 5 * time.Second
	// maxQueryHops bounds the number of times that a query is forwarded on its
	// way to the root.
	maxQueryHops = 16
)

// Actions lists what the transport must do after an event, in this order.
type Actions struct {
	// Identity is set when the member's own identity changed.
	Identity *gooseberrymast.Identity
	// Adopted is set when a revision came into force.
	Adopted *Adopted
	// Table is set when a snapshot was published.
	Table *gooseberrymast.Table
	// Balancers is set when an agent's sessions with balancers changed. It
	// holds their forwarding addresses and may be empty.
	Balancers *[]netip.AddrPort
	// Dials lists the control addresses to connect to. The transport must
	// report the outcome of each by HandleConnection or HandleDialFailure.
	Dials []netip.AddrPort
	// Sends lists the messages to send, in order.
	Sends []Send
	// Closes lists the sessions to close after the messages have been sent.
	// They must not be reported by HandleClose.
	Closes []messenger.Session
	// Calls lists the calls to the store. The result of each must be reported
	// by HandleStoreResult.
	Calls []Call
	// Answers lists the answers to Query.
	Answers []messenger.Answer
	// Errors lists errors to be logged.
	Errors []error
}

// Adopted is a revision that came into force. At an agent the text and document
// may be of an older revision that has the same section for the agent's
// service.
type Adopted struct {
	Revision gooseberrymast.Revision
	Document gooseberrymast.Document
}

// Send is a message to be sent on a session.
type Send struct {
	Session messenger.Session
	Message *messenger.Message
}

// Call is a call to the store.
type Call struct {
	// ID is unique within the member.
	ID   uint64
	Call messenger.Call
}

// Counters are event counts since the start of a member.
type Counters struct {
	// SilentSessions counts sessions that were closed because the peer was
	// silent.
	SilentSessions uint64
	// LostWriters counts processes reported as having lost their session.
	LostWriters uint64
	// UnreachablePeers counts peers that were reported as unreachable.
	UnreachablePeers uint64
	// Repairs counts repairs started by this member.
	Repairs uint64
	// Probes counts sessions with random peers.
	Probes uint64
	// Adoptions counts revisions that came into force.
	Adoptions uint64
	// Refusals counts revisions and sessions that were refused.
	Refusals uint64
	// Refutations counts the times that the member raised the sequence or
	// incarnation of its own record in response to a received entry.
	Refutations uint64
}

func (m *Member) send(session messenger.Session, message *messenger.Message) {
	m.actions.Sends = append(m.actions.Sends, Send{Session: session, Message: message})
}

func (m *Member) fault(err error) {
	m.actions.Errors = append(m.actions.Errors, err)
}
