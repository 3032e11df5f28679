package dispatcher

import (
	"maps"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/admitter"
	"gooseberrymast/state/recorder"
)

// pumpInterval is how often waiting requests look for peers with room when
// nothing else happens.
const pumpInterval = 50 * time.Millisecond

// Tick lets time pass.
func (d *Dispatcher) Tick(now time.Time) []gooseberrymast.Action {
	d.expirePending(now)
	d.pump(now)
	return d.take()
}

// NextTick gives the time at which Tick has something to do, or zero.
func (d *Dispatcher) NextTick() time.Time {
	if d.stirred {
		return d.now
	}
	var next time.Time
	for _, r := range d.pending {
		next = earlier(next, r.work.Deadline)
	}
	if d.admitter.Waiting() == 0 {
		return next
	}
	next = earlier(next, d.admitter.NextDoomed())
	if d.drainer.Leaving() {
		next = earlier(next, d.drainer.GraceEnd())
	}
	return earlier(next, d.nextPump)
}

// Leave stops new work at the agent's own backend server for good. Requests
// that wait are handed over; those that no peer can take may start until the
// grace is over.
func (d *Dispatcher) Leave(now time.Time) []gooseberrymast.Action {
	if d.drainer.Leaving() {
		return d.take()
	}
	d.drainer.Leave(now)
	d.pump(now)
	return d.take()
}

// pump moves the requests that wait: it refuses those that can't be answered
// in time, fills free slots and hands over to peers with room.
func (d *Dispatcher) pump(now time.Time) {
	d.now = now
	d.stirred = false
	for _, id := range d.admitter.Overdue(now) {
		d.estimator.Overdue(d.requests[id].work.Path)
	}
	if d.admitter.Waiting() == 0 {
		return
	}
	d.refuseDoomed(now)
	if d.drainer.Leaving() {
		d.clearQueue(now)
	} else if d.selfEjected() && !d.config.Policy.NoHandOver {
		d.clearQueue(now)
	}
	d.startWaiting(now, d.admitter.Share(now))
	d.spread(now)
	d.startWaiting(now, d.admitter.Bound(now))
	d.nextPump = now.Add(pumpInterval)
}

func (d *Dispatcher) refuseDoomed(now time.Time) {
	for {
		entry, ok := d.admitter.Doomed(now)
		if !ok {
			return
		}
		reason := gooseberrymast.ReasonDeadlineTooClose
		if !now.Before(entry.Deadline) {
			reason = gooseberrymast.ReasonDeadlinePassed
		}
		d.refuse(now, d.requests[entry.ID], cause{reason: reason})
	}
}

// clearQueue moves requests away from a backend server that is leaving or
// ejected. Within the grace of a leaving one, those stay that nobody takes.
func (d *Dispatcher) clearQueue(now time.Time) {
	mayStay := d.drainer.Leaving() && d.drainer.MayStart(now)
	for {
		entry, ok := d.admitter.First(now, func(entry admitter.Entry) bool {
			r := d.requests[entry.ID]
			return !mayStay || (r.own && d.placer.Any(now, d.need(now, r)))
		})
		if !ok {
			return
		}
		d.admitter.Remove(entry.ID)
		r := d.requests[entry.ID]
		if len(r.tried) > 0 && !d.takeRetry(recorder.RetryRefused) {
			d.refuse(now, r, d.unavailable())
			continue
		}
		d.placeElsewhere(now, r)
	}
}

// startWaiting fills the slots up to a bound.
func (d *Dispatcher) startWaiting(now time.Time, bound int) {
	if !d.drainer.MayStart(now) {
		return
	}
	for {
		entry, ok := d.admitter.Next(now, bound)
		if !ok {
			return
		}
		d.run(now, d.requests[entry.ID])
	}
}

// spread hands waiting requests over to peers with room.
func (d *Dispatcher) spread(now time.Time) {
	if d.config.Policy.NoHandOver {
		return
	}
	for d.spreadOne(now) {
	}
}

// spreadOne hands over the request that is next to start within the availability
// zone, or the one that would wait longest to another zone.
func (d *Dispatcher) spreadOne(now time.Time) bool {
	mayGo := func(entry admitter.Entry) bool {
		r := d.requests[entry.ID]
		return r.own && (len(r.tried) == 0 || d.budget.Left())
	}
	next, ok := d.admitter.First(now, mayGo)
	if !ok {
		return false
	}
	last, _ := d.admitter.Last(now, mayGo)
	backlog := d.admitter.Backlog(now)
	return d.spreadTo(now, d.requests[next.ID], 0) || d.spreadTo(now, d.requests[last.ID], backlog)
}

// spreadTo hands over a waiting request if a peer has room for it. The wait says
// what a way to another availability zone is weighed against.
func (d *Dispatcher) spreadTo(now time.Time, r *request, wait time.Duration) bool {
	need := d.need(now, r)
	need.Wait = wait
	peer, ok := d.placer.Choose(now, need)
	if !ok {
		return false
	}
	d.admitter.Remove(r.work.ID)
	if len(r.tried) > 0 {
		d.takeRetry(recorder.RetryRefused)
	}
	d.handOver(now, r, peer)
	return true
}

// expirePending refuses the requests whose deadline passed while an issuer or
// a peer was asked.
func (d *Dispatcher) expirePending(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.pending)) {
		r := d.pending[id]
		if now.Before(r.work.Deadline) {
			continue
		}
		if r.stage == stageSpending {
			d.refuse(now, r, cause{reason: gooseberrymast.ReasonIssuerGone})
			continue
		}
		r.given = true
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonDeadlinePassed})
	}
}

// earlier gives the earlier of two times, of which zero is none.
func earlier(one, other time.Time) time.Time {
	if one.IsZero() || (!other.IsZero() && other.Before(one)) {
		return other
	}
	return one
}
