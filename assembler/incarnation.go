package assembler

import (
	"fmt"
	"time"

	"gooseberrymast"
)

// incarnationUnit is the time after which a restarted process gets a higher
// incarnation. Its count fits into 32 bits for 13 years.
const incarnationUnit = 100 * time.Millisecond

// incarnationEpoch is the time at which incarnations start from zero.
var incarnationEpoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// IncarnationAt returns the incarnation of a process that starts at the given time.
// It is derived from the clock because instances keep no state over a restart. If
// the clock went back, the membership raises the incarnation in its reply.
func IncarnationAt(now time.Time) gooseberrymast.Incarnation {
	return gooseberrymast.Incarnation(max(now.Sub(incarnationEpoch)/incarnationUnit, 1))
}

// StaleIncarnationError means that an earlier process at the address had a higher
// incarnation than this one. The process has not served anything yet and must be
// created again with the incarnation in Identity.
type StaleIncarnationError struct {
	// Identity is the identity that the membership accepts.
	Identity gooseberrymast.Identity
}

// Error implements error.
func (s *StaleIncarnationError) Error() string {
	return fmt.Sprintf("an earlier process at this address had a higher incarnation; start again as %s", s.Identity)
}
