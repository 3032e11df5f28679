package driver

import (
	"context"
	"net/http"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
	"gooseberrymast/transport/executor"
)

// attemptFunc starts one attempt. It returns a response, or a result if there
// is none.
type attemptFunc func(ctx context.Context) (*http.Response, gooseberrymast.Result, gooseberrymast.Refusal)

func (d *Driver) runLocally(r *activeRequest) attemptFunc {
	return func(ctx context.Context) (*http.Response, gooseberrymast.Result, gooseberrymast.Refusal) {
		response, result := d.Executor.Run(ctx, r.exchange.Request)
		return response, result, gooseberrymast.Refusal{}
	}
}

func (d *Driver) handOver(r *activeRequest, action gooseberrymast.Action) attemptFunc {
	work := r.exchange.Work
	work.Displaced = action.Displaced
	return func(ctx context.Context) (*http.Response, gooseberrymast.Result, gooseberrymast.Refusal) {
		return d.Peers.HandOver(ctx, action.Peer, work, r.exchange.Request)
	}
}

// attempt makes one attempt and reports its result to the dispatcher. It
// returns zero while the request continues.
func (d *Driver) attempt(ctx context.Context, r *activeRequest, start attemptFunc) executor.Status {
	r.closeHeld()
	request := r.exchange.Request
	sendable := request.Body.Unread()
	asserter.Holds(sendable, "whole-body", "request %d was to be sent again without its body", r.exchange.Work.ID)
	if !sendable {
		d.finish(r, gooseberrymast.ResultBroken, gooseberrymast.Refusal{})
		return 0
	}
	attemptCtx, cancelAttempt := context.WithCancelCause(ctx)
	defer cancelAttempt(nil)
	request.Timeout = r.exchange.Work.Deadline.Sub(d.Timer.Now())
	stopTimer := d.Timer.After(request.Timeout, func(time.Time) { cancelAttempt(context.DeadlineExceeded) })
	defer stopTimer()
	r.setCancelAttempt(cancelAttempt)
	defer r.setCancelAttempt(nil)
	if attemptCtx.Err() != nil || request.Timeout <= 0 {
		return d.afterAttempt(ctx, r, gooseberrymast.ResultNotSent, gooseberrymast.Refusal{})
	}
	response, result, refusal := start(attemptCtx)
	if response == nil {
		return d.afterAttempt(ctx, r, result, refusal)
	}
	if request.OpenEnded {
		stopTimer()
	}
	if result = executor.Classify(response); result != gooseberrymast.ResultAnswered {
		r.held = response
		return d.afterAttempt(ctx, r, result, gooseberrymast.Refusal{})
	}
	if result = executor.BufferResponse(attemptCtx, response); result != 0 {
		return d.afterAttempt(ctx, r, result, gooseberrymast.Refusal{})
	}
	return d.forwardResponse(attemptCtx, r, response)
}

// forwardResponse writes a response to the sender and reports the result.
func (d *Driver) forwardResponse(ctx context.Context, r *activeRequest, response *http.Response) executor.Status {
	if !r.startResponse() {
		response.Body.Close()
		d.finish(r, gooseberrymast.ResultCancelled, gooseberrymast.Refusal{})
		return 0
	}
	result := d.writeResponse(ctx, r, response)
	if result == gooseberrymast.ResultCancelled {
		d.cancel(r)
	}
	d.Metrics.countAttempt(result)
	d.finish(r, result, gooseberrymast.Refusal{})
	return statusFromResult(result)
}

// writeResponse copies the response. A blocked write fails when the context ends.
func (d *Driver) writeResponse(ctx context.Context, r *activeRequest, response *http.Response) gooseberrymast.Result {
	controller := http.NewResponseController(r.exchange.Writer)
	release := context.AfterFunc(ctx, func() { controller.SetWriteDeadline(time.Unix(1, 0)) })
	defer release()
	return executor.CopyResponse(r.exchange.Writer, response)
}

func statusFromResult(result gooseberrymast.Result) executor.Status {
	switch result {
	case gooseberrymast.ResultAnswered:
		return executor.StatusAnswered
	case gooseberrymast.ResultCancelled:
		return executor.StatusCancelled
	}
	return executor.StatusTorn
}

// afterAttempt reports an attempt whose response, if any, was not forwarded.
func (d *Driver) afterAttempt(ctx context.Context, r *activeRequest, result gooseberrymast.Result, refusal gooseberrymast.Refusal) executor.Status {
	d.Metrics.countAttempt(result)
	if ctx.Err() != nil {
		d.cancel(r)
	}
	d.finish(r, result, refusal)
	if ctx.Err() != nil {
		return executor.StatusCancelled
	}
	if result == gooseberrymast.ResultFailed && r.held != nil && !r.hasActions() {
		return d.forwardHeld(r)
	}
	return 0
}

// forwardHeld forwards the failure response of the backend server. The
// dispatcher chose this by returning no further action; the request is cancelled
// there in case the dispatcher still holds it.
func (d *Driver) forwardHeld(r *activeRequest) executor.Status {
	response := r.held
	r.held = nil
	d.cancel(r)
	if !r.startResponse() {
		response.Body.Close()
		return 0
	}
	return statusFromResult(executor.CopyResponse(r.exchange.Writer, response))
}
