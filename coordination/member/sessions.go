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

// HandleConnection handles a new session, with the dialled address, or the zero
// address if the peer opened it.
func (m *Member) HandleConnection(now time.Time, id messenger.Session, address netip.AddrPort) Actions {
	s := m.registrar.Open(now, id, address)
	if d := m.dials[address]; d != nil && address.IsValid() {
		d.pending = false
		d.failures = 0
		s.Probe = d.probe
		d.probe = false
	}
	if address.IsValid() {
		m.sendHello(now, s)
	}
	return m.finish(now, false)
}

// HandleDialFailure handles a failed dial.
func (m *Member) HandleDialFailure(now time.Time, address netip.AddrPort) Actions {
	m.recordDialFailure(now, address)
	return m.finish(now, true)
}

// HandleClose handles the end of a session.
func (m *Member) HandleClose(now time.Time, id messenger.Session) Actions {
	m.removeSession(now, id)
	return m.finish(now, true)
}

// HandleMessage handles a message.
func (m *Member) HandleMessage(now time.Time, id messenger.Session, message *messenger.Message) Actions {
	s := m.registrar.Get(id)
	if s == nil {
		return Actions{}
	}
	s.LastReceived = now
	switch {
	case message.Hello != nil:
		m.receiveHello(now, s, message.Hello)
		return m.finish(now, true)
	case !s.Ready():
		return Actions{}
	}
	m.handleMessage(now, s, message)
	return m.finish(now, false)
}

func (m *Member) handleMessage(now time.Time, s *registrar.Session, message *messenger.Message) {
	switch {
	case message.Heartbeat != nil:
		m.receiveHeartbeat(now, s, message.Heartbeat)
	case message.Delta != nil:
		m.receiveDelta(now, s, message.Delta)
	case message.Report != nil:
		if s.Downstream {
			m.reporter.Set(s.ID, *message.Report)
		}
	case message.Advice != nil:
		m.receiveAdvice(now, message.Advice)
	case message.Query != nil:
		m.forwardQuery(s.ID, message.Query)
	case message.Answer != nil:
		m.forwardAnswer(message.Answer)
	case s.Role == gooseberrymast.RoleBalancer && m.isBalancer():
		m.handleRepair(s, message)
	}
}

// handleRepair handles the messages that compare the directories of two
// balancers.
func (m *Member) handleRepair(s *registrar.Session, message *messenger.Message) {
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
		m.spreader.QueueKey(s.ID, key)
	}
}

