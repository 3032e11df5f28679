// Package limiter bounds the rate of requests of each caller over a whole
// service. Each caller has a home agent that counts; the other agents admit in
// batches that the home grants, and count alone while it can't be reached.
package limiter

import (
	"net/netip"
	"time"
)

// Local counts the callers of one agent alone. The zero value limits nothing.
type Local struct {
	// Rate is the number of requests a second of one caller; zero is no limit.
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
	one := l.buckets.get(now, caller, l.Rate, burstOf(l.Burst))
	if one.tokens < 1 {
		return false
	}
	one.tokens--
	return true
}

// Callers gives the number of callers that are counted.
func (l *Local) Callers() int {
	return len(l.buckets.callers)
}
