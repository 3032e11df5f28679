// Package retrier limits retries to a share of the requests.
package retrier

import "gooseberrymast/state/asserter"

// Burst is the number of retries that can be saved up, and the number available at
// the start.
const Burst = 10

// Budget allows one retry for every 1/Share requests. The zero value allows Burst
// retries in all.
type Budget struct {
	// Share is the number of retries allowed per request, 0 to 1.
	Share float64
	// Unlimited allows every retry.
	Unlimited bool

	// usedBurst is the number of saved-up retries that are used, 0 to Burst.
	usedBurst float64
	requests  float64
	retries   float64
}

// AddRequest counts one request, which adds Share to the budget.
func (b *Budget) AddRequest() {
	b.requests += b.Share
	b.usedBurst = max(0, b.usedBurst-b.Share)
}

// Available reports whether Take would allow a retry.
func (b *Budget) Available() bool {
	return b.Unlimited || b.usedBurst <= Burst-1
}

// Take reports whether a retry is allowed now, and takes it from the budget.
func (b *Budget) Take() bool {
	if b.Unlimited {
		return true
	}
	if !b.Available() {
		return false
	}
	b.usedBurst++
	b.retries++
	// 0.001 allows for rounding errors in the sum of shares.
	asserter.Holds(b.retries <= b.requests+Burst+0.001, "retries-within-budget", "%.0f retries, %.1f allowed", b.retries, b.requests+Burst)
	return true
}
