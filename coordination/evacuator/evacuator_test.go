package evacuator

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var epoch = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// list returns what a read of the store has found.
func list(era, revision uint64, zones ...string) gooseberrymast.Evacuations {
	return gooseberrymast.Evacuations{Version: gooseberrymast.EvacuationsVersion{Era: era, Revision: revision}, Zones: zones}
}

func read(e *Evacuator, found gooseberrymast.Evacuations, now time.Time) {
	e.BeginRead()
	e.HandleRead(found, now, now)
}

// A list that arrives late, from a peer or a slow read, must not end an evacuation that
// was written after it, nor bring back one that has ended.
func TestNewestListWins(t *testing.T) {
	is := is.New(t)
	e := Evacuator{Within: 5 * time.Second}
	is.Equal(len(e.Zones(epoch)), 0)
	read(&e, list(1, 5, "a"), at(0))
	e.HandleStatus(gooseberrymast.EvacuationStatus{Evacuations: list(1, 4), Known: true, Read: true}, at(1))
	is.Equal(e.Zones(at(1)), []string{"a"})
	e.HandleStatus(gooseberrymast.EvacuationStatus{Evacuations: list(1, 6, "a", "b"), Known: true}, at(1))
	is.Equal(e.Zones(at(1)), []string{"a", "b"})
	read(&e, list(1, 5, "a"), at(1))
	is.Equal(e.Zones(at(1)), []string{"a", "b"})
	read(&e, list(1, 9), at(2)) // the empty list has a version, too
	is.Equal(len(e.Zones(at(2))), 0)
	e.HandleStatus(gooseberrymast.EvacuationStatus{Evacuations: list(1, 6, "a", "b"), Known: true}, at(3))
	is.Equal(len(e.Zones(at(3))), 0)
}

// A store that names no revision of the list must not freeze the first list.
func TestListsWithoutVersionAreOrderedByReadTime(t *testing.T) {
	is := is.New(t)
	e := Evacuator{Within: 5 * time.Second}
	read(&e, list(0, 0, "a"), at(1))
	e.HandleStatus(gooseberrymast.EvacuationStatus{Evacuations: list(0, 0), Known: true, Read: true, Age: time.Second}, at(1.5))
	is.Equal(e.Zones(at(2)), []string{"a"}) // it was read before
	e.HandleStatus(gooseberrymast.EvacuationStatus{Evacuations: list(0, 0), Known: true}, at(2))
	is.Equal(e.Zones(at(2)), []string{"a"}) // nobody says when it was read
	e.HandleStatus(gooseberrymast.EvacuationStatus{Evacuations: list(0, 0), Known: true, Read: true}, at(2))
	is.Equal(len(e.Zones(at(2))), 0)
}

// Operators need some seconds to write again what a restore has lost.
func TestZoneLostByRestoreStaysEvacuated(t *testing.T) {
	is := is.New(t)
	e := Evacuator{Within: 5 * time.Second}
	read(&e, list(1, 500, "a", "b"), at(0))
	is.Equal(len(e.Changes(at(0))), 2)
	read(&e, list(2, 3, "b"), at(10))
	is.Equal(e.Zones(at(19.9)), []string{"a", "b"})
	is.Equal(len(e.Changes(at(19.9))), 0)
	is.Equal(e.Zones(at(20)), []string{"b"})
	changes := e.Changes(at(20))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Cause, CauseNotRewritten)
	is.Equal(changes[0].Zone, "a")
	is.True(!changes[0].Evacuated)
}

// An entry that operators have written again and removed since must not be held, also
// not by peers that don't know.
func TestZoneWrittenAgainAfterRestoreIsObeyed(t *testing.T) {
	is := is.New(t)
	var e, late Evacuator
	for _, one := range []*Evacuator{&e, &late} {
		read(one, list(1, 500, "a"), at(0))
		read(one, list(2, 3), at(10))
	}
	read(&e, list(2, 4, "a"), at(11))
	is.Equal(e.Zones(at(25)), []string{"a"})
	read(&e, list(2, 5), at(12))
	is.Equal(len(e.Zones(at(12))), 0)
	e.HandleStatus(late.Status(at(12)), at(12))
	is.Equal(len(e.Zones(at(12))), 0)
}

