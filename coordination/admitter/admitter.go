// Package admitter limits the requests that run at one backend server: it
// decides which may start, how many may be queued, and which can't be answered
// before their deadlines.
package admitter

import (
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
)

// Limits and intervals of admission.
const (
	// ShedPause is how long no request is started at a backend server that shed
	// one while no other was running.
	ShedPause = 50 * time.Millisecond
	// OverloadAfter is how long short requests must have been queued without
	// interruption before the backend server counts as overloaded.
	OverloadAfter = 100 * time.Millisecond
	// OverloadQueuePerSlot is the queue length for each slot above which the
	// backend server can count as overloaded.
	OverloadQueuePerSlot = 2
	// ShortRequestWindow is how long after the start of a short request half of
	// the slots stay reserved for short requests, instead of one slot.
	ShortRequestWindow = 5 * time.Second
	// ShedRecoveryInterval is the time in which a bound that was lowered because
	// the backend server shed rises by one.
	ShedRecoveryInterval = 500 * time.Millisecond
)

// Order is the order in which queued requests take slots.
type Order uint8

// The orders of a queue.
const (
	// OrderAdaptive is OrderDeadline until the backend server is overloaded and
	// OrderNewest from then on: the newest requests can still be answered in
	// time, and those that are evicted are refused early.
	OrderAdaptive Order = iota
	// OrderDeadline starts the request with the nearest deadline first.
	OrderDeadline
	// OrderArrival starts the oldest request first.
	OrderArrival
	// OrderNewest starts the newest request first.
	OrderNewest
)

// Entry is a request for a slot.
type Entry struct {
	ID gooseberrymast.WorkID
	// Arrived is when the request arrived at this agent.
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

// Admitter manages the slots and the queue of one backend server. The zero value
// admits nothing until Slots is set.
type Admitter struct {
	// Slots is the number of requests that the backend server may run at a time.
	Slots int
	// Queue is the number of requests that may be queued; negative means no limit.
	Queue int
	// SlowStart is how long after Started the share takes to rise to Slots.
	SlowStart time.Duration
	// Started is when the backend server began to take requests.
	Started time.Time
	// LongAfter is the running time above which a request counts as long.
	LongAfter time.Duration
	// Typical is the service time of most requests.
	Typical time.Duration
	// Order is the queue's order.
	Order Order
	// KeepInfeasible leaves requests that can't meet their deadline in the queue
	// until the deadline has passed.
	KeepInfeasible bool
	// NoSlotReserve lets long requests take any slot and doesn't order them after
	// short ones.
	NoSlotReserve bool

	running map[gooseberrymast.WorkID]slotHolder
	// lastShort is when the latest request that is not long started.
	lastShort time.Time
	waiting   []Entry
	// shortWaitingSince is since when short requests have been queued without
	// interruption.
	shortWaitingSince time.Time
	// shedBound is the bound set when the backend server shed, or zero for none.
	shedBound   int
	shedAt      time.Time
	pausedUntil time.Time
}

// slotHolder is a running request, which holds a slot.
type slotHolder struct {
	started time.Time
	long    bool
}

// Bound returns the number of requests that the backend server may run now.
func (a *Admitter) Bound(now time.Time) int {
	if now.Before(a.pausedUntil) {
		return 0
	}
	bound := a.Slots
	if a.shedBound > 0 {
		recovered := int(now.Sub(a.shedAt) / ShedRecoveryInterval)
		bound = min(bound, a.shedBound+recovered)
	}
	return bound
}

// Share returns the number of requests that a backend server in slow start should
// run while peers have free slots for the rest. After the slow start it equals
// Bound.
func (a *Admitter) Share(now time.Time) int {
	share := a.Bound(now)
	if age := now.Sub(a.Started); age < a.SlowStart {
		share = min(share, 1+int(float64(a.Slots-1)*float64(age)/float64(a.SlowStart)))
	}
	return share
}

// Free returns the number of slots that are free and not needed by queued requests.
func (a *Admitter) Free(now time.Time) int {
	return max(0, a.Bound(now)-len(a.running)-len(a.waiting))
}

// Running returns the number of slots in use.
func (a *Admitter) Running() int {
	return len(a.running)
}

// Waiting returns the number of queued requests.
func (a *Admitter) Waiting() int {
	return len(a.waiting)
}

// CanStart reports whether the request may take a slot now, regardless of the
// queue. The bound is Bound or Share.
func (a *Admitter) CanStart(now time.Time, entry Entry, bound int) bool {
	if len(a.running) >= bound {
		return false
	}
	if a.NoSlotReserve {
		return true
	}
	if !entry.Long {
		return true
	}
	return a.runningLong(now)+a.reservedForShort(now, bound) < bound || (bound == 1 && !a.shortWaiting())
}

// Start assigns a slot to the request.
func (a *Admitter) Start(now time.Time, entry Entry) {
	if a.running == nil {
		a.running = map[gooseberrymast.WorkID]slotHolder{}
	}
	if !entry.Long {
		a.lastShort = now
	}
	a.running[entry.ID] = slotHolder{started: now, long: entry.Long}
	asserter.Holds(len(a.running) <= a.Slots, "slots-not-exceeded", "%d running in %d slots", len(a.running), a.Slots)
}

// Stop frees a slot and returns how long it was in use.
func (a *Admitter) Stop(now time.Time, id gooseberrymast.WorkID) time.Duration {
	holder, ok := a.running[id]
	asserter.Holds(ok, "stopped-request-held-a-slot", "request %d", id)
	delete(a.running, id)
	return now.Sub(holder.started)
}

// Shed lowers the bound after the backend server shed a request.
func (a *Admitter) Shed(now time.Time) {
	a.shedBound = max(1, min(a.Bound(now), len(a.running)))
	a.shedAt = now
	if len(a.running) == 0 {
		a.pausedUntil = now.Add(ShedPause)
	}
}

// RestartSlowStart restarts the slow start after an ejection.
func (a *Admitter) RestartSlowStart(now time.Time) {
	a.Started = now
}

// reservedForShort returns the number of slots that long requests leave free for
// short ones.
func (a *Admitter) reservedForShort(now time.Time, bound int) int {
	if now.Sub(a.lastShort) >= ShortRequestWindow {
		return 1
	}
	return max(1, bound/2)
}

// MarkLong marks running requests that have exceeded LongAfter as long. It returns
// those marked by this call, in the order of their IDs.
func (a *Admitter) MarkLong(now time.Time) []gooseberrymast.WorkID {
	var turnedLong []gooseberrymast.WorkID
	for id, holder := range a.running {
		if holder.long || a.LongAfter <= 0 || now.Sub(holder.started) <= a.LongAfter {
			continue
		}
		holder.long = true
		a.running[id] = holder
		turnedLong = append(turnedLong, id)
	}
	slices.Sort(turnedLong)
	return turnedLong
}

// runningLong returns the number of running requests that count as long.
func (a *Admitter) runningLong(now time.Time) int {
	long := 0
	for _, holder := range a.running {
		if holder.long || (a.LongAfter > 0 && now.Sub(holder.started) > a.LongAfter) {
			long++
		}
	}
	return long
}
