package limiter

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"gooseberrymast"
)

// Home counts the callers whose home is this agent. The zero value grants nothing
// until Rate is set.
type Home struct {
	// Rate is the number of requests per second allowed to one caller.
	Rate float64
	// Burst is the number of requests that a caller may send at once.
	Burst int

	buckets buckets
}

// toleratedBatches is the number of batches by which a caller may exceed its tokens.
const toleratedBatches = 3

// maxDebtBursts limits a caller's negative tokens, in bursts.
const maxDebtBursts = 10

// Count charges the requests that an agent has admitted and returns how many more it
// may admit before it reports again. If none, wait is the time until one is allowed.
// Granted requests are charged only after they are reported, so an agent that the
// caller no longer uses holds back no tokens.
func (h *Home) Count(now time.Time, caller netip.Addr, used int) (granted int, wait time.Duration) {
	t := h.buckets.get(now, caller, h.Rate, minOne(h.Burst))
	t.tokens = max(t.tokens-float64(used), -maxDebtBursts*float64(minOne(h.Burst)))
	// Reports come in batches, so a caller within its rate can have negative tokens.
	available := t.tokens + float64(toleratedBatches*Batch(h.Burst))
	if available >= 1 {
		return min(Batch(h.Burst), int(available)), 0
	}
	return 0, time.Duration((1 - available) / h.Rate * float64(time.Second))
}

// Allow counts one request that arrived at the home agent itself and reports whether
// it is within the caller's rate.
func (h *Home) Allow(now time.Time, caller netip.Addr) bool {
	t := h.buckets.get(now, caller, h.Rate, minOne(h.Burst))
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Batch returns the number of requests that an agent may admit between two reports.
func Batch(burst int) int {
	return max(1, burst/4)
}

// HomeOf chooses a caller's home among the agents of a service by rendezvous hashing:
// agents with the same members choose the same home.
func HomeOf(caller netip.Addr, agents []gooseberrymast.Identity) gooseberrymast.Identity {
	var home gooseberrymast.Identity
	highest := uint64(0)
	for _, agent := range agents {
		key := append(caller.AsSlice(), agent.Address.String()...)
		if score := xxhash.Sum64(key); home.IsZero() || score > highest {
			home, highest = agent, score
		}
	}
	return home
}
