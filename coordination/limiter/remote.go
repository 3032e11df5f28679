package limiter

import (
	"net/netip"
	"time"
)

// Times of counting at a home agent.
const (
	// ReplyTimeout is the time after which a report counts as lost.
	ReplyTimeout = 500 * time.Millisecond
	// LocalFallbackTime is how long an agent counts locally after a lost report.
	LocalFallbackTime = time.Second
	// MaxIdle is the time after which a caller without requests is dropped.
	MaxIdle = 30 * time.Second
)

// Remote admits requests of callers whose home is another agent. The zero value
// limits nothing.
type Remote struct {
	// Rate and Burst are as in Local.
	Rate  float64
	Burst int

	local   Local
	callers map[netip.Addr]*lease
	sweptAt time.Time
}

// lease is the number of requests that an agent may admit for one caller.
type lease struct {
	// left is the number of requests that may be admitted. It is negative, down to
	// -Batch, for requests admitted before the home replied.
	left int
	// unreported counts the admitted requests that have not been reported.
	unreported int
	pending    bool
	reportedAt time.Time
	// blockedUntil ends the wait that the home demanded; localUntil ends local
	// counting after a lost report.
	blockedUntil time.Time
	localUntil   time.Time
	lastUsed     time.Time
}

// Allow counts one request and reports whether it may be admitted. If report is
// positive, that number of admitted requests must be reported to the home.
func (r *Remote) Allow(now time.Time, caller netip.Addr) (ok bool, report int) {
	if r.Rate <= 0 || !caller.IsValid() {
		return true, 0
	}
	l := r.lease(now, caller)
	if l.pending && now.Sub(l.reportedAt) >= ReplyTimeout {
		l.pending, l.localUntil = false, now.Add(LocalFallbackTime)
	}
	if now.Before(l.localUntil) {
		return r.local.Allow(now, caller), 0
	}
	if now.Before(l.blockedUntil) || l.left <= -Batch(r.Burst) {
		return false, 0
	}
	l.left--
	l.unreported++
	if l.pending || l.left > 0 {
		return true, 0
	}
	l.pending, l.reportedAt = true, now
	report, l.unreported = l.unreported, 0
	return true, report
}

// HandleCountReply receives the home's reply to a report.
func (r *Remote) HandleCountReply(now time.Time, caller netip.Addr, known bool, granted int, wait time.Duration) {
	l := r.callers[caller]
	if l == nil || !l.pending {
		return
	}
	l.pending = false
	switch {
	case !known:
		l.localUntil = now.Add(LocalFallbackTime)
	case granted > 0:
		l.left = granted - l.unreported
	default:
		l.left = 0
		l.blockedUntil = now.Add(wait)
	}
}

func (r *Remote) lease(now time.Time, caller netip.Addr) *lease {
	r.local.Rate, r.local.Burst = r.Rate, r.Burst
	l := r.callers[caller]
	if l == nil {
		r.sweep(now)
		l = &lease{left: Batch(r.Burst)}
		r.callers[caller] = l
	}
	l.lastUsed = now
	return l
}

func (r *Remote) sweep(now time.Time) {
	if r.callers == nil {
		r.callers = map[netip.Addr]*lease{}
	}
	if len(r.callers) < MaxCallers && now.Sub(r.sweptAt) < MaxIdle {
		return
	}
	r.sweptAt = now
	for caller, l := range r.callers {
		if now.Sub(l.lastUsed) >= MaxIdle || len(r.callers) >= MaxCallers {
			delete(r.callers, caller)
		}
	}
}
