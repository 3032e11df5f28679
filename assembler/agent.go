// Package assembler puts the layers together into the two processes, the agent
// and the balancer.
package assembler

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"

	"gooseberrymast"
	"gooseberrymast/coordination/dispatcher"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/protocol/parser"
	"gooseberrymast/transport/controller"
	"gooseberrymast/transport/driver"
	"gooseberrymast/transport/executor"
	"gooseberrymast/transport/hander"
	"gooseberrymast/transport/linker"
	"gooseberrymast/transport/poller"
	"gooseberrymast/transport/receiver"
	"gooseberrymast/transport/terminator"
)

// AgentConfig is what an agent is made of.
type AgentConfig struct {
	// Settings are validated, with their defaults set. Port 0 takes a free port.
	Settings gooseberrymast.AgentSettings
	// Incarnation is higher than that of any process that had the address before.
	Incarnation gooseberrymast.Incarnation
	// Keys are the fleet's keys at the start.
	Keys *keyer.Keys
	// Certificate gives the certificate for callers.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// Timer is the timer service.
	Timer gooseberrymast.Timer
	// Seed feeds the random choices.
	Seed uint64
	// Policy is zero but for baselines.
	Policy dispatcher.Policy
	// Registry takes the metrics; nil makes one.
	Registry *prometheus.Registry
}

// Agent is one agent process.
type Agent struct {
	// Registry holds the agent's metrics.
	Registry *prometheus.Registry

	config     AgentConfig
	tag        gooseberrymast.ServiceTag
	keys       atomic.Pointer[keyer.Keys]
	service    atomic.Pointer[gooseberrymast.Service]
	rules      atomic.Pointer[gooseberrymast.Document]
	table      atomic.Pointer[gooseberrymast.Table]
	receiver   *receiver.Receiver
	transport  *quic.Transport
	listener   *linker.Listener
	pool       *linker.Pool
	dispatcher *dispatcher.Dispatcher
	driver     *driver.Driver
	terminator *terminator.Terminator
	controller *controller.Controller
	poller     *poller.Poller
	evener     flowEvener
	healthy    atomic.Bool
	barred     atomic.Bool
	revision   atomic.Uint64
	raised     chan gooseberrymast.Identity
	leave      sync.Once
}

// NewAgent opens the agent's sockets.
func NewAgent(config AgentConfig) (*Agent, error) {
	a := &Agent{config: config, Registry: config.Registry, raised: make(chan gooseberrymast.Identity, 1)}
	if a.Registry == nil {
		a.Registry = prometheus.NewRegistry()
	}
	a.tag = gooseberrymast.TagOf(config.Settings.Service)
	a.keys.Store(config.Keys)
	a.evener.timer = config.Timer
	if err := a.open(); err != nil {
		a.closeSockets()
		return nil, fmt.Errorf("assembler.NewAgent: %w", err)
	}
	a.assemble()
	a.join()
	return a, a.register()
}

func (a *Agent) open() error {
	settings := a.config.Settings
	var err error
	a.receiver, err = receiver.New(receiver.Config{
		Identity:  gooseberrymast.Identity{Address: settings.Address, Incarnation: a.config.Incarnation},
		Service:   settings.Service,
		Keys:      a.config.Keys,
		Timer:     a.config.Timer,
		FlowBound: a.atFlowBound,
		PassOn:    a.evener.passOn,
	})
	if err != nil {
		return err
	}
	if a.transport, err = a.receiver.Transport(); err != nil {
		return err
	}
	a.listener, err = linker.Listen(settings.ControlAddress, a.keys.Load)
	return err
}

func (a *Agent) assemble() {
	settings := a.config.Settings
	self := a.receiver.Identity()
	a.dispatcher = dispatcher.New(dispatcher.Config{
		Self:    self,
		Service: settings.Service,
		Zone:    settings.Zone,
		Seed:    a.config.Seed,
		Policy:  a.config.Policy,

		CountAtHome: true,
	})
	a.pool = &linker.Pool{Keys: a.keys.Load, Timer: a.config.Timer}
	a.driver = &driver.Driver{
		Self:       self,
		Dispatcher: a.dispatcher,
		Timer:      a.config.Timer,
		Executor: &executor.Executor{
			Address: settings.Backend.Address,
			HTTP2:   settings.Backend.Protocol == gooseberrymast.ProtocolH2C,
		},
		Refuse:  a.dispatcher.Refuse,
		Metrics: driver.NewMetrics(a.Registry),
	}
	a.driver.Flows = func() int32 { return int32(a.terminator.Staying()) }
	a.driver.Peers = &hander.Client{
		Self:    self,
		Service: a.tag,
		Pool:    a.pool,
		Locate:  a.locate,
		OnLoad:  a.heard,
	}
	a.evener.set(self, a.config.Seed, a.driver, func(n int) int { return a.terminator.Retire(n) })
	server := &hander.Server{
		Self:    self,
		Service: a.tag,
		Local:   a.driver,
		Timer:   a.config.Timer,
		Metrics: hander.NewMetrics(a.Registry),
	}
	a.listener.Handle(linker.KindHandOver, server.Handle)
	a.terminator = &terminator.Terminator{
		Transport: a.transport,
		TLS:       &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: a.config.Certificate},
		QUIC:      a.quicConfig(),
		Driver:    a.driver,
		Tag:       a.tag,
		Keys:      a.keys.Load,
		Document:  a.document,
		Timer:     a.config.Timer,
	}
}

