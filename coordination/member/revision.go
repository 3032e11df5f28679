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

// maxFullDocumentAgents is the number of agents of each balancer that receive
// every revision's text even if their service's section is unchanged, so that
// the document survives the loss of all balancers.
const maxFullDocumentAgents = 2

// offerRevision schedules the revision in force for a peer that lacks its text,
// if the peer is a neighbour in the tree; other peers request it if the tree
// fails to deliver it. An agent receives it on its primary session only; one
// whose service's section is unchanged receives just the number, in a heartbeat.
func (m *Member) offerRevision(s *registrar.Session) {
	number := m.adopter.Current.Number
	if !s.Ready() || s.TextRevision >= number || m.offeredRevisions[s.ID] >= number || m.adopter.TextNumber != number {
		return
	}
	if !s.Downstream && s.ID != m.primary {
		return
	}
	gap := time.Duration(0)
	if s.Role == gooseberrymast.RoleAgent {
		if s.SectionHash == m.adopter.Section(s.Service) && !m.needsFullDocument(s) {
			return
		}
		gap = agentRevisionInterval
	}
	m.offeredRevisions[s.ID] = number
	m.spreader.QueueRevision(s.ID, gap)
}

// needsFullDocument reports whether an agent is one of the first
// maxFullDocumentAgents of this balancer.
func (m *Member) needsFullDocument(s *registrar.Session) bool {
	before := 0
	for _, other := range m.registrar.Sessions() {
		if other == s {
			return before < maxFullDocumentAgents
		}
		if other.Role == gooseberrymast.RoleAgent && other.Downstream {
			before++
		}
	}
	return false
}

// sendRevisionNumbers sends the revision number to agents whose service isn't
// affected by the revision.
func (m *Member) sendRevisionNumbers(now time.Time) {
	number := m.adopter.Current.Number
	for _, s := range m.registrar.Sessions() {
		if s.Role == gooseberrymast.RoleAgent && s.Downstream && s.Revision < number && s.SentRevision < number &&
			m.offeredRevisions[s.ID] < number && now.Sub(s.HeartbeatSent) >= acknowledgeInterval {
			m.sendHeartbeat(now, s, false)
		}
	}
}

// requestNewerRevisions requests the revision of any peer that has a higher one
// and hasn't sent it, for example because the primary peer has failed and the
// failure hasn't been detected yet.
func (m *Member) requestNewerRevisions(now time.Time) {
	for _, s := range m.registrar.Sessions() {
		if s.Ready() && s.Revision > m.adopter.Current.Number && now.Sub(s.LastReceived) >= m.revisionRequestDelay() && now.Sub(s.RevisionRequested) >= requestInterval {
			s.RevisionRequested = now
			m.sendHeartbeat(now, s, true)
		}
	}
}

// revisionRequestDelay returns how long to wait for a peer to send its higher
// revision unrequested. Balancers send revisions to agents less often than to
// each other.
func (m *Member) revisionRequestDelay() time.Duration {
	if m.isBalancer() {
		return time.Second
	}
	return agentRevisionInterval + time.Second
}

// acknowledgeRevision sends this agent's revision number to its primary peer,
// unless a heartbeat was sent within acknowledgeInterval.
func (m *Member) acknowledgeRevision(now time.Time) {
	s := m.registrar.Get(m.primary)
	if m.isBalancer() || s == nil {
		return
	}
	if s.SentRevision != m.adopter.Current.Number && now.Sub(s.HeartbeatSent) >= acknowledgeInterval {
		m.sendHeartbeat(now, s, false)
	}
}

func (m *Member) receiveRevision(now time.Time, s *registrar.Session, packed *messenger.Revision) {
	s.Revision = max(s.Revision, packed.Number)
	s.TextRevision = max(s.TextRevision, packed.Number)
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
		m.fault(fmt.Errorf("unpacking revision from %s: %w", s.Identity, err))
		return
	}
	m.adopt(now, revision)
}

// adopt passes a revision to the adopter and handles its coming into force.
func (m *Member) adopt(now time.Time, revision gooseberrymast.Revision) {
	adopted, err := m.adopter.Offer(revision)
	if err != nil {
		m.Counters.Refusals++
		m.fault(fmt.Errorf("adopting revision: %w", err))
	}
	if adopted {
		m.handleAdoption(now)
	}
}

// handleAdoption reports a revision that came into force and offers it to
// peers.
func (m *Member) handleAdoption(now time.Time) {
	m.Counters.Adoptions++
	if m.firstAdopted.IsZero() {
		m.firstAdopted = now
	}
	m.actions.Adopted = &Adopted{Revision: m.adopter.Current, Document: m.adopter.Document}
	for _, s := range m.registrar.Sessions() {
		m.offerRevision(s)
	}
}

// sendReport sends the counts of revisions in force towards the root of the
// tree.
func (m *Member) sendReport(now time.Time) {
	if !m.isBalancer() {
		return
	}
	report, due := m.reporter.Due(now, m.primary, m.Identity(), m.adopter.Current.Number)
	if due {
		m.send(m.primary, &messenger.Message{Report: &report})
	}
}
