package dispatcher

import (
	"maps"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/admitter"
	"gooseberrymast/state/recorder"
)

// queueScanInterval is how often queued requests look for peers with free slots
// when no other event occurs.
const queueScanInterval = 50 * time.Millisecond

// Tick handles the passing of time: deadlines, the queue and the end of the grace.
func (d *Dispatcher) Tick(now time.Time) []gooseberrymast.Action {
	d.expirePending(now)
	d.processQueue(now)
	return d.takeActions()
}

// NextTick returns the time of the next Tick, or zero if none is needed.
func (d *Dispatcher) NextTick() time.Time {
	if d.dirty {
		return d.now
	}
	var next time.Time
	for _, r := range d.pending {
		next = earlier(next, r.work.Deadline)
	}
	if d.admitter.Waiting() == 0 {
		return next
	}
	next = earlier(next, d.admitter.NextInfeasible())
	if d.drainer.Leaving() {
		next = earlier(next, d.drainer.GraceEnd())
	}
	return earlier(next, d.nextQueueScan)
}

// Leave stops new work at the agent's own backend server permanently. Queued
// requests are handed over; those that no peer can take may still start until
// the grace ends.
func (d *Dispatcher) Leave(now time.Time) []gooseberrymast.Action {
	if d.drainer.Leaving() {
		return d.takeActions()
	}
	d.drainer.Leave(now)
	d.processQueue(now)
	return d.takeActions()
}

// processQueue refuses queued requests that can't be answered in time, fills
// free slots and hands requests over to peers with free slots.
func (d *Dispatcher) processQueue(now time.Time) {
	d.now = now
	d.dirty = false
	for _, id := range d.admitter.MarkLong(now) {
		d.estimator.ObserveLong(d.requests[id].work.Path)
	}
	if d.admitter.Waiting() == 0 {
		return
	}
	d.refuseInfeasible(now)
	if d.drainer.Leaving() {
		d.clearQueue(now)
	} else if d.selfEjected() && !d.config.Policy.NoHandOver {
		d.clearQueue(now)
	}
	d.startQueued(now, d.admitter.Share(now))
	d.offloadQueue(now)
	d.startQueued(now, d.admitter.Bound(now))
	d.nextQueueScan = now.Add(queueScanInterval)
}

// refuseInfeasible refuses the queued requests that can't meet their deadlines.
func (d *Dispatcher) refuseInfeasible(now time.Time) {
	for {
		entry, ok := d.admitter.TakeInfeasible(now)
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

// clearQueue hands over or refuses the queue of a backend server that is leaving
// or ejected. Within the grace of a leaving server, requests that no peer can
// take stay queued.
func (d *Dispatcher) clearQueue(now time.Time) {
	mayRemain := d.drainer.Leaving() && d.drainer.MayStart(now)
	for {
		entry, ok := d.admitter.First(now, func(entry admitter.Entry) bool {
			r := d.requests[entry.ID]
			return !mayRemain || (r.atOrigin && d.placer.Any(now, d.need(now, r)))
		})
		if !ok {
			return
		}
		d.admitter.Remove(entry.ID)
		r := d.requests[entry.ID]
		if len(r.tried) > 0 && !d.takeRetry(recorder.RetryRefused) {
			d.refuse(now, r, d.unavailableCause(now, r))
			continue
		}
		d.placeElsewhere(now, r)
	}
}

// startQueued starts queued requests until the bound is reached.
func (d *Dispatcher) startQueued(now time.Time, bound int) {
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

// offloadQueue hands queued requests over to peers with free slots.
func (d *Dispatcher) offloadQueue(now time.Time) {
	if d.config.Policy.NoHandOver {
		return
	}
	for d.offloadOne(now) {
	}
}

// offloadOne hands over the request that is next to start, within the
// availability zone, or the one that would wait longest, also to another zone.
func (d *Dispatcher) offloadOne(now time.Time) bool {
	mayOffload := func(entry admitter.Entry) bool {
		r := d.requests[entry.ID]
		return r.atOrigin && (len(r.tried) == 0 || d.budget.Available())
	}
	next, ok := d.admitter.First(now, mayOffload)
	if !ok {
		return false
	}
	last, _ := d.admitter.Last(now, mayOffload)
	backlog := d.admitter.Backlog(now)
	return d.offload(now, d.requests[next.ID], 0) || d.offload(now, d.requests[last.ID], backlog)
}

// offload hands over a queued request if a peer has a free slot for it. A peer in
// another availability zone gets it only if the wait is at least
// placer.CrossZoneRoundTrip.
func (d *Dispatcher) offload(now time.Time, r *request, wait time.Duration) bool {
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

// expirePending refuses requests whose deadline passed before an issuer or a
// peer replied.
func (d *Dispatcher) expirePending(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.pending)) {
		r := d.pending[id]
		if now.Before(r.work.Deadline) {
			continue
		}
		if r.stage == stageSpendingTicket {
			d.refuse(now, r, cause{reason: gooseberrymast.ReasonIssuerGone})
			continue
		}
		r.mayHaveRun = true
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonDeadlinePassed})
	}
}

// earlier returns the earlier of two times; zero means no time.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
