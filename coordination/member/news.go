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

// announce passes the changed own entry on.
func (m *Member) announce(now time.Time) {
	m.Directory.Apply(now, m.announcer.Entry)
	if m.isBalancer() {
		m.spread(m.self, 0)
		return
	}
	for _, s := range m.registrar.Sessions() {
		m.spreader.NoteKey(s.ID, m.self)
	}
}

// spread notes an entry for every session whose peer takes news from here, but
// not for the one that it came from.
func (m *Member) spread(key directory.Key, from messenger.Session) {
	entry, found := m.Directory.Lookup(key)
	if !found || !m.isBalancer() {
		return
	}
	for _, s := range m.registrar.Sessions() {
		if s.ID == from || !s.Ready() {
			continue
		}
		if m.listens(s, entry.Record) {
			m.spreader.NoteKey(s.ID, key)
		}
	}
}

func (m *Member) listens(s *registrar.Session, record gooseberrymast.Record) bool {
	if s.Role == gooseberrymast.RoleAgent {
		return s.Service == record.Service
	}
	return s.TakesNews || s.ID == m.primary
}

// delta takes entries and a revision from a peer.
func (m *Member) delta(now time.Time, s *registrar.Session, delta *messenger.Delta) {
	for _, news := range delta.News {
		m.learn(now, s, news.Entry)
		if !m.isBalancer() {
			m.Directory.Tell(now, news.Entry.Record, news.Suspect)
		}
	}
	if delta.Complete && !m.isBalancer() {
		m.replace(delta.News)
	}
	if delta.Revision != nil {
		m.receiveRevision(now, s, delta.Revision)
	}
}

// learn takes one entry that came over a session.
func (m *Member) learn(now time.Time, s *registrar.Session, entry directory.Entry) {
	key := directory.KeyOf(entry.Record.Identity.Address)
	if key == m.self {
		m.heardOfSelf(now, entry)
		return
	}
	if m.Directory.Apply(now, entry) {
		m.spread(key, s.ID)
		return
	}
	if known, found := m.Directory.Lookup(key); found && known.Record.Newer(entry.Record) {
		m.sendBack(s, key)
	}
}

// sendBack tells a peer of a newer record than it sent: a writer must rise above
// its earlier incarnation, and an agent may be the only one to whom a balancer that
// failed had passed a record on.
func (m *Member) sendBack(s *registrar.Session, key directory.Key) {
	if key == s.Peer || !m.isBalancer() {
		m.spreader.NoteKey(s.ID, key)
	}
}

// heardOfSelf answers what others say of the own record.
func (m *Member) heardOfSelf(now time.Time, entry directory.Entry) {
	if entry.Loss != 0 && now.Sub(m.renewed) < renewInterval {
		return // The own entry is looked at again with each tick.
	}
	changed, reborn := m.announcer.Heard(entry)
	if reborn {
		identity := m.Identity()
		m.actions.Identity = &identity
	}
	if changed {
		m.Counters.Renewals++
		m.renewed = now
		m.announce(now)
	}
}

// renewOwn refutes a loss that was noted while refutations were held back.
func (m *Member) renewOwn(now time.Time) {
	if entry, found := m.Directory.Lookup(m.self); found && entry.Loss != 0 {
		m.heardOfSelf(now, entry)
	}
}

// replace drops entries of the own service that a complete list lacks.
func (m *Member) replace(news []messenger.News) {
	keep := map[directory.Key]struct{}{m.self: {}}
	for _, item := range news {
		keep[directory.KeyOf(item.Entry.Record.Identity.Address)] = struct{}{}
	}
	m.Directory.Replace(m.Record.Service, keep)
}

// markLost reports the writers that name this member as their registrar and
// have no session with it.
func (m *Member) markLost(now time.Time) {
	if !m.isBalancer() {
		return
	}
	for _, key := range m.registrar.Lost(now, m.Directory.Dependents(m.self)) {
		entry, found := m.Directory.Lookup(key)
		if !found || entry.Record.State == gooseberrymast.StateGone {
			continue
		}
		position := slices.Index(entry.Registrars[:], m.self.Address())
		if position >= 0 && m.Directory.MarkLoss(now, key, directory.LossOf(position)) {
			m.Counters.LostWriters++
			m.spread(key, 0)
		}
	}
}

// tellSuspicions passes changed judgements on to the agents of the service.
func (m *Member) tellSuspicions() {
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
				m.spreader.NoteKey(s.ID, key)
			}
		}
	}
}

// flush sends the deltas whose time has come.
func (m *Member) flush(now time.Time) {
	for _, batch := range m.spreader.Due(now) {
		s := m.registrar.Get(batch.Session)
		if s == nil {
			continue
		}
		if delta := m.pack(s, batch); delta != nil {
			m.send(s.ID, &messenger.Message{Delta: delta})
		}
	}
}

func (m *Member) pack(s *registrar.Session, batch spreader.Batch) *messenger.Delta {
	delta := &messenger.Delta{}
	for _, key := range batch.Keys {
		if news, found := m.news(key); found {
			delta.News = append(delta.News, news)
		}
	}
	if batch.Revision && s.Text < m.adopter.Current.Number {
		delta.Revision = m.adopter.Pack(s.Text)
	}
	if len(delta.News) == 0 && delta.Revision == nil {
		return nil
	}
	return delta
}

func (m *Member) news(key directory.Key) (messenger.News, bool) {
	entry, found := m.Directory.Lookup(key)
	return messenger.News{Entry: entry, Suspect: m.Directory.Suspect(key)}, found
}

// welcomeAgent tells an agent all that it has to know.
func (m *Member) welcomeAgent(s *registrar.Session) {
	if !m.isBalancer() {
		return
	}
	m.adviseAgent(s)
	delta := &messenger.Delta{Complete: true}
	for _, member := range m.Directory.Members(s.Service) {
		if news, found := m.news(directory.KeyOf(member.Identity.Address)); found {
			delta.News = append(delta.News, news)
		}
	}
	m.send(s.ID, &messenger.Message{Delta: delta})
}

// advise tells agents of their balancers when these changed.
func (m *Member) advise() {
	if !m.isBalancer() {
		return
	}
	balancers := m.Directory.Balancers()
	if sameList(balancers, m.advisedOf) {
		return
	}
	m.advisedOf = balancers
	for _, s := range m.registrar.Sessions() {
		if s.Ready() && s.Role == gooseberrymast.RoleAgent {
			m.adviseAgent(s)
		}
	}
}

func (m *Member) adviseAgent(s *registrar.Session) {
	advice := &messenger.Advice{}
	for _, b := range announcer.Registrars(s.Peer, s.Zone, m.Directory.Balancers()) {
		advice.Controls = append(advice.Controls, b.Control.Address())
	}
	if slices.Equal(advice.Controls, m.advised[s.ID]) {
		return
	}
	m.advised[s.ID] = advice.Controls
	m.send(s.ID, &messenger.Message{Advice: advice})
}

func (m *Member) takeAdvice(now time.Time, advice *messenger.Advice) {
	if m.isBalancer() || len(advice.Controls) == 0 {
		return
	}
	m.advice = advice.Controls
	m.attach(now)
}

// meetBalancer notes a balancer that opened a session with this agent: it
// found the agent in the store, and may be the only one the agent can reach.
func (m *Member) meetBalancer(s *registrar.Session, record gooseberrymast.Record) {
	if !s.Address.IsValid() && !slices.Contains(m.advice, record.Control) {
		m.advice = append(m.advice, record.Control)
	}
}
