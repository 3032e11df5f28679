package gooseberrymast

import "time"

// Timer provides the current time and timers to the parts of a process. Tests
// replace it by one with manual time.
type Timer interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls notify once per interval until cancel is called. Calls for
	// one subscription never overlap.
	Every(interval time.Duration, notify func(now time.Time)) (cancel func())
	// After calls notify once after delay, unless cancel is called first.
	After(delay time.Duration, notify func(now time.Time)) (cancel func())
}
