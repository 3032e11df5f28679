package dispatcher

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/admitter"
	"gooseberrymast/coordination/estimator"
)

// stage is the state of one request.
type stage uint8

const (
	// stageNew: the request has arrived and nothing was decided.
	stageNew stage = iota
	// stageSpending: the ticket's issuer was asked for leave.
	stageSpending
	// stageQueued: the request waits for a slot.
	stageQueued
	// stageRunning: the own backend server was given the request.
	stageRunning
	// stageHandedOver: a peer was given the request.
	stageHandedOver
	// stageAsked: the hand-over broke and the peer was asked what became of it.
	stageAsked
	// stageDone: the request was answered, refused or dropped.
	stageDone
)

// request is one request and its state.
type request struct {
	work  gooseberrymast.Work
	stage stage
	// own is set when this agent holds the caller's flow. Only then may the
	// request be handed over or retried.
	own     bool
	arrived time.Time
	// started is when the present attempt began.
	started time.Time
	// expected is the estimate of the service time on arrival.
	expected estimator.Estimate
	// given is set once a backend server may have been given the request in an
	// attempt that is over. It never goes back.
	given bool
	// failedHere is set when the own backend server failed or shed the request.
	failedHere bool
	// peer is the receiver of the present hand-over.
	peer gooseberrymast.Identity
	// probe is set while the hand-over goes to a peer of unknown load.
	probe bool
	// tried lists the peers that were given the request before.
	tried []gooseberrymast.Identity
	// spent is set once the ticket's issuer let the request run.
	spent bool
	// cancelled is set when the caller went away during an attempt.
	cancelled bool
}

// needsTicket reports whether the request's one run depends on its ticket.
func (r *request) needsTicket() bool {
	return r.own && !r.work.Idempotent && !r.work.Ticket.IsZero()
}

// ran says what the caller may be told.
func (r *request) ran() gooseberrymast.Ran {
	if r.given {
		return gooseberrymast.RanUnknown
	}
	return gooseberrymast.RanNo
}

// entry describes the request to the admitter.
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
