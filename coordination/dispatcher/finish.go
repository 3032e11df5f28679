package dispatcher

import (
	"strconv"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/recorder"
)

// Finish receives the result of ActionRun or ActionHandOver. If no action for
// the request is returned, the answer that was received, even a failure, goes to
// the caller.
func (d *Dispatcher) Finish(now time.Time, id gooseberrymast.WorkID, result gooseberrymast.Result, refusal gooseberrymast.Refusal) []gooseberrymast.Action {
	d.now = now
	r := d.requests[id]
	if r == nil {
		return d.takeActions()
	}
	switch r.stage {
	case stageRunning:
		d.endRun(now, r, result)
	case stageHandedOver:
		d.endHandOver(now, r, result)
	default:
		return d.takeActions()
	}
	d.handleResult(now, r, result, refusal)
	d.processQueue(now)
	return d.takeActions()
}

// endRun frees the slot or stream of an attempt at the agent's own backend
// server and updates the estimates and the ejector from its result.
func (d *Dispatcher) endRun(now time.Time, r *request, result gooseberrymast.Result) {
	elapsed := now.Sub(r.started)
	if r.work.Stream {
		d.streams--
	} else {
		d.admitter.Stop(now, r.work.ID)
		d.recordServiceTime(now, r, result, elapsed)
	}
	if result == gooseberrymast.ResultShed {
		d.admitter.Shed(now)
	}
	if d.recordOutcome(now, r, d.config.Self, result, elapsed) {
		d.admitter.RestartSlowStart(now)
	}
}

// recordServiceTime adds a service time to the estimates. That of an interrupted
// attempt is only a lower bound, so it counts only if it exceeds the estimate.
func (d *Dispatcher) recordServiceTime(now time.Time, r *request, result gooseberrymast.Result, elapsed time.Duration) {
	complete := result == gooseberrymast.ResultAnswered
	interrupted := result == gooseberrymast.ResultTimedOut || result == gooseberrymast.ResultCancelled
	if complete || (interrupted && elapsed > r.expected.Mean) {
		d.estimator.Observe(now, r.work.Path, elapsed)
		d.admitter.Typical = d.estimator.Typical()
		d.admitter.LongAfter = d.estimator.LongAfter()
	}
}

func (d *Dispatcher) endHandOver(now time.Time, r *request, result gooseberrymast.Result) {
	d.placer.EndHandOver(r.probe)
	r.probe = false
	d.recordOutcome(now, r, r.peer, result, now.Sub(r.started))
}

// recordOutcome counts the result as a success or failure of a backend server,
// the agent's own or a peer's, and reports whether it ended an ejection.
func (d *Dispatcher) recordOutcome(now time.Time, r *request, server gooseberrymast.Identity, result gooseberrymast.Result, elapsed time.Duration) (recovered bool) {
	switch result {
	case gooseberrymast.ResultAnswered:
		return d.ejector.RecordSuccess(server.Address)
	case gooseberrymast.ResultFailed, gooseberrymast.ResultNotSent, gooseberrymast.ResultBroken, gooseberrymast.ResultTruncated:
		d.ejector.RecordFailure(now, server.Address)
	case gooseberrymast.ResultTimedOut:
		// A short deadline does not mean that the server has failed.
		if elapsed > max(d.estimator.LongAfter(), 2*r.expected.Safe) {
			d.ejector.RecordFailure(now, server.Address)
			return false
		}
		d.ejector.RecordInconclusiveProbe(now, server.Address)
	default:
		d.ejector.RecordInconclusiveProbe(now, server.Address)
	}
	return false
}

// handleResult decides what follows an attempt: an end, a retry, a refusal or a
// query to the peer.
func (d *Dispatcher) handleResult(now time.Time, r *request, result gooseberrymast.Result, refusal gooseberrymast.Refusal) {
	local := r.stage == stageRunning
	r.failedLocally = r.failedLocally || local
	if mayHaveRun(result, refusal) {
		r.mayHaveRun = true
	}
	if r.cancelled || result == gooseberrymast.ResultCancelled {
		r.mayHaveRun = r.mayHaveRun || result == gooseberrymast.ResultBroken
		d.drop(now, r)
		return
	}
	switch result {
	case gooseberrymast.ResultAnswered, gooseberrymast.ResultTruncated:
		d.end(now, r)
	case gooseberrymast.ResultShed:
		d.retry(now, r, recorder.RetryShed, cause{reason: gooseberrymast.ReasonServerShed})
	case gooseberrymast.ResultFailed:
		d.handleFailure(now, r)
	case gooseberrymast.ResultNotSent:
		d.retry(now, r, recorder.RetryNotSent, d.unavailableCause(now, r))
	case gooseberrymast.ResultBroken:
		d.handleBreak(now, r, local)
	case gooseberrymast.ResultRefused:
		d.handleRefusal(now, r, refusal)
	case gooseberrymast.ResultTimedOut:
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonDeadlinePassed})
	}
}

