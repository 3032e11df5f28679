package limiter

import (
	"net/netip"
	"time"
)

// The constants of counting at a home agent.
const (
	// ReplyTimeout is the time after which a report counts as lost.
	ReplyTimeout = 500 * time.Millisecond
	// AloneTime is how long an agent counts alone after a report was lost.
	AloneTime = time.Second
	// RemoteAge is the time after which a caller that sends nothing is forgotten.
	RemoteAge = 30 * time.Second
)

// Remote admits requests of callers whose home is another agent. The zero
// value limits nothing.
type Remote struct {
	// Rate and Burst are those of Local.
	Rate  float64
	Burst int

	alone   Local
	callers map[netip.Addr]*lease
	sweptAt time.Time
}

// lease is what an agent may admit of one caller.
type lease struct {
	// left is the number of requests that may be admitted; below zero are those
	// admitted ahead of a reply, at most Batch.
	left int
	// used counts the admitted requests that were not reported yet.
	used    int
	pending bool
	askedAt time.Time
	// blocked and aloneTil end a time without grants, or without the home.
	blocked  time.Time
	aloneTil time.Time
	at       time.Time
}

// Allow counts one request and reports whether it may be admitted. With report
// above zero the home is to be told of so many admitted requests.
func (r *Remote) Allow(now time.Time, caller netip.Addr) (ok bool, report int) {
	if r.Rate <= 0 || !caller.IsValid() {
		return true, 0
	}
	one := r.lease(now, caller)
	if one.pending && now.Sub(one.askedAt) >= ReplyTimeout {
		one.pending, one.aloneTil = false, now.Add(AloneTime)
	}
	if now.Before(one.aloneTil) {
		return r.alone.Allow(now, caller), 0
	}
	if now.Before(one.blocked) || one.left <= -Batch(r.Burst) {
		return false, 0
	}
	one.left--
	one.used++
	if one.pending || one.left > 0 {
		return true, 0
	}
	one.pending, one.askedAt = true, now
	report, one.used = one.used, 0
	return true, report
}

// Counted takes the home's reply to a report.
func (r *Remote) Counted(now time.Time, caller netip.Addr, known bool, granted int, wait time.Duration) {
	one := r.callers[caller]
	if one == nil || !one.pending {
		return
	}
	one.pending = false
	switch {
	case !known:
		one.aloneTil = now.Add(AloneTime)
	case granted > 0:
		one.left = granted - one.used
	default:
		one.left = 0
		one.blocked = now.Add(wait)
	}
}

func (r *Remote) lease(now time.Time, caller netip.Addr) *lease {
	r.alone.Rate, r.alone.Burst = r.Rate, r.Burst
	one := r.callers[caller]
	if one == nil {
		r.sweep(now)
		one = &lease{left: Batch(r.Burst)}
		r.callers[caller] = one
	}
	one.at = now
	return one
}

func (r *Remote) sweep(now time.Time) {
	if r.callers == nil {
		r.callers = map[netip.Addr]*lease{}
	}
	if len(r.callers) < MaxCallers && now.Sub(r.sweptAt) < RemoteAge {
		return
	}
	r.sweptAt = now
	for caller, one := range r.callers {
		if now.Sub(one.at) >= RemoteAge || len(r.callers) >= MaxCallers {
			delete(r.callers, caller)
		}
	}
}
