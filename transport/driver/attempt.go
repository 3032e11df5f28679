package driver

import (
	"context"
	"net/http"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
	"gooseberrymast/transport/executor"
)

// start begins one attempt: it gives an answer, or a result without one.
type start func(ctx context.Context) (*http.Response, gooseberrymast.Result, gooseberrymast.Refusal)

func (d *Driver) runHere(r *running) start {
	return func(ctx context.Context) (*http.Response, gooseberrymast.Result, gooseberrymast.Refusal) {
		response, result := d.Executor.Run(ctx, r.exchange.Request)
		return response, result, gooseberrymast.Refusal{}
	}
}

func (d *Driver) handOver(r *running, action gooseberrymast.Action) start {
	work := r.exchange.Work
	work.Displaced = action.Displaced
	return func(ctx context.Context) (*http.Response, gooseberrymast.Result, gooseberrymast.Refusal) {
		return d.Peers.HandOver(ctx, action.Peer, work, r.exchange.Request)
	}
}

// attempt makes one attempt and reports its end to the dispatcher. It gives
// zero while the request goes on.
func (d *Driver) attempt(ctx context.Context, r *running, begin start) executor.Status {
	r.dropHeld()
	request := r.exchange.Request
	whole := request.Body.Whole()
	asserter.Holds(whole, "whole-body", "request %d was to be sent again without its body", r.exchange.Work.ID)
	if !whole {
		d.finish(r, gooseberrymast.ResultBroken, gooseberrymast.Refusal{})
		return 0
	}
	attemptCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	request.Timeout = r.exchange.Work.Deadline.Sub(d.Timer.Now())
	stopTimer := d.Timer.After(request.Timeout, func(time.Time) { stop(context.DeadlineExceeded) })
	defer stopTimer()
	r.setStop(stop)
	defer r.setStop(nil)
	if attemptCtx.Err() != nil || request.Timeout <= 0 {
		return d.afterAttempt(ctx, r, gooseberrymast.ResultNotSent, gooseberrymast.Refusal{})
	}
	response, result, refusal := begin(attemptCtx)
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
	if result = executor.Hold(attemptCtx, response); result != 0 {
		return d.afterAttempt(ctx, r, result, gooseberrymast.Refusal{})
	}
	return d.pass(attemptCtx, r, response)
}

// pass writes an answer and reports how that ended.
func (d *Driver) pass(ctx context.Context, r *running, response *http.Response) executor.Status {
	if !r.begin() {
		response.Body.Close()
		d.finish(r, gooseberrymast.ResultCancelled, gooseberrymast.Refusal{})
		return 0
	}
	result := d.write(ctx, r, response)
	if result == gooseberrymast.ResultCancelled {
		d.cancel(r)
	}
	d.Metrics.attempted(result)
	d.finish(r, result, gooseberrymast.Refusal{})
	return statusOf(result)
}

// write copies the answer; the end of the context releases a blocked writer.
func (d *Driver) write(ctx context.Context, r *running, response *http.Response) gooseberrymast.Result {
	controller := http.NewResponseController(r.exchange.Writer)
	release := context.AfterFunc(ctx, func() { controller.SetWriteDeadline(time.Unix(1, 0)) })
	defer release()
	return executor.Pass(r.exchange.Writer, response)
}

func statusOf(result gooseberrymast.Result) executor.Status {
	switch result {
	case gooseberrymast.ResultAnswered:
		return executor.StatusAnswered
	case gooseberrymast.ResultCancelled:
		return executor.StatusCancelled
	}
	return executor.StatusTorn
}

// afterAttempt reports an attempt whose answer, if any, was not passed on.
func (d *Driver) afterAttempt(ctx context.Context, r *running, result gooseberrymast.Result, refusal gooseberrymast.Refusal) executor.Status {
	d.Metrics.attempted(result)
	if ctx.Err() != nil {
		d.cancel(r)
	}
	d.finish(r, result, refusal)
	if ctx.Err() != nil {
		return executor.StatusCancelled
	}
	if result == gooseberrymast.ResultFailed && r.held != nil && !r.waiting() {
		return d.passHeld(r)
	}
	return 0
}

// passHeld passes on the failure that the backend server answered. The
// dispatcher decided so by doing nothing more; it is told of the end in case
// that it still holds the request.
func (d *Driver) passHeld(r *running) executor.Status {
	response := r.held
	r.held = nil
	d.cancel(r)
	if !r.begin() {
		response.Body.Close()
		return 0
	}
	return statusOf(executor.Pass(r.exchange.Writer, response))
}
