package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

const interval = 800 * time.Millisecond

var (
	epoch  = time.Unix(1000, 0)
	server = gooseberrymast.Endpoint{IP: [4]byte{10, 1, 0, 1}, Port: 8080}
)

func announcement(startUnixMs int64, sequence uint64) gooseberrymast.Announcement {
	return gooseberrymast.Announcement{ID: "i-1", StartUnixMs: startUnixMs, Sequence: sequence, Service: "ledger", Address: server}
}

func TestIgnoredAnnouncements(t *testing.T) {
	foreign := announcement(2, 9)
	foreign.Address.Port++
	nameless := announcement(2, 9)
	nameless.Service = ""
	tests := []struct {
		name string
		late gooseberrymast.Announcement
		want error
	}{
		{"same sequence", announcement(2, 5), ErrSuperseded},
		{"overtaken", announcement(2, 4), ErrSuperseded},
		{"an earlier incarnation, after a partition", announcement(1, 99), ErrSuperseded},
		{"another server's address", foreign, ErrForeignAddress},
		{"no service", nameless, ErrIncomplete},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tracker := Tracker{Address: server, Interval: interval}
			leaving := announcement(2, 5)
			leaving.Leaving = true
			_, err := tracker.HandleAnnouncement(leaving, epoch)
			is.NoErr(err)
			restarted, err := tracker.HandleAnnouncement(test.late, epoch)
			is.Equal(err, test.want)
			is.True(!restarted)
			is.Equal(tracker.Status(epoch), Leaving)
		})
	}
}

func TestStatusByProbeAnnouncementAndDeparture(t *testing.T) {
	is := is.New(t)
	tracker := Tracker{Address: server, Interval: interval}
	is.Equal(tracker.Status(epoch), Unknown)
	tracker.HandleProbe("ledger", true, epoch)
	is.Equal(tracker.Status(epoch), Ready) // a restarted agent need not wait for an announcement
	is.Equal(tracker.Service(), "ledger")
	_, err := tracker.HandleAnnouncement(announcement(1, 7), epoch)
	is.NoErr(err)
	tracker.HandleProbe("receipts", false, epoch)
	is.Equal(tracker.Service(), "ledger") // an announcement takes precedence over a probe
	is.Equal(tracker.Status(epoch.Add(2*interval)), Ready)
	is.Equal(tracker.Status(epoch.Add(3*interval)), Silent)
	is.Equal(tracker.HandleDeparture("i-0", 0), ErrSuperseded)
	is.NoErr(tracker.HandleDeparture("i-1", 1))
	is.Equal(tracker.Status(epoch), Gone)
}

func TestNewIncarnationWithSameIDIsRestart(t *testing.T) {
	is := is.New(t)
	tracker := Tracker{Address: server, Interval: interval}
	restarted, err := tracker.HandleAnnouncement(announcement(1, 7), epoch)
	is.NoErr(err)
	is.True(!restarted)
	restarted, err = tracker.HandleAnnouncement(announcement(2, 1), epoch)
	is.NoErr(err)
	is.True(restarted)
	is.Equal(tracker.HandleDeparture("i-1", 1), ErrSuperseded) // the departure of the earlier incarnation
	is.Equal(tracker.Status(epoch), Ready)
}

func TestCompleteAfterFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	fresh := Tracker{Address: server, Interval: interval}
	is.True(!fresh.Complete())
	_, err := fresh.HandleAnnouncement(announcement(1, 1), epoch)
	is.NoErr(err)
	is.True(fresh.Complete()) // the server's first announcement

	late := Tracker{Address: server, Interval: interval}
	_, err = late.HandleAnnouncement(announcement(1, 7), epoch)
	is.NoErr(err)
	is.True(!late.Complete()) // the server had flows before the agent started
	_, err = late.HandleAnnouncement(announcement(2, 3), epoch)
	is.NoErr(err)
	is.True(late.Complete()) // a new incarnation, whichever announcement was lost
}

// After a power loss the server is up before the agent, and its first announcement
// is lost. The agent must then rely on the incarnation of its predecessor.
func TestCompleteByPredecessor(t *testing.T) {
	for predecessor, complete := range map[string]bool{"": true, "i-1/1": true, "i-1/2": false} {
		is := is.New(t)
		tracker := Tracker{Address: server, Interval: interval}
		_, err := tracker.HandleAnnouncement(announcement(2, 2), epoch)
		is.NoErr(err)
		is.True(!tracker.Complete())
		tracker.SetPredecessor(predecessor)
		is.Equal(tracker.Complete(), complete)
	}
}

func TestFailedServerIsReadyAfterNextAnnouncement(t *testing.T) {
	is := is.New(t)
	tracker := Tracker{Address: server, Interval: interval}
	_, err := tracker.HandleAnnouncement(announcement(1, 7), epoch)
	is.NoErr(err)
	tracker.MarkFailed()
	is.Equal(tracker.Status(epoch), Gone)
	_, err = tracker.HandleAnnouncement(announcement(1, 8), epoch)
	is.NoErr(err)
	is.Equal(tracker.Status(epoch), Ready)
}
