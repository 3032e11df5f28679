package driver

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"gooseberrymast"
	"gooseberrymast/transport/executor"
)

// errInterrupted is the cause of an attempt's end when the deciding code ended
// the request.
var errInterrupted = errors.New("the request was ended by a decision")

// running is one request in progress.
type running struct {
	exchange *executor.Exchange
	// signal has room for one: it is filled when an action waits.
	signal chan struct{}

	// begun and held belong to the goroutine that serves the request.
	begun bool
	held  *http.Response

	mu      sync.Mutex
	actions []gooseberrymast.Action
	stop    context.CancelCauseFunc
	ending  bool
}

// push queues an action. One that ends the request stops its attempt.
func (r *running) push(action gooseberrymast.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.actions = append(r.actions, action)
	if action.Kind == gooseberrymast.ActionRefuse || action.Kind == gooseberrymast.ActionCancel {
		r.ending = true
		if r.stop != nil {
			r.stop(errInterrupted)
		}
	}
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// next waits for an action, or for the end of the context.
func (r *running) next(ctx context.Context) (gooseberrymast.Action, bool) {
	for {
		if action, ok := r.pop(); ok {
			return action, true
		}
		select {
		case <-r.signal:
		case <-ctx.Done():
			return gooseberrymast.Action{}, false
		}
	}
}

func (r *running) pop() (gooseberrymast.Action, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.actions) == 0 {
		return gooseberrymast.Action{}, false
	}
	action := r.actions[0]
	r.actions = r.actions[1:]
	return action, true
}

func (r *running) waiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.actions) > 0
}

// setStop lets push stop an attempt, at once when the request is ending.
func (r *running) setStop(stop context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop = stop
	if r.ending && stop != nil {
		stop(errInterrupted)
	}
}

// begin reports whether the answer may be passed on; the request may have been
// ended by a decision at the same moment.
func (r *running) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ending {
		return false
	}
	r.begun = true
	return true
}

// dropHeld closes an answer that is not to be passed on.
func (r *running) dropHeld() {
	if r.held != nil {
		r.held.Body.Close()
		r.held = nil
	}
}
