// Package limiter bounds the rate of requests of each caller.
package limiter

import (
	"net/netip"
	"time"
)

// MaxCallers bounds the callers that are counted at once.
const MaxCallers = 1 << 14

// Local counts the callers of one agent. The zero value limits nothing.
type Local struct {
	// Rate is the number of requests a second of one caller; zero is no limit.
	Rate float64
	// Burst is the number of requests that a caller may send at once.
	Burst int

	callers map[netip.Addr]*bucket
	sweptAt time.Time
}

// bucket holds the requests that a caller may send now.
type bucket struct {
	tokens float64
	at     time.Time
}

// Allow counts one request and reports whether it is within the caller's rate.
func (l *Local) Allow(now time.Time, caller netip.Addr) bool {
	if l.Rate <= 0 || !caller.IsValid() {
		return true
	}
	one := l.bucket(now, caller)
	if one.tokens < 1 {
		return false
	}
	one.tokens--
	return true
}

// Callers gives the number of callers that are counted.
func (l *Local) Callers() int {
	return len(l.callers)
}

func (l *Local) bucket(now time.Time, caller netip.Addr) *bucket {
	one := l.callers[caller]
	if one == nil {
		l.sweep(now)
		one = &bucket{tokens: float64(l.burst()), at: now}
		l.callers[caller] = one
		return one
	}
	earned := l.Rate * now.Sub(one.at).Seconds()
	one.tokens = min(float64(l.burst()), one.tokens+earned)
	one.at = now
	return one
}

func (l *Local) burst() int {
	return max(1, l.Burst)
}

// sweep drops the callers whose buckets are full again, at most once in the
// time that filling one takes, or whenever there are too many.
func (l *Local) sweep(now time.Time) {
	if l.callers == nil {
		l.callers = map[netip.Addr]*bucket{}
	}
	full := time.Duration(float64(l.burst()) / l.Rate * float64(time.Second))
	if len(l.callers) < MaxCallers && now.Sub(l.sweptAt) < full {
		return
	}
	l.sweptAt = now
	for caller, one := range l.callers {
		if now.Sub(one.at) >= full {
			delete(l.callers, caller)
		}
	}
	for caller := range l.callers {
		if len(l.callers) < MaxCallers {
			return
		}
		delete(l.callers, caller)
	}
}
