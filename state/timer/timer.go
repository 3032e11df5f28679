// Package timer implements the timer service: System uses the wall clock, Manual
// a clock that a test sets.
package timer

import (
	"sync"
	"time"
)

// System is the timer service of a running process. The zero value is ready for
// use.
type System struct{}

// Now returns the wall-clock time.
func (System) Now() time.Time {
	return time.Now()
}

// Every calls notify once per interval; the interval starts anew after each call
// returns.
func (System) Every(interval time.Duration, notify func(now time.Time)) (cancel func()) {
	subscription := &repeatingTimer{interval: interval, notify: notify}
	subscription.schedule()
	return subscription.cancel
}

// After calls notify once after delay.
func (System) After(delay time.Duration, notify func(now time.Time)) (cancel func()) {
	timer := time.AfterFunc(delay, func() { notify(time.Now()) })
	return func() { timer.Stop() }
}

// repeatingTimer is one subscription of Every.
type repeatingTimer struct {
	interval time.Duration
	notify   func(now time.Time)

	mu        sync.Mutex
	timer     *time.Timer
	cancelled bool
}

func (r *repeatingTimer) schedule() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return
	}
	r.timer = time.AfterFunc(r.interval, r.fire)
}

func (r *repeatingTimer) fire() {
	r.notify(time.Now())
	r.schedule()
}

func (r *repeatingTimer) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled = true
	r.timer.Stop()
}
