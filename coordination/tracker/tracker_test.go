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
	tracker := Tracker{Address: server, Service: "ledger", Interval: interval}
	is.Equal(tracker.Status(epoch), Unknown)
	tracker.HandleProbe(gooseberrymast.HealthReport{Healthy: true}, epoch)
	is.Equal(tracker.Status(epoch), Ready) // a restarted agent need not wait for an announcement
	is.Equal(tracker.ServiceName(), "ledger")
	_, err := tracker.HandleAnnouncement(announcement(1, 7), epoch)
	is.NoErr(err)
	tracker.HandleProbe(gooseberrymast.HealthReport{}, epoch)
	is.Equal(tracker.ServiceName(), "ledger") // an announcement takes precedence over a probe
	is.Equal(tracker.Status(epoch.Add(2*interval)), Ready)
	is.Equal(tracker.Status(epoch.Add(3*interval)), Silent)
	is.Equal(tracker.HandleDeparture("i-0", 0), ErrSuperseded)
	is.NoErr(tracker.HandleDeparture("i-1", 1))
	is.Equal(tracker.Status(epoch), Ready) // announcement and departure may both be late
	_, err = tracker.HandleAnnouncement(announcement(1, 9), epoch.Add(2*interval))
	is.NoErr(err)
	is.NoErr(tracker.HandleDeparture("i-1", 1))
	is.Equal(tracker.Status(epoch), Gone)
}

func TestNewIncarnationWithSameIDIsRestart(t *testing.T) {
	is := is.New(t)
	tracker := Tracker{Address: server, Interval: interval}
	restarted, err := tracker.HandleAnnouncement(announcement(1, 7), epoch)
	is.NoErr(err)
	is.True(!restarted)
	_, err = tracker.HandleAnnouncement(announcement(1, 9), epoch.Add(2*interval))
	is.NoErr(err)
	restarted, err = tracker.HandleAnnouncement(announcement(2, 1), epoch.Add(2*interval))
	is.NoErr(err)
	is.True(restarted)
	is.Equal(tracker.HandleDeparture("i-1", 1), ErrSuperseded) // the departure of the earlier incarnation
	is.Equal(tracker.Status(epoch.Add(2*interval)), Ready)
}

