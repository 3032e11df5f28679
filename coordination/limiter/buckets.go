package limiter

import (
	"net/netip"
	"time"
)

// MaxCallers bounds the callers that are counted at once.
const MaxCallers = 1 << 14

// buckets holds one token bucket for each caller and drops those that are full
// again. The zero value works.
type buckets struct {
	callers map[netip.Addr]*bucket
	sweptAt time.Time
}

// bucket holds the requests that a caller may send now; below zero it is in debt.
type bucket struct {
	tokens float64
	at     time.Time
}

// get gives a caller's bucket with what it has earned by now.
func (b *buckets) get(now time.Time, caller netip.Addr, rate float64, burst int) *bucket {
	one := b.callers[caller]
	if one == nil {
		b.sweep(now, rate, burst)
		one = &bucket{tokens: float64(burst), at: now}
		b.callers[caller] = one
		return one
	}
	earned := rate * now.Sub(one.at).Seconds()
	one.tokens = min(float64(burst), one.tokens+earned)
	one.at = now
	return one
}

// sweep drops the callers whose buckets are full again, at most once in twice
// the time that filling one takes, or whenever there are too many.
func (b *buckets) sweep(now time.Time, rate float64, burst int) {
	if b.callers == nil {
		b.callers = map[netip.Addr]*bucket{}
	}
	full := time.Duration(2 * float64(burst) / rate * float64(time.Second))
	if len(b.callers) < MaxCallers && now.Sub(b.sweptAt) < full {
		return
	}
	b.sweptAt = now
	for caller, one := range b.callers {
		if now.Sub(one.at) >= full {
			delete(b.callers, caller)
		}
	}
	for caller := range b.callers {
		if len(b.callers) < MaxCallers {
			return
		}
		delete(b.callers, caller)
	}
}

func burstOf(burst int) int {
	return max(1, burst)
}
