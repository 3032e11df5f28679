// Package tracker tracks the state of an agent's backend server by the server's
// announcements.
//
// Load pattern: servers that crash, start again at the same address, and whose
// announcements arrive late after a partition. An announcement of an earlier
// incarnation, or one that arrives after a later one, is ignored.
package tracker

import (
	"errors"
	"strconv"
	"time"

	"gooseberrymast"
)

// silentIntervals is the number of announcement intervals without an announcement
// after which a server gets no new flows.
const silentIntervals = 2.5

// firstSequence is the highest sequence of an incarnation's first announcement.
const firstSequence = 1

// introductionTime is the time from a new instance's first report until all balancers
// know it: a report of the agent, 0.2 s, and two summaries of its zone, 0.4 s each, of
// which one is lost, plus delay.
const introductionTime = 1200 * time.Millisecond

// The reasons for which an announcement is ignored.
var (
	ErrForeignAddress = errors.New("the announcement names the address of another server")
	ErrIncomplete     = errors.New("the announcement lacks a field or has one of a wrong type")
	ErrSuperseded     = errors.New("a later announcement is known")
)

// Status is the state of the server as far as the agent has information.
type Status uint8

// The statuses of a server.
const (
	// Unknown: no announcement has been received since the agent started.
	Unknown Status = iota
	// Ready: the server takes new flows.
	Ready
	// Leaving: the server keeps its flows and gets no new ones.
	Leaving
	// Silent: no announcement has been received for too long.
	Silent
	// Gone: the server has announced its end, or was found failed.
	Gone
	// Introduced: the server is ready, but not all balancers know its instance yet. One
	// that doesn't would prove that nobody holds the server's flows.
	Introduced
)

// String returns the status in kebab case.
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
	case Introduced:
		return "introduced"
	}
	return "unknown"
}

// Tracker holds the state of one server. Its fields are set before use.
type Tracker struct {
	// Address is where the agent's server receives packets.
	Address gooseberrymast.Endpoint
	// Interval is the time between announcements.
	Interval time.Duration

	last        gooseberrymast.Announcement
	lastContact time.Time
	announced   bool
	gone        bool
	// failed is set once the server was found failed.
	failed bool
	// complete is set once the agent has seen the server end, so that no earlier agent
	// can have sent it a flow that it holds. A later incarnation doesn't clear it.
	complete bool
	// noPredecessor is set if the store has no entry of an earlier agent, and
	// hadPredecessor if the server had announced itself before all the same.
	noPredecessor, hadPredecessor bool
	probed                        bool
	service                       string
	// introducedAt is when all balancers know a new instance; zero for one that is known.
	introducedAt time.Time
}

// HandleAnnouncement processes an announcement. The error is the reason for which
// it is ignored; restarted is set when it is the first of a new incarnation.
func (t *Tracker) HandleAnnouncement(announcement gooseberrymast.Announcement, now time.Time) (restarted bool, err error) {
	if announcement.Service == "" || announcement.ID == "" {
		return false, ErrIncomplete
	}
	if announcement.Address != t.Address {
		return false, ErrForeignAddress
	}
	if t.announced && !newer(announcement, t.last) {
		return false, ErrSuperseded
	}
	restarted = t.announced && !sameIncarnation(announcement, t.last)
	// Neither its sequence number nor what an earlier agent recorded shows when an
	// incarnation took its first flow: it does so before its first announcement.
	if restarted || !t.announced && t.failed {
		t.complete = true
	}
	t.hadPredecessor = t.hadPredecessor || !t.announced && announcement.Sequence > firstSequence
	t.last, t.lastContact, t.announced, t.gone = announcement, now, true, false
	t.service = announcement.Service
	return restarted, nil
}

// HandleDeparture processes the server's message that it ends.
func (t *Tracker) HandleDeparture(id string, startUnixMs int64) error {
	if t.announced && (id != t.last.ID || startUnixMs != 0 && startUnixMs < t.last.StartUnixMs) {
		return ErrSuperseded
	}
	t.gone = true
	return nil
}

// MarkFailed records that the server was found failed, with all of its flows.
func (t *Tracker) MarkFailed() {
	t.gone, t.failed = true, true
}

// HandleProbe records the result of a health check that the agent made before it
// received any announcement.
func (t *Tracker) HandleProbe(service string, healthy bool, now time.Time) {
	if t.announced {
		return
	}
	t.service, t.probed, t.lastContact = service, healthy, now
}

// Status returns the server's status.
func (t *Tracker) Status(now time.Time) Status {
	silent := now.Sub(t.lastContact) > time.Duration(silentIntervals*float64(t.Interval))
	switch {
	case t.gone:
		return Gone
	case !t.announced && (!t.probed || silent):
		return Unknown
	case t.announced && t.last.Leaving:
		return Leaving
	case silent:
		return Silent
	case now.Before(t.introducedAt):
		return Introduced
	}
	return Ready
}

// BeginIntroduction records that peers begin to learn of a new instance. Its server gets
// no flow for introductionTime.
func (t *Tracker) BeginIntroduction(now time.Time) {
	t.introducedAt = now.Add(introductionTime)
}

// Service returns the name of the server's service, or "" while it is unknown.
func (t *Tracker) Service() string {
	return t.service
}

// SetNoPredecessor records that the store has no entry of an earlier agent of the
// instance, so that none has sent the server a flow.
func (t *Tracker) SetNoPredecessor() {
	t.noPredecessor = true
}

// NoPredecessor reports whether no earlier agent has sent the server a flow. The absence
// of an entry proves it only once the server has announced itself for the first time: one
// that has done so before may have had an agent whose entry was lost.
func (t *Tracker) NoPredecessor() bool {
	return t.noPredecessor && t.announced && !t.hadPredecessor
}

// Complete reports whether the agent has seen every packet of the flows that the
// server holds: it saw the server fail or another incarnation replace it, or the
// instance had no earlier agent.
func (t *Tracker) Complete() bool {
	return t.complete || t.NoPredecessor()
}

// Incarnation returns the id of the server's incarnation, or "" while it is unknown.
func (t *Tracker) Incarnation() string {
	if !t.announced {
		return ""
	}
	return t.last.ID + "/" + strconv.FormatInt(t.last.StartUnixMs, 10)
}

// Last returns the last announcement and the time at which it was received.
func (t *Tracker) Last() (gooseberrymast.Announcement, time.Time) {
	return t.last, t.lastContact
}

func sameIncarnation(a, b gooseberrymast.Announcement) bool {
	return a.StartUnixMs == b.StartUnixMs && a.ID == b.ID
}

func newer(a, b gooseberrymast.Announcement) bool {
	if a.StartUnixMs != b.StartUnixMs {
		return a.StartUnixMs > b.StartUnixMs
	}
	return a.Sequence > b.Sequence
}
