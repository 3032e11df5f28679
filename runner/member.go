// Package runner runs the balancer and the agent that forward packets of flows
// without tokens. It does their input and output; the decisions are those of
// the packages steerer, deliverer, tracker and confirmer.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/confirmer"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/protocol/messages/peer"
	"gooseberrymast/protocol/wrapper"
	"gooseberrymast/state/roster"
	"gooseberrymast/transport/journaler"
)

const (
	// maxDatagram is the longest datagram between processes: a packet of
	// 1,231 bytes behind the longest header, with room to spare.
	maxDatagram = 2048
	// peersPrefix is the kind of the objects by which instances find each other.
	peersPrefix = "peers/"
	// rosterPause is the time between two lists sent to one peer: the
	// interval of balancers' reports.
	rosterPause = 500 * time.Millisecond
	// differsFor is how long two processes know different peers before one tells
	// the other: two reports of a balancer, by which news goes directly.
	differsFor = 800 * time.Millisecond
	// fetchPause is the time between two requests for a document to peers.
	fetchPause = 100 * time.Millisecond
)

// Environment is what a process gets from outside.
type Environment struct {
	Settings gooseberrymast.InstanceSettings
	Codec    gooseberrymast.PacketCodec
	Store    gooseberrymast.ObjectStore
	Timer    gooseberrymast.Timer
	// DocumentKey is where the document lies in the store.
	DocumentKey string
	// ReadRoutes reads the document's object.
	ReadRoutes func(gooseberrymast.Object) (*gooseberrymast.Routes, error)
	// PeersListen is where the process listens for peers when that differs from
	// its endpoint among them; zero where it doesn't.
	PeersListen gooseberrymast.Endpoint
	// MetricsPort serves metrics on the instance's address; zero serves none.
	MetricsPort int
	// Log takes the process's log lines.
	Log *journaler.Journaler
}

// member is the part that balancers and agents have in common: the peers, the
// document and how both are kept up to date.
type member struct {
	Environment
	roster  roster.Roster
	conn    *net.UDPConn
	metrics *metrics
	// adopt takes routes that are newer than those in force.
	adopt func(*gooseberrymast.Routes)
	// load measures the backend server; nil at a balancer.
	load func(now time.Time) gooseberrymast.FlowLoad
	// owners takes the flows that an agent owns; nil at an agent.
	owners onOwners
	// flowOwners counts the owners that a balancer remembers; nil at an agent.
	flowOwners func() int
	// served and restore keep the addresses that an agent's server has served;
	// nil at a balancer.
	served  func() interpreter.Served
	restore func(interpreter.Served)

	mu         sync.Mutex
	self       gooseberrymast.Peer
	confirmer  confirmer.Confirmer
	collector  interpreter.Collector
	routes     *gooseberrymast.Routes
	parts      [][]byte
	fetched    time.Time
	rosterSent map[gooseberrymast.Endpoint]time.Time
	// differsSince is since when a peer knows other peers than this process.
	differsSince map[gooseberrymast.Endpoint]time.Time
	storeFailed  bool
	// entry is the process's entry in the store, as it was last written or read.
	entry gooseberrymast.Object

	registered atomic.Bool
	wake       chan struct{}
}

func (m *member) start(now time.Time) error {
	m.self = gooseberrymast.Peer{
		Endpoint:    m.Settings.Peers,
		Role:        m.Settings.Role,
		Incarnation: uint64(now.UnixMilli()),
		State:       gooseberrymast.StateStarting,
		Service:     m.Settings.Service,
		Zone:        m.Settings.Zone,
	}
	m.rosterSent = map[gooseberrymast.Endpoint]time.Time{}
	m.differsSince = map[gooseberrymast.Endpoint]time.Time{}
	m.wake = make(chan struct{}, 1)
	conn, err := listen(m.listenAt())
	if err != nil {
		return err
	}
	m.conn = conn
	m.metrics = newMetrics(m)
	return nil
}

// listenAt gives where the process listens for peers.
func (m *member) listenAt() gooseberrymast.Endpoint {
	if m.PeersListen.IsZero() {
		return m.Settings.Peers
	}
	return m.PeersListen
}

