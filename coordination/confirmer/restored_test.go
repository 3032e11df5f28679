package confirmer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

func TestOlderDocumentOfRestoredStoreNeitherRegressesNorConfirms(t *testing.T) {
	is := is.New(t)
	var c Confirmer
	// The older document has the higher revision.
	inForce := gooseberrymast.DocumentVersion{Number: 14, Revision: 50, Digest: 1}
	older := gooseberrymast.DocumentVersion{Number: 11, Revision: 60, Digest: 2}
	c.HandleRead(inForce, epoch)
	later := epoch.Add(Interval)
	is.True(!c.HandleRead(older, later))
	status := c.Status(later)
	is.Equal(status.Version, inForce)
	is.Equal(status.Age, Interval) // not confirmed
	is.Equal(status.ReadAge, time.Duration(0))
	is.True(!c.HandleStatus(gooseberrymast.DocumentStatus{Version: older, Confirmed: true}, later))
	is.True(!c.HandleFetched(older))
	is.True(!c.Due(later.Add(Interval - 1))) // nor is it read at once again
	is.True(c.Due(later.Add(Interval)))
}

func TestJoiningInstanceDoesNotReadOlderDocumentAtOnceAgain(t *testing.T) {
	is := is.New(t)
	var c Confirmer
	c.HandleStatus(gooseberrymast.DocumentStatus{Version: numbered(14)}, epoch)
	c.HandleRead(numbered(11), epoch)
	is.True(!c.Due(epoch.Add(Interval - 1)))
	is.True(c.Due(epoch.Add(Interval)))
}

// The store holds an older document than all instances of a zone, or none. They read it
// no more often than a current one: the first in rank once per interval.
func TestRestoredStoreIsReadAsSeldomAsBefore(t *testing.T) {
	const absent = 0
	const instances, tick, reportInterval, gap = 12, 90 * time.Millisecond, 400 * time.Millisecond, 20 * time.Second
	reads := func(found uint64) (count int) {
		var zone [instances]Confirmer
		for rank := range zone {
			zone[rank].Rank = rank
			zone[rank].HandleRead(numbered(14), epoch)
		}
		lastReport := epoch
		for now := epoch; now.Before(epoch.Add(gap)); now = now.Add(tick) {
			for i := range zone {
				if !zone[i].Due(now) {
					continue
				}
				count++
				if found == absent {
					zone[i].HandleAbsent(now)
				} else {
					zone[i].HandleRead(numbered(found), now)
				}
			}
			if now.Sub(lastReport) < reportInterval {
				continue
			}
			lastReport = now
			for i := range zone {
				for j := range zone {
					zone[i].HandleStatus(zone[j].Status(now), now)
				}
			}
		}
		return count
	}
	is := is.New(t)
	is.Equal(reads(11), reads(14))
	is.Equal(reads(absent), reads(14))
}

// An instance that starts while the store holds an older document must not serve by
// it as soon as a peer has reported a later one.
func TestJoiningInstanceDoesNotServeByDocumentOfRestoredStore(t *testing.T) {
	report := gooseberrymast.DocumentStatus{Version: numbered(14), Age: 4 * time.Second, Confirmed: true}
	tests := []struct {
		name    string
		prepare func(c *Confirmer) (fetch bool)
		running time.Duration
		want    bool
	}{
		{"report before read", func(c *Confirmer) bool {
			fetch := c.HandleStatus(report, epoch)
			c.HandleRead(numbered(11), epoch)
			return fetch && c.HandleStatus(report, epoch)
		}, MaxJoinAge, false},
		{"read before report", func(c *Confirmer) bool {
			c.HandleRead(numbered(11), epoch)
			return c.HandleStatus(report, epoch)
		}, MaxJoinAge, false},
		{"read again after the report", func(c *Confirmer) bool {
			c.HandleRead(numbered(11), epoch)
			fetch := c.HandleStatus(report, epoch)
			c.HandleRead(numbered(11), epoch)
			return fetch
		}, MaxJoinAge, false},
		{"a peer with the same older document", func(c *Confirmer) bool {
			fetch := c.HandleStatus(report, epoch)
			c.HandleFetched(numbered(11))
			c.HandleStatus(gooseberrymast.DocumentStatus{Version: numbered(11), Confirmed: true}, epoch)
			return fetch
		}, MaxJoinAge, false},
		{"after the longest wait", func(c *Confirmer) bool {
			c.HandleRead(numbered(11), epoch)
			return c.HandleStatus(report, epoch)
		}, MaxJoinWait, true},
		{"fetched and found in the store again", func(c *Confirmer) bool {
			fetch := c.HandleStatus(report, epoch)
			c.HandleFetched(numbered(14))
			c.HandleRead(numbered(14), epoch)
			return fetch
		}, MaxJoinAge, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var c Confirmer
			is.True(test.prepare(&c))
			is.Equal(c.Usable(epoch, test.running), test.want)
		})
	}
}

