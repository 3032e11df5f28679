// Package evacuator decides which availability zones are evacuated, and when a process
// reads the operators' list of them from the store.
//
// Load pattern: operators take a whole zone out of service while it carries its full
// load. Every process must refuse new flows to it within a bound, whichever of them are
// cut off from the store, and the list must cost few reads. One instance of each zone
// reads it at the pace of coordination/pacer. Peers pass on the list with its version,
// which orders it, but only the age of their own reads: ages that are passed on over
// slow links would get younger with each hop.
//
// Load pattern: a store that was restored from an earlier copy lacks what operators
// wrote last until they have written it again. A zone that is missing from a list of a
// higher era stays evacuated for RestoreHold.
package evacuator

import (
	"maps"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/pacer"
)

const (
	// boundReserve is the part of the time in which an evacuation must be in force that
	// isn't spent on waiting for the next read. A process of the last rank takes over
	// after 1.25 s, finds that it is due within 0.1 s and reads in 0.1 s; a first-ranked
	// reader's report that is lost is repeated after 0.4 s, less than that. The rest,
	// 1 s, keeps the design bound of 4 s of 5.
	boundReserve = 2500 * time.Millisecond
	// minInterval bounds the reads a second where the time is short.
	minInterval = 500 * time.Millisecond
	// RestoreHold is how long a zone stays evacuated that a restored store no longer
	// lists: operators write again what was lost within some seconds.
	RestoreHold = 10 * time.Second
	// MaxJoinWait is how long a process that starts waits for a list. After that the
	// store is presumably out of reach for its peers too.
	MaxJoinWait = 3 * time.Second
	// maxListBytes bounds the names of one list, which is sent with each report, by the
	// size of a datagram: 30 zones with names of 30 bytes.
	maxListBytes = 900
	// maxHeld bounds the zones that a restored store has lost, as far as peers report
	// them: the names of one list.
	maxHeld = 64
)

// Interval returns the age of the last read at which the first instance of a zone reads,
// if an evacuation must be in force within a time after it was written.
func Interval(within time.Duration) time.Duration {
	return max(within-boundReserve, minInterval)
}

// Cause says why the state of a zone has changed.
type Cause string

// The causes of changes.
const (
	// CauseRead: the process read it from the store.
	CauseRead Cause = "store"
	// CausePeer: a peer reported it.
	CausePeer Cause = "peer"
	// CauseNotRewritten: operators have not written it again after a restore.
	CauseNotRewritten Cause = "not-rewritten"
)

// Change is the begin or the end of a zone's evacuation.
type Change struct {
	Zone      string
	Evacuated bool
	Cause     Cause
	// Age is the time since the list was last known to be read, if AgeKnown is set.
	Age      time.Duration
	AgeKnown bool
}

// Evacuator holds what one process knows of evacuations. Its exported fields are set
// before use. It is not safe for concurrent use.
type Evacuator struct {
	// Within is the time after which an evacuation that was written must be in force.
	Within time.Duration

	pacer pacer.Pacer
	list  gooseberrymast.Evacuations
	known bool
	// cause is how the process learned of list.
	cause Cause
	// read is when the store was last read, by this process or a peer, as far as it is
	// known; the list is at least as recent. ownRead is the process's own last read.
	read    time.Time
	ownRead time.Time
	// held are the zones that a restored store has lost in this era, with the time until
	// which they stay evacuated; zero if they were listed again. They are kept after that,
	// so that a peer that knows less can't renew them.
	held map[string]time.Time
	// inForce is what the last call of Changes found.
	inForce []string
}

// Due reports whether a process with a rank in its zone must read the list now.
func (e *Evacuator) Due(rank int, now time.Time) bool {
	return e.pacer.Due(e.read, Interval(e.Within), rank, now)
}

// BeginRead records that a read has begun.
func (e *Evacuator) BeginRead() {
	e.pacer.BeginRead()
}

// HandleFailedRead records that a read failed. The list stays as it is.
func (e *Evacuator) HandleFailedRead(now time.Time) {
	e.pacer.FailRead(now)
}

// HandleRead records that a read which began at a time found a list. Names beyond the
// bound are returned: they are not obeyed.
func (e *Evacuator) HandleRead(list gooseberrymast.Evacuations, began, now time.Time) (dropped []string) {
	e.pacer.EndRead()
	list.Zones, dropped = bounded(list.Zones)
	if e.supersedes(list, began) {
		e.adopt(list, CauseRead, true, now)
	}
	// A list that is held although it is newer than what was read contains it.
	e.recordRead(began)
	if began.After(e.ownRead) {
		e.ownRead = began
	}
	return dropped
}

