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

// source is a cell without entries whose digest is set by the test.
type source uint64

func (s source) CellDigest(directory.CellID) uint64             { return uint64(s) }
func (s source) CellEntries(directory.CellID) []directory.Entry { return nil }

// candidate is a leaser with the identity and rank of its balancer. Several
// candidates share a store.
type candidate struct {
	leaser   *Leaser
	identity gooseberrymast.Identity
	rank     int
}

func newCandidate(port uint16, rank int) *candidate {
	return &candidate{
		leaser: &Leaser{
			Environment: "trial",
			Cell:        directory.CellInfo{ID: directory.CellIDOf(cellName), Name: cellName, Zone: "cairo-a"},
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
func (c *candidate) step(now time.Time, store gooseberrymast.Store, digest uint64) *messenger.Call {
	call := c.leaser.Next(now, c.identity, c.rank, source(digest))
	if call != nil {
		c.leaser.Done(now, c.identity, execute(store, call))
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

// simulation runs candidates in virtual time, in steps of 100 ms.
type simulation struct {
	now   time.Time
	store *platform.Platform
}

func newSimulation() *simulation {
	return &simulation{now: time.Unix(1_700_000_000, 0), store: &platform.Platform{Seed: 1}}
}

func (sim *simulation) run(length time.Duration, digest uint64, candidates ...*candidate) {
	for end := sim.now.Add(length); sim.now.Before(end); sim.now = sim.now.Add(100 * time.Millisecond) {
		for _, c := range candidates {
			c.step(sim.now, sim.store, digest)
		}
	}
}

func (sim *simulation) holder(t *testing.T) gooseberrymast.Identity {
	object, err := sim.store.Get(context.Background(), messenger.CellKey("trial", cellName))
	is.New(t).NoErr(err)
	cell, err := translator.DecodeCell(object.Value)
	is.New(t).NoErr(err)
	return cell.Holder
}

func TestOnlyOneCandidateHoldsTheCell(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	first, second := newCandidate(1, 0), newCandidate(2, 1)
	for range 600 {
		sim.run(100*time.Millisecond, 1, second, first)
		is.True(!first.leaser.Holding(sim.now) || !second.leaser.Holding(sim.now)) // never both
	}
	is.True(first.leaser.Holding(sim.now))
	is.Equal(sim.holder(t), first.identity)
}

func TestPausedHolderCannotWrite(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	first, second := newCandidate(1, 0), newCandidate(2, 1)
	sim.run(10*time.Second, 1, first, second)
	is.True(first.leaser.Holding(sim.now))
	// A write of the holder is in flight while the holder is paused.
	late := first.leaser.Next(sim.now.Add(7*time.Second), first.identity, 0, source(2))
	is.True(late != nil)
	cell := &messenger.Call{Method: messenger.MethodPut, Version: first.leaser.cellVersion.known,
		Object: gooseberrymast.Object{Key: messenger.CellKey("trial", cellName), WriteID: "late", Value: translator.EncodeCell(messenger.Cell{Holder: first.identity})}}
	sim.run(time.Minute, 3, second)
	is.True(second.leaser.Holding(sim.now))
	is.True(!first.leaser.Holding(sim.now))      // by its own clock, before any result
	is.True(execute(sim.store, cell).Err != nil) // the late write of the cell fails by its version
	is.Equal(sim.holder(t), second.identity)
	first.leaser.Done(sim.now, first.identity, execute(sim.store, late))
	is.True(!first.leaser.Holding(sim.now)) // the late renewal must not restore the lease
	sim.run(time.Minute, 4, first, second)
	is.True(!first.leaser.Holding(sim.now))
	is.True(second.leaser.Holding(sim.now))
}

func TestUnknownWriteIsReadBackBeforeRetry(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	c := newCandidate(1, 0)
	sim.store.SetFaults(platform.Faults{LostAnswers: 1})
	var previous *messenger.Call
	puts := 0
	for range 200 {
		call := c.step(sim.now, sim.store, 1)
		if call != nil {
			if call.Method == messenger.MethodPut {
				puts++
				is.True(previous == nil || previous.Method == messenger.MethodGet) // a read precedes the next write
			}
			previous = call
		}
		sim.now = sim.now.Add(100 * time.Millisecond)
	}
	is.True(puts > 1)
	sim.store.SetFaults(platform.Faults{})
	sim.run(10*time.Second, 1, c)
	is.True(c.leaser.Holding(sim.now))
	is.Equal(sim.holder(t), c.identity)
}

func TestStaleReadsDontReturnTheCellToItsFormerHolder(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	first, second := newCandidate(1, 0), newCandidate(2, 1)
	sim.run(10*time.Second, 1, first, second)
	sim.run(time.Minute, 2, second) // the first candidate is paused and loses the cell
	is.True(second.leaser.Holding(sim.now))
	sim.store.SetFaults(platform.Faults{StaleReads: 1})
	for range 1200 {
		sim.run(100*time.Millisecond, 3, first, second)
		is.True(!first.leaser.Holding(sim.now))
	}
	is.True(second.leaser.Holding(sim.now))
}

func TestReadsOfOlderVersionsAreRejected(t *testing.T) {
	is := is.New(t)
	var v objectVersion
	is.True(v.accept(3))
	is.True(!v.accept(2))
	is.True(v.accept(3))
	v.noteFailedWrite(3, gooseberrymast.ErrStoreUnknown)
	is.True(v.accept(3)) // the write may not have taken effect
	v.noteFailedWrite(3, gooseberrymast.ErrStoreConflict)
	is.True(!v.accept(3)) // a conflict proves a later version
	is.True(v.accept(4))
}

func TestReleasedCellIsTakenOver(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	first, second := newCandidate(1, 0), newCandidate(2, 1)
	sim.run(12*time.Second, 1, first, second)
	var release *messenger.Call
	for release == nil { // Release returns nil while a call is pending.
		release = first.leaser.Release(sim.now)
		sim.now = sim.now.Add(100 * time.Millisecond)
	}
	first.leaser.Done(sim.now, first.identity, execute(sim.store, release))
	is.True(!first.leaser.Holding(sim.now))
	sim.run(25*time.Second, 1, second)
	is.True(second.leaser.Holding(sim.now))
}

func TestCellIsWrittenOnlyWhenChanged(t *testing.T) {
	is := is.New(t)
	sim := newSimulation()
	c := newCandidate(1, 0)
	sim.run(time.Minute, 1, c)
	version := c.leaser.cellVersion.known
	sim.run(time.Minute, 1, c)
	is.Equal(c.leaser.cellVersion.known, version) // unchanged entries are not written
	sim.run(time.Minute, 2, c)
	is.Equal(c.leaser.cellVersion.known, version+1)
}
