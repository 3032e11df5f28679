// Package limiter enforces a rate of requests for each caller over a whole service.
// Each caller is counted by a home agent. The other agents admit requests in batches
// that the home grants, and count locally while the home can't be reached.
package limiter

import (
	"net/netip"
	"time"
)

// Local counts callers at one agent only. The zero value limits nothing.
type Local struct {
	// Rate is the number of requests per second allowed to one caller; zero means
	// no limit.
	Rate float64
	// Burst is the number of requests that a caller may send at once.
	Burst int

	buckets buckets
}

// Allow counts one request and reports whether it is within the caller's rate.
func (l *Local) Allow(now time.Time, caller netip.Addr) bool {
	if l.Rate <= 0 || !caller.IsValid() {
		return true
	}
	t := l.buckets.get(now, caller, l.Rate, minOne(l.Burst))
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Callers returns the number of callers that are counted.
func (l *Local) Callers() int {
	return len(l.buckets.callers)
}