func (m *Member) sendHello(now time.Time, s *registrar.Session) {
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

func (m *Member) receiveHello(now time.Time, s *registrar.Session, hello *messenger.Hello) {
	if hello.Environment != m.Environment || s.Ready() {
		m.refuseSession(now, s, hello)
		return
	}
	record := hello.Entry.Record
	s.Peer = directory.KeyOf(record.Identity.Address)
	s.Identity = record.Identity
	s.Role = record.Role
	s.Service = record.Service
	s.Zone = record.Zone
	s.Revision = hello.Revision
	s.TextRevision = hello.Revision
	if s.Peer == m.self {
		m.closeSession(now, s)
		return
	}
	if !s.Address.IsValid() {
		m.sendHello(now, s)
	}
	m.applyEntry(now, s, hello.Entry)
	m.offerRevision(s)
	if s.Role == gooseberrymast.RoleAgent {
		m.sendSnapshot(s)
		return
	}
	if !m.isBalancer() {
		m.addAdvisedBalancer(s, record)
		return
	}
	m.Directory.ClearUnreachable(now)
	if s.Address.IsValid() && hello.Digest != m.Directory.Digest() {
		m.beginRepair(s)
	}
}

func (m *Member) refuseSession(now time.Time, s *registrar.Session, hello *messenger.Hello) {
	m.Counters.Refusals++
	m.fault(fmt.Errorf("refused Hello from %s of environment %q", hello.Entry.Record.Identity, hello.Environment))
	m.closeSession(now, s)
}

// closeSession closes a session from this side.
func (m *Member) closeSession(now time.Time, s *registrar.Session) {
	if s.Address.IsValid() && !s.Probe {
		m.recordDialFailure(now, s.Address)
	}
	m.actions.Closes = append(m.actions.Closes, s.ID)
	m.removeSession(now, s.ID)
}

// removeSession removes the state of a session that ended.
func (m *Member) removeSession(now time.Time, id messenger.Session) {
	s := m.registrar.Close(id)
	if s == nil {
		return
	}
	m.spreader.Drop(id)
	m.reporter.Drop(id)
	delete(m.offeredRevisions, id)
	delete(m.sentAdvice, id)
	delete(m.digestDiffers, id)
	if m.primary == id {
		m.primary = 0
	}
	if s.Address.IsValid() && !s.Probe {
		m.delayDial(now, s.Address)
	}
}

func (m *Member) receiveHeartbeat(now time.Time, s *registrar.Session, heartbeat *messenger.Heartbeat) {
	s.Revision = heartbeat.Revision
	s.SectionHash = heartbeat.SectionHash
	s.TextRevision = heartbeat.TextRevision
	if s.TextRevision == 0 {
		s.TextRevision = heartbeat.Revision
	}
	becameDownstream := heartbeat.Primary && !s.Downstream
	s.Downstream = heartbeat.Primary
	if heartbeat.RequestText {
		delete(m.offeredRevisions, s.ID)
		s.TextRevision = 0
		s.SectionHash = 0
	}
	if !m.isBalancer() && m.adopter.Advance(heartbeat.Revision, m.Record.Service, heartbeat.SectionHash) {
		m.handleAdoption(now)
	}
	m.offerRevision(s)
	if !s.Downstream {
		m.reporter.Drop(s.ID)
	} else if s.Role == gooseberrymast.RoleAgent {
		m.reporter.Set(s.ID, reporter.Single(s.Identity, heartbeat.Revision))
	}
	if s.Role == gooseberrymast.RoleBalancer && m.isBalancer() {
		m.digestDiffers[s.ID] = heartbeat.Digest != m.Directory.Digest()
		m.repairIfDue(now, s)
		if becameDownstream && m.digestDiffers[s.ID] {
			m.beginRepair(s) // Updates since the Hello were not sent to this peer.
		}
	}
}

// sendDueHeartbeats sends the heartbeats that are due.
func (m *Member) sendDueHeartbeats(now time.Time) {
	for _, s := range m.registrar.DueHeartbeats(now) {
		m.sendHeartbeat(now, s, false)
	}
}

func (m *Member) sendHeartbeat(now time.Time, s *registrar.Session, requestText bool) {
	heartbeat := &messenger.Heartbeat{Revision: m.adopter.Current.Number, Primary: s.ID == m.primary, RequestText: requestText}
	if m.isBalancer() && s.Role == gooseberrymast.RoleBalancer {
		heartbeat.Digest = m.Directory.Digest()
	} else if m.isBalancer() {
		heartbeat.SectionHash = m.adopter.Section(s.Service)
	} else {
		heartbeat.SectionHash = m.adopter.Section(m.Record.Service)
	}
	if m.adopter.TextNumber != heartbeat.Revision {
		heartbeat.TextRevision = m.adopter.TextNumber
	}
	s.HeartbeatSent = now
	s.SentRevision = heartbeat.Revision
	m.send(s.ID, &messenger.Message{Heartbeat: heartbeat})
}

func (m *Member) repairIfDue(now time.Time, s *registrar.Session) {
	if !s.Address.IsValid() || !m.digestDiffers[s.ID] || now.Before(m.nextRepair) {
		return
	}
	m.nextRepair = now.Add(m.jitter(repairInterval))
	m.beginRepair(s)
}

func (m *Member) beginRepair(s *registrar.Session) {
	m.Counters.Repairs++
	m.send(s.ID, spreader.Begin(&m.Directory))
}

// openProbe dials a random peer, so that the parts of a partitioned environment
// find each other again.
func (m *Member) openProbe(now time.Time) {
	if !m.isBalancer() || now.Before(m.nextProbe) {
		return
	}
	m.nextProbe = now.Add(m.jitter(probeInterval))
	address := m.probeTarget()
	if address.IsValid() && m.tryDial(now, address) {
		m.Counters.Probes++
		m.dials[address].probe = true
	}
}

func (m *Member) probeTarget() netip.AddrPort {
	if address := m.retryProbe; address.IsValid() {
		m.retryProbe = netip.AddrPort{}
		return address
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
		if key != m.self && m.registrar.ByPeer(key) == nil {
			targets = append(targets, member.Control)
		}
	}
	for _, seed := range m.Seeds {
		if seed != m.Record.Control && m.registrar.ByAddress(seed) == nil {
			targets = append(targets, seed)
		}
	}
	return targets
}

func (m *Member) closeExpiredProbes(now time.Time) {
	for _, s := range append([]*registrar.Session(nil), m.registrar.Sessions()...) {
		if s.Probe && now.Sub(s.Opened) >= probeDuration {
			m.closeSession(now, s)
		}
	}
}
