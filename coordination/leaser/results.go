package leaser

import (
	"errors"
	"fmt"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
)

// retryDelay is the delay, with jitter, of the next call after a failed call or
// a renewal.
const retryDelay = time.Second

// Done handles the result of the pending call.
func (l *Leaser) Done(now time.Time, self gooseberrymast.Identity, result messenger.Result) {
	done := l.pending
	l.pending = pendingCall{}
	switch done.kind {
	case kindReadLease:
		l.handleLeaseRead(now, result)
	case kindReadCell:
		l.handleCellRead(now, self, result)
	case kindTake, kindWrite:
		l.handleCellWritten(now, done, result)
	case kindRenew:
		l.handleLeaseWritten(now, self, done, result)
	case kindRelease:
		l.observe(now)
	}
}

func (l *Leaser) handleLeaseRead(now time.Time, result messenger.Result) {
	cell, version, err := l.decode(result)
	if err != nil || !l.leaseVersion.accept(version) {
		l.nextCall = now.Add(l.jitter(retryDelay))
		return
	}
	if !l.leaseRead || version != l.leaseVersion.known {
		l.leaseChanged = now
	}
	l.leaseRead = true
	l.leaseUncertain = false
	l.leaseVersion.known = version
	l.holder = cell.Holder
	l.nextCall = now
	if l.phase == PhaseObserving && !l.holder.IsZero() {
		l.nextCall = now.Add(l.jitter(l.pollInterval()))
	}
}

func (l *Leaser) handleCellRead(now time.Time, self gooseberrymast.Identity, result messenger.Result) {
	cell, version, err := l.decode(result)
	if err != nil || !l.cellVersion.accept(version) {
		l.nextCall = now.Add(l.jitter(retryDelay))
		return
	}
	changed := version != l.cellVersion.known
	l.cellVersion.known = version
	if l.contested && changed && cell.Holder != self {
		l.observe(now)
		return
	}
	l.phase = PhaseTaking
}

func (l *Leaser) handleCellWritten(now time.Time, done pendingCall, result messenger.Result) {
	if result.Err != nil {
		l.cellVersion.noteFailedWrite(done.expected, result.Err)
		l.handleFailedWrite(now, result.Err)
		return
	}
	l.cellVersion = objectVersion{known: result.Version, floor: result.Version}
	l.digest = done.digest
	l.cellWrittenAt = done.started
	l.lastRenewed = done.started
	l.phase = PhaseHolding
}

func (l *Leaser) handleLeaseWritten(now time.Time, self gooseberrymast.Identity, done pendingCall, result messenger.Result) {
	if result.Err != nil {
		l.leaseVersion.noteFailedWrite(done.expected, result.Err)
		l.leaseUncertain = true
		l.handleFailedWrite(now, result.Err)
		return
	}
	l.leaseVersion = objectVersion{known: result.Version, floor: result.Version}
	l.holder = self
	l.lastRenewed = done.started
	l.nextCall = now.Add(l.jitter(retryDelay))
}

// handleFailedWrite schedules the next step after a failed write. If the
// write's outcome is unknown or another writer came first, the cell is read
// before any further write.
func (l *Leaser) handleFailedWrite(now time.Time, err error) {
	l.nextCall = now.Add(l.jitter(retryDelay))
	if errors.Is(err, gooseberrymast.ErrStoreUnavailable) {
		return
	}
	l.contested = true
	l.phase = PhaseReading
}

// observe returns to observing the lease.
func (l *Leaser) observe(now time.Time) {
	l.phase = PhaseObserving
	l.leaseRead = false
	l.nextCall = now.Add(l.jitter(l.pollInterval()))
}

// decode returns the value and version of an object that was read. An absent
// object has version zero and no holder.
func (l *Leaser) decode(result messenger.Result) (messenger.Cell, uint64, error) {
	if errors.Is(result.Err, gooseberrymast.ErrStoreNotFound) {
		return messenger.Cell{}, 0, nil
	}
	if result.Err != nil {
		return messenger.Cell{}, 0, fmt.Errorf("reading object: %w", result.Err)
	}
	cell, err := l.Decode(result.Object.Value)
	if err != nil {
		return messenger.Cell{}, 0, fmt.Errorf("decoding object %s: %w", result.Object.Key, err)
	}
	return cell, result.Object.Version, nil
}

// accept records the version of a read and reports whether it is at least the
// floor.
func (v *objectVersion) accept(version uint64) bool {
	if version < v.floor {
		return false
	}
	v.floor = version
	return true
}

// noteFailedWrite records a failed write. A conflict proves that the object's
// version is above the expected one.
func (v *objectVersion) noteFailedWrite(expected uint64, err error) {
	if errors.Is(err, gooseberrymast.ErrStoreConflict) {
		v.floor = max(v.floor, expected+1)
	}
}

// jitter returns a random delay within 20% of the given one.
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

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
