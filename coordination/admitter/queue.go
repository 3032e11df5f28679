package admitter

import (
	"slices"
	"time"

	"gooseberrymast"
)

// Verdict is the answer to a request that wants to wait.
type Verdict uint8

// The verdicts of Offer.
const (
	// VerdictQueued: the request waits.
	VerdictQueued Verdict = iota
	// VerdictFull: the queue holds all the requests it may.
	VerdictFull
	// VerdictDisplaced: the request waits, and another was given up for it.
	VerdictDisplaced
	// VerdictTooClose: the request can't be answered before its deadline.
	VerdictTooClose
)

// Wait estimates how long the request would wait for a slot.
func (a *Admitter) Wait(now time.Time, entry Entry) time.Duration {
	if len(a.waiting) == 0 && a.CanStart(now, entry, a.Bound(now)) {
		return 0
	}
	ahead := a.Typical
	newestFirst := a.newestFirst(now)
	for _, other := range a.waiting {
		if a.before(other, entry, newestFirst) {
			ahead += other.Mean
		}
	}
	forShort := a.Bound(now) - a.longRunning(now)
	return ahead / time.Duration(max(1, forShort))
}

// Backlog estimates how long the last of the waiting requests and one more
// would wait. It does not depend on the queue's order.
func (a *Admitter) Backlog(now time.Time) time.Duration {
	ahead := a.Typical
	for _, other := range a.waiting {
		ahead += other.Mean
	}
	return ahead / time.Duration(max(1, a.Bound(now)-a.longRunning(now)))
}

// Offer puts a request into the queue, or says why it can't wait. An
// overloaded queue that is full makes room by giving up the request that is
// last to start.
func (a *Admitter) Offer(now time.Time, entry Entry) (verdict Verdict, givenUp Entry) {
	if !a.KeepDoomed && now.Add(a.Wait(now, entry)+entry.Safe).After(entry.Deadline) {
		return VerdictTooClose, Entry{}
	}
	if a.Queue < 0 || len(a.waiting) < a.Queue {
		a.Requeue(now, entry)
		return VerdictQueued, Entry{}
	}
	last := a.last(now, func(Entry) bool { return true })
	if last < 0 || !a.newestFirst(now) || !a.before(entry, a.waiting[last], true) {
		return VerdictFull, Entry{}
	}
	givenUp = a.take(last)
	a.Requeue(now, entry)
	return VerdictDisplaced, givenUp
}

// Requeue puts a request back whose attempt at a peer came to nothing. It had
// its place in the queue before, so the bound isn't applied again.
func (a *Admitter) Requeue(now time.Time, entry Entry) {
	if !entry.Long && !a.shortWaiting() {
		a.filledAt = now
	}
	a.waiting = append(a.waiting, entry)
}

// Next takes the next request out of the queue that may start now. The bound is
// Bound or Share.
func (a *Admitter) Next(now time.Time, bound int) (Entry, bool) {
	if len(a.running) >= bound {
		return Entry{}, false
	}
	at := a.starvedLong(now)
	if at < 0 {
		at = a.first(now, func(entry Entry) bool { return a.CanStart(now, entry, bound) })
	}
	if at < 0 {
		return Entry{}, false
	}
	return a.take(at), true
}

// First gives the request that is next to start and satisfies the condition,
// and leaves it in the queue.
func (a *Admitter) First(now time.Time, condition func(Entry) bool) (Entry, bool) {
	at := a.first(now, condition)
	if at < 0 {
		return Entry{}, false
	}
	return a.waiting[at], true
}

// Last is First for the request that is last to start.
func (a *Admitter) Last(now time.Time, condition func(Entry) bool) (Entry, bool) {
	at := a.last(now, condition)
	if at < 0 {
		return Entry{}, false
	}
	return a.waiting[at], true
}

// Remove takes a request out of the queue and reports whether it waited.
func (a *Admitter) Remove(id gooseberrymast.WorkID) bool {
	for at, entry := range a.waiting {
		if entry.ID == id {
			a.take(at)
			return true
		}
	}
	return false
}

// Doomed takes one request out of the queue that can't meet its deadline any
// more, if there is one.
func (a *Admitter) Doomed(now time.Time) (Entry, bool) {
	for at, entry := range a.waiting {
		if !now.Before(a.latestStart(entry)) {
			return a.take(at), true
		}
	}
	return Entry{}, false
}

// NextDoomed gives the time at which the first waiting request becomes unable
// to meet its deadline, or zero when none waits.
func (a *Admitter) NextDoomed() time.Time {
	var next time.Time
	for _, entry := range a.waiting {
		if at := a.latestStart(entry); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (a *Admitter) latestStart(entry Entry) time.Time {
	if a.KeepDoomed {
		return entry.Deadline
	}
	return entry.Deadline.Add(-entry.Mean)
}

func (a *Admitter) take(at int) Entry {
	entry := a.waiting[at]
	a.waiting = slices.Delete(a.waiting, at, at+1)
	return entry
}

// first finds the request that is next to start and satisfies the condition.
func (a *Admitter) first(now time.Time, condition func(Entry) bool) int {
	newestFirst := a.newestFirst(now)
	first := -1
	for at, entry := range a.waiting {
		if (first < 0 || a.before(entry, a.waiting[first], newestFirst)) && condition(entry) {
			first = at
		}
	}
	return first
}

// last finds the request that is last to start and satisfies the condition.
func (a *Admitter) last(now time.Time, condition func(Entry) bool) int {
	newestFirst := a.newestFirst(now)
	last := -1
	for at, entry := range a.waiting {
		if (last < 0 || a.before(a.waiting[last], entry, newestFirst)) && condition(entry) {
			last = at
		}
	}
	return last
}

// newestFirst reports whether the queue's order is by arrival, newest first.
func (a *Admitter) newestFirst(now time.Time) bool {
	if a.Order == OrderNewest {
		return true
	}
	return a.Order == OrderAdaptive && len(a.waiting) > OverloadRounds*a.Slots && now.Sub(a.filledAt) >= OverloadAfter
}

// before is the queue's order: short requests before long ones, then by Order.
func (a *Admitter) before(one, other Entry, newestFirst bool) bool {
	if one.Long != other.Long && !a.MixLong {
		return other.Long
	}
	if newestFirst {
		return one.Arrived.After(other.Arrived)
	}
	if a.Order == OrderArrival {
		return one.Arrived.Before(other.Arrived)
	}
	return one.Deadline.Before(other.Deadline)
}

func (a *Admitter) shortWaiting() bool {
	return slices.ContainsFunc(a.waiting, func(entry Entry) bool { return !entry.Long })
}

// starvedLong finds a long request that has waited for longer than a long
// request runs while none runs, so that short ones can't starve it.
func (a *Admitter) starvedLong(now time.Time) int {
	if a.MixLong || a.longRunning(now) > 0 {
		return -1
	}
	for at, entry := range a.waiting {
		if entry.Long && now.Sub(entry.Arrived) > max(a.LongAfter, entry.Mean) && a.Bound(now) > 1 {
			return at
		}
	}
	return -1
}
