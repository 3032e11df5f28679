// Package retrier limits retries to a share of the requests.
package retrier

import "gooseberrymast/state/asserter"

// Burst is the number of retries that may be saved up, and the number at the start.
const Burst = 10

// Budget allows one retry for every 1/Share requests. The zero value allows
// Burst retries in all.
type Budget struct {
	// Share is the share of requests that may be retries, 0 to 1.
	Share float64
	// Unlimited lets every retry through.
	Unlimited bool

	// spent is the number of saved retries that are used up, 0 to Burst.
	spent    float64
	requests float64
	retries  float64
}

// Request counts one request and so saves a share of a retry.
func (b *Budget) Request() {
	b.requests += b.Share
	b.spent = max(0, b.spent-b.Share)
}

// Left reports whether Take would allow a retry.
func (b *Budget) Left() bool {
	return b.Unlimited || b.spent <= Burst-1
}

// Take reports whether a retry may be made now, and counts it.
func (b *Budget) Take() bool {
	if b.Unlimited {
		return true
	}
	if !b.Left() {
		return false
	}
	b.spent++
	b.retries++
	// The tolerance is for the rounding of sums of shares.
	asserter.Holds(b.retries <= b.requests+Burst+0.001, "retries-within-budget", "%.0f retries, %.1f allowed", b.retries, b.requests+Burst)
	return true
}
