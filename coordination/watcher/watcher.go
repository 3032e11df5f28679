// Package watcher follows one object in the platform's store. The versions that
// it returns only increase, despite stale reads and interrupted watches.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
)

// Limits of the mean delay after a failed call.
const (
	MinDelay = time.Second
	MaxDelay = 5 * time.Second
)

// Watcher follows one object. Its exported fields must be set before the first
// call.
type Watcher struct {
	Key    string
	Random *rand.Rand

	pending  bool
	nextCall time.Time
	delay    time.Duration
	version  uint64
	answered bool
}

// Next returns the call that is due, or nil. If watch is set, the object is
// read and then watched for newer versions; otherwise it is read once.
func (w *Watcher) Next(now time.Time, watch bool) *messenger.Call {
	if w.pending || now.Before(w.nextCall) || w.answered && !watch {
		return nil
	}
	w.pending = true
	call := &messenger.Call{Method: messenger.MethodGet, Object: gooseberrymast.Object{Key: w.Key}}
	if watch && w.answered {
		call.Method = messenger.MethodWatch
		call.Version = w.version
	}
	return call
}

// Answered reports whether the store has answered at least once.
func (w *Watcher) Answered() bool {
	return w.answered
}

// Version returns the highest version read.
func (w *Watcher) Version() uint64 {
	return w.version
}

// Done handles the result of the pending call. It returns the object if its
// version is higher than all before.
func (w *Watcher) Done(now time.Time, result messenger.Result) (gooseberrymast.Object, bool) {
	w.pending = false
	switch {
	case result.Err == nil, errors.Is(result.Err, gooseberrymast.ErrStoreNotFound):
		w.answered = true
		w.delay = 0
	case errors.Is(result.Err, context.DeadlineExceeded) && w.answered:
		// A watch that ends without a new version is restarted.
		w.delay = 0
	default:
		w.delay = min(max(2*w.delay, MinDelay), MaxDelay)
		w.nextCall = now.Add(w.delay/2 + time.Duration(w.Random.Int64N(int64(w.delay))))
		return gooseberrymast.Object{}, false
	}
	w.nextCall = now
	if result.Err != nil || result.Object.Version <= w.version {
		w.limitRate(now, result)
		return gooseberrymast.Object{}, false
	}
	w.version = result.Object.Version
	return result.Object, true
}

// limitRate delays the next call if the store answered immediately without a
// new version, so that it isn't called in a tight loop.
func (w *Watcher) limitRate(now time.Time, result messenger.Result) {
	if !errors.Is(result.Err, context.DeadlineExceeded) {
		w.nextCall = now.Add(MinDelay)
	}
}
