// Package pacer decides when a process reads something from the store that its peers
// read, too.
//
// Load pattern: a cluster whose instances must all learn within a bound what the store
// holds, and a store that allows few reads a second. In each availability zone one
// instance reads and its peers use its updates. There is no election: an instance
// reads once the age of the last read passes a limit that grows with its rank in the
// zone, so that the next one takes over automatically when the reader is cut off,
// paused or gone.
package pacer

import "time"

const (
	// RankDelay is the additional age for each rank: a read's round trip with a
	// margin for the delay of the update.
	RankDelay = 250 * time.Millisecond
	// MaxRank bounds the additional age, so that every instance reads for
	// itself within the time in which a change must be in force.
	MaxRank = 5
	// RetryAfter is the pause after the first failed read.
	RetryAfter = 250 * time.Millisecond
	// MaxRetryAfter bounds the pause, which doubles with each failure.
	MaxRetryAfter = time.Second
)

// Pacer paces the reads of one process. The zero value is ready.
type Pacer struct {
	reading  bool
	retryAt  time.Time
	failures int
}

// Due reports whether a process with a rank in its zone, from 0, must read now. last is
// when the store was last read, by the process or a peer, and interval the age of that
// read at which the first instance of a zone reads.
func (p *Pacer) Due(last time.Time, interval time.Duration, rank int, now time.Time) bool {
	if p.reading || now.Before(p.retryAt) {
		return false
	}
	return last.IsZero() || now.Sub(last) >= interval+time.Duration(min(rank, MaxRank))*RankDelay
}

// BeginRead records that a read has begun.
func (p *Pacer) BeginRead() {
	p.reading = true
}

// Reading reports whether a read is in progress.
func (p *Pacer) Reading() bool {
	return p.reading
}

// AbortRead records that a read ended without a result. The next one is due by age.
func (p *Pacer) AbortRead() {
	p.reading = false
}

// EndRead records that a read succeeded.
func (p *Pacer) EndRead() {
	p.reading, p.failures = false, 0
}

// FailRead records that a read failed. The next one waits for a pause that grows.
func (p *Pacer) FailRead(now time.Time) {
	p.reading = false
	pause := min(RetryAfter<<min(p.failures, 4), MaxRetryAfter)
	p.failures++
	p.retryAt = now.Add(pause)
}

// Postpone ends a read and keeps the next one from being due before MaxRetryAfter.
func (p *Pacer) Postpone(now time.Time) {
	p.reading = false
	p.retryAt = now.Add(MaxRetryAfter)
}
