package dispatcher

import (
	"strconv"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/ticketer"
	"gooseberrymast/state/asserter"
)

// Arrive takes a request from a caller's flow or a peer's hand-over.
func (d *Dispatcher) Arrive(now time.Time, work gooseberrymast.Work) []gooseberrymast.Action {
	d.pump(now)
	_, known := d.requests[work.ID]
	asserter.Holds(!known, "work-id-is-new", "request %d arrived twice", work.ID)
	r := &request{
		work:     work,
		own:      !work.HandedOver(d.config.Self),
		arrived:  now,
		expected: d.estimator.Expect(work.Path),
	}
	d.requests[work.ID] = r
	d.claim(r)
	d.admit(now, r)
	return d.take()
}

// admit makes the checks that come before the choice of a server.
func (d *Dispatcher) admit(now time.Time, r *request) {
	if d.revision == 0 {
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonNoRevision})
		return
	}
	if !r.own && !d.first(now, r) {
		return
	}
	if !now.Before(r.work.Deadline) {
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonDeadlinePassed})
		return
	}
	if r.own && !d.withinRate(now, r.work.Caller) {
		d.refuse(now, r, d.rateCause())
		return
	}
	if r.own {
		d.budget.Request()
	}
	if r.needsTicket() && !d.ticketUsable(now, r) {
		return
	}
	d.place(now, r)
}

// first reports whether a handed-over request is the first copy that arrives,
// and was not given up by its origin. It remembers that the request came.
func (d *Dispatcher) first(now time.Time, r *request) bool {
	fate := d.memory.Fate(r.work.Origin, r.work.OriginID)
	if fate == ticketer.FateUnknown && !d.placer.Superseded(r.work.Origin) {
		d.memory.Set(now, r.work.Origin, r.work.OriginID, ticketer.FateTaken)
		d.handed[handedKey{r.work.Origin, r.work.OriginID}] = r
		return true
	}
	if fate == ticketer.FateTaken {
		r.given = true
	}
	d.refuse(now, r, cause{reason: gooseberrymast.ReasonPeerBroke})
	return false
}

// claim spends a ticket of this agent on arrival, before anything is said
// about the request: whoever comes second with the ticket can't be told "not
// run". Nor can the holder of another agent's ticket until that agent grants it.
func (d *Dispatcher) claim(r *request) {
	if !r.needsTicket() {
		return
	}
	r.spent = d.issuer.Spend(r.work.Ticket)
	r.given = !r.spent
}

// ticketUsable checks a request's ticket before the request is placed. A
// ticket of another agent is spent there; the request waits for the reply.
func (d *Dispatcher) ticketUsable(now time.Time, r *request) bool {
	if r.spent {
		return true
	}
	ticket := r.work.Ticket
	if ticket.Service != d.config.Tag {
		d.refuseUnknownTicket(now, r)
		return false
	}
	if ticket.Issuer != d.config.Self {
		d.askIssuer(now, r)
		return false
	}
	if d.issuer.Status(ticket) == ticketer.StatusNever {
		d.refuseUnknownTicket(now, r)
		return false
	}
	d.refuse(now, r, cause{reason: gooseberrymast.ReasonTicketUsed})
	return false
}

// askIssuer spends a ticket of another agent, unless a later incarnation of it is known.
func (d *Dispatcher) askIssuer(now time.Time, r *request) {
	issuer := r.work.Ticket.Issuer
	if issuer.Address == d.config.Self.Address || d.placer.Superseded(issuer) {
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonIssuerGone})
		return
	}
	r.stage = stageSpending
	d.pending[r.work.ID] = r
	d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionSpend, Work: r.work.ID, Peer: issuer})
}

// Spent reports the issuer's reply to ActionSpend.
func (d *Dispatcher) Spent(now time.Time, id gooseberrymast.WorkID, known, granted bool) []gooseberrymast.Action {
	r := d.requests[id]
	if r == nil || r.stage != stageSpending {
		return d.take()
	}
	delete(d.pending, id)
	switch {
	case !known:
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonIssuerGone})
	case !granted:
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonTicketUsed})
	default:
		r.spent, r.given = true, false
		d.place(now, r)
	}
	d.pump(now)
	return d.take()
}

// Issue makes a ticket.
func (d *Dispatcher) Issue(time.Time) gooseberrymast.Ticket {
	return d.issuer.Issue()
}

// Spend grants one run for a ticket that this agent issued.
func (d *Dispatcher) Spend(_ time.Time, ticket gooseberrymast.Ticket) (granted bool) {
	return d.issuer.Spend(ticket)
}

// Ask answers a peer whose hand-over broke. A request that still waits here is
// dropped, so that the peer can place it anew.
func (d *Dispatcher) Ask(now time.Time, origin gooseberrymast.Identity, originID gooseberrymast.WorkID) (ran bool) {
	switch d.memory.Fate(origin, originID) {
	case ticketer.FateUnknown:
		d.memory.Set(now, origin, originID, ticketer.FateRefused)
		return false
	case ticketer.FateRefused:
		return false
	case ticketer.FateForgotten:
		return true
	}
	r := d.handed[handedKey{origin, originID}]
	if r == nil || r.stage != stageQueued {
		return true
	}
	d.admitter.Remove(r.work.ID)
	d.refuse(now, r, cause{reason: gooseberrymast.ReasonPeerBroke})
	d.stirred = true
	return false
}

func (d *Dispatcher) rateCause() cause {
	rate := strconv.FormatFloat(d.service.Limits.CallerRate, 'g', -1, 64)
	return cause{reason: gooseberrymast.ReasonCallerRate, limit: "caller-rate", value: rate + "/s"}
}