// Guards against resets of flows that an earlier agent sent the server before its
// first announcement: only what the agent itself has seen shows that there are none.
func TestCompleteOnlyAfterEndOfServerOrWithoutPredecessor(t *testing.T) {
	announce := func(startUnixMs int64, sequence uint64) func(*Tracker) error {
		return func(t *Tracker) error {
			_, err := t.HandleAnnouncement(announcement(startUnixMs, sequence), epoch)
			return err
		}
	}
	late := func(startUnixMs int64, sequence uint64) func(*Tracker) error {
		return func(t *Tracker) error {
			_, err := t.HandleAnnouncement(announcement(startUnixMs, sequence), epoch.Add(2*interval))
			return err
		}
	}
	fail := func(t *Tracker) error { t.MarkFailed(); return nil }
	depart := func(t *Tracker) error { return t.HandleDeparture("i-1", 1) }
	probe := func(t *Tracker) error {
		t.HandleProbe(gooseberrymast.HealthReport{Healthy: true}, epoch)
		return nil
	}
	first := func(t *Tracker) error { t.SetNoPredecessor(); return nil }
	tests := []struct {
		name   string
		events []func(*Tracker) error
		want   bool
	}{
		{"nothing is known", nil, false},
		{"first announcement of an incarnation", []func(*Tracker) error{announce(1, 1)}, false},
		{"later announcement", []func(*Tracker) error{announce(1, 7)}, false},
		{"health check", []func(*Tracker) error{probe, announce(1, 1)}, false},
		{"departure that the agent can't assign", []func(*Tracker) error{depart, announce(2, 1)}, false},
		{"a new incarnation after one that may have ended before", []func(*Tracker) error{announce(1, 7), announce(2, 3)}, false},
		{"a new incarnation after one that lived", []func(*Tracker) error{announce(1, 7), late(1, 9), late(2, 3)}, true},
		{"a new incarnation after a failure", []func(*Tracker) error{announce(1, 7), fail, announce(2, 3)}, true},
		{"failed before any announcement", []func(*Tracker) error{fail, announce(2, 3)}, true},
		{"announced after it was found failed", []func(*Tracker) error{announce(1, 7), fail, announce(1, 8)}, false},
		{"no entry of an earlier agent", []func(*Tracker) error{first, announce(1, 1)}, true},
		{"no entry, no announcement yet", []func(*Tracker) error{first, probe}, false},
		{"no entry, later announcements", []func(*Tracker) error{first, announce(1, 1), announce(1, 2)}, true},
		{"no entry, though the server has announced itself to an earlier agent", []func(*Tracker) error{first, announce(1, 7)}, false},
		{"the same, looked up later", []func(*Tracker) error{announce(1, 7), first}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tracker := Tracker{Address: server, Interval: interval}
			for _, event := range test.events {
				is.NoErr(event(&tracker))
			}
			is.Equal(tracker.Complete(), test.want)
		})
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

// A balancer that doesn't know a new instance yet would prove that nobody holds the flows
// of its server.
func TestNewInstanceIsIntroducedBeforeItTakesFlows(t *testing.T) {
	is := is.New(t)
	known, recent := &Tracker{Address: server, Interval: interval}, &Tracker{Address: server, Interval: interval}
	for _, tracked := range []*Tracker{known, recent} {
		_, err := tracked.HandleAnnouncement(announcement(1, 1), epoch)
		is.NoErr(err)
	}
	recent.BeginIntroduction(epoch)
	is.Equal(known.Status(epoch), Ready)
	is.Equal(recent.Status(epoch.Add(introductionTime-1)), Introduced)
	is.Equal(recent.Status(epoch.Add(introductionTime)), Ready)
	_, err := recent.HandleAnnouncement(announcement(1, 3), epoch.Add(2*interval))
	is.NoErr(err)
	is.NoErr(recent.HandleDeparture(announcement(1, 1).ID, 0))
	is.Equal(recent.Status(epoch), Gone)
}

// Guards against a server that is taken for another one, or for one of another service,
// by announcements that arrive late at an agent that has restarted.
func TestLateAnnouncementAtRestartedAgent(t *testing.T) {
	other := announcement(9, 7)
	other.ID = "i-0"
	foreign := announcement(9, 7)
	foreign.Service = "receipts"
	named := func(id string) func(*Tracker) {
		return func(t *Tracker) { t.HandleProbe(gooseberrymast.HealthReport{Healthy: true, Instance: id}, epoch) }
	}
	recorded := func(incarnation string) func(*Tracker) {
		return func(t *Tracker) { t.RestoreIncarnation(incarnation) }
	}
	tests := []struct {
		name   string
		known  []func(*Tracker)
		given  gooseberrymast.Announcement
		reason error
	}{
		{"nothing is known", nil, announcement(1, 7), nil},
		{"another service", nil, foreign, ErrForeignService},
		{"before the recorded start", []func(*Tracker){recorded("i-1/2")}, announcement(1, 7), ErrSuperseded},
		{"the recorded incarnation", []func(*Tracker){recorded("i-1/2")}, announcement(2, 7), nil},
		{"after the recorded start", []func(*Tracker){recorded("i-1/2")}, announcement(3, 7), nil},
		{"another server before the recorded start", []func(*Tracker){recorded("i-7/10")}, other, ErrOtherInstance},
		{"an unreadable record", []func(*Tracker){recorded("x"), recorded("i-1/y")}, announcement(1, 7), nil},
		{"not the server that the health check names", []func(*Tracker){named("i-1")}, other, ErrOtherInstance},
		{"the server that the health check names", []func(*Tracker){named("i-0")}, other, nil},
		{"the health check names another than the record", []func(*Tracker){recorded("i-7/10"), named("i-0")}, other, nil},
		{"the health check no longer names one", []func(*Tracker){named("i-1"), named("")}, other, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tracker := Tracker{Address: server, Service: "ledger", Interval: interval}
			for _, event := range test.known {
				event(&tracker)
			}
			_, err := tracker.HandleAnnouncement(test.given, epoch)
			is.Equal(err, test.reason)
		})
	}
}

// Guards against a live server that is ignored for good: one whose clock went back, or
// that the health check names otherwise.
func TestServerThatGoesOnAnnouncingItselfIsKnown(t *testing.T) {
	for _, test := range []struct {
		name  string
		known func(*Tracker)
	}{
		{"recorded with a later start", func(t *Tracker) { t.RestoreIncarnation("i-1/9") }},
		{"seen with a later start", func(t *Tracker) { _, _ = t.HandleAnnouncement(announcement(9, 7), epoch) }},
		{"named otherwise", func(t *Tracker) { t.HandleProbe(gooseberrymast.HealthReport{Instance: "x"}, epoch) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tracker := Tracker{Address: server, Service: "ledger", Interval: interval}
			test.known(&tracker)
			sequence := uint64(1)
			for accepted := false; !accepted; sequence++ {
				_, err := tracker.HandleAnnouncement(announcement(2, sequence), epoch.Add(time.Duration(sequence)*interval))
				accepted = err == nil
				is.True(sequence < 10)
			}
			is.True(sequence > 4) // late ones don't go on for so long
			_, err := tracker.HandleAnnouncement(announcement(2, sequence), epoch.Add(time.Duration(sequence)*interval))
			is.NoErr(err)
		})
	}
}

// Guards against the reset of all flows of a live server by a late departure.
func TestLateDepartureAtRestartedAgent(t *testing.T) {
	is := is.New(t)
	tracker := Tracker{Address: server, Interval: interval}
	is.NoErr(tracker.HandleDeparture("i-0", 1))
	is.True(!tracker.Ended())
	_, err := tracker.HandleAnnouncement(announcement(1, 7), epoch)
	is.NoErr(err)
	is.NoErr(tracker.HandleDeparture("i-1", 1))
	is.True(!tracker.Ended())
	restarted, err := tracker.HandleAnnouncement(announcement(2, 7), epoch)
	is.NoErr(err)
	is.True(!restarted)
}
