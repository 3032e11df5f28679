package leaser

import (
	"errors"
	"fmt"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
)

// retryDelay is the time between a failed call and the next one.
const retryDelay = time.Second

// Done takes the result of the pending call.
func (l *Leaser) Done(now time.Time, self gooseberrymast.Identity, result messenger.Result) {
	done := l.pending
	l.pending = pending{}
	switch done.kind {
	case kindReadLease:
		l.leaseRead(now, result)
	case kindReadCell:
		l.cellRead(now, self, result)
	case kindTake, kindWrite:
		l.cellWritten(now, done, result)
	case kindRenew:
		l.leaseWritten(now, self, done, result)
	case kindRelease:
		l.forget(now)
	}
}

func (l *Leaser) leaseRead(now time.Time, result messenger.Result) {
	cell, version, err := l.decode(result)
	if err != nil || !l.lease.accept(version) {
		l.next = now.Add(l.jitter(retryDelay))
		return
	}
	if !l.seen || version != l.lease.version {
		l.changed = now
	}
	l.seen = true
	l.stale = false
	l.lease.version = version
	l.holder = cell.Holder
	l.next = now
	if l.phase == PhaseObserving && !l.holder.IsZero() {
		l.next = now.Add(l.jitter(l.pollInterval()))
	}
}

func (l *Leaser) cellRead(now time.Time, self gooseberrymast.Identity, result messenger.Result) {
	cell, version, err := l.decode(result)
	if err != nil || !l.cell.accept(version) {
		l.next = now.Add(l.jitter(retryDelay))
		return
	}
	grown := version != l.cell.version
	l.cell.version = version
	if l.contested && grown && cell.Holder != self {
		l.forget(now)
		return
	}
	l.phase = PhaseTaking
}

func (l *Leaser) cellWritten(now time.Time, done pending, result messenger.Result) {
	if result.Err != nil {
		l.cell.failed(done.expected, result.Err)
		l.failed(now, result.Err)
		return
	}
	l.cell = versioned{version: result.Version, floor: result.Version}
	l.digest = done.digest
	l.written = done.started
	l.renewed = done.started
	l.phase = PhaseHolding
}

func (l *Leaser) leaseWritten(now time.Time, self gooseberrymast.Identity, done pending, result messenger.Result) {
	if result.Err != nil {
		l.lease.failed(done.expected, result.Err)
		l.stale = true
		l.failed(now, result.Err)
		return
	}
	l.lease = versioned{version: result.Version, floor: result.Version}
	l.holder = self
	l.renewed = done.started
	l.next = now.Add(l.jitter(retryDelay))
}

// failed decides what follows a write that failed. When its outcome is unknown
// or another writer came first, the cell is read before anything is written.
func (l *Leaser) failed(now time.Time, err error) {
	l.next = now.Add(l.jitter(retryDelay))
	if errors.Is(err, gooseberrymast.ErrStoreUnavailable) {
		return
	}
	l.contested = true
	l.phase = PhaseReading
}

// forget returns to observing.
func (l *Leaser) forget(now time.Time) {
	l.phase = PhaseObserving
	l.seen = false
	l.next = now.Add(l.jitter(l.pollInterval()))
}

// decode gives the value of an object that was read; an absent one has version
// zero and no holder.
func (l *Leaser) decode(result messenger.Result) (messenger.Cell, uint64, error) {
	if errors.Is(result.Err, gooseberrymast.ErrStoreNotFound) {
		return messenger.Cell{}, 0, nil
	}
	if result.Err != nil {
		return messenger.Cell{}, 0, fmt.Errorf("Leaser.decode: %w", result.Err)
	}
	cell, err := l.Decode(result.Object.Value)
	if err != nil {
		return messenger.Cell{}, 0, fmt.Errorf("Leaser.decode %s: %w", result.Object.Key, err)
	}
	return cell, result.Object.Version, nil
}

// accept takes the version of a read unless it is older than what is known.
func (v *versioned) accept(version uint64) bool {
	if version < v.floor {
		return false
	}
	v.floor = version
	return true
}

// failed notes a write that failed. A conflict proves that the object's version
// is above the expected one.
func (v *versioned) failed(expected uint64, err error) {
	if errors.Is(err, gooseberrymast.ErrStoreConflict) {
		v.floor = max(v.floor, expected+1)
	}
}

// jitter spreads a delay by a fifth in both directions.
func (l *Leaser) jitter(delay time.Duration) time.Duration {
	return delay*4/5 + time.Duration(l.Random.Int64N(int64(delay)*2/5+1))
}

func (l *Leaser) duration() time.Duration {
	return orDefault(l.Duration, DefaultDuration)
}

func (l *Leaser) renewInterval() time.Duration {
	return orDefault(l.RenewInterval, DefaultRenewInterval)
}

func (l *Leaser) pollInterval() time.Duration {
	return orDefault(l.PollInterval, DefaultPollInterval)
}

func (l *Leaser) writeInterval() time.Duration {
	return orDefault(l.WriteInterval, DefaultWriteInterval)
}

func orDefault(value, standard time.Duration) time.Duration {
	if value == 0 {
		return standard
	}
	return value
}
