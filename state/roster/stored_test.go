package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// storedEntry returns the entry of the agent that report describes, as one of its processes
// wrote it.
func storedEntry(incarnation, version uint64) Stored {
	peer := report(1, 1, 1).Peer
	peer.Incarnation, peer.Sequence, peer.State = 0, 0, gooseberrymast.StateStarting
	return Stored{Peer: peer, Incarnation: incarnation, Version: version}
}

// Guards against an agent that is taken for the last one at its address, which has ended:
// its entry is all that a balancer has of it.
func TestEntryOfLaterProcessIsASignOfLife(t *testing.T) {
	later := epoch.Add(time.Minute)
	tests := []struct {
		name  string
		entry Stored
		// alive is set if the entry is of a process that was not heard.
		alive bool
	}{
		{"of the process that has ended", storedEntry(5, 9), false},
		{"of a later process", storedEntry(6, 9), true},
		{"of a process whose clock went back", storedEntry(4, 9), true},
		{"seen before", storedEntry(6, 8), false},
		{"of an earlier build", storedEntry(0, 9), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var roster Roster
			ended := report(1, 5, 7)
			ended.Peer.State = gooseberrymast.StateGone
			roster.HandleReport(ended, epoch)
			known := storedEntry(5, 8)
			roster.HandleStored([]Stored{known}, epoch)
			is.Equal(get(&roster).State, gooseberrymast.StateGone)
			is.Equal(roster.HandleStored([]Stored{test.entry}, later), test.alive)
			found := get(&roster)
			is.Equal(found.State != gooseberrymast.StateGone, test.alive)
			if test.alive {
				is.Equal(found.UpdatedAt, later)
				is.True(found.ReportedAt.IsZero())
				roster.HandleReport(ended, later) // a late one
				is.True(get(&roster).State != gooseberrymast.StateGone || test.entry.Incarnation < 5)
			}
		})
	}
}

// Guards against a list that makes agents which are long gone doubtful again and again.
func TestEntryOfForgottenAgentIsNoSignOfLife(t *testing.T) {
	is := is.New(t)
	var roster Roster
	roster.StartListening(epoch)
	roster.HandleReport(report(1, 5, 1), epoch)
	other := report(1, 1, 1)
	other.Peer.Endpoint.IP[3] = 77
	for at := epoch; !at.After(epoch.Add(ForgetAfter + time.Second)); at = at.Add(MarkerInterval) {
		other.Peer.Sequence++
		roster.HandleReport(other, at)
		roster.HandleMarker(at)
	}
	now := epoch.Add(ForgetAfter + time.Second)
	is.Equal(len(roster.Expire(now)), 1)
	is.True(!roster.HandleStored([]Stored{storedEntry(5, 3)}, now))
	is.True(roster.HandleStored([]Stored{storedEntry(6, 4)}, now)) // the next process at the address
}

// Guards against an entry that can't be decoded and is taken for none: an agent that is not
// known may stand behind it.
func TestUnreadableEntries(t *testing.T) {
	is := is.New(t)
	var roster Roster
	odd := Stored{Peer: gooseberrymast.Peer{Endpoint: report(1, 1, 1).Peer.Endpoint}, Unreadable: true, Version: 3}
	roster.HandleStored([]Stored{odd}, epoch)
	is.Equal(len(roster.Entries(nil)), 0)
	is.Equal(roster.UnreadableSince(), epoch)
	roster.HandleStored([]Stored{odd}, epoch.Add(time.Second))
	is.Equal(roster.UnreadableSince(), epoch) // the same version
	odd.Version++
	roster.HandleStored([]Stored{odd}, epoch.Add(2*time.Second))
	is.Equal(roster.UnreadableSince(), epoch.Add(2*time.Second))
	roster.HandleReport(report(1, 1, 1), epoch.Add(3*time.Second))
	roster.HandleStored([]Stored{odd}, epoch.Add(3*time.Second))
	is.True(roster.UnreadableSince().IsZero())
	is.True(get(&roster).Unreadable) // it may hold flows of any address
	roster.HandleStored([]Stored{storedEntry(1, 5)}, epoch.Add(4*time.Second))
	is.True(!get(&roster).Unreadable)
}