// Operators repeat their writes after a restore. The document then has another
// revision, which may be lower.
func TestRepeatedWriteOfSameDocumentConfirms(t *testing.T) {
	is := is.New(t)
	var c, peer Confirmer
	first := gooseberrymast.DocumentVersion{Number: 14, Revision: 50, Digest: 1}
	repeated := gooseberrymast.DocumentVersion{Number: 14, Revision: 31, Digest: 1}
	c.HandleRead(first, epoch)
	peer.HandleRead(first, epoch)
	later := epoch.Add(2 * time.Second)
	is.True(c.HandleRead(repeated, later))
	is.Equal(c.Status(later), gooseberrymast.DocumentStatus{Version: repeated, Confirmed: true, Read: true})
	is.True(!peer.HandleStatus(c.Status(later), later)) // nothing to fetch
	age, known := peer.Age(later)
	is.True(known)
	is.Equal(age, time.Duration(0))
}

// Two contents were written under one number. All instances must end up with the one
// that the store holds, in the time in which a change must be in force.
func TestInstancesAgreeOnContentOfOneNumber(t *testing.T) {
	is := is.New(t)
	const tick, reportInterval = 90 * time.Millisecond, 400 * time.Millisecond
	stored := gooseberrymast.DocumentVersion{Number: 14, Revision: 31, Digest: 1}
	other := gooseberrymast.DocumentVersion{Number: 14, Revision: 50, Digest: 2}
	var zone [12]Confirmer
	for rank := range zone {
		zone[rank].Rank = rank
		zone[rank].HandleRead(other, epoch)
	}
	lastReport := epoch
	for now := epoch; now.Before(epoch.Add(maxChangeDelay)); now = now.Add(tick) {
		for i := range zone {
			if zone[i].Due(now) {
				zone[i].HandleRead(stored, now)
			}
		}
		if now.Sub(lastReport) < reportInterval {
			continue
		}
		lastReport = now
		for i := range zone {
			for j := range zone {
				is.True(!zone[i].HandleStatus(zone[j].Status(now), now))
			}
		}
	}
	for i := range zone {
		is.Equal(zone[i].Status(epoch).Version, stored)
	}
}

// A peer of an earlier build reports a revision and no number.
func TestRevisionOfEarlierBuildIsNotTakenForNumber(t *testing.T) {
	is := is.New(t)
	var c Confirmer
	own := gooseberrymast.DocumentVersion{Number: 14, Revision: 30, Digest: 1}
	c.HandleRead(own, epoch)
	later := epoch.Add(time.Second)
	for _, revision := range []uint64{14, 30, 520} {
		earlier := gooseberrymast.DocumentVersion{Revision: revision}
		is.True(!c.HandleStatus(gooseberrymast.DocumentStatus{Version: earlier, Confirmed: true}, later))
		is.True(!c.HandleFetched(earlier))
		age, _ := c.Age(later)
		is.Equal(age, time.Second) // not confirmed
	}
	var joining Confirmer
	earlier := gooseberrymast.DocumentVersion{Revision: 520}
	is.True(joining.HandleStatus(gooseberrymast.DocumentStatus{Version: earlier}, epoch))
	is.True(joining.HandleFetched(earlier)) // better than none
	is.True(joining.HandleRead(own, epoch))
}
