// Package tracker follows the state of an agent's backend server through what
// the server announces.
//
// Load pattern: servers that crash, start again at the same address, and whose
// announcements arrive late after a partition. An announcement of an earlier
// incarnation, or one that a later one has overtaken, changes nothing.
package tracker

import (
	"errors"
	"strconv"
	"time"

	"gooseberrymast"
)

// firstSequence is the highest number of an incarnation's first announcement.
// A server gets no flow before it.
const firstSequence = 1

// missedBeats is the number of announcement intervals after which a server
// that announces nothing gets no new flows.
const missedBeats = 2.5

// The reasons for which an announcement changes nothing.
var (
	ErrForeignAddress = errors.New("the announcement names the address of another server")
	ErrIncomplete     = errors.New("the announcement lacks a field or has one of a wrong type")
	ErrSuperseded     = errors.New("a later announcement is known")
)

// Status is what is known of the server.
type Status uint8

// The statuses of a server.
const (
	// Unknown: nothing was heard since the agent started.
	Unknown Status = iota
	// Ready: the server takes new flows.
	Ready
	// Leaving: the server keeps its flows and gets no new ones.
	Leaving
	// Silent: no announcement came for too long.
	Silent
	// Gone: the server has said that it ends, or was found dead.
	Gone
)

// String gives the status in kebab case.
func (s Status) String() string {
	switch s {
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	case Silent:
		return "silent"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Tracker holds the state of one server. Its fields are set before use.
type Tracker struct {
	// Address is where the agent's server takes packets.
	Address gooseberrymast.Endpoint
	// Interval is the time between announcements.
	Interval time.Duration

	last  gooseberrymast.Announcement
	heard time.Time
	known bool
	gone  bool
	// complete is set when the agent has run since before the incarnation
	// took its first flow.
	complete bool
	// predecessor names the incarnation that an earlier agent of this instance
	// served, once that is known.
	predecessor      string
	predecessorKnown bool
	probed           bool
	service          string
}

// Announce takes an announcement. The error says why it changes nothing;
// restarted is set when it is the first of a new incarnation.
func (t *Tracker) Announce(announcement gooseberrymast.Announcement, now time.Time) (restarted bool, err error) {
	if announcement.Service == "" || announcement.ID == "" {
		return false, ErrIncomplete
	}
	if announcement.Address != t.Address {
		return false, ErrForeignAddress
	}
	if t.known && !newer(announcement, t.last) {
		return false, ErrSuperseded
	}
	restarted = t.known && !sameIncarnation(announcement, t.last)
	if restarted || !t.known && announcement.Sequence <= firstSequence {
		t.complete = true
	}
	t.last, t.heard, t.known, t.gone = announcement, now, true, false
	t.service = announcement.Service
	return restarted, nil
}

// Depart takes the server's word that it ends.
func (t *Tracker) Depart(id string, born int64) error {
	if t.known && (id != t.last.ID || born != 0 && born < t.last.Born) {
		return ErrSuperseded
	}
	t.gone = true
	return nil
}

// Died records that the server was found dead.
func (t *Tracker) Died() {
	t.gone = true
}

// Probed records the answer to a health check that the agent made before it
// heard any announcement.
func (t *Tracker) Probed(service string, healthy bool, now time.Time) {
	if t.known {
		return
	}
	t.service, t.probed, t.heard = service, healthy, now
}

// Status gives the server's status.
func (t *Tracker) Status(now time.Time) Status {
	silent := now.Sub(t.heard) > time.Duration(missedBeats*float64(t.Interval))
	switch {
	case t.gone:
		return Gone
	case !t.known && t.probed && !silent:
		return Ready
	case !t.known:
		return Unknown
	case t.last.Leaving:
		return Leaving
	case silent:
		return Silent
	}
	return Ready
}

// Service gives the name of the service that the server serves, or nothing
// while it is unknown.
func (t *Tracker) Service() string {
	return t.service
}

// Predecessor records which incarnation of the server an earlier agent of the
// instance served; empty stands for none.
func (t *Tracker) Predecessor(incarnation string) {
	t.predecessor, t.predecessorKnown = incarnation, true
}

// Complete reports whether the agent has seen every packet of the server's
// incarnation: it saw the server start, or no earlier agent served it.
func (t *Tracker) Complete() bool {
	return t.complete || t.known && t.predecessorKnown && t.predecessor != t.Incarnation()
}

// Incarnation names the server's incarnation, or nothing while it is unknown.
func (t *Tracker) Incarnation() string {
	if !t.known {
		return ""
	}
	return t.last.ID + "/" + strconv.FormatInt(t.last.Born, 10)
}

// Last gives the last announcement and when it came.
func (t *Tracker) Last() (gooseberrymast.Announcement, time.Time) {
	return t.last, t.heard
}

func sameIncarnation(a, b gooseberrymast.Announcement) bool {
	return a.Born == b.Born && a.ID == b.ID
}

func newer(a, b gooseberrymast.Announcement) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	return a.Sequence > b.Sequence
}
