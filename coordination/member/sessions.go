package member

import (
	"fmt"
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/coordination/registrar"
	"gooseberrymast/coordination/reporter"
	"gooseberrymast/coordination/spreader"
	"gooseberrymast/state/directory"
)

// Connected reports a new session: one that this member dialled, or with the
// zero address one that a peer opened.
func (m *Member) Connected(now time.Time, id messenger.Session, address netip.AddrPort) Actions {
	s := m.registrar.Open(now, id, address)
	if d := m.dials[address]; d != nil && address.IsValid() {
		d.pending = false
		d.failures = 0
		s.Probe = d.probe
		d.probe = false
	}
	if address.IsValid() {
		m.sayHello(now, s)
	}
	return m.finish(now, false)
}

// Refused reports that an address could not be connected to.
func (m *Member) Refused(now time.Time, address netip.AddrPort) Actions {
	m.failDial(now, address)
	return m.finish(now, true)
}

// Closed reports the end of a session.
func (m *Member) Closed(now time.Time, id messenger.Session) Actions {
	m.drop(now, id)
	return m.finish(now, true)
}

// Received reports a message.
func (m *Member) Received(now time.Time, id messenger.Session, message *messenger.Message) Actions {
	s := m.registrar.Get(id)
	if s == nil {
		return Actions{}
	}
	s.Received = now
	switch {
	case message.Hello != nil:
		m.hello(now, s, message.Hello)
		return m.finish(now, true)
	case !s.Ready():
		return Actions{}
	}
	m.handle(now, s, message)
	return m.finish(now, false)
}

func (m *Member) handle(now time.Time, s *registrar.Session, message *messenger.Message) {
	switch {
	case message.Heartbeat != nil:
		m.heartbeat(now, s, message.Heartbeat)
	case message.Delta != nil:
		m.delta(now, s, message.Delta)
	case message.Report != nil:
		if s.TakesNews {
			m.reporter.Set(s.ID, *message.Report)
		}
	case message.Advice != nil:
		m.takeAdvice(now, message.Advice)
	case message.Query != nil:
		m.passQuery(s.ID, message.Query)
	case message.Answer != nil:
		m.passAnswer(message.Answer)
	case s.Role == gooseberrymast.RoleBalancer && m.isBalancer():
		m.repair(s, message)
	}
}

// repair handles the messages by which two balancers compare what they hold.
func (m *Member) repair(s *registrar.Session, message *messenger.Message) {
	var keys []directory.Key
	switch {
	case message.Cells != nil:
		var replies []*messenger.Message
		replies, keys = spreader.Compare(&m.Directory, message.Cells)
		for _, reply := range replies {
			m.send(s.ID, reply)
		}
	case message.Buckets != nil:
		if reply := spreader.CompareBuckets(&m.Directory, message.Buckets); reply != nil {
			m.send(s.ID, reply)
		}
	case message.Versions != nil:
		var want *messenger.Message
		want, keys = spreader.CompareVersions(&m.Directory, message.Versions)
		if want != nil {
			m.send(s.ID, want)
		}
	case message.Want != nil:
		keys = spreader.Wanted(&m.Directory, message.Want)
	}
	for _, key := range keys {
		m.spreader.NoteKey(s.ID, key)
	}
}

func (m *Member) sayHello(now time.Time, s *registrar.Session) {
	hello := &messenger.Hello{
		Environment: m.Environment,
		Entry:       m.announcer.Entry,
		Revision:    m.adopter.Current.Number,
	}
	if m.isBalancer() {
		hello.Digest = m.Directory.Digest()
	}
	m.send(s.ID, &messenger.Message{Hello: hello})
}

func (m *Member) hello(now time.Time, s *registrar.Session, hello *messenger.Hello) {
	if hello.Environment != m.Environment || s.Ready() {
		m.refuse(now, s, hello)
		return
	}
	record := hello.Entry.Record
	s.Peer = directory.KeyOf(record.Identity.Address)
	s.Identity = record.Identity
	s.Role = record.Role
	s.Service = record.Service
	s.Zone = record.Zone
	s.Revision = hello.Revision
	s.Text = hello.Revision
	if s.Peer == m.self {
		m.hang(now, s)
		return
	}
	if !s.Address.IsValid() {
		m.sayHello(now, s)
	}
	m.learn(now, s, hello.Entry)
	m.offer(s)
	if s.Role == gooseberrymast.RoleAgent {
		m.welcomeAgent(s)
		return
	}
	if !m.isBalancer() {
		m.meetBalancer(s, record)
		return
	}
	m.Directory.ClearUnreachable(now)
	if s.Address.IsValid() && hello.Digest != m.Directory.Digest() {
		m.beginRepair(s)
	}
}

func (m *Member) refuse(now time.Time, s *registrar.Session, hello *messenger.Hello) {
	m.Counters.Refusals++
	m.fault(fmt.Errorf("Member.hello from %s of environment %q: refused", hello.Entry.Record.Identity, hello.Environment))
	m.hang(now, s)
}

