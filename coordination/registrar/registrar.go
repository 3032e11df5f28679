// Package registrar tracks the control sessions of a process: which peers it
// has sessions with, which sessions are silent, and which processes name it as
// their registrar without having a session.
package registrar

import (
	"net/netip"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/directory"
)

// The default intervals of a registrar.
const (
	DefaultHeartbeatInterval = 5 * time.Second
	DefaultSessionTimeout    = 12 * time.Second
	DefaultGrace             = 3 * time.Second
)

// Session is the state of one control session.
type Session struct {
	ID messenger.Session
	// Address is the dialled control address; zero for a session that the peer
	// opened.
	Address netip.AddrPort
	// Probe is set for a session that was opened only to find and repair
	// differences with a random peer.
	Probe bool
	// Peer is the peer's key; zero until its Hello is received.
	Peer directory.Key
	// Identity is the peer's identity according to its Hello.
	Identity gooseberrymast.Identity
	// Role is the peer's role; zero until its Hello is received.
	Role gooseberrymast.Role
	// Service is the peer's service; zero for a balancer.
	Service gooseberrymast.ServiceTag
	// Zone is the peer's availability zone.
	Zone string
	// Revision is the peer's revision in force, as last reported.
	Revision uint64
	// TextRevision is the revision whose text the peer holds, as last reported.
	TextRevision uint64
	// SectionHash is the hash of the document's section on the agent's service,
	// as last reported.
	SectionHash uint64
	// Downstream is set when the peer has chosen this process as its primary
	// peer, the source of its updates.
	Downstream bool
	// SentRevision is the revision number in the last heartbeat to the peer.
	SentRevision uint64
	// HeartbeatSent is when the last heartbeat was sent. Other messages don't
	// replace heartbeats, which carry digests and acknowledgements.
	HeartbeatSent time.Time
	// RevisionRequested is when the peer's revision was last requested because
	// the peer had not sent it.
	RevisionRequested time.Time
	// LastReceived is when the last message was received.
	LastReceived time.Time
	// Opened is when the session was opened.
	Opened time.Time
}

// Ready reports whether the peer's Hello has been received.
func (s *Session) Ready() bool {
	return s.Peer != 0
}

// Registrar holds the sessions of a process. The zero value is ready to use.
type Registrar struct {
	// HeartbeatInterval is the time between two heartbeats on one session.
	HeartbeatInterval time.Duration
	// SessionTimeout is how long a session may be silent before it is closed.
	SessionTimeout time.Duration
	// Grace is how long a process may take to reconnect after its session was
	// lost.
	Grace time.Duration

	sessions []*Session
	// missingSince holds the processes that name this one as their registrar
	// without having a session, and since when.
	missingSince map[directory.Key]time.Time
}

// Open adds a session.
func (r *Registrar) Open(now time.Time, id messenger.Session, address netip.AddrPort) *Session {
	s := &Session{ID: id, Address: address, LastReceived: now, HeartbeatSent: now, Opened: now}
	r.sessions = append(r.sessions, s)
	return s
}

// Close removes a session and returns it, or nil if it is unknown.
func (r *Registrar) Close(id messenger.Session) *Session {
	i := slices.IndexFunc(r.sessions, func(s *Session) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	s := r.sessions[i]
	r.sessions = slices.Delete(r.sessions, i, i+1)
	return s
}

// Get returns a session, or nil if it is unknown.
func (r *Registrar) Get(id messenger.Session) *Session {
	for _, s := range r.sessions {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// Sessions returns the sessions, the oldest first. The caller must not modify
// the list.
func (r *Registrar) Sessions() []*Session {
	return r.sessions
}

// ByPeer returns the oldest ready session with a peer, or nil.
func (r *Registrar) ByPeer(peer directory.Key) *Session {
	for _, s := range r.sessions {
		if s.Peer == peer && s.Ready() {
			return s
		}
	}
	return nil
}

// ByAddress returns the oldest session that was opened to a control address, or
// nil.
func (r *Registrar) ByAddress(control netip.AddrPort) *Session {
	for _, s := range r.sessions {
		if s.Address == control {
			return s
		}
	}
	return nil
}

// Silent returns the sessions on which nothing was received for SessionTimeout.
func (r *Registrar) Silent(now time.Time) []messenger.Session {
	timeout := orDefault(r.SessionTimeout, DefaultSessionTimeout)
	var silent []messenger.Session
	for _, s := range r.sessions {
		if now.Sub(s.LastReceived) >= timeout {
			silent = append(silent, s.ID)
		}
	}
	return silent
}

// DueHeartbeats returns the ready sessions on which a heartbeat is due.
func (r *Registrar) DueHeartbeats(now time.Time) []*Session {
	interval := orDefault(r.HeartbeatInterval, DefaultHeartbeatInterval)
	var due []*Session
	for _, s := range r.sessions {
		if s.Ready() && now.Sub(s.HeartbeatSent) >= interval {
			due = append(due, s)
		}
	}
	return due
}

// LostWriters returns the processes among dependents, which name this process
// as their registrar, that have had no session for the grace period. The
// period starts with the first call that finds the session missing.
func (r *Registrar) LostWriters(now time.Time, dependents []directory.Key) []directory.Key {
	grace := orDefault(r.Grace, DefaultGrace)
	missing := make(map[directory.Key]time.Time)
	var lost []directory.Key
	for _, key := range dependents {
		if r.ByPeer(key) != nil {
			continue
		}
		since, known := r.missingSince[key]
		if !known {
			since = now
		}
		missing[key] = since
		if now.Sub(since) >= grace {
			lost = append(lost, key)
		}
	}
	r.missingSince = missing
	return lost
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
