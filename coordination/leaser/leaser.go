// Package leaser decides which balancer writes the object of a cell in the
// platform's store.
//
// The cell's object names its holder, and every write of it is conditional on
// the version that the holder knows: taking a cell over changes the version,
// so that a late write of the former holder fails. A second, small object, the
// lease, is renewed by the holder. A candidate that saw no renewal for the
// lease's duration, by its own clock, takes the cell over.
package leaser

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/asserter"
	"gooseberrymast/state/directory"
)

// The default times of a lease.
const (
	DefaultDuration      = 15 * time.Second
	DefaultRenewInterval = 5 * time.Second
	DefaultPollInterval  = 10 * time.Second
	DefaultWriteInterval = 15 * time.Second
)

// Phase is what a leaser is about.
type Phase uint8

// The phases of a leaser.
const (
	// PhaseObserving reads the lease and waits for it to expire.
	PhaseObserving Phase = iota
	// PhaseReading reads the cell's object before taking it over, or to see
	// what became of a write.
	PhaseReading
	// PhaseTaking writes the cell's object to take it over.
	PhaseTaking
	// PhaseHolding renews the lease and writes the cell when it changed.
	PhaseHolding
)

// Leaser is the part of one balancer in one cell. Its exported fields are set
// before the first call.
type Leaser struct {
	Environment string
	Cell        directory.CellInfo
	// Encode writes the value of an object, and Decode reads it.
	Encode func(cell messenger.Cell) []byte
	Decode func(value []byte) (messenger.Cell, error)
	// Random spreads the renewals.
	Random *rand.Rand
	// Duration is the time without renewal after which a lease expires.
	Duration time.Duration
	// RenewInterval is the time between two renewals, well below Duration.
	RenewInterval time.Duration
	// PollInterval is the time between two looks at another's lease.
	PollInterval time.Duration
	// WriteInterval is the least time between two writes of the cell.
	WriteInterval time.Duration

	phase   Phase
	pending pending
	// next is the time before which no call is made.
	next time.Time
	// cell is the cell's object as this process knows it, lease the lease's.
	cell  versioned
	lease versioned
	// changed is when the lease was first read with its present version.
	changed time.Time
	// seen is set once the lease was read in this observation.
	seen bool
	// stale is set while the lease's version isn't known for sure.
	stale bool
	// contested is set once a write of this observation failed, so that
	// another holder in the cell's object is a rival who came first.
	contested bool
	// holder is the holder that the lease names.
	holder gooseberrymast.Identity
	// renewed is when the last successful write began.
	renewed time.Time
	renewal uint64
	written time.Time
	// digest is that of the entries in the cell's object.
	digest uint64
	writes uint64
}

// versioned is what is known of the version of one object.
type versioned struct {
	version uint64
	// floor is the lowest version that a read must give to be believed.
	floor uint64
}

// pending is the call that waits for its result.
type pending struct {
	kind    kind
	started time.Time
	digest  uint64
	// expected is the version that the write is conditional on.
	expected uint64
}

type kind uint8

const (
	kindNone kind = iota
	kindReadLease
	kindReadCell
	kindTake
	kindRenew
	kindWrite
	kindRelease
)

// Source gives the entries of the cell that are to be written.
type Source interface {
	// CellDigest changes when the entries do.
	CellDigest(id directory.CellID) uint64
	// CellEntries lists them.
	CellEntries(id directory.CellID) []directory.Entry
}

// Holding reports whether this process holds the cell, by its own clock.
func (l *Leaser) Holding(now time.Time) bool {
	return l.phase == PhaseHolding && now.Before(l.renewed.Add(l.duration()))
}

// Holder gives the holder that was last read, and the lease's version.
func (l *Leaser) Holder() (gooseberrymast.Identity, uint64) {
	return l.holder, l.lease.version
}

// Idle reports whether the leaser neither holds the cell nor waits for a
// result, so that it can be dropped.
func (l *Leaser) Idle() bool {
	return l.phase == PhaseObserving && l.pending.kind == kindNone
}

