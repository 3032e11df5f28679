// Package leaser decides which balancer writes the object of a cell in the
// platform's store.
//
// The cell's object names its holder, and every write is conditional on the
// version that the holder last saw. A takeover changes the version, so that a
// delayed write of the previous holder fails. The lease is a second, small
// object that the holder renews. A candidate that sees no renewal for the
// duration of the lease, by its own clock, takes over the cell.
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

// The default intervals of a lease.
const (
	DefaultDuration      = 15 * time.Second
	DefaultRenewInterval = 5 * time.Second
	DefaultPollInterval  = 10 * time.Second
	DefaultWriteInterval = 15 * time.Second
)

// Phase is the state of a leaser.
type Phase uint8

// The phases of a leaser.
const (
	// PhaseObserving reads the lease and waits for it to expire.
	PhaseObserving Phase = iota
	// PhaseReading reads the cell's object before a takeover, or to learn the
	// outcome of a write.
	PhaseReading
	// PhaseTaking writes the cell's object to take over the cell.
	PhaseTaking
	// PhaseHolding renews the lease and writes the cell's object when its
	// entries changed.
	PhaseHolding
)

// Leaser is the state machine of one balancer for one cell. Its exported fields
// must be set before the first call.
type Leaser struct {
	Environment string
	Cell        directory.CellInfo
	// Encode and Decode convert the values of the objects of cells and leases.
	Encode func(cell messenger.Cell) []byte
	Decode func(value []byte) (messenger.Cell, error)
	// Random adds jitter to the times of calls.
	Random *rand.Rand
	// Duration is the time without renewal after which a lease expires.
	Duration time.Duration
	// RenewInterval is the time between two renewals; it must be well below
	// Duration.
	RenewInterval time.Duration
	// PollInterval is the time between two reads of another holder's lease.
	PollInterval time.Duration
	// WriteInterval is the minimum time between two writes of the cell's
	// object.
	WriteInterval time.Duration

	phase   Phase
	pending pendingCall
	// nextCall is the time before which no call is made.
	nextCall time.Time
	// cellVersion and leaseVersion are the known versions of the two objects.
	cellVersion  objectVersion
	leaseVersion objectVersion
	// leaseChanged is when the current version of the lease was first read.
	leaseChanged time.Time
	// leaseRead is set once the lease was read since observing began.
	leaseRead bool
	// leaseUncertain is set while a write of the lease has failed and its
	// version may be unknown.
	leaseUncertain bool
	// contested is set once a write has failed since the last takeover began. If
	// the cell's object then names another holder, that one came first.
	contested bool
	// holder is the holder named in the lease.
	holder gooseberrymast.Identity
	// lastRenewed is when the last successful write began.
	lastRenewed time.Time
	// renewals counts the writes of the lease.
	renewals      uint64
	cellWrittenAt time.Time
	// digest is the digest of the entries last written to the cell's object.
	digest uint64
	writes uint64
}

// objectVersion is what is known of the version of an object.
type objectVersion struct {
	known uint64
	// floor is the lowest version that a read may return; a lower one is stale.
	floor uint64
}

// pendingCall is the call whose result is awaited.
type pendingCall struct {
	kind    callKind
	started time.Time
	digest  uint64
	// expected is the version that the write is conditional on.
	expected uint64
}

type callKind uint8

const (
	kindNone callKind = iota
	kindReadLease
	kindReadCell
	kindTake
	kindRenew
	kindWrite
	kindRelease
)

// Source provides the entries to write to the cell's object.
type Source interface {
	// CellDigest returns a digest that changes when the entries change.
	CellDigest(id directory.CellID) uint64
	// CellEntries returns the entries.
	CellEntries(id directory.CellID) []directory.Entry
}

// Holding reports whether this process holds the cell, by its own clock.
func (l *Leaser) Holding(now time.Time) bool {
	return l.phase == PhaseHolding && now.Before(l.lastRenewed.Add(l.duration()))
}

// Holder returns the last known holder and the version of the lease.
func (l *Leaser) Holder() (gooseberrymast.Identity, uint64) {
	return l.holder, l.leaseVersion.known
}

// Idle reports whether the leaser neither holds the cell nor awaits a result,
// so that it can be removed.
func (l *Leaser) Idle() bool {
	return l.phase == PhaseObserving && l.pending.kind == kindNone
}

