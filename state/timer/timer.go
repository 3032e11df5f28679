// Package timer implements the timer service: System follows the wall clock,
// Manual follows its test.
package timer

import (
	"sync"
	"time"
)

// System is the timer service of a running process. The zero value works.
type System struct{}

// Now gives the wall clock's time.
func (System) Now() time.Time {
	return time.Now()
}

// Every calls notify once an interval, each call after the one before ended.
func (System) Every(interval time.Duration, notify func(now time.Time)) (cancel func()) {
	subscription := &repeated{interval: interval, notify: notify}
	subscription.schedule()
	return subscription.cancel
}

// After calls notify once, when delay has passed.
func (System) After(delay time.Duration, notify func(now time.Time)) (cancel func()) {
	timer := time.AfterFunc(delay, func() { notify(time.Now()) })
	return func() { timer.Stop() }
}

// repeated is one subscription of Every.
type repeated struct {
	interval time.Duration
	notify   func(now time.Time)

	mu        sync.Mutex
	timer     *time.Timer
	cancelled bool
}

func (r *repeated) schedule() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return
	}
	r.timer = time.AfterFunc(r.interval, r.fire)
}

func (r *repeated) fire() {
	r.notify(time.Now())
	r.schedule()
}

func (r *repeated) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled = true
	r.timer.Stop()
}
