// Package drainer follows the departure of a backend server.
package drainer

import "time"

// Drainer knows when a leaving backend server must get nothing more and when
// its agent may stop. The zero value is not leaving.
type Drainer struct {
	// Grace is the time after which the backend server gets no new work.
	Grace time.Duration
	// MaxWait bounds the wait for what is open; zero waits for all of it.
	MaxWait time.Duration

	since time.Time
}

// Status says how far a drain has come.
type Status struct {
	// Leaving is set from the start of the drain on.
	Leaving bool
	// Since is the start of the drain.
	Since time.Time
	// Requests is the number of requests that still run or wait.
	Requests int
	// Streams is the number of open streams.
	Streams int
	// Done is set when nothing remains or MaxWait has passed.
	Done bool
}

// Leave starts the drain. A second call changes nothing.
func (d *Drainer) Leave(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
}

// Leaving reports whether the drain has started.
func (d *Drainer) Leaving() bool {
	return !d.since.IsZero()
}

// MayStart reports whether work that was taken before the drain may still
// start at the backend server.
func (d *Drainer) MayStart(now time.Time) bool {
	return !d.Leaving() || now.Before(d.GraceEnd())
}

// GraceEnd gives the time from which on nothing starts, or zero.
func (d *Drainer) GraceEnd() time.Time {
	if !d.Leaving() {
		return time.Time{}
	}
	return d.since.Add(d.Grace)
}

// Status reports the drain's progress from what remains.
func (d *Drainer) Status(now time.Time, requests, streams int) Status {
	status := Status{Leaving: d.Leaving(), Since: d.since, Requests: requests, Streams: streams}
	if !status.Leaving {
		return status
	}
	over := d.MaxWait > 0 && !now.Before(d.since.Add(d.MaxWait))
	status.Done = over || requests+streams == 0
	return status
}
