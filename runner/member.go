// Package runner runs the balancer and agent processes, which forward packets of
// flows without tokens. It does their input and output; the packages steerer,
// deliverer, tracker and confirmer make the decisions.
package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/confirmer"
	"gooseberrymast/coordination/evacuator"
	"gooseberrymast/coordination/relayer"
	"gooseberrymast/coordination/verifier"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/protocol/messages/peer"
	"gooseberrymast/state/roster"
	"gooseberrymast/transport/journaler"
)

const (
	// maxDatagram is the size in bytes of the largest datagram between
	// processes: a packet of 1,231 bytes behind the longest header, plus a
	// margin.
	maxDatagram = 2048
	// peersPrefix is the key prefix of the instances' entries in the store.
	peersPrefix = "peers/"
	// rosterInterval is the minimum time between two rosters sent to one peer:
	// slightly more than the interval of the balancers' reports.
	rosterInterval = 500 * time.Millisecond
	// rosterSyncDelay is how long the rosters of two processes must differ
	// before one sends its own to the other: two reports of a balancer, since
	// most changes arrive directly by report.
	rosterSyncDelay = 800 * time.Millisecond
	// fetchInterval is the minimum time between two document requests to peers.
	fetchInterval = 100 * time.Millisecond
)

// Environment holds the settings and dependencies of a process.
type Environment struct {
	Settings gooseberrymast.InstanceSettings
	Codec    gooseberrymast.PacketCodec
	Store    gooseberrymast.ObjectStore
	// StoreEra returns the store's era as of its latest response. It rises each time
	// that the store is restored from an earlier copy, and is zero while it is unknown.
	// Nil if the store has no eras.
	StoreEra func() uint64
	Timer    gooseberrymast.Timer
	// DocumentKey is the key of the document in the store.
	DocumentKey string
	// ReadRoutes decodes the stored document.
	ReadRoutes func(gooseberrymast.Object) (*gooseberrymast.Routes, error)
	// ReadEvacuations reads the operators' list of evacuated zones and reports entries
	// that can't be read. It is used only if Settings.Places is active.
	ReadEvacuations func(context.Context) (evacuations gooseberrymast.Evacuations, unreadable, err error)
	// PeersListen is the endpoint to listen on for peers if it differs from the
	// one that peers send to; zero if they are the same.
	PeersListen gooseberrymast.Endpoint
	// MetricsPort is the port of the metrics endpoint on the instance's address;
	// zero disables it.
	MetricsPort int
	// AdmissionRule states for which servers an agent holds and refuses new flows. The zero
	// value is for none.
	AdmissionRule gooseberrymast.WorkRule
	// Placement is the rule for the servers whose flows are placed by expected work. An
	// agent reports the work where it is active; a balancer uses such reports unless the
	// rule is off.
	Placement gooseberrymast.WorkRule
	// FlowRecords says whether open flows are recorded in the store.
	FlowRecords gooseberrymast.FlowRecordsMode
	// Log receives the process's log lines.
	Log *journaler.Journaler
}

