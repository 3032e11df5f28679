// Package admitter decides when a request may take one of a backend server's
// slots, how many may wait for one, and which can't be answered in time.
package admitter

import (
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
)

// The constants of admission.
const (
	// ShedPause is how long a backend server that shed with nothing else
	// running is left alone.
	ShedPause = 50 * time.Millisecond
	// OverloadAfter is how long short requests must have waited without a
	// break for the backend server to count as overloaded.
	OverloadAfter = 100 * time.Millisecond
	// OverloadRounds is the number of requests for each slot that wait at an
	// overloaded backend server.
	OverloadRounds = 2
	// ShortMemory is how long after a short request long ones leave half of
	// the slots to others like it, and not just one.
	ShortMemory = 5 * time.Second
	// ShedRecovery is the time after which a bound that was lowered because
	// the backend server shed rises by one.
	ShedRecovery = 500 * time.Millisecond
)

// Order is the order in which waiting requests take slots.
type Order uint8

// The orders of a queue.
const (
	// OrderAdaptive is OrderDeadline until the backend server is overloaded,
	// and OrderNewest from then on: what has waited least can still be
	// answered in time, and what gives way is refused early.
	OrderAdaptive Order = iota
	// OrderDeadline starts the request with the nearest deadline first.
	OrderDeadline
	// OrderArrival starts the oldest request first.
	OrderArrival
	// OrderNewest starts the newest request first.
	OrderNewest
)

// Entry is a request that wants a slot.
type Entry struct {
	ID gooseberrymast.WorkID
	// Arrived is when the request came to this agent.
	Arrived time.Time
	// Deadline is never zero.
	Deadline time.Time
	// Mean is the expected service time.
	Mean time.Duration
	// Safe is a service time that few such requests exceed.
	Safe time.Duration
	// Long is set when the request is expected to be a straggler.
	Long bool
}

// Admitter holds the slots and the queue of one backend server. The zero value
// admits nothing until Slots is set.
type Admitter struct {
	// Slots is the number of requests that the backend server may run.
	Slots int
	// Queue is the number of requests that may wait; below zero is no bound.
	Queue int
	// SlowStart is the time over which the share rises to Slots from Started.
	SlowStart time.Duration
	// Started is when the backend server began to take work.
	Started time.Time
	// LongAfter is the running time from which on a request counts as long.
	LongAfter time.Duration
	// Typical is the service time of most requests.
	Typical time.Duration
	// Order is the queue's order.
	Order Order
	// KeepDoomed leaves requests that can't meet their deadline in the queue
	// until the deadline has passed.
	KeepDoomed bool
	// MixLong lets long requests take any slot.
	MixLong bool

	running map[gooseberrymast.WorkID]run
	// lastShort is when the latest request that is not long started.
	lastShort time.Time
	waiting   []Entry
	// filledAt is since when short requests have waited.
	filledAt time.Time
	// shedBound is the bound that shedding left, or zero for none.
	shedBound int
	shedAt    time.Time
	pausedTil time.Time
}

// run is a request that holds a slot.
type run struct {
	started time.Time
	long    bool
}

// Bound gives the number of requests that the backend server may run now.
func (a *Admitter) Bound(now time.Time) int {
	if now.Before(a.pausedTil) {
		return 0
	}
	bound := a.Slots
	if a.shedBound > 0 {
		recovered := int(now.Sub(a.shedAt) / ShedRecovery)
		bound = min(bound, a.shedBound+recovered)
	}
	return bound
}

// Share gives the number of requests that a cold backend server should run
// while others have room for the rest. It is the bound once the server is warm.
func (a *Admitter) Share(now time.Time) int {
	share := a.Bound(now)
	if age := now.Sub(a.Started); age < a.SlowStart {
		share = min(share, 1+int(float64(a.Slots-1)*float64(age)/float64(a.SlowStart)))
	}
	return share
}

// Free gives the number of slots that are neither held nor waited for.
func (a *Admitter) Free(now time.Time) int {
	return max(0, a.Bound(now)-len(a.running)-len(a.waiting))
}

// Running gives the number of slots held.
func (a *Admitter) Running() int {
	return len(a.running)
}

// Waiting gives the number of requests in the queue.
func (a *Admitter) Waiting() int {
	return len(a.waiting)
}

// CanStart reports whether the request may take a slot now, leaving aside the
// requests that wait. The bound is Bound or Share.
func (a *Admitter) CanStart(now time.Time, entry Entry, bound int) bool {
	if len(a.running) >= bound {
		return false
	}
	if a.MixLong {
		return true
	}
	if !entry.Long {
		return true
	}
	return a.longRunning(now)+a.reserve(now, bound) < bound || (bound == 1 && !a.shortWaiting())
}

// Start takes a slot.
func (a *Admitter) Start(now time.Time, entry Entry) {
	if a.running == nil {
		a.running = map[gooseberrymast.WorkID]run{}
	}
	if !entry.Long {
		a.lastShort = now
	}
	a.running[entry.ID] = run{started: now, long: entry.Long}
	asserter.Holds(len(a.running) <= a.Slots, "slots-not-exceeded", "%d running in %d slots", len(a.running), a.Slots)
}

// Stop frees a slot and gives the time for which it was held.
func (a *Admitter) Stop(now time.Time, id gooseberrymast.WorkID) time.Duration {
	held, ok := a.running[id]
	asserter.Holds(ok, "stopped-request-held-a-slot", "request %d", id)
	delete(a.running, id)
	return now.Sub(held.started)
}

// Shed lowers the bound after the backend server refused a request for its load.
func (a *Admitter) Shed(now time.Time) {
	a.shedBound = max(1, min(a.Bound(now), len(a.running)))
	a.shedAt = now
	if len(a.running) == 0 {
		a.pausedTil = now.Add(ShedPause)
	}
}

// Resume restarts the slow start, after an ejection.
func (a *Admitter) Resume(now time.Time) {
	a.Started = now
}

// reserve gives the number of slots that long requests leave to short ones.
func (a *Admitter) reserve(now time.Time, bound int) int {
	if now.Sub(a.lastShort) >= ShortMemory {
		return 1
	}
	return max(1, bound/2)
}

// Overdue gives the requests that have turned out long since the last call, in
// the order of their numbers.
func (a *Admitter) Overdue(now time.Time) []gooseberrymast.WorkID {
	var overdue []gooseberrymast.WorkID
	for id, held := range a.running {
		if held.long || a.LongAfter <= 0 || now.Sub(held.started) <= a.LongAfter {
			continue
		}
		held.long = true
		a.running[id] = held
		overdue = append(overdue, id)
	}
	slices.Sort(overdue)
	return overdue
}

func (a *Admitter) longRunning(now time.Time) int {
	long := 0
	for _, held := range a.running {
		if held.long || (a.LongAfter > 0 && now.Sub(held.started) > a.LongAfter) {
			long++
		}
	}
	return long
}
