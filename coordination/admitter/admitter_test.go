package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const typical = 20 * time.Millisecond

func entry(id gooseberrymast.WorkID, deadline time.Duration) Entry {
	return Entry{ID: id, Arrived: epoch.Add(time.Duration(id)), Deadline: epoch.Add(deadline), Mean: typical, Safe: typical}
}

func long(id gooseberrymast.WorkID) Entry {
	one := entry(id, time.Minute)
	one.Long, one.Mean, one.Safe = true, 2*time.Second, 2*time.Second
	return one
}

// busy gives an admitter of four slots on which the entries run.
func busy(entries ...Entry) *Admitter {
	a := &Admitter{Slots: 4, Queue: 3, LongAfter: 8 * typical, Typical: typical}
	for _, one := range entries {
		a.Start(epoch, one)
	}
	return a
}

func TestBound(t *testing.T) {
	tests := []struct {
		name  string
		age   time.Duration
		shed  time.Duration
		share int
		bound int
	}{
		{"cold", 0, 0, 1, 4},
		{"half warm", 5 * time.Second, 0, 2, 4},
		{"warm", 10 * time.Second, 0, 4, 4},
		{"shed with two running", 20 * time.Second, 20 * time.Second, 2, 2},
		{"recovers by one", 20*time.Second + ShedRecovery, 20 * time.Second, 3, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := busy(entry(1, time.Minute), entry(2, time.Minute))
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
	a := busy()
	a.Shed(epoch)
	is.True(!a.CanStart(epoch, entry(1, time.Minute), a.Bound(epoch)))
	is.True(a.CanStart(epoch.Add(ShedPause), entry(1, time.Minute), 4))
}

func TestLastSlot(t *testing.T) {
	tests := []struct {
		name    string
		running []Entry
		after   time.Duration
		next    Entry
		starts  bool
	}{
		{"long beside long without short", []Entry{long(1), long(2)}, 0, long(9), true},
		{"long to half of the slots", []Entry{long(1), entry(2, time.Minute)}, 0, long(9), true},
		{"long to more than half", []Entry{long(1), long(2), entry(3, time.Minute)}, 0, long(9), false},
		{"long to the last slot, no short for long", []Entry{long(1), long(2), entry(3, time.Minute)}, ShortMemory, long(9), false},
		{"long to the last slot", []Entry{long(1), long(2), long(3)}, 0, long(9), false},
		{"short to the last slot", []Entry{long(1), long(2), long(3)}, 0, entry(9, time.Minute), true},
		{"long beside what has run long", []Entry{entry(1, time.Minute), entry(2, time.Minute), entry(3, time.Minute)}, time.Second, long(9), false},
		{"no slot", []Entry{entry(1, time.Minute), entry(2, time.Minute), entry(3, time.Minute), entry(4, time.Minute)}, 0, entry(9, time.Minute), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(busy(test.running...).CanStart(epoch.Add(test.after), test.next, 4), test.starts)
		})
	}
}

func full() *Admitter {
	return busy(entry(1, time.Minute), entry(2, time.Minute), entry(3, time.Minute), entry(4, time.Minute))
}

func offer(a *Admitter, now time.Time, entry Entry) Verdict {
	verdict, _ := a.Offer(now, entry)
	return verdict
}

func TestOffer(t *testing.T) {
	is := is.New(t)
	a := full()
	is.Equal(offer(a, epoch, entry(5, typical)), VerdictTooClose) // it would have to wait
	is.Equal(offer(a, epoch, entry(6, time.Minute)), VerdictQueued)
	is.Equal(offer(a, epoch, long(7)), VerdictQueued)
	is.Equal(offer(a, epoch, entry(8, time.Second)), VerdictQueued)
	is.Equal(offer(a, epoch, entry(9, time.Second)), VerdictFull)
	var order []gooseberrymast.WorkID
	for range 3 {
		a.Stop(epoch, gooseberrymast.WorkID(len(order)+1))
		next, ok := a.Next(epoch, 4)
		is.True(ok)
		order = append(order, next.ID)
	}
	is.Equal(order, []gooseberrymast.WorkID{8, 6, 7}) // nearest deadline first, long last
}

func TestOverloadedQueueStartsTheNewest(t *testing.T) {
	is := is.New(t)
	a := full()
	a.Queue = OverloadRounds*a.Slots + 1
	for id := gooseberrymast.WorkID(5); id < gooseberrymast.WorkID(5+a.Queue); id++ {
		is.Equal(offer(a, epoch, entry(id, time.Second)), VerdictQueued)
	}
	overloaded := epoch.Add(OverloadAfter)
	verdict, givenUp := a.Offer(overloaded, entry(20, time.Second))
	is.Equal(verdict, VerdictDisplaced)
	is.Equal(givenUp.ID, gooseberrymast.WorkID(5)) // the oldest
	a.Stop(overloaded, 1)
	next, _ := a.Next(overloaded, 4)
	is.Equal(next.ID, gooseberrymast.WorkID(20))
}

func TestDoomedLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	a := full()
	a.Offer(epoch, entry(5, 100*time.Millisecond))
	is.Equal(a.NextDoomed(), epoch.Add(80*time.Millisecond))
	_, ok := a.Doomed(epoch.Add(79 * time.Millisecond))
	is.True(!ok)
	doomed, ok := a.Doomed(epoch.Add(80 * time.Millisecond))
	is.True(ok)
	is.Equal(doomed.ID, gooseberrymast.WorkID(5))
}

func TestLongIsNotStarved(t *testing.T) {
	is := is.New(t)
	a := full()
	a.Offer(epoch, long(5))
	a.Offer(epoch, entry(6, time.Minute))
	a.Stop(epoch, 1)
	later := epoch.Add(3 * time.Second)
	a.running = nil // the others ended
	next, _ := a.Next(later, 4)
	is.Equal(next.ID, gooseberrymast.WorkID(5))
}