// HandleStatus processes a peer's update. It reports whether Changes must be called.
func (e *Evacuator) HandleStatus(status gooseberrymast.EvacuationStatus, now time.Time) (changed bool) {
	if !status.Known || e.known && status.Version.Era < e.list.Version.Era {
		return false
	}
	var read time.Time
	if status.Read {
		read = now.Add(-status.Age)
	}
	if e.supersedes(status.Evacuations, read) {
		zones, _ := bounded(status.Zones)
		changed = !slices.Equal(zones, e.list.Zones)
		e.adopt(gooseberrymast.Evacuations{Version: status.Version, Zones: zones}, CausePeer, false, now)
	}
	if status.Read {
		e.recordRead(read)
	}
	for _, reported := range status.Held {
		if _, found := e.held[reported.Zone]; !found && len(e.held) < maxHeld && !slices.Contains(e.list.Zones, reported.Zone) {
			e.hold(reported.Zone, now.Add(min(reported.Left, RestoreHold)))
			changed = true
		}
	}
	return changed
}

// supersedes reports whether a list that was read at a time, zero if that is unknown,
// replaces the one held.
func (e *Evacuator) supersedes(list gooseberrymast.Evacuations, read time.Time) bool {
	switch {
	case !e.known || list.Version.Newer(e.list.Version):
		return true
	case e.list.Version.Newer(list.Version):
		return false
	}
	// A store that names no revision of the list gives all lists the same version.
	return read.After(e.read)
}

// adopt replaces the list held and keeps the zones evacuated that a restored store has
// lost.
func (e *Evacuator) adopt(list gooseberrymast.Evacuations, cause Cause, own bool, now time.Time) {
	if e.known && list.Version.Era > e.list.Version.Era && e.list.Version.Era > 0 {
		lost := e.Zones(now)
		e.held = nil
		for _, zone := range lost {
			e.hold(zone, now.Add(RestoreHold))
		}
	}
	for _, zone := range list.Zones {
		if _, found := e.held[zone]; found {
			e.hold(zone, time.Time{})
		}
	}
	e.list, e.known, e.cause = list, true, cause
}

func (e *Evacuator) hold(zone string, until time.Time) {
	if e.held == nil {
		e.held = map[string]time.Time{}
	}
	e.held[zone] = until
}

func (e *Evacuator) recordRead(at time.Time) {
	if at.After(e.read) {
		e.read = at
	}
}

// Zones returns the evacuated zones, sorted.
func (e *Evacuator) Zones(now time.Time) []string {
	zones := slices.Clone(e.list.Zones)
	for zone, until := range e.held {
		if now.Before(until) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Changes returns the changes since the last call.
func (e *Evacuator) Changes(now time.Time) []Change {
	current := e.Zones(now)
	if slices.Equal(current, e.inForce) {
		return nil
	}
	age, ageKnown := e.Age(now)
	var changes []Change
	for _, zone := range current {
		if !slices.Contains(e.inForce, zone) {
			changes = append(changes, Change{Zone: zone, Evacuated: true, Cause: e.cause, Age: age, AgeKnown: ageKnown})
		}
	}
	for _, zone := range e.inForce {
		if slices.Contains(current, zone) {
			continue
		}
		cause := e.cause
		if !e.held[zone].IsZero() {
			cause = CauseNotRewritten
		}
		changes = append(changes, Change{Zone: zone, Cause: cause, Age: age, AgeKnown: ageKnown})
	}
	e.inForce = current
	return changes
}

// Usable reports whether a process that has run for a time since it started may serve
// callers by what it knows.
func (e *Evacuator) Usable(now time.Time, running time.Duration) bool {
	if running >= MaxJoinWait {
		return true
	}
	return e.known && !e.read.IsZero() && now.Sub(e.read) <= e.Within
}

// Age returns the time since the list was last known to be read; known is false if it
// never was.
func (e *Evacuator) Age(now time.Time) (age time.Duration, known bool) {
	return now.Sub(e.read), !e.read.IsZero()
}

// Status returns the update for the peers.
func (e *Evacuator) Status(now time.Time) gooseberrymast.EvacuationStatus {
	if !e.known {
		return gooseberrymast.EvacuationStatus{}
	}
	status := gooseberrymast.EvacuationStatus{Evacuations: e.list, Known: true}
	if !e.ownRead.IsZero() {
		status.Age, status.Read = now.Sub(e.ownRead), true
	}
	for _, zone := range slices.Sorted(maps.Keys(e.held)) {
		if until := e.held[zone]; now.Before(until) {
			status.Held = append(status.Held, gooseberrymast.HeldZone{Zone: zone, Left: until.Sub(now)})
		}
	}
	return status
}

// bounded returns the names that fit maxListBytes, and the others.
func bounded(zones []string) (kept, dropped []string) {
	left := maxListBytes
	for _, zone := range zones {
		// A name is sent with a tag and its length.
		const overhead = 3
		if len(zone)+overhead > left {
			dropped = append(dropped, zone)
			continue
		}
		left -= len(zone) + overhead
		kept = append(kept, zone)
	}
	return kept, dropped
}
