// Package verifier decides when a process verifies its entry in the store, and when
// the entries of all processes are proof of which instances exist.
//
// Load pattern: a store that is restored from a copy some seconds old, and says so by
// a higher era. Entries written since the copy are gone, and those removed since are
// back. Every instance verifies its entry once it learns of the new era, spread over
// time so that thousands of them keep within the store's rates. Until all had the time
// for it, the entries prove nothing, least of all to a process that has just started
// and can't know for how long the era has lasted. A process that does know says so to
// the others; an era that has settled stays so.
package verifier

import "time"

const (
	// VerificationsPerSecond is the rate at which all instances together verify their
	// entries: half of the writes per second that the store accepts, since each
	// verification may end in a write.
	VerificationsPerSecond = 200
	// DetectionTime is the time in which every instance learns of a new era and has
	// tried to verify its entry twice: an instance reads the document 2.15 s after the
	// last confirmation if its peers don't, a failed read is repeated within 1 s, and a
	// failed verification within RetryAfter.
	DetectionTime = 4 * time.Second
	// RetryAfter is the pause after a failed verification.
	RetryAfter = 800 * time.Millisecond
)

// Verifier tracks the era of the store as one process knows it. Its field is set
// before use.
type Verifier struct {
	// Offset is the process's position in time among all that verify their entries,
	// from 0 to 1, at random.
	Offset float64

	// era is the highest era observed, zero before the first, and since the time at
	// which it was first observed.
	era   uint64
	since time.Time
	// settled is the highest era that is known to have settled.
	settled uint64
	// verifyAt is when the entry is to be verified; zero if it isn't.
	verifyAt time.Time
}

// HandleEra processes an era that the store or a peer has named, in a fleet of the
// given number of instances. Zero means that it is unknown. HandleEra reports whether
// the store was restored since the last era observed.
func (v *Verifier) HandleEra(era uint64, instances int, now time.Time) (restored bool) {
	if era <= v.era {
		return false
	}
	restored = v.era != 0
	v.era, v.since = era, now
	if restored {
		v.verifyAt = now.Add(time.Duration(v.Offset * float64(spread(instances))))
	}
	return restored
}

// HandleSettled processes the highest era that a peer, or an entry in the store, knows
// to have settled.
func (v *Verifier) HandleSettled(era uint64) {
	v.settled = max(v.settled, era)
}

// Due reports whether the process's entry must be verified now.
func (v *Verifier) Due(now time.Time) bool {
	return !v.verifyAt.IsZero() && !now.Before(v.verifyAt)
}

// HandleVerified processes the outcome of a verification that began in an era.
func (v *Verifier) HandleVerified(era uint64, failed bool, now time.Time) {
	switch {
	case failed:
		v.verifyAt = now.Add(RetryAfter)
	case era == v.era:
		v.verifyAt = time.Time{}
	}
}

// Settled reports whether every running instance has had the time to verify its entry
// in the present era, in a fleet of the given number of instances. A store that names
// no era is always settled.
func (v *Verifier) Settled(instances int, now time.Time) bool {
	if v.settled < v.era && now.Sub(v.since) >= DetectionTime+spread(instances) {
		v.settled = v.era
	}
	return v.settled >= v.era
}

// Era returns the highest era observed; zero if none was.
func (v *Verifier) Era() uint64 {
	return v.era
}

// SettledEra returns the highest era that is known to have settled; zero if none is.
func (v *Verifier) SettledEra() uint64 {
	return v.settled
}

// spread returns the time over which the instances spread their verifications.
func spread(instances int) time.Duration {
	return time.Duration(instances) * time.Second / VerificationsPerSecond
}
