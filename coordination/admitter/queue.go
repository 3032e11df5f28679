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
	// VerdictTooClose: the request can't be answered before its deadline.
	VerdictTooClose
)

// Wait estimates how long the request would wait for a slot.
func (a *Admitter) Wait(now time.Time, entry Entry) time.Duration {
	if len(a.waiting) == 0 && a.CanStart(now, entry) {
		return 0
	}
	ahead := a.Typical
	for _, other := range a.waiting {
		if a.before(entry, other) {
			break
		}
		ahead += other.Mean
	}
	return ahead / time.Duration(max(1, a.Bound(now)))
}

// Offer puts a request into the queue, or says why it can't wait.
func (a *Admitter) Offer(now time.Time, entry Entry) Verdict {
	if a.Queue >= 0 && len(a.waiting) >= a.Queue {
		return VerdictFull
	}
	if !a.KeepDoomed && now.Add(a.Wait(now, entry)+entry.Safe).After(entry.Deadline) {
		return VerdictTooClose
	}
	a.Requeue(entry)
	return VerdictQueued
}

// Requeue puts a request back whose attempt at a peer came to nothing. It had
// its place in the queue before, so the bound isn't applied again.
func (a *Admitter) Requeue(entry Entry) {
	at := len(a.waiting)
	for at > 0 && a.before(entry, a.waiting[at-1]) {
		at--
	}
	a.waiting = slices.Insert(a.waiting, at, entry)
}

// Next takes the next request out of the queue that may start now.
func (a *Admitter) Next(now time.Time) (Entry, bool) {
	if at := a.starvedLong(now); at >= 0 {
		return a.take(at), true
	}
	for at, entry := range a.waiting {
		if a.CanStart(now, entry) {
			return a.take(at), true
		}
	}
	return Entry{}, false
}

// First gives the request that is next to start and satisfies the condition,
// and leaves it in the queue.
func (a *Admitter) First(condition func(Entry) bool) (Entry, bool) {
	for _, entry := range a.waiting {
		if condition(entry) {
			return entry, true
		}
	}
	return Entry{}, false
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

// before is the queue's order: short requests before long ones, then by Order.
func (a *Admitter) before(one, other Entry) bool {
	if one.Long != other.Long && !a.MixLong {
		return other.Long
	}
	switch a.Order {
	case OrderArrival:
		return one.Arrived.Before(other.Arrived)
	case OrderNewest:
		return one.Arrived.After(other.Arrived)
	default:
		return one.Deadline.Before(other.Deadline)
	}
}

func (a *Admitter) shortWaiting() bool {
	return len(a.waiting) > 0 && !a.waiting[0].Long
}

// starvedLong finds a long request that has waited for longer than a long
// request runs while none runs, so that short ones can't starve it.
func (a *Admitter) starvedLong(now time.Time) int {
	if a.MixLong || len(a.running) >= a.Bound(now) || a.longRunning(now) > 0 {
		return -1
	}
	for at, entry := range a.waiting {
		if entry.Long && now.Sub(entry.Arrived) > max(a.LongAfter, entry.Mean) && a.Bound(now) > 1 {
			return at
		}
	}
	return -1
}