// Next gives the call that is due, or nil. Rank is the balancer's place among
// the candidates for the cell.
func (l *Leaser) Next(now time.Time, self gooseberrymast.Identity, rank int, source Source) *messenger.Call {
	if l.pending.kind != kindNone || now.Before(l.next) {
		return nil
	}
	if l.phase == PhaseHolding && !l.Holding(now) {
		l.phase = PhaseTaking // The lease lapsed: only a conditional write can prove that nobody took the cell.
	}
	if l.phase == PhaseObserving && l.expired(now, self, rank) {
		l.phase = PhaseReading
		l.contested = false
	}
	switch l.phase {
	case PhaseReading:
		return l.read(now, kindReadCell, messenger.CellKey(l.Environment, l.Cell.Name))
	case PhaseTaking:
		return l.writeCell(now, kindTake, self, source)
	case PhaseHolding:
		return l.hold(now, self, source)
	}
	return l.read(now, kindReadLease, messenger.LeaseKey(l.Environment, l.Cell.Name))
}

// Release gives the write that hands the cell to another balancer, or nil when
// this process doesn't hold it.
func (l *Leaser) Release(now time.Time) *messenger.Call {
	if !l.Holding(now) || l.pending.kind != kindNone {
		return nil
	}
	l.phase = PhaseObserving
	return l.writeLease(now, kindRelease, gooseberrymast.Identity{})
}

// expired decides whether the lease may be taken over.
func (l *Leaser) expired(now time.Time, self gooseberrymast.Identity, rank int) bool {
	if !l.seen {
		return false
	}
	wait := time.Duration(rank) * l.pollInterval()
	former := l.holder.Address == self.Address && l.holder.Incarnation < self.Incarnation
	if !l.holder.IsZero() && !former {
		wait += l.duration()
	}
	return !now.Before(l.changed.Add(wait))
}

// hold gives the renewal or the write that is due.
func (l *Leaser) hold(now time.Time, self gooseberrymast.Identity, source Source) *messenger.Call {
	if l.stale {
		return l.read(now, kindReadLease, messenger.LeaseKey(l.Environment, l.Cell.Name))
	}
	if !now.Before(l.renewed.Add(l.renewInterval())) || l.holder != self {
		return l.writeLease(now, kindRenew, self)
	}
	if source.CellDigest(l.Cell.ID) != l.digest && !now.Before(l.written.Add(l.writeInterval())) {
		return l.writeCell(now, kindWrite, self, source)
	}
	return nil
}

func (l *Leaser) read(now time.Time, kind kind, key string) *messenger.Call {
	l.pending = pending{kind: kind, started: now}
	return &messenger.Call{Method: messenger.MethodGet, Object: gooseberrymast.Object{Key: key}}
}

func (l *Leaser) writeLease(now time.Time, kind kind, holder gooseberrymast.Identity) *messenger.Call {
	l.renewal++
	value := l.Encode(messenger.Cell{Holder: holder, Renewal: l.renewal})
	l.pending = pending{kind: kind, started: now, expected: l.lease.version}
	return l.put(messenger.LeaseKey(l.Environment, l.Cell.Name), value, l.lease.version, holder)
}

func (l *Leaser) writeCell(now time.Time, kind kind, self gooseberrymast.Identity, source Source) *messenger.Call {
	asserter.Holds(kind == kindTake || l.Holding(now), "only-the-holder-writes-a-cell",
		"%s writes cell %s, which it doesn't hold", self, l.Cell.Name)
	l.pending = pending{kind: kind, started: now, expected: l.cell.version, digest: source.CellDigest(l.Cell.ID)}
	value := l.Encode(messenger.Cell{Holder: self, Entries: source.CellEntries(l.Cell.ID)})
	return l.put(messenger.CellKey(l.Environment, l.Cell.Name), value, l.cell.version, self)
}

func (l *Leaser) put(key string, value []byte, expected uint64, writer gooseberrymast.Identity) *messenger.Call {
	l.writes++
	id := fmt.Sprintf("%s/%s/%d", writer, l.Cell.Name, l.writes)
	return &messenger.Call{
		Method:  messenger.MethodPut,
		Object:  gooseberrymast.Object{Key: key, WriteID: id, Value: value},
		Version: expected,
	}
}
