package dispatcher

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/ticketer"
	"gooseberrymast/state/asserter"
	"gooseberrymast/state/recorder"
)

// cause describes why a request is refused.
type cause struct {
	reason gooseberrymast.Reason
	// limit and value name the limit that was reached, or are empty.
	limit string
	value string
	// forwarded is the refusal of a peer to pass on to the caller, or zero.
	forwarded gooseberrymast.Refusal
}

// forwardedCause returns the cause of a refusal that a peer sent.
func forwardedCause(refusal gooseberrymast.Refusal) cause {
	return cause{reason: refusal.Reason, limit: refusal.Limit, value: refusal.Value, forwarded: refusal}
}

// handOverKey identifies a request that a peer handed over.
type handOverKey struct {
	origin gooseberrymast.Identity
	id     gooseberrymast.WorkID
}

// Refuse returns and records a refusal for a request that the dispatcher never
// received through HandleRequest, such as one for another service.
func (d *Dispatcher) Refuse(now time.Time, reason gooseberrymast.Reason) gooseberrymast.Refusal {
	refusal := d.newRefusal(now, cause{reason: reason}, gooseberrymast.RanNo)
	d.recorder.Record(refusal, recorder.AudienceCaller)
	return refusal
}

// refuse ends a request with a refusal.
func (d *Dispatcher) refuse(now time.Time, r *request, why cause) {
	refusal := d.newRefusal(now, why, r.ran())
	d.recordRefusal(r, refusal)
	d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionRefuse, Work: r.work.ID, Refusal: refusal})
	d.end(now, r)
}

// refuseUnknownTicket refuses a request whose ticket can't have granted a run:
// this agent never issued it, or it is for another service.
func (d *Dispatcher) refuseUnknownTicket(now time.Time, r *request) {
	r.mayHaveRun = false
	d.refuse(now, r, cause{reason: gooseberrymast.ReasonTicketUnknown})
}

// drop ends a request whose caller went away. No refusal is sent, but it is
// recorded and counted.
func (d *Dispatcher) drop(now time.Time, r *request) {
	d.recordRefusal(r, d.newRefusal(now, cause{reason: gooseberrymast.ReasonCancelled}, r.ran()))
	d.end(now, r)
}

// end removes a request. A ticket of this agent is released if the request did
// not run.
func (d *Dispatcher) end(now time.Time, r *request) {
	asserter.Holds(r.stage != stageDone, "request-ends-once", "request %d ended twice", r.work.ID)
	if !r.atOrigin {
		d.forgetHandOver(now, r)
	}
	if r.ticketSpent && !r.mayHaveRun && r.work.Ticket.Issuer == d.config.Self {
		d.issuer.Release(r.work.Ticket)
	}
	r.stage = stageDone
	delete(d.requests, r.work.ID)
	delete(d.pending, r.work.ID)
}

// forgetHandOver removes a request that a peer handed over. If it did not run it
// is remembered as refused, so that a late copy of it won't run either.
func (d *Dispatcher) forgetHandOver(now time.Time, r *request) {
	key := handOverKey{r.work.Origin, r.work.OriginID}
	if d.handedOver[key] != r {
		return
	}
	delete(d.handedOver, key)
	if !r.mayHaveRun {
		d.history.Set(now, r.work.Origin, r.work.OriginID, ticketer.OutcomeNotRun)
	}
}

// recordRefusal records a refusal for the caller or for the peer that handed the
// request over.
func (d *Dispatcher) recordRefusal(r *request, refusal gooseberrymast.Refusal) {
	audience := recorder.AudienceCaller
	if !r.atOrigin {
		audience = recorder.AudiencePeer
	}
	d.recorder.Record(refusal, audience)
}

// newRefusal returns a refusal for the cause. A peer's refusal is passed on
// unchanged if it states the same about whether the request ran.
func (d *Dispatcher) newRefusal(now time.Time, why cause, ran gooseberrymast.Ran) gooseberrymast.Refusal {
	if why.forwarded.ID != "" && why.forwarded.Ran == ran {
		return why.forwarded
	}
	d.refusalCount++
	return gooseberrymast.Refusal{
		ID:       recorder.Identifier(d.config.Self, d.refusalCount),
		Reason:   why.reason,
		Ran:      ran,
		Service:  d.config.Service,
		Limit:    why.limit,
		Value:    why.value,
		Revision: d.revision,
		Instance: d.config.Instance,
		Time:     now,
	}
}

func (d *Dispatcher) emit(action gooseberrymast.Action) {
	d.actions = append(d.actions, action)
}
