package dispatcher

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/admitter"
	"gooseberrymast/coordination/estimator"
)

// stage is the progress of one request.
type stage uint8

const (
	// stageNew: the request has arrived; nothing is decided.
	stageNew stage = iota
	// stageSpendingTicket: waits for the ticket's issuer to grant the run.
	stageSpendingTicket
	// stageQueued: the request waits for a slot.
	stageQueued
	// stageRunning: the agent's own backend server runs the request.
	stageRunning
	// stageHandedOver: the request was handed over to a peer.
	stageHandedOver
	// stageQueryingPeer: the hand-over broke; waits for the peer to report
	// whether it ran the request.
	stageQueryingPeer
	// stageDone: the request was answered, refused or dropped.
	stageDone
)

// request is the state of one request.
type request struct {
	work  gooseberrymast.Work
	stage stage
	// atOrigin is set when this agent holds the caller's flow. Only then may
	// the request be handed over or retried.
	atOrigin bool
	arrived  time.Time
	// started is when the current attempt began.
	started time.Time
	// expected is the service time estimated on arrival.
	expected estimator.Estimate
	// mayHaveRun is set once a backend server may have received the request in
	// a finished attempt, and is not cleared after that. It is also set while
	// the request's ticket isn't granted, since another request with the same
	// ticket may have run.
	mayHaveRun bool
	// failedLocally is set when the agent's own backend server failed or shed
	// the request.
	failedLocally bool
	// peer is the receiver of the current hand-over.
	peer gooseberrymast.Identity
	// probe is set while the request is handed over to a peer of unknown load.
	probe bool
	// tried lists the peers that the request was handed over to.
	tried []gooseberrymast.Identity
	// peerRefusal is the latest refusal of a peer; zero if none has refused.
	peerRefusal gooseberrymast.Refusal
	// ticketSpent is set once the ticket's issuer granted the run.
	ticketSpent bool
	// cancelled is set when the caller went away during an attempt.
	cancelled bool
}

// needsTicket reports whether the ticket must be spent before the request runs.
func (r *request) needsTicket() bool {
	return r.atOrigin && !r.work.Idempotent && !r.work.Ticket.IsZero()
}

// ran returns what a refusal may state about whether the request ran.
func (r *request) ran() gooseberrymast.Ran {
	if r.mayHaveRun {
		return gooseberrymast.RanUnknown
	}
	return gooseberrymast.RanNo
}

// entry returns the request in the admitter's form.
func (r *request) entry() admitter.Entry {
	return admitter.Entry{
		ID:       r.work.ID,
		Arrived:  r.arrived,
		Deadline: r.work.Deadline,
		Mean:     r.expected.Mean,
		Safe:     r.expected.Safe,
		Long:     r.expected.Long,
	}
}