// serveMetrics serves the metrics if the settings say so. A process that can't
// goes on without.
func (m *member) serveMetrics() (stop func()) {
	if m.MetricsPort == 0 {
		return func() {}
	}
	at := gooseberrymast.Endpoint{IP: m.listenAt().IP, Port: uint16(m.MetricsPort)}
	stop, err := serve(at, m.metrics.handler(), m.Log)
	if err != nil {
		m.Log.Error(gooseberrymast.EventMetricsUnready).Err(err).Msg("")
		return func() {}
	}
	return stop
}

func (m *member) currentRoutes() *gooseberrymast.Routes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.routes
}

func (m *member) version() uint64 {
	return versionOf(m.currentRoutes())
}

func listen(at gooseberrymast.Endpoint) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at.AddrPort()))
	if err != nil {
		return nil, fmt.Errorf("listen on UDP %s: %w", at, err)
	}
	return conn, nil
}

// own gives what the process says of itself.
func (m *member) own() gooseberrymast.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// change takes a new state and service of the process and tells whether
// anything changed.
func (m *member) change(state gooseberrymast.State, service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.State == state && m.self.Service == service {
		return false
	}
	m.Log.Info(gooseberrymast.EventStateChanged).Stringer("from", m.self.State).Stringer("to", state).Str("service", service).Msg("")
	m.self.State, m.self.Service = state, service
	m.self.Sequence++
	return true
}

// receive hands datagrams of peers to packet and to message until the socket
// is closed.
func (m *member) receive(packet func(datagram []byte, sender gooseberrymast.Endpoint, now time.Time)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			m.Log.Warn(gooseberrymast.EventReceiveFailed).Err(err).Msg("reading from peers failed")
			continue
		}
		sender, ok := gooseberrymast.EndpointOf(from)
		if !ok || n == 0 {
			continue
		}
		now := m.Timer.Now()
		if buffer[0] == wrapper.KindPacket {
			packet(buffer[:n], sender, now)
			continue
		}
		m.message(buffer[:n], sender, now)
	}
}

// onOwners is called with the flows that an agent owns.
type onOwners func(owner gooseberrymast.Endpoint, held []gooseberrymast.FlowKey, now time.Time)

func (m *member) message(datagram []byte, sender gooseberrymast.Endpoint, now time.Time) {
	message, err := interpreter.Decode(datagram)
	if err != nil {
		m.Log.Warn(gooseberrymast.EventMessageBad).Stringer("peer", sender.AddrPort()).Err(err).Msg("")
		return
	}
	switch body := message.GetBody().(type) {
	case *peer.Message_Report:
		m.report(interpreter.ReadReport(body.Report), now)
	case *peer.Message_Roster:
		m.merge(interpreter.ReadRoster(body.Roster), now)
	case *peer.Message_DocumentRequest:
		m.sendDocument(sender)
	case *peer.Message_DocumentPart:
		m.part(body.DocumentPart)
	case *peer.Message_Owners:
		if m.owners != nil {
			owner, held := interpreter.ReadOwners(body.Owners)
			m.owners(owner, held, now)
		}
	}
}

// report takes a peer's report.
func (m *member) report(report gooseberrymast.Report, now time.Time) {
	if report.Peer.Endpoint == m.Settings.Peers {
		return
	}
	changed, superseded := m.roster.Hear(report, now)
	if changed {
		m.Log.Info(gooseberrymast.EventPeerChanged).Stringer("peer", report.Peer.Endpoint.AddrPort()).
			Stringer("role", report.Peer.Role).Stringer("state", report.Peer.State).
			Uint64("incarnation", report.Peer.Incarnation).Str("service", report.Peer.Service).Msg("")
	}
	m.mu.Lock()
	fetch := m.confirmer.Told(report.Document, now) && now.Sub(m.fetched) >= fetchPause
	if fetch {
		m.fetched = now
	}
	self := m.self
	send := m.tells(report, self, superseded, now)
	m.mu.Unlock()
	if fetch {
		m.send(interpreter.Request(report.Document.Version), report.Peer.Endpoint)
	}
	if send {
		m.sendRoster(report.Peer, self)
	}
}

