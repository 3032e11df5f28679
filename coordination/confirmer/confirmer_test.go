package confirmer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// changeInForce is the shortest time in which a change must be in force.
const changeInForce = 3 * time.Second

var epoch = time.Unix(1000, 0)

func TestReadsByAgeAndRank(t *testing.T) {
	tests := []struct {
		rank int
		age  time.Duration
		due  bool
	}{
		{0, Interval - time.Millisecond, false},
		{0, Interval, true},
		{1, Interval, false},
		{1, Interval + Stagger, true},
		{MaxRank, Interval + MaxRank*Stagger, true},
		{100, Interval + MaxRank*Stagger, true},
	}
	for _, test := range tests {
		is := is.New(t)
		confirmer := Confirmer{Rank: test.rank}
		is.True(confirmer.Due(epoch)) // nothing is known
		confirmer.Began()
		is.True(!confirmer.Due(epoch))
		is.True(confirmer.Read(7, epoch))
		is.Equal(confirmer.Due(epoch.Add(test.age)), test.due)
	}
}

func TestNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var confirmer Confirmer
	is.True(confirmer.Read(7, epoch))
	is.True(!confirmer.Read(6, epoch.Add(time.Second))) // a stale answer
	news := confirmer.News(epoch.Add(time.Second))
	is.Equal(news.Version, uint64(7))
	is.Equal(news.Age, time.Second) // and it confirms nothing
	is.True(!confirmer.Fetched(7))
	is.True(confirmer.Fetched(8))
}

func TestNewsOfPeers(t *testing.T) {
	is := is.New(t)
	var confirmer Confirmer
	confirmer.Read(7, epoch)
	later := epoch.Add(Interval)
	is.True(!confirmer.Told(gooseberrymast.DocumentNews{Version: 7, Age: 100 * time.Millisecond, Confirmed: true}, later))
	is.True(!confirmer.Due(later)) // a peer of the zone has read
	is.True(!confirmer.Told(gooseberrymast.DocumentNews{Version: 6, Confirmed: true}, later))
	age, known := confirmer.Age(later)
	is.True(known)
	is.Equal(age, 100*time.Millisecond)           // news of an older version confirm nothing
	is.Equal(confirmer.News(later).Age, Interval) // a peer's read is not passed on
	is.True(confirmer.Told(gooseberrymast.DocumentNews{Version: 8}, later))
}

func TestFailedReadsBackOff(t *testing.T) {
	is := is.New(t)
	var confirmer Confirmer
	now := epoch
	var reads int
	for now.Before(epoch.Add(10 * time.Second)) {
		if confirmer.Due(now) {
			confirmer.Began()
			confirmer.Failed(now)
			reads++
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(reads > 9 && reads < 15) // one a second once backed off
}

// TestChangeIsInForceAlthoughTheReaderIsCutOff replays a zone whose first
// reader loses the store just before a change.
func TestChangeIsInForceAlthoughTheReaderIsCutOff(t *testing.T) {
	is := is.New(t)
	const instances = 4
	const callTimeout = 700 * time.Millisecond
	var zone [instances]Confirmer
	for rank := range zone {
		zone[rank].Rank = rank
		zone[rank].Read(1, epoch)
	}
	changed := epoch.Add(Interval - time.Millisecond)
	var ends [instances]time.Time
	var inForce [instances]time.Time
	for now := epoch; now.Before(changed.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for i := range zone {
			c := &zone[i]
			if c.reading && !now.Before(ends[i]) {
				c.Failed(now)
			}
			if !c.Due(now) {
				continue
			}
			c.Began()
			if i == 0 {
				ends[i] = now.Add(callTimeout) // cut off: the call has no answer
				continue
			}
			version := uint64(1)
			if !now.Before(changed) {
				version = 2
			}
			c.Read(version, now)
		}
		for i := range zone {
			for j := range zone {
				if news := zone[j].News(now); zone[i].Told(news, now) {
					zone[i].Fetched(news.Version)
				}
			}
			if inForce[i].IsZero() && zone[i].News(now).Version == 2 {
				inForce[i] = now
			}
		}
	}
	for i := range inForce {
		is.True(!inForce[i].IsZero() && inForce[i].Sub(changed) < changeInForce)
	}
}

// TestNewcomerWaitsForARecentDocument replays a balancer that joins while its
// peers hold a document that a later one may have replaced.
func TestNewcomerWaitsForARecentDocument(t *testing.T) {
	const running = 500 * time.Millisecond
	tests := []struct {
		name    string
		learn   func(c *Confirmer)
		running time.Duration
		want    bool
	}{
		{"no document", func(*Confirmer) {}, time.Minute, false},
		{"a document of unknown age", func(c *Confirmer) { c.Fetched(7) }, running, false},
		{"a peer's old confirmation", func(c *Confirmer) {
			c.Fetched(7)
			c.Told(gooseberrymast.DocumentNews{Version: 7, Age: 5 * time.Second, Confirmed: true}, epoch)
		}, running, false},
		{"a peer's old confirmation, in vain for long", func(c *Confirmer) {
			c.Fetched(7)
			c.Told(gooseberrymast.DocumentNews{Version: 7, Age: 5 * time.Second, Confirmed: true}, epoch)
		}, Patience, true},
		{"a peer's recent confirmation", func(c *Confirmer) {
			c.Fetched(7)
			c.Told(gooseberrymast.DocumentNews{Version: 7, Age: time.Second, Confirmed: true}, epoch)
		}, running, true},
		{"its own read", func(c *Confirmer) { c.Read(7, epoch) }, running, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var c Confirmer
			test.learn(&c)
			is.Equal(c.Usable(epoch, test.running), test.want)
		})
	}
}

// TestAgesDoNotGoInCircles replays peers that tell each other of a confirmation
// by slow links while the store is not read: what they believe must age.
func TestAgesDoNotGoInCircles(t *testing.T) {
	is := is.New(t)
	const delay, interval = 300 * time.Millisecond, 400 * time.Millisecond
	var peers [3]Confirmer
	for i := range peers {
		peers[i].Fetched(7)
	}
	peers[0].Read(7, epoch)
	for at := epoch; at.Before(epoch.Add(5 * time.Second)); at = at.Add(interval) {
		var told [len(peers)]gooseberrymast.DocumentNews
		for i := range peers {
			told[i] = peers[i].News(at)
		}
		for i := range peers {
			for j, news := range told {
				if i != j {
					peers[i].Told(news, at.Add(delay))
				}
			}
		}
		for i := range peers {
			due := at.Add(delay).Sub(epoch) >= Interval+delay
			is.Equal(peers[i].Due(at.Add(delay)), due || i == 0 && at.Add(delay).Sub(epoch) >= Interval)
		}
	}
}
