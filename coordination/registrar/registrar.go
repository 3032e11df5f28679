// Package registrar keeps track of the control sessions of one process: which
// peers it holds sessions with, which sessions are silent, and which writers
// that name it as their registrar have none.
package registrar

import (
	"net/netip"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/directory"
)

// The default times of a registrar.
const (
	DefaultHeartbeatInterval = 5 * time.Second
	DefaultSessionTimeout    = 12 * time.Second
	DefaultGrace             = 3 * time.Second
)

// Session is one control session.
type Session struct {
	ID messenger.Session
	// Address is the control address that was connected to; it is zero for
	// a session that the peer opened.
	Address netip.AddrPort
	// Probe is set for a session that was opened for one repair only.
	Probe bool
	// Peer is zero until the peer's Hello.
	Peer directory.Key
	// Identity is the peer's, as its Hello says.
	Identity gooseberrymast.Identity
	// Role is zero until the peer's Hello.
	Role gooseberrymast.Role
	// Service is the peer's; zero for a balancer.
	Service gooseberrymast.ServiceTag
	// Zone is the peer's availability zone.
	Zone string
	// Revision is what the peer last said to have in force.
	Revision uint64
	// Text is the revision whose text the peer last said to hold.
	Text uint64
	// Section is the hash of its part of the document that an agent last told.
	Section uint64
	// TakesNews is set when the peer takes its news from this process.
	TakesNews bool
	// Told is the revision that the last heartbeat to the peer named.
	Told uint64
	// Beat is when the last heartbeat went to the peer. Other messages don't
	// take its place: it carries digests and acknowledgements.
	Beat time.Time
	// Asked is when the peer was last asked for its revision.
	Asked time.Time
	// Received is when the last message came.
	Received time.Time
	// Opened is when the session began.
	Opened time.Time
}

// Ready reports whether the peer's Hello has come.
func (s *Session) Ready() bool {
	return s.Peer != 0
}

// Registrar holds the sessions. The zero value has none.
type Registrar struct {
	// HeartbeatInterval is the time between two heartbeats on one session.
	HeartbeatInterval time.Duration
	// SessionTimeout is the silence after which a session is closed.
	SessionTimeout time.Duration
	// Grace is the time that a writer has to come back after its session
	// was lost.
	Grace time.Duration

	sessions []*Session
	// missing holds the writers that name this process without a session.
	missing map[directory.Key]time.Time
}

// Open adds a session.
func (r *Registrar) Open(now time.Time, id messenger.Session, address netip.AddrPort) *Session {
	s := &Session{ID: id, Address: address, Received: now, Beat: now, Opened: now}
	r.sessions = append(r.sessions, s)
	return s
}

// Close drops a session and gives it, or nil when it is unknown.
func (r *Registrar) Close(id messenger.Session) *Session {
	i := slices.IndexFunc(r.sessions, func(s *Session) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	s := r.sessions[i]
	r.sessions = slices.Delete(r.sessions, i, i+1)
	return s
}

// Get gives a session, or nil when it is unknown.
func (r *Registrar) Get(id messenger.Session) *Session {
	for _, s := range r.sessions {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// Sessions lists the sessions, the oldest first. The caller must not change
// the list.
func (r *Registrar) Sessions() []*Session {
	return r.sessions
}

// With gives the oldest ready session with a peer, or nil.
func (r *Registrar) With(peer directory.Key) *Session {
	for _, s := range r.sessions {
		if s.Peer == peer && s.Ready() {
			return s
		}
	}
	return nil
}

// To gives a session that was opened to a control address, or nil.
func (r *Registrar) To(control netip.AddrPort) *Session {
	for _, s := range r.sessions {
		if s.Address == control {
			return s
		}
	}
	return nil
}

// Silent lists the sessions on which nothing came for too long.
func (r *Registrar) Silent(now time.Time) []messenger.Session {
	timeout := orDefault(r.SessionTimeout, DefaultSessionTimeout)
	var silent []messenger.Session
	for _, s := range r.sessions {
		if now.Sub(s.Received) >= timeout {
			silent = append(silent, s.ID)
		}
	}
	return silent
}

// DueHeartbeats lists the ready sessions on which no heartbeat was sent for its
// interval.
func (r *Registrar) DueHeartbeats(now time.Time) []*Session {
	interval := orDefault(r.HeartbeatInterval, DefaultHeartbeatInterval)
	var due []*Session
	for _, s := range r.sessions {
		if s.Ready() && now.Sub(s.Beat) >= interval {
			due = append(due, s)
		}
	}
	return due
}

// Lost lists the writers among dependents, which name this process as their
// registrar, that had no session for the grace period.
func (r *Registrar) Lost(now time.Time, dependents []directory.Key) []directory.Key {
	grace := orDefault(r.Grace, DefaultGrace)
	missing := make(map[directory.Key]time.Time)
	var lost []directory.Key
	for _, key := range dependents {
		if r.With(key) != nil {
			continue
		}
		since, known := r.missing[key]
		if !known {
			since = now
		}
		missing[key] = since
		if now.Sub(since) >= grace {
			lost = append(lost, key)
		}
	}
	r.missing = missing
	return lost
}

func orDefault(value, standard time.Duration) time.Duration {
	if value == 0 {
		return standard
	}
	return value
}