// member is the common part of balancers and agents: it keeps the roster of peers
// and the document up to date.
type member struct {
	Environment
	roster  roster.Roster
	conn    *net.UDPConn
	metrics *metrics
	// began is when the process began to receive messages.
	began time.Time
	// onRoutes is called with routes that replace those in force.
	onRoutes func(*gooseberrymast.Routes)
	// onEvacuated is called with the evacuated zones when they change; nil at an agent.
	onEvacuated func(zones []string)
	// onReturned is called when the process's own zone is no longer evacuated; nil at a
	// balancer.
	onReturned func(now time.Time)
	// load returns the load of the backend server; nil at a balancer.
	load func(now time.Time) gooseberrymast.FlowLoad
	// onFlowOwners is called with the flows that an agent owns; nil at an agent.
	onFlowOwners ownersFunc
	// onFlowUpdate and onFlowUpdateAnswer are called with messages about flow records;
	// nil where they are not processed.
	onFlowUpdate       func(*peer.FlowRecords, time.Time)
	onFlowUpdateAnswer func(*peer.FlowRecordsAnswer, time.Time)
	// countOwners returns the number of flow owners that a balancer has stored;
	// nil at an agent.
	countOwners func() int
	// countPlaced returns the numbers of flows that a balancer placed by the expected work
	// of agents and by their counts; nil at an agent.
	countPlaced func() (byWork, byCount uint64)
	// countFlowRecords returns the size of the flow records; nil where they are off.
	countFlowRecords func() recordedFlows
	// served returns what the process's entry says besides its description, and restore
	// receives what an earlier agent stored there; restore is nil at a balancer.
	served  func() interpreter.Served
	restore func(predecessor)

	relayerMu sync.Mutex
	relayer   relayer.Relayer
	// relayBuffer is the buffer of relayEntries.
	relayBuffer []roster.Entry
	// isolated and relaying are what was last logged of the relayer's decisions.
	isolated, relaying bool
	// zoneChanged is set when a peer of the own zone has changed since the last
	// summary.
	zoneChanged atomic.Bool

	mu        sync.Mutex
	self      gooseberrymast.Peer
	confirmer confirmer.Confirmer
	collector interpreter.Collector
	routes    *gooseberrymast.Routes
	verifier  verifier.Verifier
	evacuator evacuator.Evacuator
	// evacuationsUsable is set once hasUsableEvacuations has been true.
	evacuationsUsable bool
	// lastDocument is the document that the last read of the store has found. Only
	// confirmDocument uses it.
	lastDocument decodedDocument
	// lastUnreadable is the last logged text about unreadable evacuations. Only
	// readEvacuations uses it.
	lastUnreadable string
	// documentParts are the datagrams of routes, or nil until a peer requests them.
	documentParts [][]byte
	lastFetch     time.Time
	// rosterSent is when each peer was last sent a roster.
	rosterSent map[gooseberrymast.Endpoint]time.Time
	// differsSince is when a peer's roster began to differ from this process's.
	differsSince map[gooseberrymast.Endpoint]time.Time
	storeFailed  bool
	// entry is the process's entry in the store as last written or read.
	entry gooseberrymast.Object
	// ownVersion is the version of the entry that the process wrote last; zero if it
	// hasn't written any, or if a later write got no response.
	ownVersion uint64
	// decodedEntries holds the entries of all instances as last read, by key.
	decodedEntries map[string]decodedEntry
	// onEntry is called after a change of entry; nil at a balancer.
	onEntry func(gooseberrymast.Object)

	// awaitServer waits until an agent's server is known, unless an earlier agent has
	// left an entry in the store; nil at a balancer.
	awaitServer func(ctx context.Context)
	// hidden is set while an agent must not be known to its peers. onReveal is called before
	// they learn of it; nil at a balancer.
	hidden   atomic.Bool
	onReveal func(now time.Time)
	// hasFlowRecords is set once a balancer has written flow records, or an earlier one
	// at its address has.
	hasFlowRecords atomic.Bool
	// registered is set once the entry is in the store and the peers are loaded.
	registered atomic.Bool
	// wake makes reportPeriodically report at once.
	wake chan struct{}
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
	m.roster.Zone = m.Settings.Zone
	m.verifier.Offset = rand.Float64()
	m.evacuator.Within = m.Settings.Places.EvacuateWithin
	m.relayer = relayer.Relayer{Self: m.Settings.Peers, Role: m.Settings.Role, Zone: m.Settings.Zone, Started: now}
	m.rosterSent = map[gooseberrymast.Endpoint]time.Time{}
	m.differsSince = map[gooseberrymast.Endpoint]time.Time{}
	m.wake = make(chan struct{}, 1)
	conn, err := listenUDP(m.listenEndpoint())
	if err != nil {
		return err
	}
	m.conn = conn
	m.began = now
	m.roster.StartListening(now)
	m.metrics = newMetrics(m)
	return nil
}

// listenEndpoint returns the endpoint to listen on for peers.
func (m *member) listenEndpoint() gooseberrymast.Endpoint {
	if m.PeersListen.IsZero() {
		return m.Settings.Peers
	}
	return m.PeersListen
}

// serveMetrics serves the metrics if the settings enable them. A process that
// fails to serve them continues without.
func (m *member) serveMetrics() (stop func()) {
	if m.MetricsPort == 0 {
		return func() {}
	}
	address := gooseberrymast.Endpoint{IP: m.listenEndpoint().IP, Port: uint16(m.MetricsPort)}
	stop, err := serveHTTP(address, m.metrics.handler(), m.Log)
	if err != nil {
		m.Log.Error(gooseberrymast.EventMetricsNotServed).Err(err).Msg("")
		return func() {}
	}
	return stop
}

func (m *member) currentRoutes() *gooseberrymast.Routes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.routes
}

func (m *member) documentVersion() uint64 {
	return routesVersion(m.currentRoutes())
}

func listenUDP(address gooseberrymast.Endpoint) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address.AddrPort()))
	if err != nil {
		return nil, fmt.Errorf("listen on UDP %s: %w", address, err)
	}
	return conn, nil
}

// ownPeer returns the process's own peer record, as sent in reports.
func (m *member) ownPeer() gooseberrymast.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// setState sets the state and service of the process and reports whether
// either changed.
func (m *member) setState(state gooseberrymast.State, service string) bool {
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

func notGone(entry roster.Entry) bool {
	return entry.State != gooseberrymast.StateGone
}

func (m *member) send(message *peer.Message, to gooseberrymast.Endpoint) {
	datagram, err := interpreter.Encode(message)
	if err != nil {
		m.Log.Error(gooseberrymast.EventEncodeFailed).Err(err).Msg("a message can't be encoded")
		return
	}
	m.write(m.conn, datagram, to)
}

// write sends a datagram. On failure it logs the error and drops the datagram, as
// a network link may.
func (m *member) write(conn *net.UDPConn, datagram []byte, to gooseberrymast.Endpoint) {
	if _, err := conn.WriteToUDPAddrPort(datagram, to.AddrPort()); err != nil && !errors.Is(err, net.ErrClosed) {
		m.Log.Warn(gooseberrymast.EventSendFailed).Stringer("peer", to.AddrPort()).Err(err).Msg("")
	}
}

// callStore makes a call to the store, counts it, and logs when the store becomes
// unavailable or available again.
func (m *member) callStore(ctx context.Context, step string, call func(context.Context) error) error {
	err := call(ctx)
	m.metrics.countStoreCall(step, err)
	m.handleEra(m.storeEra(), "store")
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
