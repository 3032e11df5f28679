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
	callers map[netip.Addr]*grant
	sweptAt time.Time
}

// grant tracks how many requests this agent may still admit for one caller.
type grant struct {
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
	g := r.grantOf(now, caller)
	if g.pending && now.Sub(g.reportedAt) >= ReplyTimeout {
		g.pending, g.localUntil = false, now.Add(LocalFallbackTime)
	}
	if now.Before(g.localUntil) {
		return r.local.Allow(now, caller), 0
	}
	if now.Before(g.blockedUntil) || g.left <= -Batch(r.Burst) {
		return false, 0
	}
	g.left--
	g.unreported++
	if g.pending || g.left > 0 {
		return true, 0
	}
	g.pending, g.reportedAt = true, now
	report, g.unreported = g.unreported, 0
	return true, report
}

// HandleCountReply receives the home's reply to a report.
func (r *Remote) HandleCountReply(now time.Time, caller netip.Addr, known bool, granted int, wait time.Duration) {
	g := r.callers[caller]
	if g == nil || !g.pending {
		return
	}
	g.pending = false
	switch {
	case !known:
		g.localUntil = now.Add(LocalFallbackTime)
	case granted > 0:
		g.left = granted - g.unreported
	default:
		g.left = 0
		g.blockedUntil = now.Add(wait)
	}
}

func (r *Remote) grantOf(now time.Time, caller netip.Addr) *grant {
	r.local.Rate, r.local.Burst = r.Rate, r.Burst
	g := r.callers[caller]
	if g == nil {
		r.sweep(now)
		g = &grant{left: Batch(r.Burst)}
		r.callers[caller] = g
	}
	g.lastUsed = now
	return g
}

func (r *Remote) sweep(now time.Time) {
	if r.callers == nil {
		r.callers = map[netip.Addr]*grant{}
	}
	if len(r.callers) < MaxCallers && now.Sub(r.sweptAt) < MaxIdle {
		return
	}
	r.sweptAt = now
	for caller, g := range r.callers {
		if now.Sub(g.lastUsed) >= MaxIdle || len(r.callers) >= MaxCallers {
			delete(r.callers, caller)
		}
	}
}
