// Package ejector takes backend servers out of use that fail real requests,
// and never so many that a service is left without.
package ejector

import (
	"net/netip"
	"slices"
	"time"
)

// The constants of ejection.
const (
	// Failures is the number of failures in a row that eject.
	Failures = 5
	// FirstPause is the time until the first probe.
	FirstPause = time.Second
	// MaxPause bounds the pause, which doubles with each failed probe.
	MaxPause = 30 * time.Second
)

// Ejector judges the backend servers of one service by their agents'
// addresses. The zero value ejects nobody until Retain names the members.
type Ejector struct {
	// MaxEjected is the share of the members that may be out at once. One
	// may always be out as long as another is left.
	MaxEjected float64

	members int
	servers map[netip.AddrPort]*server
	// out holds the ejected members; refresh derives it from servers.
	out map[netip.AddrPort]bool
}

// server is a member that has failed. Members without failures have none.
type server struct {
	failures int
	// ill is set by Failures failures in a row and cleared by one success.
	ill      bool
	illSince time.Time
	pause    time.Duration
	probeAt  time.Time
	// probing is set while one request tries an ejected server.
	probing bool
}

// Retain forgets all but the named members.
func (e *Ejector) Retain(members []netip.AddrPort) {
	keep := make(map[netip.AddrPort]*server, len(e.servers))
	for _, member := range members {
		if one := e.servers[member]; one != nil {
			keep[member] = one
		}
	}
	e.servers = keep
	e.members = len(members)
	e.refresh()
}

// Succeeded reports a real answer, which ends an ejection, and tells whether
// there was one.
func (e *Ejector) Succeeded(member netip.AddrPort) (recovered bool) {
	one := e.servers[member]
	if one == nil {
		return false
	}
	delete(e.servers, member)
	if one.ill {
		e.refresh()
	}
	return one.ill
}

// Failed reports a real failure.
func (e *Ejector) Failed(now time.Time, member netip.AddrPort) {
	one := e.servers[member]
	if one == nil {
		one = &server{}
		if e.servers == nil {
			e.servers = map[netip.AddrPort]*server{}
		}
		e.servers[member] = one
	}
	one.failures++
	if one.failures < Failures {
		return
	}
	if !one.ill {
		one.ill, one.illSince, one.pause = true, now, FirstPause
		e.refresh()
	} else if one.probing {
		one.pause = min(2*one.pause, MaxPause)
	}
	one.probing = false
	one.probeAt = now.Add(one.pause)
}

// Ejected reports whether the member must get no work but a probe.
func (e *Ejector) Ejected(member netip.AddrPort) bool {
	return e.out[member]
}

// ProbeDue reports whether an ejected member may be tried with one request.
func (e *Ejector) ProbeDue(now time.Time, member netip.AddrPort) bool {
	one := e.servers[member]
	return one != nil && !one.probing && !now.Before(one.probeAt)
}

// Probe marks that one request tries an ejected member.
func (e *Ejector) Probe(now time.Time, member netip.AddrPort) {
	if one := e.servers[member]; one != nil {
		one.probing = true
		// A probe without a verdict makes room for another.
		one.probeAt = now.Add(MaxPause)
	}
}

// ProbeLost reports that a probe ended without a verdict.
func (e *Ejector) ProbeLost(now time.Time, member netip.AddrPort) {
	if one := e.servers[member]; one != nil && one.probing {
		one.probing = false
		one.probeAt = now.Add(one.pause)
	}
}

// Out gives the number of members that are ejected.
func (e *Ejector) Out() int {
	return len(e.out)
}

// refresh chooses the ejected among the members that fail: the longest
// failing, as many as may be out, and none when all fail.
func (e *Ejector) refresh() {
	e.out = map[netip.AddrPort]bool{}
	ill := e.ill()
	if len(ill) >= e.members {
		return
	}
	allowed := max(1, int(e.MaxEjected*float64(e.members)))
	for _, member := range ill[:min(len(ill), allowed)] {
		e.out[member] = true
	}
}

// ill lists the members that fail, the longest first.
func (e *Ejector) ill() []netip.AddrPort {
	var all []netip.AddrPort
	for member, one := range e.servers {
		if one.ill {
			all = append(all, member)
		}
	}
	slices.SortFunc(all, func(one, other netip.AddrPort) int {
		if order := e.servers[one].illSince.Compare(e.servers[other].illSince); order != 0 {
			return order
		}
		return one.Compare(other)
	})
	return all
}
