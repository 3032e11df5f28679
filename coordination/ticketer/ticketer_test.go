package ticketer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self  = gooseberrymast.Identity{Address: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 3}
)

func TestTicketIsSpentOnce(t *testing.T) {
	is := is.New(t)
	issuer := Issuer{Self: self, Service: 7}
	ticket := issuer.Issue()
	is.True(issuer.Spend(ticket))
	is.True(!issuer.Spend(ticket))
	issuer.Release(ticket) // the request did not run
	is.True(issuer.Spend(ticket))
}

func TestStatusOfTicket(t *testing.T) {
	issuer := Issuer{Self: self, Service: 7}
	first := issuer.Issue()
	for range Window {
		issuer.Issue()
	}
	last := issuer.Issue()
	earlier := last
	earlier.Issuer.Incarnation--
	other := last
	other.Service++
	future := last
	future.Sequence++
	tests := []struct {
		name   string
		ticket gooseberrymast.Ticket
		status Status
	}{
		{"fresh", last, StatusUnused},
		{"older than the window", first, StatusUsed},
		{"of an earlier incarnation", earlier, StatusForeign},
		{"of another service", other, StatusForeign},
		{"never issued", future, StatusNever},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(issuer.Status(test.ticket), test.status)
			is.Equal(issuer.Spend(test.ticket), test.status == StatusUnused)
			issuer.Release(first) // a ticket older than the window stays used
			is.Equal(issuer.Status(first), StatusUsed)
		})
	}
}

func TestForgottenRequestMustNotRun(t *testing.T) {
	is := is.New(t)
	var history History
	is.Equal(history.Outcome(self, 5), OutcomeUnknown)
	history.Set(epoch, self, 5, OutcomeNotRun)
	for id := gooseberrymast.WorkID(6); id < MaxHistory+6; id++ {
		history.Set(epoch, self, id, OutcomeAccepted)
	}
	is.Equal(history.Outcome(self, 5), OutcomeForgotten) // removed because of the limit on the number
	is.Equal(history.Outcome(self, 4), OutcomeForgotten)
	is.Equal(history.Outcome(self, 6), OutcomeAccepted)
	history.Set(epoch.Add(MaxHistoryAge), self, MaxHistory+100, OutcomeAccepted)
	is.Equal(history.Outcome(self, MaxHistory), OutcomeForgotten) // removed because of its age
	is.Equal(history.Outcome(self, MaxHistory+99), OutcomeUnknown)
}

func TestEarlierIncarnationIsForgotten(t *testing.T) {
	is := is.New(t)
	var history History
	history.Set(epoch, self, 5, OutcomeAccepted)
	next := self
	next.Incarnation++
	is.Equal(history.Outcome(next, 5), OutcomeUnknown)
	history.Set(epoch, next, 1, OutcomeAccepted)
	is.Equal(history.Outcome(self, 5), OutcomeForgotten)
	is.Equal(history.Outcome(self, 9), OutcomeForgotten)
}