// join makes the agent's part in its environment.
func (a *Agent) join() {
	a.controller = controller.New(a.membership())
	a.controller.Attach(a.listener)
	a.healthy.Store(true)
	backend := a.config.Settings.Backend
	a.poller = &poller.Poller{
		Address:    backend.Address,
		HealthPath: backend.HealthPath,
		LoadPath:   backend.LoadPath,
		Timer:      a.config.Timer,
		Observe:    a.observe,
	}
}

// membership sets up the agent's controller.
func (a *Agent) membership() controller.Config {
	settings := a.config.Settings
	return controller.Config{
		Environment: settings.Environment,
		Record: gooseberrymast.Record{
			Identity: a.receiver.Identity(),
			Control:  a.listener.Address(),
			Role:     gooseberrymast.RoleAgent,
			Service:  a.tag,
			Zone:     settings.Zone,
			Weight:   uint16(settings.Weight),
		},
		Seeds:        settings.Seeds,
		CellsPerZone: settings.CellsPerZone,
		Keys:         a.keys.Load,
		Timer:        a.config.Timer,
		Seed:         a.config.Seed + uint64(a.receiver.Identity().Address.Port()),
		Parse:        parser.Document,
		OnTable:      a.setTable,
		OnRevision:   a.setDocument,
		OnBalancers:  a.receiver.SetBalancers,
		OnIdentity:   func(identity gooseberrymast.Identity) { a.raised <- identity },
	}
}

func (a *Agent) observe(healthy bool, load int32) {
	a.healthy.Store(healthy)
	a.driver.Observe(healthy, load)
}

func (a *Agent) register() error {
	for _, collector := range []prometheus.Collector{&a.receiver.Counters, a.dispatcher.Recorder(), violations{}} {
		if err := a.Registry.Register(collector); err != nil {
			return fmt.Errorf("Agent.register: %w", err)
		}
	}
	return a.controller.Register(a.Registry)
}

// quicConfig joins the packet side's settings with those of the flows.
func (a *Agent) quicConfig() *quic.Config {
	config := terminator.QUICConfig()
	packets := a.receiver.QUICConfig()
	config.HandshakeIdleTimeout = packets.HandshakeIdleTimeout
	config.MaxIdleTimeout = packets.MaxIdleTimeout
	config.KeepAlivePeriod = packets.KeepAlivePeriod
	config.InitialPacketSize = packets.InitialPacketSize
	config.DisablePathMTUDiscovery = packets.DisablePathMTUDiscovery
	return config
}

// Identity is the agent's own.
func (a *Agent) Identity() gooseberrymast.Identity {
	return a.receiver.Identity()
}

// Control is the TCP address for sessions between processes.
func (a *Agent) Control() netip.AddrPort {
	return a.listener.Address()
}

// Driver gives the agent's load and takes what is polled.
func (a *Agent) Driver() *driver.Driver {
	return a.driver
}

// Dispatcher gives the refusals and the state of the drain.
func (a *Agent) Dispatcher() *dispatcher.Dispatcher {
	return a.dispatcher
}

// setTable puts a snapshot of the members in force.
func (a *Agent) setTable(table *gooseberrymast.Table) {
	a.table.Store(table)
	a.receiver.SetTable(table)
	a.place()
}

// place gives new flows and requests to the members in zones that the document
// allows. It is called for each table and each document, one at a time.
func (a *Agent) place() {
	table := a.table.Load()
	allowed := a.rules.Load().Restrict(table, a.config.Settings.Service).Members(a.tag)
	a.receiver.SetBarred(missing(table.Members(a.tag), allowed))
	a.driver.Members(allowed)
	a.evener.update(allowed)
}

// missing lists the members of all that are not among some, both sorted by
// address.
func missing(all, some []gooseberrymast.Member) []gooseberrymast.Identity {
	var ids []gooseberrymast.Identity
	for _, member := range all {
		if len(some) > 0 && some[0].Identity == member.Identity {
			some = some[1:]
			continue
		}
		ids = append(ids, member.Identity)
	}
	return ids
}

// heard takes the load that came with a peer's reply.
func (a *Agent) heard(peer gooseberrymast.Identity, load gooseberrymast.Load) {
	a.driver.PeerLoad(peer, load)
	a.evener.heard(peer, load)
}

// setDocument puts a revision in force. A document without the agent's service
// leaves the limits as they were.
func (a *Agent) setDocument(revision uint64, document gooseberrymast.Document) {
	a.setZones(revision, document)
	service, ok := document.Services[a.config.Settings.Service]
	if !ok {
		log.Warn().Uint64("revision", revision).Str("service", a.config.Settings.Service).
			Msg("the document does not name this agent's service; its limits stay as they were")
		return
	}
	service.Zones = document.ZonesOf(a.config.Settings.Service)
	a.service.Store(&service)
	a.revision.Store(revision)
	a.driver.Configure(revision, service)
}

