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

// failing gives an ejector of a number of members, of which the first ones fail.
func failing(members, ill int) *Ejector {
	e := &Ejector{MaxEjected: 0.3}
	var all []netip.AddrPort
	for n := range members {
		all = append(all, member(n))
	}
	e.Retain(all)
	for n := range ill {
		for range Failures {
			e.Failed(epoch.Add(time.Duration(n)), member(n))
		}
	}
	return e
}

func TestEjectedAtOnce(t *testing.T) {
	tests := []struct {
		name              string
		members, ill, out int
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
			e := failing(test.members, test.ill)
			is.Equal(e.Out(), test.out)
			is.Equal(e.Ejected(member(0)), test.out > 0) // the longest failing is out first
		})
	}
}

func TestProbe(t *testing.T) {
	is := is.New(t)
	e := failing(7, 1)
	at := epoch
	for _, pause := range []time.Duration{FirstPause, 2 * FirstPause, 4 * FirstPause} {
		is.True(!e.ProbeDue(at.Add(pause-1), member(0)))
		at = at.Add(pause)
		is.True(e.ProbeDue(at, member(0)))
		e.Probe(at, member(0))
		is.True(!e.ProbeDue(at, member(0))) // a single one
		e.Failed(at, member(0))
	}
	is.True(e.Succeeded(member(0)))
	is.True(!e.Ejected(member(0)))
}

func TestSuccessBreaksTheRow(t *testing.T) {
	is := is.New(t)
	e := failing(7, 0)
	for range 3 * Failures {
		e.Failed(epoch, member(1))
		e.Succeeded(member(1))
	}
	is.Equal(e.Out(), 0)
}
