package dispatcher

import (
	"strconv"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/recorder"
)

// Finish reports how ActionRun or ActionHandOver ended. Without an action in
// return the answer that came, if any, is the caller's, a failure too.
func (d *Dispatcher) Finish(now time.Time, id gooseberrymast.WorkID, result gooseberrymast.Result, refusal gooseberrymast.Refusal) []gooseberrymast.Action {
	d.now = now
	r := d.requests[id]
	if r == nil {
		return d.take()
	}
	switch r.stage {
	case stageRunning:
		d.endRun(now, r, result)
	case stageHandedOver:
		d.endHandOver(now, r, result)
	default:
		return d.take()
	}
	d.settle(now, r, result, refusal)
	d.pump(now)
	return d.take()
}

// endRun frees what the attempt held at the own backend server and learns from it.
func (d *Dispatcher) endRun(now time.Time, r *request, result gooseberrymast.Result) {
	took := now.Sub(r.started)
	if r.work.Stream {
		d.streams--
	} else {
		d.admitter.Stop(now, r.work.ID)
		d.learn(now, r, result, took)
	}
	if result == gooseberrymast.ResultShed {
		d.admitter.Shed(now)
	}
	if d.judge(now, r, d.config.Self, result, took) {
		d.admitter.Resume(now)
	}
}

// learn takes a service time. An attempt that was cut short counts when it had
// run for longer than expected already.
func (d *Dispatcher) learn(now time.Time, r *request, result gooseberrymast.Result, took time.Duration) {
	whole := result == gooseberrymast.ResultAnswered
	cut := result == gooseberrymast.ResultTimedOut || result == gooseberrymast.ResultCancelled
	if whole || (cut && took > r.expected.Mean) {
		d.estimator.Observe(now, r.work.Path, took)
		d.admitter.Typical = d.estimator.Typical()
		d.admitter.LongAfter = d.estimator.LongAfter()
	}
}

func (d *Dispatcher) endHandOver(now time.Time, r *request, result gooseberrymast.Result) {
	d.placer.Returned(r.probe)
	r.probe = false
	d.judge(now, r, r.peer, result, now.Sub(r.started))
}

// judge counts the result for or against a backend server, its own agent's or
// a peer's, and reports whether an ejection ended.
func (d *Dispatcher) judge(now time.Time, r *request, server gooseberrymast.Identity, result gooseberrymast.Result, took time.Duration) (recovered bool) {
	switch result {
	case gooseberrymast.ResultAnswered:
		return d.ejector.Succeeded(server.Address)
	case gooseberrymast.ResultFailed, gooseberrymast.ResultNotSent, gooseberrymast.ResultBroken, gooseberrymast.ResultTorn:
		d.ejector.Failed(now, server.Address)
	case gooseberrymast.ResultTimedOut:
		// A deadline that was too close says nothing about the server.
		if took > max(d.estimator.LongAfter(), 2*r.expected.Safe) {
			d.ejector.Failed(now, server.Address)
			return false
		}
		d.ejector.ProbeLost(now, server.Address)
	default:
		d.ejector.ProbeLost(now, server.Address)
	}
	return false
}

// settle decides what follows an attempt.
func (d *Dispatcher) settle(now time.Time, r *request, result gooseberrymast.Result, refusal gooseberrymast.Refusal) {
	local := r.stage == stageRunning
	r.failedHere = r.failedHere || local
	if mayHaveRun(result, refusal) {
		r.given = true
	}
	if r.cancelled || result == gooseberrymast.ResultCancelled {
		r.given = r.given || result == gooseberrymast.ResultBroken
		d.drop(now, r)
		return
	}
	switch result {
	case gooseberrymast.ResultAnswered, gooseberrymast.ResultTorn:
		d.end(now, r)
	case gooseberrymast.ResultShed:
		d.retry(now, r, recorder.RetryShed, cause{reason: gooseberrymast.ReasonServerShed})
	case gooseberrymast.ResultFailed:
		d.settleFailure(now, r)
	case gooseberrymast.ResultNotSent:
		d.retry(now, r, recorder.RetryNotSent, d.unavailable())
	case gooseberrymast.ResultBroken:
		d.settleBreak(now, r, local)
	case gooseberrymast.ResultRefused:
		d.settleRefusal(now, r, refusal)
	case gooseberrymast.ResultTimedOut:
		d.refuse(now, r, cause{reason: gooseberrymast.ReasonDeadlinePassed})
	}
}

