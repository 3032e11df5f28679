package gooseberrymast

import "time"

// Timer is the timer service that the parts of a process subscribe to.
type Timer interface {
	// Now gives the current time.
	Now() time.Time
	// Every calls notify once an interval until cancel is called. Calls for
	// one subscription never overlap.
	Every(interval time.Duration, notify func(now time.Time)) (cancel func())
	// After calls notify once, when delay has passed, unless cancel comes first.
	After(delay time.Duration, notify func(now time.Time)) (cancel func())
}