// tells reports whether the sender of a report is to be sent what this process
// knows: it holds this process's entry of it for superseded, or the two have
// known different peers for longer than news takes. Agents need to know
// balancers only. The caller holds the lock.
func (m *member) tells(report gooseberrymast.Report, self gooseberrymast.Peer, superseded bool, now time.Time) bool {
	own := m.roster.Digests(self)
	differs := own.Balancers != report.Digests.Balancers
	if self.Role == gooseberrymast.RoleBalancer && report.Peer.Role == gooseberrymast.RoleBalancer {
		differs = differs || own.Agents != report.Digests.Agents
	}
	sender := report.Peer.Endpoint
	if !differs {
		delete(m.differsSince, sender)
	} else if _, known := m.differsSince[sender]; !known {
		m.differsSince[sender] = now
	}
	lasts := differs && now.Sub(m.differsSince[sender]) >= differsFor
	if !lasts && !superseded || now.Sub(m.rosterSent[sender]) < rosterPause {
		return false
	}
	m.rosterSent[sender] = now
	return true
}

// merge takes a list of peers. An entry of this process that supersedes it is
// of an earlier incarnation, so the process takes a higher one.
func (m *member) merge(peers []gooseberrymast.Peer, now time.Time) {
	others := peers[:0]
	for _, each := range peers {
		if each.Endpoint != m.Settings.Peers {
			others = append(others, each)
			continue
		}
		m.mu.Lock()
		if each.Newer(m.self) {
			m.self.Incarnation = each.Incarnation + 1
			m.Log.Info(gooseberrymast.EventIncarnationRaised).Uint64("incarnation", m.self.Incarnation).Msg("")
		}
		m.mu.Unlock()
	}
	if m.roster.Merge(others, now) {
		m.notify()
	}
}

// sendRoster tells a peer what it needs to know of others: an agent of the
// balancers and, if it was superseded, of its own entry; a balancer of all.
func (m *member) sendRoster(to gooseberrymast.Peer, self gooseberrymast.Peer) {
	peers := []gooseberrymast.Peer{self}
	for _, entry := range m.roster.Entries(notGone) {
		if to.Role == gooseberrymast.RoleBalancer || entry.Role == gooseberrymast.RoleBalancer || entry.Endpoint == to.Endpoint {
			peers = append(peers, entry.Peer)
		}
	}
	for _, message := range interpreter.Rosters(peers) {
		m.send(message, to.Endpoint)
	}
}

// reportTo sends the process's report to peers.
func (m *member) reportTo(peers []roster.Entry, now time.Time) {
	m.mu.Lock()
	report := gooseberrymast.Report{
		Peer:     m.self,
		Document: m.confirmer.News(now),
		Digests:  m.roster.Digests(m.self),
	}
	m.mu.Unlock()
	if m.load != nil {
		report.Load = m.load(now)
	}
	datagram, err := interpreter.Encode(interpreter.Report(report))
	if err != nil {
		m.Log.Error(gooseberrymast.EventEncodeFailed).Err(err).Msg("a report can't be encoded")
		return
	}
	for _, entry := range peers {
		m.write(m.conn, datagram, entry.Endpoint)
	}
}

func (m *member) send(message *peer.Message, to gooseberrymast.Endpoint) {
	datagram, err := interpreter.Encode(message)
	if err != nil {
		m.Log.Error(gooseberrymast.EventEncodeFailed).Err(err).Msg("a message can't be encoded")
		return
	}
	m.write(m.conn, datagram, to)
}

// write sends a datagram. A failure is logged and the datagram lost, as on any
// link.
func (m *member) write(conn *net.UDPConn, datagram []byte, to gooseberrymast.Endpoint) {
	if _, err := conn.WriteToUDPAddrPort(datagram, to.AddrPort()); err != nil && !errors.Is(err, net.ErrClosed) {
		m.Log.Warn(gooseberrymast.EventSendFailed).Stringer("peer", to.AddrPort()).Err(err).Msg("")
	}
}

// notify lets the process report before the next interval.
func (m *member) notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// callStore runs a call and logs when the store was lost and is back.
func (m *member) callStore(ctx context.Context, step string, call func(context.Context) error) error {
	err := call(ctx)
	m.metrics.storeCall(step, err)
	failed := errors.Is(err, gooseberrymast.ErrStoreUnavailable) || errors.Is(err, gooseberrymast.ErrStoreUnknown)
	m.mu.Lock()
	changed := failed != m.storeFailed
	m.storeFailed = failed
	m.mu.Unlock()
	switch {
	case changed && failed:
		m.Log.Warn(gooseberrymast.EventStoreLost).Str("step", step).Err(err).Msg("")
	case changed:
		m.Log.Info(gooseberrymast.EventStoreRegained).Str("step", step).Msg("")
	}
	return err
}
