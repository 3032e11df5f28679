package ejector

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

// newEjector returns an ejector with a number of members, the first of which are
// failing.
func newEjector(members, failingCount int) *Ejector {
	e := &Ejector{MaxEjected: 0.3}
	var all []netip.AddrPort
	for n := range members {
		all = append(all, member(n))
	}
	e.Retain(all)
	for n := range failingCount {
		for range FailureThreshold {
			e.RecordFailure(epoch.Add(time.Duration(n)), member(n))
		}
	}
	return e
}

func TestNumberOfEjectedIsBounded(t *testing.T) {
	tests := []struct {
		name                      string
		members, failing, ejected int
	}{
		{"none fails", 7, 0, 0},
		{"one fails", 7, 1, 1},
		{"no more than the share", 7, 4, 2},
		{"one of few", 3, 1, 1},
		{"one of few is the most", 3, 2, 1},
		{"all fail", 7, 7, 0},
		{"the only one fails", 1, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newEjector(test.members, test.failing)
			is.Equal(e.EjectedCount(), test.ejected)
			is.Equal(e.Ejected(member(0)), test.ejected > 0) // the longest failing is ejected first
		})
	}
}

func TestFailedProbesDoubleThePause(t *testing.T) {
	is := is.New(t)
	e := newEjector(7, 1)
	at := epoch
	for _, pause := range []time.Duration{InitialPause, 2 * InitialPause, 4 * InitialPause} {
		is.True(!e.ProbeDue(at.Add(pause-1), member(0)))
		at = at.Add(pause)
		is.True(e.ProbeDue(at, member(0)))
		e.StartProbe(at, member(0))
		is.True(!e.ProbeDue(at, member(0))) // only one probe at a time
		e.RecordFailure(at, member(0))
	}
	is.True(e.RecordSuccess(member(0)))
	is.True(!e.Ejected(member(0)))
}

func TestSuccessResetsConsecutiveFailures(t *testing.T) {
	is := is.New(t)
	e := newEjector(7, 0)
	for range 3 * FailureThreshold {
		e.RecordFailure(epoch, member(1))
		e.RecordSuccess(member(1))
	}
	is.Equal(e.EjectedCount(), 0)
}
