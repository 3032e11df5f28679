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

// place chooses where a request goes: to the own backend server, to a peer or
// into the queue.
func (d *Dispatcher) place(now time.Time, r *request) {
	if !d.usable(now, r) {
		d.placeElsewhere(now, r)
		return
	}
	if d.barred() && d.handOverAnywhere(now, r) {
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
	if d.handOverToRoom(now, r) {
		return
	}
	if d.canStart(now, r, d.admitter.Bound(now)) {
		d.run(now, r)
		return
	}
	d.enqueue(now, r)
}

// canStart reports whether the own backend server may run the request now and
// answer in time.
func (d *Dispatcher) canStart(now time.Time, r *request, bound int) bool {
	return d.admitter.CanStart(now, r.entry(), bound) && !d.tooSlow(now, r)
}

// mayWait reports whether the request may wait here for as long as it takes: it
// is an own one, or its origin can't run it.
func (d *Dispatcher) mayWait(r *request) bool {
	return r.own || r.work.Displaced || d.placer.Leaving(r.work.Origin)
}

// estimateAge is the time for which a service time is believed that rules a
// request out. After it one request may run to measure again.
const estimateAge = time.Second

// tooSlow reports whether the own backend server has been too slow of late to
// answer the request before its deadline.
func (d *Dispatcher) tooSlow(now time.Time, r *request) bool {
	if d.admitter.KeepDoomed || !r.expected.Known || now.Sub(r.expected.At) >= estimateAge {
		return false
	}
	return now.Add(r.expected.Mean).After(r.work.Deadline)
}

// usable reports whether the own backend server is to be given the request. One
// that it failed before goes to a peer, if there is any.
func (d *Dispatcher) usable(now time.Time, r *request) bool {
	if !d.open(now, r) {
		return false
	}
	elsewhere := r.failedHere && r.own && !d.config.Policy.NoHandOver
	return !elsewhere || !d.placer.Any(now, d.need(now, r))
}

// barred reports whether the document doesn't allow the service in the own zone.
func (d *Dispatcher) barred() bool {
	zones := d.service.Zones
	return len(zones) > 0 && !slices.Contains(zones, d.config.Zone)
}

// open reports whether the own backend server takes new requests.
func (d *Dispatcher) open(now time.Time, r *request) bool {
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

// placeElsewhere hands over a request that the own backend server can't take.
func (d *Dispatcher) placeElsewhere(now time.Time, r *request) {
	if r.own && !d.config.Policy.NoHandOver {
		need := d.need(now, r)
		need.Must = true
		if peer, ok := d.placer.Choose(now, need); ok {
			d.handOver(now, r, peer)
			return
		}
	}
	d.refuse(now, r, d.unavailable())
}

// unavailable is the cause when the own backend server can't take a request
// and no peer could.
func (d *Dispatcher) unavailable() cause {
	if d.drainer.Leaving() {
		return cause{reason: gooseberrymast.ReasonServerLeaving}
	}
	return cause{reason: gooseberrymast.ReasonServerUnhealthy}
}

// placeStream runs a stream here while the connections last. A cold backend
// server takes its share only, unless no peer takes the rest.
func (d *Dispatcher) placeStream(now time.Time, r *request) {
	if d.streams < d.streamShare(now) {
		d.run(now, r)
		return
	}
	if r.own && !d.config.Policy.NoHandOver {
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

// coldShare is the share of streams that a cold backend server takes at first.
const coldShare = 0.1

func (d *Dispatcher) streamShare(now time.Time) int {
	limit := d.service.Limits.Connections
	slowStart := d.service.Limits.SlowStart.Std()
	age := now.Sub(d.admitter.Started)
	if slowStart <= 0 || age >= slowStart {
		return limit
	}
	share := max(coldShare, float64(age)/float64(slowStart))
	return int(share * float64(limit))
}

// handOverToRoom hands an own request over when a peer seems to have a free slot.
func (d *Dispatcher) handOverToRoom(now time.Time, r *request) bool {
	return d.handOverFor(now, r, d.need(now, r))
}

// handOverAnywhere hands an own request over when any peer can be asked to run
// it. The peer may decline it.
func (d *Dispatcher) handOverAnywhere(now time.Time, r *request) bool {
	need := d.need(now, r)
	need.Must = true
	return d.handOverFor(now, r, need)
}

func (d *Dispatcher) handOverFor(now time.Time, r *request, need placer.Need) bool {
	if !r.own || d.config.Policy.NoHandOver {
		return false
	}
	peer, ok := d.placer.Choose(now, need)
	if !ok {
		return false
	}
	d.handOver(now, r, peer)
	return true
}

func (d *Dispatcher) need(now time.Time, r *request) placer.Need {
	need := placer.Need{Stream: r.work.Stream, Long: r.expected.Long, Tried: r.tried}
	if r.work.Stream {
		need.Must = true
		return need
	}
	need.Wait = d.admitter.Backlog(now)
	return need
}

// shortWait reports whether a peer's request would wait so briefly here that
// its way back and to another server would take longer.
func (d *Dispatcher) shortWait(now time.Time, r *request) bool {
	return d.admitter.Wait(now, r.entry()) <= d.estimator.Typical()/2
}

// enqueue lets a request wait for a slot here. A peer's request waits only if
// the peer can't run it, or if the wait is short.
func (d *Dispatcher) enqueue(now time.Time, r *request) {
	if !d.mayWait(r) && !d.shortWait(now, r) {
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
	verdict, givenUp := d.admitter.Offer(now, r.entry())
	switch verdict {
	case admitter.VerdictQueued:
		r.stage = stageQueued
	case admitter.VerdictDisplaced:
		r.stage = stageQueued
		d.refuse(now, d.requests[givenUp.ID], full)
	case admitter.VerdictFull:
		d.refuse(now, r, full)
	case admitter.VerdictTooClose:
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonDeadlineTooClose})
	}
}

// run gives the request to the own backend server.
func (d *Dispatcher) run(now time.Time, r *request) {
	d.begin(now, r, stageRunning)
	asserter.Holds(d.drainer.MayStart(now), "no-work-after-grace", "request %d started after the grace", r.work.ID)
	if r.work.Stream {
		d.streams++
		asserter.Holds(d.streams <= d.service.Limits.Connections, "connections-not-exceeded", "%d streams", d.streams)
	} else {
		d.admitter.Start(now, r.entry())
	}
	if d.selfEjected() {
		d.ejector.Probe(now, d.config.Self.Address)
	}
	d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionRun, Work: r.work.ID})
}

// handOver sends the request to a peer.
func (d *Dispatcher) handOver(now time.Time, r *request, peer gooseberrymast.Identity) {
	asserter.Holds(r.own, "at-most-one-hand-over", "request %d was handed over before", r.work.ID)
	d.begin(now, r, stageHandedOver)
	r.peer = peer
	r.probe = d.placer.Given(now, peer)
	r.tried = append(r.tried, peer)
	if d.ejector.Ejected(peer.Address) {
		d.ejector.Probe(now, peer.Address)
	}
	d.emit(gooseberrymast.Action{
		Kind:      gooseberrymast.ActionHandOver,
		Work:      r.work.ID,
		Peer:      peer,
		Displaced: d.drainer.Leaving() || d.selfEjected(),
	})
}

// begin starts an attempt.
func (d *Dispatcher) begin(now time.Time, r *request, next stage) {
	asserter.Holds(r.stage != stageDone, "no-dispatch-after-end", "request %d", r.work.ID)
	asserter.Holds(!r.given || r.work.Idempotent, "no-second-run", "request %d may have run", r.work.ID)
	r.stage = next
	r.started = now
}

func (d *Dispatcher) selfEjected() bool {
	return !d.config.Policy.NoEjection && d.ejector.Ejected(d.config.Self.Address)
}

// peerEjected reports whether a peer must get no work now. An ejected peer
// whose probe is due may get one request.
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
