// Package tracker tracks the state of an agent's backend server by the server's
// announcements.
//
// Load pattern: servers that crash, start again at the same address, and whose
// announcements arrive late after a partition. An announcement of an earlier
// incarnation, or one that arrives after a later one, is ignored. An agent that has
// restarted may receive late ones first: it ignores those of another service, of an
// incarnation before the one that its predecessor recorded, and of another server than
// the health check names, and concludes nothing from a server that is followed by
// another before it has shown that it lives.
package tracker

import (
	"errors"
	"strconv"
	"strings"
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
	ErrForeignService = errors.New("the announcement names another service")
	ErrSuperseded     = errors.New("a later announcement is known")
	ErrOtherInstance  = errors.New("another server is known at the address")
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
	// Service is the service that the instance's settings name; empty if any is
	// accepted.
	Service string
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
	// since is when the incarnation's first announcement was accepted.
	since time.Time
	// stored is the incarnation that an earlier agent recorded; its ID is empty if none
	// is known.
	stored gooseberrymast.Announcement
	// instance is the ID that the last health check named; empty if none did.
	instance string
	// challenger is the last announcement that was ignored in favour of another
	// incarnation, and challengerSince is when the first one of its incarnation was.
	challenger      gooseberrymast.Announcement
	challengerSince time.Time
	// introducedAt is when all balancers know a new instance; zero for one that is known.
	introducedAt time.Time
}

// HandleAnnouncement processes an announcement. The error is the reason for which
// it is ignored; restarted is set when it is the first of a new incarnation and the one
// before was alive while this agent ran. Otherwise the announcements of the one before
// may have been late, and the new one may have taken flows of an earlier agent.
func (t *Tracker) HandleAnnouncement(announcement gooseberrymast.Announcement, now time.Time) (restarted bool, err error) {
	if announcement.Service == "" || announcement.ID == "" {
		return false, ErrIncomplete
	}
	if announcement.Address != t.Address {
		return false, ErrForeignAddress
	}
	if t.Service != "" && announcement.Service != t.Service {
		return false, ErrForeignService
	}
	if reason := t.reasonToIgnore(announcement); reason != nil {
		if !t.persists(announcement, now) {
			return false, reason
		}
		// The health check may name servers otherwise than announcements do.
		t.instance = ""
	}
	another := !t.announced || !sameIncarnation(announcement, t.last)
	restarted = t.announced && another && (t.gone || t.witnessed())
	if another {
		t.since = now
	}
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

// reasonToIgnore returns the reason for which an announcement seems not to be the
// server's, or nil.
func (t *Tracker) reasonToIgnore(announcement gooseberrymast.Announcement) error {
	known := t.last
	if !t.announced {
		known = t.stored
	}
	switch {
	case t.instance != "" && announcement.ID != t.instance:
		return ErrOtherInstance
	case known.ID == "" || t.instance != "" && known.ID != t.instance:
		// Nothing is known, or the health check has shown that it has ended.
		return nil
	case newer(announcement, known) || !t.announced && sameIncarnation(announcement, known):
		return nil
	case announcement.ID != known.ID:
		return ErrOtherInstance
	}
	return ErrSuperseded
}

// persists reports whether an incarnation that seems to have ended goes on announcing
// itself while no other does: a server whose clock went back, for example.
func (t *Tracker) persists(announcement gooseberrymast.Announcement, now time.Time) bool {
	switch {
	case t.announced && sameIncarnation(announcement, t.last) && announcement.Sequence <= t.last.Sequence:
		return false
	case !sameIncarnation(announcement, t.challenger):
		t.challenger, t.challengerSince = announcement, now
	case announcement.Sequence > t.challenger.Sequence:
		t.challenger = announcement
	default:
		return false
	}
	return t.silent(now) && now.Sub(t.challengerSince) > t.silenceLimit()
}

// witnessIntervals is the number of intervals after which an incarnation that has gone on
// announcing itself was not one that had ended: a server that is alive announces itself
// once an interval, and would have taken its place.
const witnessIntervals = 1.75

// witnessed reports whether the incarnation that announced itself last was alive while
// this agent ran.
func (t *Tracker) witnessed() bool {
	return t.announced && t.lastContact.Sub(t.since) >= time.Duration(witnessIntervals*float64(t.Interval))
}

// RestoreIncarnation records the server's incarnation that an earlier agent recorded, as
// Incarnation returned it there.
func (t *Tracker) RestoreIncarnation(incarnation string) {
	separator := strings.LastIndexByte(incarnation, '/')
	if separator < 0 {
		return
	}
	start, err := strconv.ParseInt(incarnation[separator+1:], 10, 64)
	if err == nil {
		t.stored = gooseberrymast.Announcement{ID: incarnation[:separator], StartUnixMs: start}
	}
}

// HandleDeparture processes the server's message that it ends. It is ignored if the agent
// can't be sure that it is the server's and not late: a server that has ended is then
// found failed.
func (t *Tracker) HandleDeparture(id string, startUnixMs int64) error {
	if t.announced && (id != t.last.ID || startUnixMs != 0 && startUnixMs < t.last.StartUnixMs) {
		return ErrSuperseded
	}
	t.gone = t.gone || t.witnessed()
	return nil
}

// Ended reports whether the server has announced its end, or was found failed.
func (t *Tracker) Ended() bool {
	return t.gone
}

// MarkFailed records that the server was found failed, with all of its flows.
func (t *Tracker) MarkFailed() {
	t.gone, t.failed = true, true
}

// HandleProbe records the result of a health check. Its state counts only while the
// server has not announced itself.
func (t *Tracker) HandleProbe(report gooseberrymast.HealthReport, now time.Time) {
	if report.Healthy || report.Instance != "" {
		t.instance = report.Instance
	}
	if t.announced {
		return
	}
	t.service, t.probed, t.lastContact = t.Service, report.Healthy, now
}

// Status returns the server's status.
func (t *Tracker) Status(now time.Time) Status {
	silent := t.silent(now)
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

func (t *Tracker) silent(now time.Time) bool {
	return now.Sub(t.lastContact) > t.silenceLimit()
}

func (t *Tracker) silenceLimit() time.Duration {
	return time.Duration(silentIntervals * float64(t.Interval))
}

// ServiceName returns the name of the server's service, or "" while it is unknown.
func (t *Tracker) ServiceName() string {
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
