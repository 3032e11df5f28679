package confirmer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/pacer"
)

// maxChangeDelay is the shortest time in which a change must be in force.
const maxChangeDelay = 3 * time.Second

var epoch = time.Unix(1000, 0)

// numbered returns a version of the operators' document.
func numbered(number uint64) gooseberrymast.DocumentVersion {
	return gooseberrymast.DocumentVersion{Number: number, Digest: number}
}

func TestReadsByAgeAndRank(t *testing.T) {
	tests := []struct {
		rank int
		age  time.Duration
		due  bool
	}{
		{0, Interval - time.Millisecond, false},
		{0, Interval, true},
		{1, Interval, false},
		{1, Interval + pacer.RankDelay, true},
		{pacer.MaxRank, Interval + pacer.MaxRank*pacer.RankDelay, true},
		{100, Interval + pacer.MaxRank*pacer.RankDelay, true},
	}
	for _, test := range tests {
		is := is.New(t)
		confirmer := Confirmer{Rank: test.rank}
		is.True(confirmer.Due(epoch)) // nothing is confirmed
		confirmer.BeginRead()
		is.True(!confirmer.Due(epoch))
		is.True(confirmer.HandleRead(numbered(7), epoch))
		is.Equal(confirmer.Due(epoch.Add(test.age)), test.due)
	}
}

func TestStaleReadIsIgnored(t *testing.T) {
	is := is.New(t)
	var confirmer Confirmer
	is.True(confirmer.HandleRead(numbered(7), epoch))
	is.True(!confirmer.HandleRead(numbered(6), epoch.Add(time.Second))) // a stale read
	update := confirmer.Status(epoch.Add(time.Second))
	is.Equal(update.Version, numbered(7))
	is.Equal(update.Age, time.Second) // the stale read confirms nothing
	is.True(!confirmer.HandleFetched(numbered(7)))
	is.True(confirmer.HandleFetched(numbered(8)))
}

func TestPeerUpdateConfirmsSameVersionOnly(t *testing.T) {
	is := is.New(t)
	var confirmer Confirmer
	confirmer.HandleRead(numbered(7), epoch)
	later := epoch.Add(Interval)
	is.True(!confirmer.HandleStatus(gooseberrymast.DocumentStatus{Version: numbered(7), Age: 100 * time.Millisecond, Confirmed: true}, later))
	is.True(!confirmer.Due(later)) // a peer of the zone has read
	is.True(!confirmer.HandleStatus(gooseberrymast.DocumentStatus{Version: numbered(6), Confirmed: true}, later))
	age, known := confirmer.Age(later)
	is.True(known)
	is.Equal(age, 100*time.Millisecond)             // an update with an older version confirms nothing
	is.Equal(confirmer.Status(later).Age, Interval) // a peer's read is not passed on
	is.True(confirmer.HandleStatus(gooseberrymast.DocumentStatus{Version: numbered(8)}, later))
}

