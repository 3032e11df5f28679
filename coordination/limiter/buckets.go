package limiter

import (
	"net/netip"
	"time"
)

// MaxCallers is the number of callers that are counted at the same time.
const MaxCallers = 1 << 14

// buckets holds one token bucket for each caller and drops those that are full
// again. The zero value is ready to use.
type buckets struct {
	callers map[netip.Addr]*bucket
	sweptAt time.Time
}

// bucket is a token bucket. Negative tokens are requests admitted in excess.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// get returns a caller's bucket, refilled up to now.
func (b *buckets) get(now time.Time, caller netip.Addr, rate float64, burst int) *bucket {
	t := b.callers[caller]
	if t == nil {
		b.sweep(now, rate, burst)
		t = &bucket{tokens: float64(burst), updatedAt: now}
		b.callers[caller] = t
		return t
	}
	refill := rate * now.Sub(t.updatedAt).Seconds()
	t.tokens = min(float64(burst), t.tokens+refill)
	t.updatedAt = now
	return t
}

// sweep drops the callers whose buckets are full again. It runs at most once in twice
// the time that filling a bucket takes, or whenever there are too many callers; in
// that case it drops arbitrary callers too.
func (b *buckets) sweep(now time.Time, rate float64, burst int) {
	if b.callers == nil {
		b.callers = map[netip.Addr]*bucket{}
	}
	refillTime := time.Duration(2 * float64(burst) / rate * float64(time.Second))
	if len(b.callers) < MaxCallers && now.Sub(b.sweptAt) < refillTime {
		return
	}
	b.sweptAt = now
	for caller, t := range b.callers {
		if now.Sub(t.updatedAt) >= refillTime {
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

// minOne returns the burst, but at least 1.
func minOne(burst int) int {
	return max(1, burst)
}
