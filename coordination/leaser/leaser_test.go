package leaser

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/translator"
	"gooseberrymast/standin/platform"
	"gooseberrymast/state/directory"
)

const cellName = "cairo-a/0"

// source is a cell's entries with a digest that the test sets.
type source uint64

func (s source) CellDigest(directory.CellID) uint64             { return uint64(s) }
func (s source) CellEntries(directory.CellID) []directory.Entry { return nil }

// rival is one leaser with its identity, over a shared store.
type rival struct {
	leaser   *Leaser
	identity gooseberrymast.Identity
	rank     int
}

func newRival(port uint16, rank int) *rival {
	return &rival{
		leaser: &Leaser{
			Environment: "trial",
			Cell:        directory.CellInfo{ID: directory.IDOf(cellName), Name: cellName, Zone: "cairo-a"},
			Encode:      translator.EncodeCell,
			Decode:      translator.DecodeCell,
			Random:      rand.New(rand.NewPCG(uint64(port), 1)),
		},
		identity: gooseberrymast.Identity{
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port),
			Incarnation: 1,
		},
		rank: rank,
	}
}

// step makes the call that is due, if any.
func (r *rival) step(now time.Time, store gooseberrymast.Store, digest uint64) *messenger.Call {
	call := r.leaser.Next(now, r.identity, r.rank, source(digest))
	if call != nil {
		r.leaser.Done(now, r.identity, execute(store, call))
	}
	return call
}

func execute(store gooseberrymast.Store, call *messenger.Call) messenger.Result {
	ctx := context.Background()
	var result messenger.Result
	if call.Method == messenger.MethodPut {
		result.Version, result.Err = store.Put(ctx, call.Object, call.Version)
	} else {
		result.Object, result.Err = store.Get(ctx, call.Object.Key)
	}
	return result
}

// clock runs rivals in steps of 100 ms.
type clock struct {
	now   time.Time
	store *platform.Platform
}

func newClock() *clock {
	return &clock{now: time.Unix(1_700_000_000, 0), store: &platform.Platform{Seed: 1}}
}

func (c *clock) run(length time.Duration, digest uint64, rivals ...*rival) {
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
		for _, r := range rivals {
			r.step(c.now, c.store, digest)
		}
	}
}

func (c *clock) holder(t *testing.T) gooseberrymast.Identity {
	object, err := c.store.Get(context.Background(), messenger.CellKey("trial", cellName))
	is.New(t).NoErr(err)
	cell, err := translator.DecodeCell(object.Value)
	is.New(t).NoErr(err)
	return cell.Holder
}

func TestOneOfTwoHolds(t *testing.T) {
	is := is.New(t)
	c := newClock()
	first, second := newRival(1, 0), newRival(2, 1)
	for range 600 {
		c.run(100*time.Millisecond, 1, second, first)
		is.True(!first.leaser.Holding(c.now) || !second.leaser.Holding(c.now)) // never both
	}
	is.True(first.leaser.Holding(c.now))
	is.Equal(c.holder(t), first.identity)
}

func TestPausedHolderCannotWrite(t *testing.T) {
	is := is.New(t)
	c := newClock()
	first, second := newRival(1, 0), newRival(2, 1)
	c.run(10*time.Second, 1, first, second)
	is.True(first.leaser.Holding(c.now))
	// A write of the holder is on its way while the holder is paused.
	late := first.leaser.Next(c.now.Add(7*time.Second), first.identity, 0, source(2))
	is.True(late != nil)
	cell := &messenger.Call{Method: messenger.MethodPut, Version: first.leaser.cell.version,
		Object: gooseberrymast.Object{Key: messenger.CellKey("trial", cellName), WriteID: "late", Value: translator.EncodeCell(messenger.Cell{Holder: first.identity})}}
	c.run(time.Minute, 3, second)
	is.True(second.leaser.Holding(c.now))
	is.True(!first.leaser.Holding(c.now))      // by its own clock, before any answer
	is.True(execute(c.store, cell).Err != nil) // the late write of the cell fails by its version
	is.Equal(c.holder(t), second.identity)
	first.leaser.Done(c.now, first.identity, execute(c.store, late))
	is.True(!first.leaser.Holding(c.now)) // the paused holder knows that its lease lapsed
	c.run(time.Minute, 4, first, second)
	is.True(!first.leaser.Holding(c.now))
	is.True(second.leaser.Holding(c.now))
}

func TestLostAnswersAreReadBackBeforeARetry(t *testing.T) {
	is := is.New(t)
	c := newClock()
	r := newRival(1, 0)
	c.store.SetFaults(platform.Faults{LostAnswers: 1})
	var previous *messenger.Call
	puts := 0
	for range 200 {
		call := r.step(c.now, c.store, 1)
		if call != nil {
			if call.Method == messenger.MethodPut {
				puts++
				is.True(previous == nil || previous.Method == messenger.MethodGet) // no write follows a lost one unread
			}
			previous = call
		}
		c.now = c.now.Add(100 * time.Millisecond)
	}
	is.True(puts > 1)
	c.store.SetFaults(platform.Faults{})
	c.run(10*time.Second, 1, r)
	is.True(r.leaser.Holding(c.now))
	is.Equal(c.holder(t), r.identity)
}

func TestStaleReadsNeverGoBack(t *testing.T) {
	is := is.New(t)
	c := newClock()
	first, second := newRival(1, 0), newRival(2, 1)
	c.run(10*time.Second, 1, first, second)
	c.run(time.Minute, 2, second) // the first is paused and loses the cell
	is.True(second.leaser.Holding(c.now))
	c.store.SetFaults(platform.Faults{StaleReads: 1})
	for range 1200 {
		c.run(100*time.Millisecond, 3, first, second)
		is.True(!first.leaser.Holding(c.now))
	}
	is.True(second.leaser.Holding(c.now))
}

func TestReadsNeverGoBack(t *testing.T) {
	is := is.New(t)
	var v versioned
	is.True(v.accept(3))
	is.True(!v.accept(2))
	is.True(v.accept(3))
	v.failed(3, gooseberrymast.ErrStoreUnknown)
	is.True(v.accept(3)) // the write may not have taken effect
	v.failed(3, gooseberrymast.ErrStoreConflict)
	is.True(!v.accept(3)) // a conflict proves a later version
	is.True(v.accept(4))
}

func TestReleaseHandsOver(t *testing.T) {
	is := is.New(t)
	c := newClock()
	first, second := newRival(1, 0), newRival(2, 1)
	c.run(12*time.Second, 1, first, second)
	var release *messenger.Call
	for release == nil { // A call may be due at the very moment.
		release = first.leaser.Release(c.now)
		c.now = c.now.Add(100 * time.Millisecond)
	}
	first.leaser.Done(c.now, first.identity, execute(c.store, release))
	is.True(!first.leaser.Holding(c.now))
	c.run(25*time.Second, 1, second)
	is.True(second.leaser.Holding(c.now))
}

func TestCellIsWrittenWhenItChanged(t *testing.T) {
	is := is.New(t)
	c := newClock()
	r := newRival(1, 0)
	c.run(time.Minute, 1, r)
	version := r.leaser.cell.version
	c.run(time.Minute, 1, r)
	is.Equal(r.leaser.cell.version, version) // nothing changed
	c.run(time.Minute, 2, r)
	is.Equal(r.leaser.cell.version, version+1)
}
