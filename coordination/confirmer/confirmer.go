// Package confirmer decides when a process reads the document from the store.
//
// Load pattern: a cluster whose instances must all confirm that their version is
// the latest, and a store that allows few reads a second. In each availability
// zone one instance reads at the pace of coordination/pacer, and its peers use its
// updates. A watch without events confirms nothing, so only reads count.
//
// Load pattern: links that delay updates. A peer that receives an update takes the
// read for more recent than it was, by the delay. If updates were passed on, two
// peers would make the read ever more recent between them, so a process reports
// only its own reads.
//
// Load pattern: a store that was restored from an earlier copy holds an older document
// than the one in force until operators have repeated their writes. A read of an
// older version confirms nothing. It still counts as a read: peers with the same
// version in force would find the same, so that the store isn't read more often than
// at other times.
package confirmer

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/pacer"
)

const (
	// Interval is the age at which the first instance of a zone reads: a third
	// of the shortest time in which a change must be in force, 3 s.
	Interval = 900 * time.Millisecond
	// MaxJoinAge is the age up to which a joining instance accepts a confirmation
	// by a peer: twice Interval, which a zone that reaches the store never
	// exceeds, and below the shortest time in which a change must be in force.
	MaxJoinAge = 2 * Interval
	// MaxJoinWait is how long a joining instance waits for a confirmation. After
	// that the store is presumably unreachable for its peers too, and an old
	// document serves callers better than none. It is the shortest time in which
	// a change must be in force.
	MaxJoinWait = 3 * time.Second
)

// Confirmer tracks the age of one process's document. Its fields are set
// before use.
type Confirmer struct {
	// Rank is the rank of the process among those of its zone that read, from 0.
	Rank int

	version gooseberrymast.DocumentVersion
	// latest is the latest version that any peer has reported.
	latest gooseberrymast.DocumentVersion
	// confirmed is when the version was last confirmed as the latest, by any
	// update; ownRead is when the process itself read it, zero if it didn't.
	confirmed time.Time
	ownRead   time.Time
	// read is when the store's document was last read, whichever version was found, by
	// the process or a peer with the same version in force. storeRead is the process's
	// own last such read.
	read      time.Time
	storeRead time.Time
	pacer     pacer.Pacer
}

// Due reports whether the store must be read now.
func (c *Confirmer) Due(now time.Time) bool {
	last := c.read
	if c.confirmed.After(last) {
		last = c.confirmed
	}
	return c.pacer.Due(last, Interval, c.Rank, now)
}

// BeginRead records that a read has begun.
func (c *Confirmer) BeginRead() {
	c.pacer.BeginRead()
}

// HandleRead records that a read which began at a time found a version. It reports
// whether the version replaces the one in force: it is newer, or has the same number
// with other content or another revision. The store decides between contents with one
// number, so that all instances end up with the same.
func (c *Confirmer) HandleRead(version gooseberrymast.DocumentVersion, began time.Time) (replaces bool) {
	c.pacer.EndRead()
	c.storeRead = began
	c.recordRead(began)
	if c.version.Newer(version) {
		return false
	}
	replaces = version != c.version
	c.version = version
	if c.latest.Newer(version) {
		c.ownRead = time.Time{}
		return replaces
	}
	c.ownRead = began
	c.confirm(began)
	return replaces
}

// HandleFailedRead records that a read failed.
func (c *Confirmer) HandleFailedRead(now time.Time) {
	c.pacer.FailRead(now)
}

// HandleAbsent records that the store has no document: operators have not written it
// yet, or not again after a restore. The first version comes from a peer or the next
// read.
func (c *Confirmer) HandleAbsent(now time.Time) {
	if c.version.IsZero() {
		c.pacer.Postpone(now)
		return
	}
	c.pacer.AbortRead()
	c.storeRead = now
	c.recordRead(now)
}

// HandleStatus processes a peer's update. It reports whether the peer holds a newer
// version, which must then be fetched.
func (c *Confirmer) HandleStatus(update gooseberrymast.DocumentStatus, now time.Time) (fetch bool) {
	if update.Version.Newer(c.latest) {
		c.latest = update.Version
	}
	if update.Version.Newer(c.version) {
		return true
	}
	if c.version.IsZero() || !update.Version.Same(c.version) {
		return false
	}
	if update.Read {
		c.recordRead(now.Add(-update.ReadAge))
	}
	if update.Confirmed && !c.latest.Newer(c.version) {
		c.confirm(now.Add(-update.Age))
	}
	return false
}

// HandleFetched records that a version was fetched from a peer. It reports whether
// the version is newer than the one in force.
func (c *Confirmer) HandleFetched(version gooseberrymast.DocumentVersion) (newer bool) {
	if !version.Newer(c.version) {
		return false
	}
	c.version, c.ownRead = version, time.Time{}
	return true
}

// Usable reports whether an instance that has run for a time since it joined may
// serve callers by the document that it holds.
func (c *Confirmer) Usable(now time.Time, running time.Duration) bool {
	if c.version.IsZero() {
		return false
	}
	if running >= MaxJoinWait {
		return true
	}
	return !c.latest.Newer(c.version) && !c.confirmed.IsZero() && now.Sub(c.confirmed) <= MaxJoinAge
}

// Status returns the update for the peers. It has the ages of the process's own reads
// only.
func (c *Confirmer) Status(now time.Time) gooseberrymast.DocumentStatus {
	update := gooseberrymast.DocumentStatus{Version: c.version}
	if !c.ownRead.IsZero() {
		update.Age, update.Confirmed = now.Sub(c.ownRead), true
	}
	if !c.storeRead.IsZero() {
		update.ReadAge, update.Read = now.Sub(c.storeRead), true
	}
	return update
}

// Age returns the time since the version was last confirmed as the latest; known
// is false when nothing has confirmed any version.
func (c *Confirmer) Age(now time.Time) (age time.Duration, known bool) {
	return now.Sub(c.confirmed), !c.confirmed.IsZero()
}

func (c *Confirmer) recordRead(at time.Time) {
	if at.After(c.read) {
		c.read = at
	}
}

func (c *Confirmer) confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}