// mayHaveRun reports whether a backend server may have received the request in
// an attempt with this result. For a broken hand-over that is decided only after
// the peer was queried.
func mayHaveRun(result gooseberrymast.Result, refusal gooseberrymast.Refusal) bool {
	switch result {
	case gooseberrymast.ResultShed, gooseberrymast.ResultNotSent, gooseberrymast.ResultBroken:
		return false
	case gooseberrymast.ResultRefused:
		return refusal.Ran != gooseberrymast.RanNo
	}
	return true
}

// handleFailure retries an idempotent request if it can start at once. Otherwise
// the caller receives the backend server's own answer.
func (d *Dispatcher) handleFailure(now time.Time, r *request) {
	canRunHere := !r.work.Stream && d.useOwnServer(now, r) && d.canStart(now, r, d.admitter.Bound(now))
	canHandOver := !d.config.Policy.NoHandOver && d.placer.Any(now, d.need(now, r))
	if !(canRunHere || canHandOver) || !r.work.Idempotent || !d.mayRetry(now, r) {
		d.end(now, r)
		return
	}
	if !d.takeRetry(recorder.RetryFailed) {
		d.end(now, r)
		return
	}
	if canRunHere {
		d.run(now, r)
		return
	}
	d.placeElsewhere(now, r)
}

// handleBreak queries the peer of a broken hand-over about whether it ran the
// request. A backend server can't be queried, so the request may have run.
func (d *Dispatcher) handleBreak(now time.Time, r *request, local bool) {
	if local {
		r.mayHaveRun = true
		d.retry(now, r, recorder.RetryBroken, cause{reason: gooseberrymast.ReasonServerBroke})
		return
	}
	r.stage = stageQueryingPeer
	d.pending[r.work.ID] = r
	d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionQueryOutcome, Work: r.work.ID, Peer: r.peer})
}

// HandleOutcomeReply receives the reply to ActionQueryOutcome.
func (d *Dispatcher) HandleOutcomeReply(now time.Time, id gooseberrymast.WorkID, known, ran bool) []gooseberrymast.Action {
	d.now = now
	r := d.requests[id]
	if r == nil || r.stage != stageQueryingPeer {
		return d.takeActions()
	}
	delete(d.pending, id)
	why := recorder.RetryNotRun
	if !known || ran {
		r.mayHaveRun = true
		why = recorder.RetryBroken
	}
	d.retry(now, r, why, cause{reason: gooseberrymast.ReasonPeerBroke})
	d.processQueue(now)
	return d.takeActions()
}

// handleRefusal places a request again that a peer refused. Starting it or
// queueing it here is not a retry; another hand-over is.
func (d *Dispatcher) handleRefusal(now time.Time, r *request, refusal gooseberrymast.Refusal) {
	why := forwardedCause(refusal)
	r.peerRefusal = refusal
	mayQueue := r.atOrigin && r.work.Replayable && !r.mayHaveRun && !r.work.Stream
	if !mayQueue || !d.ownServerAccepts(now, r) {
		d.retry(now, r, recorder.RetryRefused, why)
		return
	}
	if d.canStart(now, r, d.admitter.Bound(now)) {
		d.run(now, r)
		return
	}
	r.stage = stageQueued
	d.admitter.Enqueue(now, r.entry())
}

// retry places a request again if a retry is safe and the budget allows it.
// Otherwise it refuses the request.
func (d *Dispatcher) retry(now time.Time, r *request, reason recorder.RetryReason, why cause) {
	if !d.mayRetry(now, r) {
		d.refuse(now, r, why)
		return
	}
	if !d.takeRetry(reason) {
		if reason == recorder.RetryRefused {
			d.refuse(now, r, why)
			return
		}
		share := strconv.FormatFloat(d.service.Limits.RetryBudget, 'g', -1, 64)
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonRetryBudget, limit: "retry-budget", value: share})
		return
	}
	r.stage = stageNew
	d.place(now, r)
}

// takeRetry takes one retry from the budget, counts it, and reports whether the
// budget allowed it.
func (d *Dispatcher) takeRetry(reason recorder.RetryReason) bool {
	if !d.budget.Take() {
		d.recorder.CountRetry(recorder.RetryBudgetSpent)
		return false
	}
	d.recorder.CountRetry(reason)
	return true
}

// mayRetry reports whether another attempt is safe and can be in time. Only the
// agent that holds the caller's flow retries.
func (d *Dispatcher) mayRetry(now time.Time, r *request) bool {
	if !r.atOrigin || !r.work.Replayable {
		return false
	}
	if r.mayHaveRun && !r.work.Idempotent {
		return false
	}
	return now.Add(r.expected.Mean).Before(r.work.Deadline)
}

// Cancel handles the loss of a request's caller.
func (d *Dispatcher) Cancel(now time.Time, id gooseberrymast.WorkID) []gooseberrymast.Action {
	d.now = now
	r := d.requests[id]
	if r == nil || r.cancelled {
		return d.takeActions()
	}
	switch r.stage {
	case stageRunning, stageHandedOver:
		// The slot stays occupied until Finish reports the end of the attempt.
		r.cancelled = true
		d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionCancel, Work: id})
		return d.takeActions()
	case stageQueryingPeer:
		r.mayHaveRun = true
	}
	d.admitter.Remove(id)
	d.drop(now, r)
	d.processQueue(now)
	return d.takeActions()
}
