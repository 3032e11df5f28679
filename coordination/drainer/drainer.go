// Package drainer tracks the drain of a backend server.
package drainer

import "time"

// Drainer determines when a leaving backend server must get no more requests and
// when its agent may stop. The zero value is not leaving.
type Drainer struct {
	// Grace is the time from the start of the drain until no queued request may
	// start any more.
	Grace time.Duration
	// MaxWait limits how long the drain waits for open requests and streams; zero
	// means no limit.
	MaxWait time.Duration

	since time.Time
}

// Status is the progress of a drain.
type Status struct {
	// Leaving is set once the drain has started.
	Leaving bool
	// Since is the start of the drain.
	Since time.Time
	// Requests is the number of requests that are running or queued.
	Requests int
	// Streams is the number of open streams.
	Streams int
	// Done is set when no request or stream remains or MaxWait has passed.
	Done bool
}

// Leave starts the drain. Further calls have no effect.
func (d *Drainer) Leave(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
}

// Leaving reports whether the drain has started.
func (d *Drainer) Leaving() bool {
	return !d.since.IsZero()
}

// MayStart reports whether requests that arrived before the drain may still start at
// the backend server.
func (d *Drainer) MayStart(now time.Time) bool {
	return !d.Leaving() || now.Before(d.GraceEnd())
}

// GraceEnd returns the time from which no request may start, or zero without a drain.
func (d *Drainer) GraceEnd() time.Time {
	if !d.Leaving() {
		return time.Time{}
	}
	return d.since.Add(d.Grace)
}

// Status returns the drain's progress, given the remaining requests and streams.
func (d *Drainer) Status(now time.Time, requests, streams int) Status {
	status := Status{Leaving: d.Leaving(), Since: d.since, Requests: requests, Streams: streams}
	if !status.Leaving {
		return status
	}
	expired := d.MaxWait > 0 && !now.Before(d.since.Add(d.MaxWait))
	status.Done = expired || requests+streams == 0
	return status
}
