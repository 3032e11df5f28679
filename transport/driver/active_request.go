package driver

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"gooseberrymast"
	"gooseberrymast/transport/executor"
)

// errInterrupted is the cancellation cause of an attempt whose request was
// ended by the dispatcher.
var errInterrupted = errors.New("the dispatcher ended the request")

// activeRequest is one request in progress with its queue of actions.
type activeRequest struct {
	exchange *executor.Exchange
	// signal is buffered for one value, sent when an action is queued.
	signal chan struct{}

	// responseStarted and held belong to the goroutine that serves the request.
	responseStarted bool
	held            *http.Response // A failure response that may yet be forwarded.

	mu            sync.Mutex
	actions       []gooseberrymast.Action
	cancelAttempt context.CancelCauseFunc
	ending        bool
}

// push queues an action. An action that ends the request cancels its attempt.
func (r *activeRequest) push(action gooseberrymast.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.actions = append(r.actions, action)
	if action.Kind == gooseberrymast.ActionRefuse || action.Kind == gooseberrymast.ActionCancel {
		r.ending = true
		if r.cancelAttempt != nil {
			r.cancelAttempt(errInterrupted)
		}
	}
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// next waits for an action. It returns false when the context ends first.
func (r *activeRequest) next(ctx context.Context) (gooseberrymast.Action, bool) {
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

func (r *activeRequest) pop() (gooseberrymast.Action, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.actions) == 0 {
		return gooseberrymast.Action{}, false
	}
	action := r.actions[0]
	r.actions = r.actions[1:]
	return action, true
}

func (r *activeRequest) hasActions() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.actions) > 0
}

// setCancelAttempt sets the function by which push cancels the attempt. It
// calls the function at once if the request is already ending.
func (r *activeRequest) setCancelAttempt(cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelAttempt = cancel
	if r.ending && cancel != nil {
		cancel(errInterrupted)
	}
}

// startResponse reports whether a response may be written. It returns false if
// the dispatcher ended the request in the meantime.
func (r *activeRequest) startResponse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ending {
		return false
	}
	r.responseStarted = true
	return true
}

// closeHeld closes a held response that will not be forwarded.
func (r *activeRequest) closeHeld() {
	if r.held != nil {
		r.held.Body.Close()
		r.held = nil
	}
}