func TestFailedReadsBackOff(t *testing.T) {
	is := is.New(t)
	var confirmer Confirmer
	now := epoch
	var reads int
	for now.Before(epoch.Add(10 * time.Second)) {
		if confirmer.Due(now) {
			confirmer.BeginRead()
			confirmer.HandleFailedRead(now)
			reads++
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(reads > 9 && reads < 15) // one a second once backed off
}

// The first reader of a zone loses its connection to the store just before a
// change. The change must still be in force at all instances in time.
func TestChangeIsInForceWhenFirstReaderIsCutOff(t *testing.T) {
	is := is.New(t)
	const instances = 4
	const callTimeout = 700 * time.Millisecond
	var zone [instances]Confirmer
	for rank := range zone {
		zone[rank].Rank = rank
		zone[rank].HandleRead(numbered(1), epoch)
	}
	changedAt := epoch.Add(Interval - time.Millisecond)
	var timeouts [instances]time.Time
	var inForce [instances]time.Time
	for now := epoch; now.Before(changedAt.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for i := range zone {
			c := &zone[i]
			if c.pacer.Reading() && !now.Before(timeouts[i]) {
				c.HandleFailedRead(now)
			}
			if !c.Due(now) {
				continue
			}
			c.BeginRead()
			if i == 0 {
				timeouts[i] = now.Add(callTimeout) // cut off: the call has no answer
				continue
			}
			version := uint64(1)
			if !now.Before(changedAt) {
				version = 2
			}
			c.HandleRead(numbered(version), now)
		}
		for i := range zone {
			for j := range zone {
				if update := zone[j].Status(now); zone[i].HandleStatus(update, now) {
					zone[i].HandleFetched(update.Version)
				}
			}
			if inForce[i].IsZero() && zone[i].Status(now).Version == numbered(2) {
				inForce[i] = now
			}
		}
	}
	for i := range inForce {
		is.True(!inForce[i].IsZero() && inForce[i].Sub(changedAt) < maxChangeDelay)
	}
}

// A balancer joins while its peers hold a document that a later one may have
// replaced. It must wait for a recent confirmation, but not for ever.
func TestJoiningInstanceWaitsForRecentDocument(t *testing.T) {
	const running = 500 * time.Millisecond
	tests := []struct {
		name    string
		prepare func(c *Confirmer)
		running time.Duration
		want    bool
	}{
		{"no document", func(*Confirmer) {}, time.Minute, false},
		{"a document of unknown age", func(c *Confirmer) { c.HandleFetched(numbered(7)) }, running, false},
		{"a peer's old confirmation", func(c *Confirmer) {
			c.HandleFetched(numbered(7))
			c.HandleStatus(gooseberrymast.DocumentStatus{Version: numbered(7), Age: 5 * time.Second, Confirmed: true}, epoch)
		}, running, false},
		{"a peer's old confirmation, after the longest wait", func(c *Confirmer) {
			c.HandleFetched(numbered(7))
			c.HandleStatus(gooseberrymast.DocumentStatus{Version: numbered(7), Age: 5 * time.Second, Confirmed: true}, epoch)
		}, MaxJoinWait, true},
		{"a peer's recent confirmation", func(c *Confirmer) {
			c.HandleFetched(numbered(7))
			c.HandleStatus(gooseberrymast.DocumentStatus{Version: numbered(7), Age: time.Second, Confirmed: true}, epoch)
		}, running, true},
		{"its own read", func(c *Confirmer) { c.HandleRead(numbered(7), epoch) }, running, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var c Confirmer
			test.prepare(&c)
			is.Equal(c.Usable(epoch, test.running), test.want)
		})
	}
}

// Peers exchange a confirmation over slow links while the store is not read. It
// must age at each of them instead of being renewed.
func TestReceivedConfirmationsAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	const delay, interval = 300 * time.Millisecond, 400 * time.Millisecond
	var peers [3]Confirmer
	for i := range peers {
		peers[i].HandleFetched(numbered(7))
	}
	peers[0].HandleRead(numbered(7), epoch)
	for at := epoch; at.Before(epoch.Add(5 * time.Second)); at = at.Add(interval) {
		var updates [len(peers)]gooseberrymast.DocumentStatus
		for i := range peers {
			updates[i] = peers[i].Status(at)
		}
		for i := range peers {
			for j, update := range updates {
				if i != j {
					peers[i].HandleStatus(update, at.Add(delay))
				}
			}
		}
		for i := range peers {
			due := at.Add(delay).Sub(epoch) >= Interval+delay
			is.Equal(peers[i].Due(at.Add(delay)), due || i == 0 && at.Add(delay).Sub(epoch) >= Interval)
		}
	}
}

// Before the operators' first document all instances wait for it. They must not read
// as often as after a failure.
func TestAbsentDocumentIsReadOnceASecond(t *testing.T) {
	is := is.New(t)
	var c Confirmer
	c.BeginRead()
	c.HandleAbsent(epoch)
	is.True(!c.Due(epoch.Add(pacer.MaxRetryAfter - 1)))
	is.True(c.Due(epoch.Add(pacer.MaxRetryAfter)))
}