// A process that starts after a restore finds the shorter list. It must learn from its
// peers what they hold, and peers must not hold a zone for each other without end.
func TestNewcomerLearnsHeldZones(t *testing.T) {
	is := is.New(t)
	var e, newcomer Evacuator
	read(&e, list(1, 500, "a"), at(0))
	read(&e, list(2, 3), at(10))
	read(&newcomer, list(2, 8), at(12))
	is.True(newcomer.HandleStatus(e.Status(at(12)), at(12.2)))
	is.Equal(newcomer.Zones(at(12.2)), []string{"a"})
	for now := at(12.2); now.Before(at(40)); now = now.Add(100 * time.Millisecond) {
		newcomer.HandleStatus(e.Status(now), now.Add(50*time.Millisecond))
		e.HandleStatus(newcomer.Status(now), now.Add(50*time.Millisecond))
		if now.After(at(20.3)) {
			is.Equal(len(newcomer.Zones(now)), 0)
			is.Equal(len(e.Zones(now)), 0)
		}
	}
}

// An outage of the store must neither end an evacuation nor hide its removal afterwards.
func TestOutageKeepsList(t *testing.T) {
	is := is.New(t)
	e := Evacuator{Within: 5 * time.Second}
	read(&e, list(1, 5, "a"), at(0))
	for seconds := 3.0; seconds < 600; seconds++ {
		if e.Due(0, at(seconds)) {
			e.BeginRead()
			e.HandleFailedRead(at(seconds))
		}
	}
	is.Equal(e.Zones(at(600)), []string{"a"})
	read(&e, list(1, 6), at(601))
	is.Equal(len(e.Zones(at(601))), 0)
}

// A process that starts must not serve before it knows the evacuated zones, unless
// nobody can tell.
func TestUsable(t *testing.T) {
	is := is.New(t)
	e := Evacuator{Within: 5 * time.Second}
	is.True(e.Due(100, at(0))) // nothing is known yet
	is.True(!e.Usable(at(2.9), 2900*time.Millisecond))
	is.True(e.Usable(at(3), MaxJoinWait))
	e.HandleStatus(gooseberrymast.EvacuationStatus{Evacuations: list(1, 5), Known: true}, at(1))
	is.True(!e.Usable(at(1), time.Second)) // the peer may be cut off
	e.HandleStatus(gooseberrymast.EvacuationStatus{Evacuations: list(1, 5), Known: true, Read: true, Age: 6 * time.Second}, at(1))
	is.True(!e.Usable(at(1), time.Second))
	e.HandleStatus(gooseberrymast.EvacuationStatus{Evacuations: list(1, 5), Known: true, Read: true, Age: time.Second}, at(1))
	is.True(e.Usable(at(1), time.Second))
}

// Processes of earlier builds send no list.
func TestUnknownStatusIsIgnored(t *testing.T) {
	is := is.New(t)
	e := Evacuator{Within: 5 * time.Second}
	read(&e, list(1, 5, "a"), at(0))
	is.True(!e.HandleStatus(gooseberrymast.EvacuationStatus{}, at(1)))
	is.Equal(e.Zones(at(1)), []string{"a"})
	is.True(!e.Due(0, at(2.4)))
	is.True(e.Due(0, at(2.5)))
}

// A list with more names than a report can carry must neither grow the reports nor
// displace the names before.
func TestLongListIsBounded(t *testing.T) {
	is := is.New(t)
	e := Evacuator{Within: 5 * time.Second}
	long := strings.Repeat("z", maxListBytes)
	dropped := e.HandleRead(list(1, 5, "a", long, "zone"), at(0), at(0))
	is.Equal(dropped, []string{long})
	is.Equal(e.Zones(at(0)), []string{"a", "zone"})
}
