package dispatcher

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/ticketer"
	"gooseberrymast/state/asserter"
	"gooseberrymast/state/recorder"
)

// cause is why a request is refused.
type cause struct {
	reason gooseberrymast.Reason
	// limit and value name the limit that was met, or are empty.
	limit string
	value string
	// from is the refusal of a peer that is passed on, or zero.
	from gooseberrymast.Refusal
}

// handedKey names a request that a peer handed over.
type handedKey struct {
	origin gooseberrymast.Identity
	id     gooseberrymast.WorkID
}

// Refuse makes and records a refusal for a request that never became work of
// this dispatcher, such as one for another service.
func (d *Dispatcher) Refuse(now time.Time, reason gooseberrymast.Reason) gooseberrymast.Refusal {
	refusal := d.refusal(now, cause{reason: reason}, gooseberrymast.RanNo)
	d.recorder.Record(refusal, recorder.AudienceCaller)
	return refusal
}

// refuse answers a request with a refusal and ends it.
func (d *Dispatcher) refuse(now time.Time, r *request, why cause) {
	refusal := d.refusal(now, why, r.ran())
	d.record(r, refusal)
	d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionRefuse, Work: r.work.ID, Refusal: refusal})
	d.end(now, r)
}

// refuseUnknownTicket refuses a ticket that nobody here can have let run.
func (d *Dispatcher) refuseUnknownTicket(now time.Time, r *request) {
	r.given = false
	d.refuse(now, r, cause{reason: gooseberrymast.ReasonTicketUnknown})
}

// drop ends a request whose caller went away. Nobody is answered, but the
// refusal is kept and counted.
func (d *Dispatcher) drop(now time.Time, r *request) {
	d.record(r, d.refusal(now, cause{reason: gooseberrymast.ReasonCancelled}, r.ran()))
	d.end(now, r)
}

// end forgets a request.
func (d *Dispatcher) end(now time.Time, r *request) {
	asserter.Holds(r.stage != stageDone, "request-ends-once", "request %d ended twice", r.work.ID)
	if !r.own {
		d.forgetHanded(now, r)
	}
	if r.spent && !r.given && r.work.Ticket.Issuer == d.config.Self {
		d.issuer.Release(r.work.Ticket)
	}
	r.stage = stageDone
	delete(d.requests, r.work.ID)
	delete(d.pending, r.work.ID)
}

// forgetHanded closes the books on a peer's request. One that did not run is
// remembered as refused, so that a late copy of it won't run either.
func (d *Dispatcher) forgetHanded(now time.Time, r *request) {
	key := handedKey{r.work.Origin, r.work.OriginID}
	if d.handed[key] != r {
		return
	}
	delete(d.handed, key)
	if !r.given {
		d.memory.Set(now, r.work.Origin, r.work.OriginID, ticketer.FateRefused)
	}
}

func (d *Dispatcher) record(r *request, refusal gooseberrymast.Refusal) {
	audience := recorder.AudienceCaller
	if !r.own {
		audience = recorder.AudiencePeer
	}
	d.recorder.Record(refusal, audience)
}

func (d *Dispatcher) refusal(now time.Time, why cause, ran gooseberrymast.Ran) gooseberrymast.Refusal {
	if why.from.ID != "" && why.from.Ran == ran {
		return why.from
	}
	d.refusals++
	return gooseberrymast.Refusal{
		ID:       recorder.Identifier(d.config.Self, d.refusals),
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
