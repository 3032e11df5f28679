// Package watcher follows one object in the platform's store. Versions that it
// gives only rise, whatever a stale read or a broken watch says.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
)

// The delays after a failed call.
const (
	MinDelay = time.Second
	MaxDelay = 5 * time.Second
)

// Watcher follows one object. Its exported fields are set before the first
// call.
type Watcher struct {
	Key    string
	Random *rand.Rand

	waiting bool
	next    time.Time
	delay   time.Duration
	version uint64
	read    bool
}

// Next gives the call that is due, or nil. With watch it waits for the next
// version; without, it reads the object once.
func (w *Watcher) Next(now time.Time, watch bool) *messenger.Call {
	if w.waiting || now.Before(w.next) || w.read && !watch {
		return nil
	}
	w.waiting = true
	call := &messenger.Call{Method: messenger.MethodGet, Object: gooseberrymast.Object{Key: w.Key}}
	if watch && w.read {
		call.Method = messenger.MethodWatch
		call.Version = w.version
	}
	return call
}

// Read reports whether the store has answered once.
func (w *Watcher) Read() bool {
	return w.read
}

// Version gives the highest version that was read.
func (w *Watcher) Version() uint64 {
	return w.version
}

// Done takes the result of the call. It gives the object when its version is
// above all that came before.
func (w *Watcher) Done(now time.Time, result messenger.Result) (gooseberrymast.Object, bool) {
	w.waiting = false
	switch {
	case result.Err == nil, errors.Is(result.Err, gooseberrymast.ErrStoreNotFound):
		w.read = true
		w.delay = 0
	case errors.Is(result.Err, context.DeadlineExceeded) && w.read:
		// A watch that ends without news is followed by the next one.
		w.delay = 0
	default:
		w.delay = min(max(2*w.delay, MinDelay), MaxDelay)
		w.next = now.Add(w.delay/2 + time.Duration(w.Random.Int64N(int64(w.delay))))
		return gooseberrymast.Object{}, false
	}
	w.next = now
	if result.Err != nil || result.Object.Version <= w.version {
		w.pause(now, result)
		return gooseberrymast.Object{}, false
	}
	w.version = result.Object.Version
	return result.Object, true
}

// pause keeps a store that answers at once with nothing new from being asked
// without end.
func (w *Watcher) pause(now time.Time, result messenger.Result) {
	if !errors.Is(result.Err, context.DeadlineExceeded) {
		w.next = now.Add(MinDelay)
	}
}
