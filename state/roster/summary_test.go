package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// summaryOf returns a relay's summary of one agent of zone b.
func summaryOf(silence time.Duration, heard bool, incarnation uint64) gooseberrymast.Summary {
	agent := peer(1, incarnation, 0)
	agent.Zone = "b"
	return gooseberrymast.Summary{Zone: "b", Peers: []gooseberrymast.PeerSummary{{
		Peer: agent, Load: gooseberrymast.FlowLoad{InProgress: 3}, Silence: silence, Heard: heard,
	}}}
}

// listened returns the span of a process that has listened all the while.
func listened(until time.Time) Listening {
	return Listening{Since: epoch.Add(-time.Hour), Until: until}
}

func get(roster *Roster) Entry {
	entry, _ := roster.Get(peer(1, 0, 0).Endpoint)
	return entry
}

func TestSummaryAgesCountUntilItArrived(t *testing.T) {
	is := is.New(t)
	roster := Roster{Zone: "a"}
	is.Equal(len(roster.HandleSummary(summaryOf(100*time.Millisecond, true, 1), epoch)), 1)
	is.Equal(len(roster.HandleSummary(summaryOf(100*time.Millisecond, true, 1), epoch)), 0)
	is.Equal(get(&roster).ReportedAt, epoch.Add(-100*time.Millisecond))
	is.Equal(get(&roster).Load.InProgress, 3)
	is.True(get(&roster).Relayed)
	// Without another summary nothing new is known.
	later := epoch.Add(StaleViewAfter - 1)
	is.Equal(get(&roster).Silence(listened(later)), 100*time.Millisecond)
	is.True(get(&roster).Reporting(later))
	is.True(!get(&roster).Reporting(epoch.Add(StaleViewAfter)))
	// However long summaries are missing, that is no silence of the agent.
	is.Equal(get(&roster).Silence(listened(epoch.Add(time.Hour))), 100*time.Millisecond)
	is.Equal(get(&roster).AskedSilence(listened(epoch.Add(time.Hour))), time.Duration(0))
	// The relay says that the agent is silent.
	roster.HandleSummary(summaryOf(2*time.Second, true, 1), epoch.Add(1900*time.Millisecond))
	is.Equal(get(&roster).Silence(listened(epoch.Add(2*time.Second))), 2*time.Second)
	is.True(!get(&roster).Reporting(epoch.Add(2 * time.Second)))
}

// A relay that has just started knows only that the agent was silent since then.
func TestSummaryOfANewRelayProvesNoLongerSilence(t *testing.T) {
	is := is.New(t)
	roster := Roster{Zone: "a"}
	roster.HandleSummary(summaryOf(0, true, 1), epoch)
	later := epoch.Add(4 * time.Second)
	roster.HandleSummary(summaryOf(300*time.Millisecond, false, 1), later)
	is.Equal(get(&roster).Silence(Listening{Since: epoch, Until: later}), 300*time.Millisecond)
}

func TestSummariesOfTwoRelaysAreOneReport(t *testing.T) {
	is := is.New(t)
	roster := Roster{Zone: "a"}
	roster.HandleSummary(summaryOf(100*time.Millisecond, true, 1), epoch)
	first := get(&roster).ReportedAt
	roster.HandleSummary(summaryOf(90*time.Millisecond, true, 1), epoch)
	is.Equal(get(&roster).ReportedAt, first) // flows placed since the report still count
	roster.HandleSummary(summaryOf(400*time.Millisecond, true, 1), epoch.Add(10*time.Millisecond))
	is.Equal(get(&roster).ReportedAt, first) // the other relay has heard it since
}

func TestSummaryOfAnOlderIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	roster := Roster{Zone: "a"}
	roster.HandleSummary(summaryOf(0, true, 5), epoch)
	is.Equal(len(roster.HandleSummary(summaryOf(0, true, 4), epoch.Add(time.Second))), 0)
	is.Equal(get(&roster).Incarnation, uint64(5))
	is.Equal(get(&roster).ViewedAt, epoch)
	roster.HandleSummary(summaryOf(time.Second, false, 6), epoch.Add(time.Second))
	is.True(get(&roster).ReportedAt.IsZero()) // the new incarnation has not reported
}

func TestSummaryOfTheOwnZoneIsIgnored(t *testing.T) {
	is := is.New(t)
	roster := Roster{Zone: "b"}
	is.Equal(len(roster.HandleSummary(summaryOf(0, true, 1), epoch)), 0)
	_, found := roster.Get(peer(1, 0, 0).Endpoint)
	is.True(!found)
}

// A peer of another zone that reports directly is judged by its own reports.
func TestDirectReportsGoBeforeSummaries(t *testing.T) {
	is := is.New(t)
	roster := Roster{Zone: "a"}
	direct := report(1, 1, 0)
	direct.Peer.Zone = "b"
	roster.HandleReport(direct, epoch)
	is.True(!get(&roster).Relayed)
	roster.HandleSummary(summaryOf(5*time.Second, false, 1), epoch.Add(SilentAfter-1))
	is.True(!get(&roster).Relayed)
	roster.HandleSummary(summaryOf(5*time.Second, false, 1), epoch.Add(SilentAfter))
	is.True(get(&roster).Relayed) // its reports have ended
	direct.Relayed = true
	roster.HandleReport(direct, epoch.Add(time.Second))
	is.True(get(&roster).Relayed)
	is.Equal(get(&roster).ReportedAt, epoch.Add(time.Second))
}

// Guards against an agent that is taken for silent although nobody who can hear it has
// listened: its zone's only balancer is cut off.
func TestSilenceOfUnheardPeerCountsOnceItWasAsked(t *testing.T) {
	const interval = 400 * time.Millisecond
	is := is.New(t)
	roster := Roster{Zone: "a"}
	roster.HandleSummary(summaryOf(0, true, 1), epoch)
	now := epoch.Add(time.Minute)
	ask := func(times int) {
		for range times {
			now = now.Add(interval)
			roster.MarkAsked([]gooseberrymast.Endpoint{peer(1, 0, 0).Endpoint, peer(2, 0, 0).Endpoint}, now)
		}
	}
	silence := func() time.Duration { return get(&roster).AskedSilence(listened(now)) }
	ask(MaxQuestions - 1)
	is.Equal(silence(), time.Duration(0))
	ask(1)
	is.Equal(silence(), (MaxQuestions-1)*interval)
	is.Equal(get(&roster).AskedSilence(Listening{Since: now.Add(-time.Second), Until: now}), time.Second)
	answer := report(1, 1, 0)
	answer.Peer.Zone, answer.Relayed = "b", true
	roster.HandleReport(answer, now)
	is.Equal(silence(), time.Duration(0))
	ask(MaxQuestions)
	is.True(silence() > 0)
	roster.HandleSummary(summaryOf(0, true, 1), now)
	is.Equal(silence(), time.Duration(0))
	ask(MaxQuestions / 2)
	now = now.Add(maxQuestionGap) // the process was paused
	ask(MaxQuestions / 2)
	is.Equal(silence(), time.Duration(0))
}
