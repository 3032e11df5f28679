package member

import (
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/announcer"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/coordination/registrar"
	"gooseberrymast/coordination/spreader"
	"gooseberrymast/state/directory"
)

// announce schedules the changed own entry for sending.
func (m *Member) announce(now time.Time) {
	m.Directory.Apply(now, m.announcer.Entry)
	if m.isBalancer() {
		m.propagate(m.self, 0)
		return
	}
	for _, s := range m.registrar.Sessions() {
		m.spreader.QueueKey(s.ID, m.self)
	}
}

// propagate schedules an entry for every session whose peer needs it, except
// the session that it was received on.
func (m *Member) propagate(key directory.Key, from messenger.Session) {
	entry, found := m.Directory.Lookup(key)
	if !found || !m.isBalancer() {
		return
	}
	for _, s := range m.registrar.Sessions() {
		if s.ID == from || !s.Ready() {
			continue
		}
		if m.wantsRecord(s, entry.Record) {
			m.spreader.QueueKey(s.ID, key)
		}
	}
}

// wantsRecord reports whether the peer of a session is to be sent a record.
func (m *Member) wantsRecord(s *registrar.Session, record gooseberrymast.Record) bool {
	if s.Role == gooseberrymast.RoleAgent {
		return s.Service == record.Service
	}
	return s.Downstream || s.ID == m.primary
}

// receiveDelta applies the entries and the revision sent by a peer.
func (m *Member) receiveDelta(now time.Time, s *registrar.Session, delta *messenger.Delta) {
	for _, update := range delta.Updates {
		m.applyEntry(now, s, update.Entry)
		if !m.isBalancer() {
			m.Directory.SetReportedSuspicion(now, update.Entry.Record, update.Suspect)
		}
	}
	if delta.Complete && !m.isBalancer() {
		m.retainListed(delta.Updates)
	}
	if delta.Revision != nil {
		m.receiveRevision(now, s, delta.Revision)
	}
}

// applyEntry applies one entry received on a session.
func (m *Member) applyEntry(now time.Time, s *registrar.Session, entry directory.Entry) {
	key := directory.KeyOf(entry.Record.Identity.Address)
	if key == m.self {
		m.receiveOwnEntry(now, entry)
		return
	}
	if m.Directory.Apply(now, entry) {
		m.propagate(key, s.ID)
		return
	}
	if known, found := m.Directory.Lookup(key); found && known.Record.Newer(entry.Record) {
		m.returnNewer(s, key)
	}
}

// returnNewer sends a peer a newer record than it sent, in two cases: the
// record is the peer's own, whose incarnation must be raised above the earlier
// one, or this member is an agent, which may hold the only copy of a record
// that a balancer propagated before it failed.
func (m *Member) returnNewer(s *registrar.Session, key directory.Key) {
	if key == s.Peer || !m.isBalancer() {
		m.spreader.QueueKey(s.ID, key)
	}
}

// receiveOwnEntry handles an entry of this member's own address: it refutes a
// loss and rises above an earlier incarnation.
func (m *Member) receiveOwnEntry(now time.Time, entry directory.Entry) {
	if entry.Loss != 0 && now.Sub(m.lastRefutation) < refuteInterval {
		return // refuteRecordedLoss retries at each tick.
	}
	changed, incarnationRaised := m.announcer.ReceiveOwnEntry(entry)
	if incarnationRaised {
		identity := m.Identity()
		m.actions.Identity = &identity
	}
	if changed {
		m.Counters.Refutations++
		m.lastRefutation = now
		m.announce(now)
	}
}

// refuteRecordedLoss refutes a loss that was recorded while refutations were
// rate-limited.
func (m *Member) refuteRecordedLoss(now time.Time) {
	if entry, found := m.Directory.Lookup(m.self); found && entry.Loss != 0 {
		m.receiveOwnEntry(now, entry)
	}
}

// retainListed removes entries of the member's own service that are absent
// from a complete list.
func (m *Member) retainListed(updates []messenger.Update) {
	keep := map[directory.Key]struct{}{m.self: {}}
	for _, item := range updates {
		keep[directory.KeyOf(item.Entry.Record.Identity.Address)] = struct{}{}
	}
	m.Directory.Retain(m.Record.Service, keep)
}

