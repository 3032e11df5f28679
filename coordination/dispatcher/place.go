package dispatcher

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/admitter"
	"gooseberrymast/coordination/placer"
	"gooseberrymast/state/asserter"
)

// place runs a request at the agent's own backend server, hands it over to a
// peer, or queues it.
func (d *Dispatcher) place(now time.Time, r *request) {
	if !d.useOwnServer(now, r) {
		d.placeElsewhere(now, r)
		return
	}
	if d.zoneExcluded() && d.handOverToAnyPeer(now, r) {
		return
	}
	if r.work.Stream {
		d.placeStream(now, r)
		return
	}
	if d.canStart(now, r, d.admitter.Share(now)) {
		d.run(now, r)
		return
	}
	if d.handOverToFreeSlot(now, r) {
		return
	}
	if d.canStart(now, r, d.admitter.Bound(now)) {
		d.run(now, r)
		return
	}
	d.enqueue(now, r)
}

// canStart reports whether the agent's own backend server can start the request
// now and answer it in time.
func (d *Dispatcher) canStart(now time.Time, r *request, bound int) bool {
	return d.admitter.CanStart(now, r.entry(), bound) && !d.tooSlow(now, r)
}

// mayQueue reports whether the request may be queued here for any length of
// time: its flow is held here, or its origin can't run it.
func (d *Dispatcher) mayQueue(r *request) bool {
	return r.atOrigin || r.work.Displaced || d.placer.Leaving(r.work.Origin)
}

// maxEstimateAge is how long an estimate may rule a request out. After that one
// request may run and measure the service time again.
const maxEstimateAge = time.Second

// tooSlow reports whether recent service times of the agent's own backend
// server are too long to answer the request before its deadline.
func (d *Dispatcher) tooSlow(now time.Time, r *request) bool {
	if d.admitter.KeepInfeasible || !r.expected.Known || now.Sub(r.expected.At) >= maxEstimateAge {
		return false
	}
	return now.Add(r.expected.Mean).After(r.work.Deadline)
}

// useOwnServer reports whether the agent's own backend server should get the
// request. A request that failed there goes to a peer if one can take it.
func (d *Dispatcher) useOwnServer(now time.Time, r *request) bool {
	if !d.ownServerAccepts(now, r) {
		return false
	}
	preferPeer := r.failedLocally && r.atOrigin && !d.config.Policy.NoHandOver
	return !preferPeer || !d.placer.Any(now, d.need(now, r))
}

// zoneExcluded reports whether the document restricts the service to zones that
// don't include the agent's own.
func (d *Dispatcher) zoneExcluded() bool {
	zones := d.service.Zones
	return len(zones) > 0 && !slices.Contains(zones, d.config.Zone)
}

// ownServerAccepts reports whether the agent's own backend server takes new
// requests, or is ejected and due for a probe.
func (d *Dispatcher) ownServerAccepts(now time.Time, r *request) bool {
	if d.drainer.Leaving() {
		return false
	}
	if d.config.Policy.NoHandOver {
		return true
	}
	if d.selfEjected() {
		mayProbe := r.work.Idempotent || d.healthy
		return mayProbe && d.ejector.ProbeDue(now, d.config.Self.Address)
	}
	return true
}

// placeElsewhere hands over a request that the agent's own backend server can't
// take, or refuses it.
func (d *Dispatcher) placeElsewhere(now time.Time, r *request) {
	if r.atOrigin && !d.config.Policy.NoHandOver {
		need := d.need(now, r)
		need.AllowFull = true
		if peer, ok := d.placer.Choose(now, need); ok {
			d.handOver(now, r, peer)
			return
		}
	}
	d.refuse(now, r, d.unavailableCause(now, r))
}

// unavailableCause returns the cause of a refusal when neither the agent's own
// backend server nor a peer can take the request. A deadline that has passed and
// the refusal of the last peer that was tried are closer causes than the state of
// the agent's own server.
func (d *Dispatcher) unavailableCause(now time.Time, r *request) cause {
	switch {
	case !now.Before(r.work.Deadline):
		return cause{reason: gooseberrymast.ReasonDeadlinePassed}
	case r.peerRefusal.Reason != "":
		return forwardedCause(r.peerRefusal)
	case d.drainer.Leaving():
		return cause{reason: gooseberrymast.ReasonServerLeaving}
	}
	return cause{reason: gooseberrymast.ReasonServerUnhealthy}
}

// placeStream runs a stream here while the connection limit allows. A server in
// slow start takes only its share, unless no peer takes the rest.
func (d *Dispatcher) placeStream(now time.Time, r *request) {
	if d.streams < d.streamLimit(now) {
		d.run(now, r)
		return
	}
	if r.atOrigin && !d.config.Policy.NoHandOver {
		if peer, ok := d.placer.Choose(now, d.need(now, r)); ok {
			d.handOver(now, r, peer)
			return
		}
	}
	if d.streams < d.service.Limits.Connections {
		d.run(now, r)
		return
	}
	d.refuse(now, r, cause{
		reason: gooseberrymast.ReasonConnectionLimit,
		limit:  "connections",
		value:  strconv.Itoa(d.service.Limits.Connections),
	})
}

// minStreamShare is the share of the connection limit at the start of slow start.
const minStreamShare = 0.1

