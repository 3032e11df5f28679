package roster

import "time"

const (
	// MarkerInterval is the time between two markers that a process sends to itself.
	MarkerInterval = 100 * time.Millisecond
	// maxMarkerGap is the time between two markers from which the process has not
	// listened all the while: it was paused, or its receive queue has overflowed.
	maxMarkerGap = 500 * time.Millisecond
)

// Listening is the span of time over which a process has read everything that
// reached it. A process that was paused or lacks processor time is behind its receive
// queue, and a peer whose reports wait there is not silent. The zero value is an
// empty span.
type Listening struct {
	Since, Until time.Time
}

// StartListening records that the process begins to receive messages.
func (r *Roster) StartListening(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listening = Listening{Since: now, Until: now}
}

// HandleMarker processes a marker that the process sent to itself at a time: it has
// read what arrived before. It returns the time for which the process has not
// listened, or zero.
func (r *Roster) HandleMarker(sentAt time.Time) (missed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gap := sentAt.Sub(r.listening.Until)
	if gap <= 0 {
		return 0
	}
	r.listening.Until = sentAt
	if gap <= maxMarkerGap {
		return 0
	}
	r.listening.Since = sentAt
	return gap
}

// Listening returns the span of time in which the silence of peers counts.
func (r *Roster) Listening() Listening {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.listening
}
