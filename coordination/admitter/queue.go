package admitter

import (
	"slices"
	"time"

	"gooseberrymast"
)

// Decision is the result of Offer.
type Decision uint8

// The results of Offer.
const (
	// DecisionQueued: the request is queued.
	DecisionQueued Decision = iota
	// DecisionQueueFull: the queue is full.
	DecisionQueueFull
	// DecisionEvictedOther: the request is queued and another one was evicted.
	DecisionEvictedOther
	// DecisionDeadlineTooClose: the request can't be answered before its deadline.
	DecisionDeadlineTooClose
)

// Wait estimates how long the request would wait for a slot.
func (a *Admitter) Wait(now time.Time, entry Entry) time.Duration {
	if len(a.waiting) == 0 && a.CanStart(now, entry, a.Bound(now)) {
		return 0
	}
	workAhead := a.Typical
	newestFirst := a.newestFirst(now)
	for _, other := range a.waiting {
		if a.before(other, entry, newestFirst) {
			workAhead += other.Mean
		}
	}
	slotsForShort := a.Bound(now) - a.runningLong(now)
	return workAhead / time.Duration(max(1, slotsForShort))
}

// Backlog estimates how long the last queued request and one more would wait. It
// does not depend on the queue's order.
func (a *Admitter) Backlog(now time.Time) time.Duration {
	workAhead := a.Typical
	for _, other := range a.waiting {
		workAhead += other.Mean
	}
	return workAhead / time.Duration(max(1, a.Bound(now)-a.runningLong(now)))
}

// Offer queues a request, or returns why it can't be queued. If the queue of an
// overloaded backend server is full, Offer evicts the request that is last to start.
func (a *Admitter) Offer(now time.Time, entry Entry) (decision Decision, evicted Entry) {
	if !a.KeepInfeasible && now.Add(a.Wait(now, entry)+entry.Safe).After(entry.Deadline) {
		return DecisionDeadlineTooClose, Entry{}
	}
	if a.Queue < 0 || len(a.waiting) < a.Queue {
		a.Enqueue(now, entry)
		return DecisionQueued, Entry{}
	}
	last := a.last(now, func(Entry) bool { return true })
	if last < 0 || !a.newestFirst(now) || !a.before(entry, a.waiting[last], true) {
		return DecisionQueueFull, Entry{}
	}
	evicted = a.removeAt(last)
	a.Enqueue(now, entry)
	return DecisionEvictedOther, evicted
}

// Enqueue queues a request regardless of the queue's limit. It is called directly
// for a request whose hand-over was refused: this agent has already accepted the
// request, so the limit isn't applied again.
func (a *Admitter) Enqueue(now time.Time, entry Entry) {
	if !entry.Long && !a.shortWaiting() {
		a.shortWaitingSince = now
	}
	a.waiting = append(a.waiting, entry)
}

// Next removes and returns the next queued request that may start now. The bound
// is Bound or Share.
func (a *Admitter) Next(now time.Time, bound int) (Entry, bool) {
	if len(a.running) >= bound {
		return Entry{}, false
	}
	i := a.starvedLong(now)
	if i < 0 {
		i = a.first(now, func(entry Entry) bool { return a.CanStart(now, entry, bound) })
	}
	if i < 0 {
		return Entry{}, false
	}
	return a.removeAt(i), true
}

// First returns the first request to start that satisfies the condition, and
// leaves it in the queue.
func (a *Admitter) First(now time.Time, condition func(Entry) bool) (Entry, bool) {
	i := a.first(now, condition)
	if i < 0 {
		return Entry{}, false
	}
	return a.waiting[i], true
}

// Last returns the last request to start that satisfies the condition, and leaves
// it in the queue.
func (a *Admitter) Last(now time.Time, condition func(Entry) bool) (Entry, bool) {
	i := a.last(now, condition)
	if i < 0 {
		return Entry{}, false
	}
	return a.waiting[i], true
}

// Remove removes a request from the queue and reports whether it was queued.
func (a *Admitter) Remove(id gooseberrymast.WorkID) bool {
	for i, entry := range a.waiting {
		if entry.ID == id {
			a.removeAt(i)
			return true
		}
	}
	return false
}

// TakeInfeasible removes and returns one queued request that can no longer meet
// its deadline, if there is one.
func (a *Admitter) TakeInfeasible(now time.Time) (Entry, bool) {
	for i, entry := range a.waiting {
		if !now.Before(a.latestStart(entry)) {
			return a.removeAt(i), true
		}
	}
	return Entry{}, false
}

// NextInfeasible returns the time at which the first queued request becomes unable
// to meet its deadline, or zero if the queue is empty.
func (a *Admitter) NextInfeasible() time.Time {
	var next time.Time
	for _, entry := range a.waiting {
		if at := a.latestStart(entry); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// latestStart returns the time at which a queued request becomes infeasible.
func (a *Admitter) latestStart(entry Entry) time.Time {
	if a.KeepInfeasible {
		return entry.Deadline
	}
	return entry.Deadline.Add(-entry.Mean)
}

func (a *Admitter) removeAt(i int) Entry {
	entry := a.waiting[i]
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return entry
}

// first returns the index of the first request to start that satisfies the
// condition, or -1.
func (a *Admitter) first(now time.Time, condition func(Entry) bool) int {
	newestFirst := a.newestFirst(now)
	first := -1
	for i, entry := range a.waiting {
		if (first < 0 || a.before(entry, a.waiting[first], newestFirst)) && condition(entry) {
			first = i
		}
	}
	return first
}

// last returns the index of the last request to start that satisfies the
// condition, or -1.
func (a *Admitter) last(now time.Time, condition func(Entry) bool) int {
	newestFirst := a.newestFirst(now)
	last := -1
	for i, entry := range a.waiting {
		if (last < 0 || a.before(a.waiting[last], entry, newestFirst)) && condition(entry) {
			last = i
		}
	}
	return last
}

// newestFirst reports whether queued requests start in reverse order of arrival.
func (a *Admitter) newestFirst(now time.Time) bool {
	if a.Order == OrderNewest {
		return true
	}
	return a.Order == OrderAdaptive && len(a.waiting) > OverloadQueuePerSlot*a.Slots && now.Sub(a.shortWaitingSince) >= OverloadAfter
}

// before reports whether left starts before right: short requests before long
// ones, then by Order.
func (a *Admitter) before(left, right Entry, newestFirst bool) bool {
	if left.Long != right.Long && !a.NoSlotReserve {
		return right.Long
	}
	if newestFirst {
		return left.Arrived.After(right.Arrived)
	}
	if a.Order == OrderArrival {
		return left.Arrived.Before(right.Arrived)
	}
	return left.Deadline.Before(right.Deadline)
}

func (a *Admitter) shortWaiting() bool {
	return slices.ContainsFunc(a.waiting, func(entry Entry) bool { return !entry.Long })
}

// starvedLong returns the index of a long request that has been queued for longer
// than a long request runs while none is running, or -1. Without this rule short
// requests would starve long ones.
func (a *Admitter) starvedLong(now time.Time) int {
	if a.NoSlotReserve || a.runningLong(now) > 0 {
		return -1
	}
	for i, entry := range a.waiting {
		if entry.Long && now.Sub(entry.Arrived) > max(a.LongAfter, entry.Mean) && a.Bound(now) > 1 {
			return i
		}
	}
	return -1
}
