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
	issuer.Release(ticket) // its request did not run
	is.True(issuer.Spend(ticket))
}

func TestStatus(t *testing.T) {
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
		{"of an earlier life", earlier, StatusForeign},
		{"of another service", other, StatusForeign},
		{"never issued", future, StatusNever},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(issuer.Status(test.ticket), test.status)
			is.Equal(issuer.Spend(test.ticket), test.status == StatusUnused)
			issuer.Release(first) // what fell out of the window can't come back
			is.Equal(issuer.Status(first), StatusUsed)
		})
	}
}

func TestMemoryForgetsToTheSafeSide(t *testing.T) {
	is := is.New(t)
	var memory Memory
	is.Equal(memory.Fate(self, 5), FateUnknown)
	memory.Set(epoch, self, 5, FateRefused)
	for id := gooseberrymast.WorkID(6); id < MemoryCount+6; id++ {
		memory.Set(epoch, self, id, FateTaken)
	}
	is.Equal(memory.Fate(self, 5), FateForgotten) // pushed out by count
	is.Equal(memory.Fate(self, 4), FateForgotten)
	is.Equal(memory.Fate(self, 6), FateTaken)
	memory.Set(epoch.Add(MemoryTime), self, MemoryCount+100, FateTaken)
	is.Equal(memory.Fate(self, MemoryCount), FateForgotten) // pushed out by time
	is.Equal(memory.Fate(self, MemoryCount+99), FateUnknown)
}

func TestMemoryOfAnEarlierLife(t *testing.T) {
	is := is.New(t)
	var memory Memory
	memory.Set(epoch, self, 5, FateTaken)
	next := self
	next.Incarnation++
	is.Equal(memory.Fate(next, 5), FateUnknown)
	memory.Set(epoch, next, 1, FateTaken)
	is.Equal(memory.Fate(self, 5), FateForgotten)
	is.Equal(memory.Fate(self, 9), FateForgotten)
}
