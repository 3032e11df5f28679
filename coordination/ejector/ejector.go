// Package ejector stops the use of backend servers that fail real requests, but
// never of all servers of a service.
package ejector

import (
	"net/netip"
	"slices"
	"time"
)

// Thresholds and times of ejection.
const (
	// FailureThreshold is the number of consecutive failures that eject a server.
	FailureThreshold = 5
	// InitialPause is the time from the ejection to the first probe.
	InitialPause = time.Second
	// MaxPause limits the pause, which doubles with each failed probe.
	MaxPause = 30 * time.Second
)

// Ejector tracks failures of the backend servers of one service, which it
// identifies by their agents' addresses. The zero value ejects no server until
// Retain sets the members.
type Ejector struct {
	// MaxEjected is the share of the members that may be ejected at the same time.
	// One member may always be ejected while another is in use.
	MaxEjected float64

	members int
	servers map[netip.AddrPort]*record
	// ejected contains the ejected members; selectEjected derives it from servers.
	ejected map[netip.AddrPort]bool
}

// record is the state of a member that has failed. A member without failures has
// none.
type record struct {
	failures int
	// failing is set by FailureThreshold consecutive failures and cleared by one
	// success.
	failing      bool
	failingSince time.Time
	pause        time.Duration
	probeAt      time.Time
	// probing is set while one request probes an ejected server.
	probing bool
}

// Retain sets the members and removes the state of all others.
func (e *Ejector) Retain(members []netip.AddrPort) {
	keep := make(map[netip.AddrPort]*record, len(e.servers))
	for _, member := range members {
		if r := e.servers[member]; r != nil {
			keep[member] = r
		}
	}
	e.servers = keep
	e.members = len(members)
	e.selectEjected()
}

// RecordSuccess records an answer to a real request, which ends an ejection, and reports
// whether the server had been failing.
func (e *Ejector) RecordSuccess(member netip.AddrPort) (recovered bool) {
	r := e.servers[member]
	if r == nil {
		return false
	}
	delete(e.servers, member)
	if r.failing {
		e.selectEjected()
	}
	return r.failing
}

// RecordFailure records the failure of a real request.
func (e *Ejector) RecordFailure(now time.Time, member netip.AddrPort) {
	r := e.servers[member]
	if r == nil {
		r = &record{}
		if e.servers == nil {
			e.servers = map[netip.AddrPort]*record{}
		}
		e.servers[member] = r
	}
	r.failures++
	if r.failures < FailureThreshold {
		return
	}
	if !r.failing {
		r.failing, r.failingSince, r.pause = true, now, InitialPause
		e.selectEjected()
	} else if r.probing {
		r.pause = min(2*r.pause, MaxPause)
	}
	r.probing = false
	r.probeAt = now.Add(r.pause)
}

// Ejected reports whether the member must get no requests except probes.
func (e *Ejector) Ejected(member netip.AddrPort) bool {
	return e.ejected[member]
}

// ProbeDue reports whether an ejected member may be probed with one request.
func (e *Ejector) ProbeDue(now time.Time, member netip.AddrPort) bool {
	r := e.servers[member]
	return r != nil && !r.probing && !now.Before(r.probeAt)
}

// StartProbe records that one request probes an ejected member.
func (e *Ejector) StartProbe(now time.Time, member netip.AddrPort) {
	if r := e.servers[member]; r != nil {
		r.probing = true
		// If no result is reported, another probe is allowed after MaxPause.
		r.probeAt = now.Add(MaxPause)
	}
}

// RecordInconclusiveProbe records that a probe ended without showing whether the server
// has recovered.
func (e *Ejector) RecordInconclusiveProbe(now time.Time, member netip.AddrPort) {
	if r := e.servers[member]; r != nil && r.probing {
		r.probing = false
		r.probeAt = now.Add(r.pause)
	}
}

// EjectedCount returns the number of ejected members.
func (e *Ejector) EjectedCount() int {
	return len(e.ejected)
}

// selectEjected ejects the members that have been failing longest, up to the allowed
// number, and none if all members are failing.
func (e *Ejector) selectEjected() {
	e.ejected = map[netip.AddrPort]bool{}
	failing := e.failingMembers()
	if len(failing) >= e.members {
		return
	}
	allowed := max(1, int(e.MaxEjected*float64(e.members)))
	for _, member := range failing[:min(len(failing), allowed)] {
		e.ejected[member] = true
	}
}

// failingMembers lists the failing members, the longest failing first.
func (e *Ejector) failingMembers() []netip.AddrPort {
	var all []netip.AddrPort
	for member, r := range e.servers {
		if r.failing {
			all = append(all, member)
		}
	}
	slices.SortFunc(all, func(a, b netip.AddrPort) int {
		if order := e.servers[a].failingSince.Compare(e.servers[b].failingSince); order != 0 {
			return order
		}
		return a.Compare(b)
	})
	return all
}
