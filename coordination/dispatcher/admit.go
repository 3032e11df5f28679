package dispatcher

import (
	"strconv"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/ticketer"
	"gooseberrymast/state/asserter"
)

// HandleRequest receives a request from a caller's flow or from a peer's hand-over.
func (d *Dispatcher) HandleRequest(now time.Time, work gooseberrymast.Work) []gooseberrymast.Action {
	d.processQueue(now)
	_, known := d.requests[work.ID]
	asserter.Holds(!known, "work-id-is-new", "request %d arrived twice", work.ID)
	r := &request{
		work:     work,
		atOrigin: !work.HandedOver(d.config.Self),
		arrived:  now,
		expected: d.estimator.Expect(work.Path),
	}
	d.requests[work.ID] = r
	d.spendOwnTicket(r)
	d.admit(now, r)
	return d.takeActions()
}

// admit makes the checks that precede the choice of a backend server.
func (d *Dispatcher) admit(now time.Time, r *request) {
	if d.revision == 0 {
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonNoRevision})
		return
	}
	if !r.atOrigin && !d.acceptHandOver(now, r) {
		return
	}
	if !now.Before(r.work.Deadline) {
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonDeadlinePassed})
		return
	}
	if r.atOrigin && !d.withinRate(now, r.work.Caller) {
		d.refuse(now, r, d.callerRateCause())
		return
	}
	if r.atOrigin {
		d.budget.AddRequest()
	}
	if r.needsTicket() && !d.checkTicket(now, r) {
		return
	}
	d.place(now, r)
}

// acceptHandOver reports whether a handed-over request is the first copy to
// arrive and its origin has not abandoned it. It records the arrival.
func (d *Dispatcher) acceptHandOver(now time.Time, r *request) bool {
	outcome := d.history.Outcome(r.work.Origin, r.work.OriginID)
	if outcome == ticketer.OutcomeUnknown && !d.placer.Superseded(r.work.Origin) {
		d.history.Set(now, r.work.Origin, r.work.OriginID, ticketer.OutcomeAccepted)
		d.handedOver[handOverKey{r.work.Origin, r.work.OriginID}] = r
		return true
	}
	if outcome == ticketer.OutcomeAccepted {
		r.mayHaveRun = true
	}
	d.refuse(now, r, cause{reason: gooseberrymast.ReasonPeerBroke})
	return false
}

// spendOwnTicket spends a ticket of this agent on arrival, before any reply is
// sent for the request. A second request with the same ticket must never be
// refused as not run, since the first may have run. The same holds for a request
// with another agent's ticket until that agent grants the run.
func (d *Dispatcher) spendOwnTicket(r *request) {
	if !r.needsTicket() {
		return
	}
	r.ticketSpent = d.issuer.Spend(r.work.Ticket)
	r.mayHaveRun = !r.ticketSpent
}

// checkTicket reports whether a request's ticket allows it to be placed now. A
// ticket of another agent is spent there, and the request waits for the reply.
func (d *Dispatcher) checkTicket(now time.Time, r *request) bool {
	if r.ticketSpent {
		return true
	}
	ticket := r.work.Ticket
	if ticket.Service != d.config.Tag {
		d.refuseUnknownTicket(now, r)
		return false
	}
	if ticket.Issuer != d.config.Self {
		d.requestSpend(now, r)
		return false
	}
	if d.issuer.Status(ticket) == ticketer.StatusNever {
		d.refuseUnknownTicket(now, r)
		return false
	}
	d.refuse(now, r, cause{reason: gooseberrymast.ReasonTicketUsed})
	return false
}

// requestSpend asks the issuing agent to spend its ticket. The request is
// refused if a later incarnation of that agent has been seen.
func (d *Dispatcher) requestSpend(now time.Time, r *request) {
	issuer := r.work.Ticket.Issuer
	if issuer.Address == d.config.Self.Address || d.placer.Superseded(issuer) {
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonIssuerGone})
		return
	}
	r.stage = stageSpendingTicket
	d.pending[r.work.ID] = r
	d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionSpend, Work: r.work.ID, Peer: issuer})
}

// HandleSpendReply receives the issuer's reply to ActionSpend.
func (d *Dispatcher) HandleSpendReply(now time.Time, id gooseberrymast.WorkID, known, granted bool) []gooseberrymast.Action {
	r := d.requests[id]
	if r == nil || r.stage != stageSpendingTicket {
		return d.takeActions()
	}
	delete(d.pending, id)
	switch {
	case !known:
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonIssuerGone})
	case !granted:
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonTicketUsed})
	default:
		r.ticketSpent, r.mayHaveRun = true, false
		d.place(now, r)
	}
	d.processQueue(now)
	return d.takeActions()
}

// Issue returns a new ticket.
func (d *Dispatcher) Issue(time.Time) gooseberrymast.Ticket {
	return d.issuer.Issue()
}

// Spend spends a ticket of this agent and reports whether one run is granted.
func (d *Dispatcher) Spend(_ time.Time, ticket gooseberrymast.Ticket) (granted bool) {
	return d.issuer.Spend(ticket)
}

// HandleOutcomeQuery answers a peer whose hand-over broke. A request that is still
// queued here is dropped, so that the peer can place it again. One that has not
// arrived is recorded as not run, so that a late copy of it is refused.
func (d *Dispatcher) HandleOutcomeQuery(now time.Time, origin gooseberrymast.Identity, originID gooseberrymast.WorkID) (ran bool) {
	switch d.history.Outcome(origin, originID) {
	case ticketer.OutcomeUnknown:
		d.history.Set(now, origin, originID, ticketer.OutcomeNotRun)
		return false
	case ticketer.OutcomeNotRun:
		return false
	case ticketer.OutcomeForgotten:
		return true
	}
	r := d.handedOver[handOverKey{origin, originID}]
	if r == nil || r.stage != stageQueued {
		return true
	}
	d.admitter.Remove(r.work.ID)
	d.refuse(now, r, cause{reason: gooseberrymast.ReasonPeerBroke})
	d.dirty = true
	return false
}

func (d *Dispatcher) callerRateCause() cause {
	rate := strconv.FormatFloat(d.service.Limits.CallerRate, 'g', -1, 64)
	return cause{reason: gooseberrymast.ReasonCallerRate, limit: "caller-rate", value: rate + "/s"}
}
