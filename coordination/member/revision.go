package member

import (
	"errors"
	"fmt"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/adopter"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/coordination/registrar"
)

// keepers is the number of agents of each balancer that hold the whole document
// whatever it says of their service, so that it outlives all balancers.
const keepers = 2

// offer notes the revision in force for a peer that lacks its text, along the
// tree; other peers ask when the tree fails them. An agent is told over one of
// its sessions; one whose service isn't concerned learns
// the number alone, with a heartbeat.
func (m *Member) offer(s *registrar.Session) {
	number := m.adopter.Current.Number
	if !s.Ready() || s.Text >= number || m.offered[s.ID] >= number || m.adopter.TextNumber != number {
		return
	}
	if !s.TakesNews && s.ID != m.primary {
		return
	}
	gap := time.Duration(0)
	if s.Role == gooseberrymast.RoleAgent {
		if s.Section == m.adopter.Section(s.Service) && !m.keeps(s) {
			return
		}
		gap = agentRevisionInterval
	}
	m.offered[s.ID] = number
	m.spreader.NoteRevision(s.ID, gap)
}

// keeps reports whether an agent is one of the balancer's keepers.
func (m *Member) keeps(s *registrar.Session) bool {
	before := 0
	for _, other := range m.registrar.Sessions() {
		if other == s {
			return before < keepers
		}
		if other.Role == gooseberrymast.RoleAgent && other.TakesNews {
			before++
		}
	}
	return false
}

// tellNumbers tells agents the number of a revision that doesn't concern their
// service.
func (m *Member) tellNumbers(now time.Time) {
	number := m.adopter.Current.Number
	for _, s := range m.registrar.Sessions() {
		if s.Role == gooseberrymast.RoleAgent && s.TakesNews && s.Revision < number && s.Told < number &&
			m.offered[s.ID] < number && now.Sub(s.Beat) >= acknowledgeInterval {
			m.sendHeartbeat(now, s, false)
		}
	}
}

// catchUp asks for the revision of a peer that has a higher one and doesn't
// send it by itself, as when the peer that news is taken from is dead but
// not yet known to be.
func (m *Member) catchUp(now time.Time) {
	for _, s := range m.registrar.Sessions() {
		if s.Ready() && s.Revision > m.adopter.Current.Number && now.Sub(s.Received) >= m.catchUpDelay() && now.Sub(s.Asked) >= askInterval {
			s.Asked = now
			m.sendHeartbeat(now, s, true)
		}
	}
}

// catchUpDelay is the time that a peer with a higher revision has to send it. An
// agent's balancer sends revisions less often than peers do.
func (m *Member) catchUpDelay() time.Duration {
	if m.isBalancer() {
		return time.Second
	}
	return agentRevisionInterval + time.Second
}

// acknowledge tells the peer that news is taken from which revision is in
// force, unless it was told something a moment ago.
func (m *Member) acknowledge(now time.Time) {
	s := m.registrar.Get(m.primary)
	if m.isBalancer() || s == nil {
		return
	}
	if s.Told != m.adopter.Current.Number && now.Sub(s.Beat) >= acknowledgeInterval {
		m.sendHeartbeat(now, s, false)
	}
}

func (m *Member) receiveRevision(now time.Time, s *registrar.Session, packed *messenger.Revision) {
	s.Revision = max(s.Revision, packed.Number)
	s.Text = max(s.Text, packed.Number)
	if packed.Number <= m.adopter.TextNumber || packed.Number < m.adopter.Current.Number {
		return
	}
	revision, err := m.adopter.Unpack(packed)
	if errors.Is(err, adopter.ErrNoBase) {
		m.sendHeartbeat(now, s, true)
		return
	}
	if err != nil {
		m.Counters.Refusals++
		m.fault(fmt.Errorf("Member.receiveRevision from %s: %w", s.Identity, err))
		return
	}
	m.adopt(now, revision)
}

// adopt offers a revision to the adopter and passes it on when it came into
// force.
func (m *Member) adopt(now time.Time, revision gooseberrymast.Revision) {
	adopted, err := m.adopter.Offer(revision)
	if err != nil {
		m.Counters.Refusals++
		m.fault(fmt.Errorf("Member.adopt: %w", err))
	}
	if adopted {
		m.inForceNow(now)
	}
}

// inForceNow tells everyone of a revision that came into force.
func (m *Member) inForceNow(now time.Time) {
	m.Counters.Adoptions++
	if m.inForce.IsZero() {
		m.inForce = now
	}
	m.actions.Adopted = &Adopted{Revision: m.adopter.Current, Document: m.adopter.Document}
	for _, s := range m.registrar.Sessions() {
		m.offer(s)
	}
}

// report passes the counts of revisions on towards the root.
func (m *Member) report(now time.Time) {
	if !m.isBalancer() {
		return
	}
	report, due := m.reporter.Due(now, m.primary, m.Identity(), m.adopter.Current.Number)
	if due {
		m.send(m.primary, &messenger.Message{Report: &report})
	}
}