// streamLimit returns the number of streams that the backend server should hold
// now: the connection limit, or a growing share of it during slow start.
func (d *Dispatcher) streamLimit(now time.Time) int {
	limit := d.service.Limits.Connections
	slowStart := d.service.Limits.SlowStart.Std()
	age := now.Sub(d.admitter.Started)
	if slowStart <= 0 || age >= slowStart {
		return limit
	}
	share := max(minStreamShare, float64(age)/float64(slowStart))
	return int(share * float64(limit))
}

// handOverToFreeSlot hands a request over if a peer is expected to have a free
// slot, and reports whether it did.
func (d *Dispatcher) handOverToFreeSlot(now time.Time, r *request) bool {
	return d.tryHandOver(now, r, d.need(now, r))
}

// handOverToAnyPeer hands a request over if any peer may run it, even one without
// a free slot, and reports whether it did. The peer may refuse it.
func (d *Dispatcher) handOverToAnyPeer(now time.Time, r *request) bool {
	need := d.need(now, r)
	need.AllowFull = true
	return d.tryHandOver(now, r, need)
}

func (d *Dispatcher) tryHandOver(now time.Time, r *request, need placer.Need) bool {
	if !r.atOrigin || d.config.Policy.NoHandOver {
		return false
	}
	peer, ok := d.placer.Choose(now, need)
	if !ok {
		return false
	}
	d.handOver(now, r, peer)
	return true
}

// need describes the request to the placer.
func (d *Dispatcher) need(now time.Time, r *request) placer.Need {
	need := placer.Need{Stream: r.work.Stream, Long: r.expected.Long, Tried: r.tried}
	if r.work.Stream {
		need.AllowFull = true
		return need
	}
	need.Wait = d.admitter.Backlog(now)
	return need
}

// shortWait reports whether a handed-over request would wait here for less time
// than it takes to refuse it and have its origin place it again.
func (d *Dispatcher) shortWait(now time.Time, r *request) bool {
	return d.admitter.Wait(now, r.entry()) <= d.estimator.Typical()/2
}

// enqueue queues a request for a slot. A handed-over request is queued only if
// its origin can't run it or if the wait is short.
func (d *Dispatcher) enqueue(now time.Time, r *request) {
	if !d.mayQueue(r) && !d.shortWait(now, r) {
		d.refuse(now, r, cause{
			reason: gooseberrymast.ReasonInProgressLimit,
			limit:  "slots",
			value:  strconv.Itoa(d.service.Limits.Slots),
		})
		return
	}
	full := cause{
		reason: gooseberrymast.ReasonQueueFull,
		limit:  "queue",
		value:  strconv.Itoa(d.service.Limits.Queue),
	}
	decision, evicted := d.admitter.Offer(now, r.entry())
	switch decision {
	case admitter.DecisionQueued:
		r.stage = stageQueued
	case admitter.DecisionEvictedOther:
		r.stage = stageQueued
		d.refuse(now, d.requests[evicted.ID], full)
	case admitter.DecisionQueueFull:
		d.refuse(now, r, full)
	case admitter.DecisionDeadlineTooClose:
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonDeadlineTooClose})
	}
}

// run starts the request at the agent's own backend server.
func (d *Dispatcher) run(now time.Time, r *request) {
	d.startAttempt(now, r, stageRunning)
	asserter.Holds(d.drainer.MayStart(now), "no-work-after-grace", "request %d started after the grace", r.work.ID)
	if r.work.Stream {
		d.streams++
		asserter.Holds(d.streams <= d.service.Limits.Connections, "connections-not-exceeded", "%d streams", d.streams)
	} else {
		d.admitter.Start(now, r.entry())
	}
	if d.selfEjected() {
		d.ejector.StartProbe(now, d.config.Self.Address)
	}
	d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionRun, Work: r.work.ID})
}

// handOver sends the request to a peer.
func (d *Dispatcher) handOver(now time.Time, r *request, peer gooseberrymast.Identity) {
	asserter.Holds(r.atOrigin, "at-most-one-hand-over", "request %d was handed over before", r.work.ID)
	d.startAttempt(now, r, stageHandedOver)
	r.peer = peer
	r.probe = d.placer.StartHandOver(now, peer)
	r.tried = append(r.tried, peer)
	if d.ejector.Ejected(peer.Address) {
		d.ejector.StartProbe(now, peer.Address)
	}
	d.emit(gooseberrymast.Action{
		Kind:      gooseberrymast.ActionHandOver,
		Work:      r.work.ID,
		Peer:      peer,
		Displaced: d.drainer.Leaving() || d.selfEjected(),
	})
}

// startAttempt puts the request into the stage of a new attempt.
func (d *Dispatcher) startAttempt(now time.Time, r *request, next stage) {
	asserter.Holds(r.stage != stageDone, "no-dispatch-after-end", "request %d", r.work.ID)
	asserter.Holds(!r.mayHaveRun || r.work.Idempotent, "no-second-run", "request %d may have run", r.work.ID)
	r.stage = next
	r.started = now
}

// selfEjected reports whether the agent's own backend server is ejected.
func (d *Dispatcher) selfEjected() bool {
	return !d.config.Policy.NoEjection && d.ejector.Ejected(d.config.Self.Address)
}

// peerEjected reports whether a peer must get no requests now. An ejected peer
// whose probe is due may get one.
func (d *Dispatcher) peerEjected(now time.Time, member netip.AddrPort) bool {
	if d.config.Policy.NoEjection {
		return false
	}
	return d.ejector.Ejected(member) && !d.ejector.ProbeDue(now, member)
}

func (d *Dispatcher) freeSlots() int {
	if d.drainer.Leaving() || d.selfEjected() {
		return 0
	}
	return d.admitter.Free(d.now)
}