// hang closes a session from this side.
func (m *Member) hang(now time.Time, s *registrar.Session) {
	if s.Address.IsValid() && !s.Probe {
		m.failDial(now, s.Address)
	}
	m.actions.Closes = append(m.actions.Closes, s.ID)
	m.drop(now, s.ID)
}

// drop forgets a session that ended.
func (m *Member) drop(now time.Time, id messenger.Session) {
	s := m.registrar.Close(id)
	if s == nil {
		return
	}
	m.spreader.Drop(id)
	m.reporter.Drop(id)
	delete(m.offered, id)
	delete(m.advised, id)
	delete(m.differing, id)
	if m.primary == id {
		m.primary = 0
	}
	if s.Address.IsValid() && !s.Probe {
		m.delayDial(now, s.Address)
	}
}

func (m *Member) heartbeat(now time.Time, s *registrar.Session, beat *messenger.Heartbeat) {
	s.Revision = beat.Revision
	s.Section = beat.Section
	s.Text = beat.Text
	if s.Text == 0 {
		s.Text = beat.Revision
	}
	joined := beat.Primary && !s.TakesNews
	s.TakesNews = beat.Primary
	if beat.Full {
		delete(m.offered, s.ID)
		s.Text = 0
		s.Section = 0
	}
	if !m.isBalancer() && m.adopter.Advance(beat.Revision, m.Record.Service, beat.Section) {
		m.inForceNow(now)
	}
	m.offer(s)
	if !s.TakesNews {
		m.reporter.Drop(s.ID)
	} else if s.Role == gooseberrymast.RoleAgent {
		m.reporter.Set(s.ID, reporter.One(s.Identity, beat.Revision))
	}
	if s.Role == gooseberrymast.RoleBalancer && m.isBalancer() {
		m.differing[s.ID] = beat.Digest != m.Directory.Digest()
		m.repairDue(now, s)
		if joined && m.differing[s.ID] {
			m.beginRepair(s) // News that came since the Hello would be missed.
		}
	}
}

// beat sends the heartbeats that are due.
func (m *Member) beat(now time.Time) {
	for _, s := range m.registrar.DueHeartbeats(now) {
		m.sendHeartbeat(now, s, false)
	}
}

func (m *Member) sendHeartbeat(now time.Time, s *registrar.Session, full bool) {
	beat := &messenger.Heartbeat{Revision: m.adopter.Current.Number, Primary: s.ID == m.primary, Full: full}
	if m.isBalancer() && s.Role == gooseberrymast.RoleBalancer {
		beat.Digest = m.Directory.Digest()
	} else if m.isBalancer() {
		beat.Section = m.adopter.Section(s.Service)
	} else {
		beat.Section = m.adopter.Section(m.Record.Service)
	}
	if m.adopter.TextNumber != beat.Revision {
		beat.Text = m.adopter.TextNumber
	}
	s.Beat = now
	s.Told = beat.Revision
	m.send(s.ID, &messenger.Message{Heartbeat: beat})
}

func (m *Member) repairDue(now time.Time, s *registrar.Session) {
	if !s.Address.IsValid() || !m.differing[s.ID] || now.Before(m.nextRepair) {
		return
	}
	m.nextRepair = now.Add(m.jitter(repairInterval))
	m.beginRepair(s)
}

func (m *Member) beginRepair(s *registrar.Session) {
	m.Counters.Repairs++
	m.send(s.ID, spreader.Begin(&m.Directory))
}

// probe opens a session with a random peer, so that parts of an environment
// that lost each other meet again.
func (m *Member) probe(now time.Time) {
	if !m.isBalancer() || now.Before(m.nextProbe) {
		return
	}
	m.nextProbe = now.Add(m.jitter(probeInterval))
	address := m.probeTarget()
	if address.IsValid() && m.dialNow(now, address) {
		m.Counters.Probes++
		m.dials[address].probe = true
	}
}

func (m *Member) probeTarget() netip.AddrPort {
	if again := m.reprobe; again.IsValid() {
		m.reprobe = netip.AddrPort{}
		return again
	}
	targets := m.probeTargets()
	if len(targets) == 0 {
		return netip.AddrPort{}
	}
	return targets[m.Random.IntN(len(targets))]
}

func (m *Member) probeTargets() []netip.AddrPort {
	var targets []netip.AddrPort
	for _, member := range m.Directory.Members(0) {
		key := directory.KeyOf(member.Identity.Address)
		if key != m.self && m.registrar.With(key) == nil {
			targets = append(targets, member.Control)
		}
	}
	for _, seed := range m.Seeds {
		if seed != m.Record.Control && m.registrar.To(seed) == nil {
			targets = append(targets, seed)
		}
	}
	return targets
}

func (m *Member) closeProbes(now time.Time) {
	for _, s := range append([]*registrar.Session(nil), m.registrar.Sessions()...) {
		if s.Probe && now.Sub(s.Opened) >= probeLife {
			m.hang(now, s)
		}
	}
}
