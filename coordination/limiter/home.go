package limiter

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"gooseberrymast"
)

// Home counts the callers whose home is one agent. The zero value grants
// nothing until Rate is set.
type Home struct {
	// Rate is the number of requests a second of one caller.
	Rate float64
	// Burst is the number of requests that a caller may send at once.
	Burst int

	buckets buckets
}

// tolerance is the number of batches that a caller may owe.
const tolerance = 3

// maxDebt bounds what a caller can owe, in bursts.
const maxDebt = 10

// Count charges what an agent has admitted and gives the number of requests
// that it may admit before it reports again. With none, wait is the time after
// which there is one. What is granted is charged only once it is used, so that
// an agent that the caller leaves keeps nothing back.
func (h *Home) Count(now time.Time, caller netip.Addr, used int) (granted int, wait time.Duration) {
	one := h.buckets.get(now, caller, h.Rate, burstOf(h.Burst))
	one.tokens = max(one.tokens-float64(used), -maxDebt*float64(burstOf(h.Burst)))
	// Reports come in batches, so a caller within its rate may seem to owe some.
	ahead := one.tokens + float64(tolerance*Batch(h.Burst))
	if ahead >= 1 {
		return min(Batch(h.Burst), int(ahead)), 0
	}
	return 0, time.Duration((1 - ahead) / h.Rate * float64(time.Second))
}

// Allow counts one request at the home itself and reports whether it is within
// the caller's rate.
func (h *Home) Allow(now time.Time, caller netip.Addr) bool {
	one := h.buckets.get(now, caller, h.Rate, burstOf(h.Burst))
	if one.tokens < 1 {
		return false
	}
	one.tokens--
	return true
}

// Batch is the number of requests that an agent may admit between two reports.
func Batch(burst int) int {
	return max(1, burst/4)
}

// HomeOf chooses a caller's home among the agents of a service by rendezvous:
// agents that know the same members choose the same.
func HomeOf(caller netip.Addr, agents []gooseberrymast.Identity) gooseberrymast.Identity {
	var home gooseberrymast.Identity
	highest := uint64(0)
	for _, agent := range agents {
		key := append(caller.AsSlice(), agent.Address.String()...)
		if weight := xxhash.Sum64(key); home.IsZero() || weight > highest {
			home, highest = agent, weight
		}
	}
	return home
}
