package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// listen lets the process read a marker every MarkerInterval.
func listen(roster *Roster, from, until time.Time) {
	for at := from; !at.After(until); at = at.Add(MarkerInterval) {
		roster.HandleMarker(at)
	}
}

func TestSilenceEndsWhereTheQueueWasRead(t *testing.T) {
	is := is.New(t)
	var roster Roster
	roster.StartListening(epoch)
	roster.HandleReport(report(1, 1, 1), epoch)
	is.Equal(get(&roster).Silence(roster.Listening()), time.Duration(0)) // later reports may wait in the queue
	listen(&roster, epoch, epoch.Add(time.Second))
	is.Equal(get(&roster).Silence(roster.Listening()), time.Second)
	is.Equal(roster.HandleMarker(epoch.Add(500*time.Millisecond)), time.Duration(0)) // a late duplicate
	is.Equal(get(&roster).Silence(roster.Listening()), time.Second)
}

// While a process is paused its queue may overflow, and a peer's reports are lost.
func TestSilenceDoesNotSpanAPause(t *testing.T) {
	is := is.New(t)
	var roster Roster
	roster.StartListening(epoch)
	roster.HandleReport(report(1, 1, 1), epoch)
	listen(&roster, epoch, epoch.Add(time.Second))
	resumed := epoch.Add(6 * time.Second)
	is.Equal(roster.HandleMarker(resumed), 5*time.Second)
	is.Equal(get(&roster).Silence(roster.Listening()), time.Duration(0))
	listen(&roster, resumed, resumed.Add(time.Second))
	is.Equal(get(&roster).Silence(roster.Listening()), time.Second)
}