// setZones puts the zones of a revision in force.
func (a *Agent) setZones(revision uint64, document gooseberrymast.Document) {
	settings := a.config.Settings
	barred := !document.Allows(settings.Service, settings.Zone)
	if barred {
		log.Warn().Uint64("revision", revision).Str("service", settings.Service).Str("zone", settings.Zone).
			Msg("the document does not allow the service in this agent's availability zone; it gets no new flows")
	}
	a.barred.Store(barred)
	a.rules.Store(&document)
	a.place()
}

// SetKeys puts a changed key file in force.
func (a *Agent) SetKeys(keys *keyer.Keys) error {
	a.keys.Store(keys)
	return a.receiver.SetKeys(keys)
}

// Run serves until Close or Shutdown. It gives a RaisedError when the agent
// must be made again with a higher incarnation.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 2)
	go func() { ended <- a.listener.Serve(ctx) }()
	go func() { ended <- a.terminator.Serve() }()
	a.poller.Start()
	defer a.evener.start(ctx)()
	a.controller.Start()
	a.controller.Move(gooseberrymast.StateReady)
	select {
	case identity := <-a.raised:
		return &RaisedError{Identity: identity}
	case err := <-ended:
		return err
	}
}

// Ready gives nil while the agent takes new flows and otherwise says why not.
func (a *Agent) Ready() error {
	if state := a.controller.State(); state != gooseberrymast.StateReady {
		return fmt.Errorf("the agent is %s", state)
	}
	return nil
}

// Find gives a refusal that the agent still keeps.
func (a *Agent) Find(id string) (gooseberrymast.Refusal, bool) {
	return a.dispatcher.Recorder().Find(id)
}

// Status is what the agent says of itself.
func (a *Agent) Status() gooseberrymast.AgentStatus {
	load := a.driver.Load()
	return gooseberrymast.AgentStatus{
		Instance:    a.Identity(),
		Time:        a.config.Timer.Now(),
		Environment: a.config.Settings.Environment,
		Service:     a.config.Settings.Service,
		Zone:        a.config.Settings.Zone,
		Revision:    a.revision.Load(),
		State:       a.controller.State().String(),
		Healthy:     a.healthy.Load(),
		Flows:       a.terminator.Flows(),
		Streams:     int(load.Streams),
		Running:     a.driver.InProgress() - int(load.Streams) - int(load.Queued),
		Queued:      int(load.Queued),
	}
}

// Leave stops new work at the agent's backend server. Open flows and what is in
// progress go on.
func (a *Agent) Leave() {
	a.leave.Do(func() {
		a.controller.Move(gooseberrymast.StateLeaving)
		a.receiver.Leaving()
		a.driver.Leave()
	})
}

// Shutdown waits until the requests in progress have ended and moves the
// callers on. The end of the context, or of the document's max-wait, cuts what
// is left.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.Leave()
	if wait := a.document().Drain.MaxWait.Std(); wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	if err := a.terminator.Shutdown(ctx); err != nil {
		return fmt.Errorf("Agent.Shutdown %s: %w", a.Identity(), err)
	}
	a.controller.Leave(ctx)
	return nil
}

// Close cuts every flow and closes the sockets.
func (a *Agent) Close() error {
	err := a.terminator.Close()
	a.poller.Stop()
	a.controller.Close()
	a.closeSockets()
	return err
}

// Kill closes the sockets without a word to callers or peers, as a crash does.
func (a *Agent) Kill() {
	a.poller.Stop()
	a.receiver.Close()
	a.pool.Close()
	a.listener.Close()
	a.controller.Close()
}

func (a *Agent) closeSockets() {
	var errs []error
	if a.transport != nil {
		errs = append(errs, a.transport.Close())
	}
	if a.receiver != nil {
		errs = append(errs, a.receiver.Close())
	}
	if a.pool != nil {
		errs = append(errs, a.pool.Close())
	}
	if a.listener != nil {
		errs = append(errs, a.listener.Close())
	}
	_ = errors.Join(errs...)
}

// document gives the service's part of the document in force.
func (a *Agent) document() gooseberrymast.Service {
	if service := a.service.Load(); service != nil {
		return *service
	}
	var unset gooseberrymast.Service
	unset.Defaults()
	return unset
}

// atFlowBound reports whether the agent would rather pass a new flow on.
func (a *Agent) atFlowBound() bool {
	service := a.service.Load()
	if service == nil || a.barred.Load() {
		return true
	}
	return int(a.driver.Load().Streams) >= service.Limits.Connections
}

// locate gives the control address of another agent of the service.
func (a *Agent) locate(peer gooseberrymast.Identity) (netip.AddrPort, bool) {
	for _, member := range a.table.Load().Members(a.tag) {
		if member.Identity == peer {
			return member.Control, true
		}
	}
	return netip.AddrPort{}, false
}