// mayHaveRun reports whether a backend server may have been given the request
// in an attempt with this result. Of a broken hand-over that is asked first.
func mayHaveRun(result gooseberrymast.Result, refusal gooseberrymast.Refusal) bool {
	switch result {
	case gooseberrymast.ResultShed, gooseberrymast.ResultNotSent, gooseberrymast.ResultBroken:
		return false
	case gooseberrymast.ResultRefused:
		return refusal.Ran != gooseberrymast.RanNo
	}
	return true
}

// settleFailure retries an idempotent request at once where it can start;
// otherwise the caller gets the backend server's own answer.
func (d *Dispatcher) settleFailure(now time.Time, r *request) {
	here := !r.work.Stream && d.usable(now, r) && d.canStart(now, r, d.admitter.Bound(now))
	elsewhere := !d.config.Policy.NoHandOver && d.placer.Any(now, d.need(now, r))
	if !(here || elsewhere) || !r.work.Idempotent || !d.mayRetry(now, r) {
		d.end(now, r)
		return
	}
	if !d.takeRetry(recorder.RetryFailed) {
		d.end(now, r)
		return
	}
	if here {
		d.run(now, r)
		return
	}
	d.placeElsewhere(now, r)
}

// settleBreak asks the peer of a broken hand-over what became of the request.
// A backend server can't be asked.
func (d *Dispatcher) settleBreak(now time.Time, r *request, local bool) {
	if local {
		r.given = true
		d.retry(now, r, recorder.RetryBroken, cause{reason: gooseberrymast.ReasonServerBroke})
		return
	}
	r.stage = stageAsked
	d.pending[r.work.ID] = r
	d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionAsk, Work: r.work.ID, Peer: r.peer})
}

// Answered reports the reply to ActionAsk.
func (d *Dispatcher) Answered(now time.Time, id gooseberrymast.WorkID, known, ran bool) []gooseberrymast.Action {
	d.now = now
	r := d.requests[id]
	if r == nil || r.stage != stageAsked {
		return d.take()
	}
	delete(d.pending, id)
	why := recorder.RetryNotRun
	if !known || ran {
		r.given = true
		why = recorder.RetryBroken
	}
	d.retry(now, r, why, cause{reason: gooseberrymast.ReasonPeerBroke})
	d.pump(now)
	return d.take()
}

// settleRefusal places a request anew that a peer refused. Waiting for an own
// slot is no retry; a further hand-over is.
func (d *Dispatcher) settleRefusal(now time.Time, r *request, refusal gooseberrymast.Refusal) {
	why := cause{reason: refusal.Reason, limit: refusal.Limit, value: refusal.Value, from: refusal}
	mayWait := r.own && r.work.Replayable && !r.given && !r.work.Stream
	if !mayWait || !d.open(now, r) {
		d.retry(now, r, recorder.RetryRefused, why)
		return
	}
	if d.canStart(now, r, d.admitter.Bound(now)) {
		d.run(now, r)
		return
	}
	r.stage = stageQueued
	d.admitter.Requeue(now, r.entry())
}

// retry sends a request again if it may be, or refuses it for the cause.
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

// takeRetry takes one retry from the budget and counts it.
func (d *Dispatcher) takeRetry(reason recorder.RetryReason) bool {
	if !d.budget.Take() {
		d.recorder.Retried(recorder.RetryUnbudget)
		return false
	}
	d.recorder.Retried(reason)
	return true
}

// mayRetry reports whether a second attempt is safe and can be in time. Only
// the agent that holds the caller's flow retries.
func (d *Dispatcher) mayRetry(now time.Time, r *request) bool {
	if !r.own || !r.work.Replayable {
		return false
	}
	if r.given && !r.work.Idempotent {
		return false
	}
	return now.Add(r.expected.Mean).Before(r.work.Deadline)
}

// Cancel reports that the caller of a request went away.
func (d *Dispatcher) Cancel(now time.Time, id gooseberrymast.WorkID) []gooseberrymast.Action {
	d.now = now
	r := d.requests[id]
	if r == nil || r.cancelled {
		return d.take()
	}
	switch r.stage {
	case stageRunning, stageHandedOver:
		// The slot is free once Finish says that the attempt is over.
		r.cancelled = true
		d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionCancel, Work: id})
		return d.take()
	case stageAsked:
		r.given = true
	}
	d.admitter.Remove(id)
	d.drop(now, r)
	d.pump(now)
	return d.take()
}
