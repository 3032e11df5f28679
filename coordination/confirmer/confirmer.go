// Package confirmer decides when a process reads the document from the store.
//
// Load pattern: a fleet whose instances all need to know that their version
// is the latest, before a store with few reads a second. In each availability
// zone one instance reads, and its peers take its news. Nobody is elected: an
// instance reads once the age of what it believes passes a limit that grows
// with its rank in the zone, so that the next one takes over by itself when
// the reader is cut off, paused or gone. A watch that hears nothing confirms
// nothing, so only reads count.
//
// Load pattern: links that delay news. A peer that hears of a read takes it for
// more recent by the delay. Were the news passed on, two peers would make it
// ever younger between them, so a process tells only of its own reads.
package confirmer

import (
	"time"

	"gooseberrymast"
)

const (
	// Interval is the age at which the first instance of a zone reads: a
	// third of the shortest time in which a change must be in force, 3 s.
	Interval = 900 * time.Millisecond
	// Stagger is the additional age for each rank: a read's round trip with
	// room for the delay of the news.
	Stagger = 250 * time.Millisecond
	// MaxRank bounds the additional age, so that every instance reads for
	// itself within the time in which a change must be in force.
	MaxRank = 3
	// RetryAfter is the pause after a read that failed.
	RetryAfter = 250 * time.Millisecond
	// FreshWithin is the age up to which a newcomer takes what a peer confirmed
	// as the latest: twice Interval, which a zone that reaches the store never
	// passes, and below the shortest time in which a change must be in force.
	FreshWithin = 2 * Interval
	// Patience is how long a newcomer waits for a confirmation. After that the
	// store is out of reach for its peers too, and an old document serves
	// callers better than none. It is the shortest time in which a change must
	// be in force.
	Patience = 3 * time.Second
	// MaxRetryAfter bounds the pause, which doubles with each failure.
	MaxRetryAfter = time.Second
)

// Confirmer tracks the age of one process's document. Its fields are set
// before use.
type Confirmer struct {
	// Rank is the process's place among those of its zone that read, from 0.
	Rank int

	version uint64
	// confirmed is when the version was the latest, by any news, and read when
	// the process itself read it; zero if it didn't.
	confirmed time.Time
	read      time.Time
	reading   bool
	retry     time.Time
	failures  int
}

// Due reports whether the store is to be read now.
func (c *Confirmer) Due(now time.Time) bool {
	if c.reading || now.Before(c.retry) {
		return false
	}
	limit := Interval + time.Duration(min(c.Rank, MaxRank))*Stagger
	return c.confirmed.IsZero() || now.Sub(c.confirmed) >= limit
}

// Began records that a read has begun.
func (c *Confirmer) Began() {
	c.reading = true
}

// Read records that a read which began at a time found a version. It reports
// whether the version is newer than the one in force.
func (c *Confirmer) Read(version uint64, began time.Time) (newer bool) {
	c.reading = false
	c.failures = 0
	if version < c.version {
		return false
	}
	newer = version > c.version
	c.version, c.read = version, began
	c.confirm(began)
	return newer
}

// Failed records that a read failed.
func (c *Confirmer) Failed(now time.Time) {
	c.reading = false
	pause := min(RetryAfter<<min(c.failures, 4), MaxRetryAfter)
	c.failures++
	c.retry = now.Add(pause)
}

// Told takes a peer's news. It reports whether the peer holds a newer version,
// which is then to be fetched.
func (c *Confirmer) Told(news gooseberrymast.DocumentNews, now time.Time) (fetch bool) {
	if news.Version > c.version {
		return true
	}
	if news.Version == c.version && news.Confirmed && c.version > 0 {
		c.confirm(now.Add(-news.Age))
	}
	return false
}

// Fetched records that a version was taken from a peer. It reports whether it
// is newer than the one in force.
func (c *Confirmer) Fetched(version uint64) (newer bool) {
	if version <= c.version {
		return false
	}
	c.version, c.read = version, time.Time{}
	return true
}

// Usable reports whether a newcomer that has run for a time may serve callers
// by what it believes.
func (c *Confirmer) Usable(now time.Time, running time.Duration) bool {
	if c.version == 0 {
		return false
	}
	return running >= Patience || !c.confirmed.IsZero() && now.Sub(c.confirmed) <= FreshWithin
}

// News gives what the process tells its peers: the age of its own read only.
func (c *Confirmer) News(now time.Time) gooseberrymast.DocumentNews {
	news := gooseberrymast.DocumentNews{Version: c.version}
	if !c.read.IsZero() {
		news.Age, news.Confirmed = now.Sub(c.read), true
	}
	return news
}

// Age gives the time since the version was the latest; known is false when
// nothing has confirmed any version.
func (c *Confirmer) Age(now time.Time) (age time.Duration, known bool) {
	return now.Sub(c.confirmed), !c.confirmed.IsZero()
}

func (c *Confirmer) confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}