// Next returns the call that is due, or nil. Rank is the balancer's rank among
// the candidates for the cell.
func (l *Leaser) Next(now time.Time, self gooseberrymast.Identity, rank int, source Source) *messenger.Call {
	if l.pending.kind != kindNone || now.Before(l.nextCall) {
		return nil
	}
	if l.phase == PhaseHolding && !l.Holding(now) {
		l.phase = PhaseTaking // The lease expired: only a conditional write proves that the cell was not taken over.
	}
	if l.phase == PhaseObserving && l.mayTakeOver(now, self, rank) {
		l.phase = PhaseReading
		l.contested = false
	}
	switch l.phase {
	case PhaseReading:
		return l.read(now, kindReadCell, messenger.CellKey(l.Environment, l.Cell.Name))
	case PhaseTaking:
		return l.writeCell(now, kindTake, self, source)
	case PhaseHolding:
		return l.nextHolderCall(now, self, source)
	}
	return l.read(now, kindReadLease, messenger.LeaseKey(l.Environment, l.Cell.Name))
}

// Release returns the write that releases the lease for another balancer to
// take, or nil if this process doesn't hold the cell or awaits the result of a
// call.
func (l *Leaser) Release(now time.Time) *messenger.Call {
	if !l.Holding(now) || l.pending.kind != kindNone {
		return nil
	}
	l.phase = PhaseObserving
	return l.writeLease(now, kindRelease, gooseberrymast.Identity{})
}

// mayTakeOver reports whether the lease is free or has expired, with a delay
// that increases with the rank. A lease of an earlier incarnation of this
// process counts as free.
func (l *Leaser) mayTakeOver(now time.Time, self gooseberrymast.Identity, rank int) bool {
	if !l.leaseRead {
		return false
	}
	wait := time.Duration(rank) * l.pollInterval()
	ownEarlier := l.holder.Address == self.Address && l.holder.Incarnation < self.Incarnation
	if !l.holder.IsZero() && !ownEarlier {
		wait += l.duration()
	}
	return !now.Before(l.leaseChanged.Add(wait))
}

// nextHolderCall returns the holder's read, renewal or write that is due, or
// nil.
func (l *Leaser) nextHolderCall(now time.Time, self gooseberrymast.Identity, source Source) *messenger.Call {
	if l.leaseUncertain {
		return l.read(now, kindReadLease, messenger.LeaseKey(l.Environment, l.Cell.Name))
	}
	if !now.Before(l.lastRenewed.Add(l.renewInterval())) || l.holder != self {
		return l.writeLease(now, kindRenew, self)
	}
	if source.CellDigest(l.Cell.ID) != l.digest && !now.Before(l.cellWrittenAt.Add(l.writeInterval())) {
		return l.writeCell(now, kindWrite, self, source)
	}
	return nil
}

func (l *Leaser) read(now time.Time, kind callKind, key string) *messenger.Call {
	l.pending = pendingCall{kind: kind, started: now}
	return &messenger.Call{Method: messenger.MethodGet, Object: gooseberrymast.Object{Key: key}}
}

func (l *Leaser) writeLease(now time.Time, kind callKind, holder gooseberrymast.Identity) *messenger.Call {
	l.renewals++
	value := l.Encode(messenger.Cell{Holder: holder, Renewal: l.renewals})
	l.pending = pendingCall{kind: kind, started: now, expected: l.leaseVersion.known}
	return l.put(messenger.LeaseKey(l.Environment, l.Cell.Name), value, l.leaseVersion.known, holder)
}

func (l *Leaser) writeCell(now time.Time, kind callKind, self gooseberrymast.Identity, source Source) *messenger.Call {
	asserter.Holds(kind == kindTake || l.Holding(now), "only-the-holder-writes-a-cell",
		"%s writes cell %s, which it doesn't hold", self, l.Cell.Name)
	l.pending = pendingCall{kind: kind, started: now, expected: l.cellVersion.known, digest: source.CellDigest(l.Cell.ID)}
	value := l.Encode(messenger.Cell{Holder: self, Entries: source.CellEntries(l.Cell.ID)})
	return l.put(messenger.CellKey(l.Environment, l.Cell.Name), value, l.cellVersion.known, self)
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
