package roster

import (
	"time"

	"gooseberrymast"
)

const (
	// MarkerInterval is the time between two markers that a process sends to itself.
	MarkerInterval = 100 * time.Millisecond
	// maxMarkerGap is the time between two markers from which the process has not
	// listened all the while: it was paused, or its receive queue has overflowed.
	maxMarkerGap = 500 * time.Millisecond
)

// Listening is the span of time over which a process has read everything that
// reached it, or has also heard most agents. A process that was paused or lacks processor time is behind its receive
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
	r.hearing = r.listening
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
	r.listening.Until, r.hearing.Until = sentAt, sentAt
	if gap > maxMarkerGap {
		missed, r.listening.Since = gap, sentAt
	}
	if missed > 0 || !r.hearsMost(sentAt) {
		r.hearing.Since = sentAt
		r.assumeRelayed()
	}
	return missed
}

// assumeRelayed takes all peers of other zones for relayed until their next report. One
// that reported directly may have stopped doing so, and its report that says so is lost.
func (r *Roster) assumeRelayed() {
	for _, entry := range r.entries {
		if !entry.Relayed && r.inOtherZone(entry.Peer) {
			entry.Relayed = true
		}
	}
}

// Listening returns the span of time over which the process has read everything that
// reached it.
func (r *Roster) Listening() Listening {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.listening
}

// Hearing returns the span of time in which the silence of peers counts: the process has
// read everything that reached it, and heard most agents. A process that was cut off has
// lost reports, questions and their answers, and hears some agents again before others:
// their silence counts anew from then on.
func (r *Roster) Hearing() Listening {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hearing
}

// HearsMost reports whether the process is not cut off itself, as far as it can tell.
func (r *Roster) HearsMost(now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hearsMost(now)
}

// hearsMost reports whether at least half of the agents have reported recently and, if
// peers of several other zones are known, any of these has. All other zones are not lost
// at the same time, and the process's own may have most agents.
func (r *Roster) hearsMost(now time.Time) bool {
	reporting, total := 0, 0
	otherZone, severalZones, hearsOther := "", false, false
	for _, entry := range r.entries {
		if entry.State == gooseberrymast.StateGone {
			continue
		}
		reports := entry.Reporting(now)
		if r.inOtherZone(entry.Peer) && entry.Zone != "" {
			severalZones = severalZones || otherZone != "" && entry.Zone != otherZone
			otherZone, hearsOther = entry.Zone, hearsOther || reports
		}
		if entry.Role == gooseberrymast.RoleAgent {
			total++
			if reports {
				reporting++
			}
		}
	}
	return reporting > 0 && 2*reporting >= total && (hearsOther || !severalZones)
}
