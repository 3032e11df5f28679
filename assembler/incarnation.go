package assembler

import (
	"fmt"
	"time"

	"gooseberrymast"
)

// incarnationUnit is the time after which a restarted process gets a higher
// incarnation. 32 bits of it last for 13 years.
const incarnationUnit = 100 * time.Millisecond

// incarnationEpoch is the time of incarnation zero.
var incarnationEpoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// IncarnationAt gives the incarnation of a process that starts at a time.
// Instances keep nothing over a restart, so the clock stands in; where it went
// back, the membership's answer raises the incarnation.
func IncarnationAt(now time.Time) gooseberrymast.Incarnation {
	return gooseberrymast.Incarnation(max(now.Sub(incarnationEpoch)/incarnationUnit, 1))
}

// RaisedError means that an earlier process at the address had a higher
// incarnation than the one it was started with. The process has served nothing
// yet and is to be made again with Identity's incarnation.
type RaisedError struct {
	// Identity is the one that the membership accepts.
	Identity gooseberrymast.Identity
}

// Error says what to do.
func (r *RaisedError) Error() string {
	return fmt.Sprintf("an earlier process at this address had a higher incarnation; start again as %s", r.Identity)
}