// reportLostWriters reports the writers that name this member as their
// registrar but have no session with it.
func (m *Member) reportLostWriters(now time.Time) {
	if !m.isBalancer() {
		return
	}
	for _, key := range m.registrar.LostWriters(now, m.Directory.Dependents(m.self)) {
		entry, found := m.Directory.Lookup(key)
		if !found || entry.Record.State == gooseberrymast.StateGone {
			continue
		}
		position := slices.Index(entry.Registrars[:], m.self.Address())
		if position >= 0 && m.Directory.MarkLoss(now, key, directory.LossOf(position)) {
			m.Counters.LostWriters++
			m.propagate(key, 0)
		}
	}
}

// sendSuspicions sends changed suspicions to the agents of the same service.
func (m *Member) sendSuspicions() {
	keys := m.Directory.Suspicions()
	if !m.isBalancer() {
		return
	}
	for _, key := range keys {
		entry, found := m.Directory.Lookup(key)
		if !found || entry.Record.Service == 0 {
			continue
		}
		for _, s := range m.registrar.Sessions() {
			if s.Ready() && s.Role == gooseberrymast.RoleAgent && s.Service == entry.Record.Service {
				m.spreader.QueueKey(s.ID, key)
			}
		}
	}
}

// sendDueDeltas sends the deltas that are due.
func (m *Member) sendDueDeltas(now time.Time) {
	for _, batch := range m.spreader.Due(now) {
		s := m.registrar.Get(batch.Session)
		if s == nil {
			continue
		}
		if delta := m.buildDelta(s, batch); delta != nil {
			m.send(s.ID, &messenger.Message{Delta: delta})
		}
	}
}

// buildDelta returns the delta for a batch, or nil if there is nothing left to
// send.
func (m *Member) buildDelta(s *registrar.Session, batch spreader.Batch) *messenger.Delta {
	delta := &messenger.Delta{}
	for _, key := range batch.Keys {
		if update, found := m.updateOf(key); found {
			delta.Updates = append(delta.Updates, update)
		}
	}
	if batch.Revision && s.TextRevision < m.adopter.Current.Number {
		delta.Revision = m.adopter.Pack(s.TextRevision)
	}
	if len(delta.Updates) == 0 && delta.Revision == nil {
		return nil
	}
	return delta
}

func (m *Member) updateOf(key directory.Key) (messenger.Update, bool) {
	entry, found := m.Directory.Lookup(key)
	return messenger.Update{Entry: entry, Suspect: m.Directory.Suspect(key)}, found
}

// sendSnapshot sends advice and all entries of its service to an agent that has
// connected.
func (m *Member) sendSnapshot(s *registrar.Session) {
	if !m.isBalancer() {
		return
	}
	m.sendAdvice(s)
	delta := &messenger.Delta{Complete: true}
	for _, member := range m.Directory.Members(s.Service) {
		if update, found := m.updateOf(directory.KeyOf(member.Identity.Address)); found {
			delta.Updates = append(delta.Updates, update)
		}
	}
	m.send(s.ID, &messenger.Message{Delta: delta})
}

// adviseAgents sends new advice to all agents if the list of balancers changed.
func (m *Member) adviseAgents() {
	if !m.isBalancer() {
		return
	}
	balancers := m.Directory.Balancers()
	if sameSlice(balancers, m.advisedBalancers) {
		return
	}
	m.advisedBalancers = balancers
	for _, s := range m.registrar.Sessions() {
		if s.Ready() && s.Role == gooseberrymast.RoleAgent {
			m.sendAdvice(s)
		}
	}
}

// sendAdvice sends an agent the control addresses of its preferred balancers if
// they changed.
func (m *Member) sendAdvice(s *registrar.Session) {
	advice := &messenger.Advice{}
	for _, b := range announcer.Registrars(s.Peer, s.Zone, m.Directory.Balancers()) {
		advice.Controls = append(advice.Controls, b.Control.Address())
	}
	if slices.Equal(advice.Controls, m.sentAdvice[s.ID]) {
		return
	}
	m.sentAdvice[s.ID] = advice.Controls
	m.send(s.ID, &messenger.Message{Advice: advice})
}

func (m *Member) receiveAdvice(now time.Time, advice *messenger.Advice) {
	if m.isBalancer() || len(advice.Controls) == 0 {
		return
	}
	m.advice = advice.Controls
	m.updateSessions(now)
}

// addAdvisedBalancer adds a balancer that opened a session with this agent to
// the advice. The balancer has discovered the agent in the store, and may be
// the only one that the agent can reach.
func (m *Member) addAdvisedBalancer(s *registrar.Session, record gooseberrymast.Record) {
	if !s.Address.IsValid() && !slices.Contains(m.advice, record.Control) {
		m.advice = append(m.advice, record.Control)
	}
}
