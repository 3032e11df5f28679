package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const typical = 20 * time.Millisecond

func newEntry(id gooseberrymast.WorkID, deadline time.Duration) Entry {
	return Entry{ID: id, Arrived: epoch.Add(time.Duration(id)), Deadline: epoch.Add(deadline), Mean: typical, Safe: typical}
}

func longEntry(id gooseberrymast.WorkID) Entry {
	e := newEntry(id, time.Minute)
	e.Long, e.Mean, e.Safe = true, 2*time.Second, 2*time.Second
	return e
}

// newAdmitter returns an admitter with four slots in which the entries run.
func newAdmitter(entries ...Entry) *Admitter {
	a := &Admitter{Slots: 4, Queue: 3, LongAfter: 8 * typical, Typical: typical}
	for _, e := range entries {
		a.Start(epoch, e)
	}
	return a
}

func TestBoundAndShare(t *testing.T) {
	tests := []struct {
		name  string
		age   time.Duration
		shed  time.Duration
		share int
		bound int
	}{
		{"warming up", 0, 0, 1, 4},
		{"half warm", 5 * time.Second, 0, 2, 4},
		{"warm", 10 * time.Second, 0, 4, 4},
		{"shed with two running", 20 * time.Second, 20 * time.Second, 2, 2},
		{"recovers by one", 20*time.Second + ShedRecoveryInterval, 20 * time.Second, 3, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := newAdmitter(newEntry(1, time.Minute), newEntry(2, time.Minute))
			a.Started, a.SlowStart = epoch, 10*time.Second
			if test.shed > 0 {
				a.Shed(epoch.Add(test.shed))
			}
			is.Equal(a.Share(epoch.Add(test.age)), test.share)
			is.Equal(a.Bound(epoch.Add(test.age)), test.bound)
		})
	}
}

func TestShedWithNothingRunningPauses(t *testing.T) {
	is := is.New(t)
	a := newAdmitter()
	a.Shed(epoch)
	is.True(!a.CanStart(epoch, newEntry(1, time.Minute), a.Bound(epoch)))
	is.True(a.CanStart(epoch.Add(ShedPause), newEntry(1, time.Minute), 4))
}

func TestLongRequestsLeaveSlotsToShortOnes(t *testing.T) {
	tests := []struct {
		name    string
		running []Entry
		after   time.Duration
		next    Entry
		starts  bool
	}{
		{"long beside long without short", []Entry{longEntry(1), longEntry(2)}, 0, longEntry(9), true},
		{"long to half of the slots", []Entry{longEntry(1), newEntry(2, time.Minute)}, 0, longEntry(9), true},
		{"long to more than half", []Entry{longEntry(1), longEntry(2), newEntry(3, time.Minute)}, 0, longEntry(9), false},
		{"long to the last slot, no short for long", []Entry{longEntry(1), longEntry(2), newEntry(3, time.Minute)}, ShortRequestWindow, longEntry(9), false},
		{"long to the last slot", []Entry{longEntry(1), longEntry(2), longEntry(3)}, 0, longEntry(9), false},
		{"short to the last slot", []Entry{longEntry(1), longEntry(2), longEntry(3)}, 0, newEntry(9, time.Minute), true},
		{"long beside what has run long", []Entry{newEntry(1, time.Minute), newEntry(2, time.Minute), newEntry(3, time.Minute)}, time.Second, longEntry(9), false},
		{"no slot", []Entry{newEntry(1, time.Minute), newEntry(2, time.Minute), newEntry(3, time.Minute), newEntry(4, time.Minute)}, 0, newEntry(9, time.Minute), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(newAdmitter(test.running...).CanStart(epoch.Add(test.after), test.next, 4), test.starts)
		})
	}
}

func newFullAdmitter() *Admitter {
	return newAdmitter(newEntry(1, time.Minute), newEntry(2, time.Minute), newEntry(3, time.Minute), newEntry(4, time.Minute))
}

func offer(a *Admitter, now time.Time, entry Entry) Decision {
	decision, _ := a.Offer(now, entry)
	return decision
}

func TestOfferOrdersQueueByDeadline(t *testing.T) {
	is := is.New(t)
	a := newFullAdmitter()
	is.Equal(offer(a, epoch, newEntry(5, typical)), DecisionDeadlineTooClose) // it would have to wait
	is.Equal(offer(a, epoch, newEntry(6, time.Minute)), DecisionQueued)
	is.Equal(offer(a, epoch, longEntry(7)), DecisionQueued)
	is.Equal(offer(a, epoch, newEntry(8, time.Second)), DecisionQueued)
	is.Equal(offer(a, epoch, newEntry(9, time.Second)), DecisionQueueFull)
	var order []gooseberrymast.WorkID
	for range 3 {
		a.Stop(epoch, gooseberrymast.WorkID(len(order)+1))
		next, ok := a.Next(epoch, 4)
		is.True(ok)
		order = append(order, next.ID)
	}
	is.Equal(order, []gooseberrymast.WorkID{8, 6, 7}) // nearest deadline first, long requests last
}

func TestOverloadedQueueStartsTheNewest(t *testing.T) {
	is := is.New(t)
	a := newFullAdmitter()
	a.Queue = OverloadQueuePerSlot*a.Slots + 1
	for id := gooseberrymast.WorkID(5); id < gooseberrymast.WorkID(5+a.Queue); id++ {
		is.Equal(offer(a, epoch, newEntry(id, time.Second)), DecisionQueued)
	}
	overloaded := epoch.Add(OverloadAfter)
	decision, evicted := a.Offer(overloaded, newEntry(20, time.Second))
	is.Equal(decision, DecisionEvictedOther)
	is.Equal(evicted.ID, gooseberrymast.WorkID(5)) // the oldest
	a.Stop(overloaded, 1)
	next, _ := a.Next(overloaded, 4)
	is.Equal(next.ID, gooseberrymast.WorkID(20))
}

func TestInfeasibleRequestLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	a := newFullAdmitter()
	a.Offer(epoch, newEntry(5, 100*time.Millisecond))
	is.Equal(a.NextInfeasible(), epoch.Add(80*time.Millisecond))
	_, ok := a.TakeInfeasible(epoch.Add(79 * time.Millisecond))
	is.True(!ok)
	infeasible, ok := a.TakeInfeasible(epoch.Add(80 * time.Millisecond))
	is.True(ok)
	is.Equal(infeasible.ID, gooseberrymast.WorkID(5))
}

func TestLongIsNotStarved(t *testing.T) {
	is := is.New(t)
	a := newFullAdmitter()
	a.Offer(epoch, longEntry(5))
	a.Offer(epoch, newEntry(6, time.Minute))
	a.Stop(epoch, 1)
	later := epoch.Add(3 * time.Second)
	a.running = nil // the other requests ended
	next, _ := a.Next(later, 4)
	is.Equal(next.ID, gooseberrymast.WorkID(5))
}
