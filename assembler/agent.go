// Package assembler puts the layers together into the two processes, the agent
// and the balancer.
package assembler

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"

	"gooseberrymast"
	"gooseberrymast/coordination/dispatcher"
	"gooseberrymast/protocol/keyer"
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
	hander     *hander.Server
	terminator *terminator.Terminator
	controller *controller.Controller
	poller     *poller.Poller
	evener     flowEvener
	healthy    atomic.Bool
	// ready is done when the agent became ready, or left before.
	ready    sync.Once
	barred   atomic.Bool
	revision atomic.Uint64
	raised   chan gooseberrymast.Identity
	leave    sync.Once
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
	a.hander = &hander.Server{
		Self:    self,
		Service: a.tag,
		Local:   a.driver,
		Timer:   a.config.Timer,
		Metrics: hander.NewMetrics(a.Registry),
	}
	a.listener.Handle(linker.KindHandOver, a.hander.Handle)
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

// SetKeys puts a changed key file in force.
func (a *Agent) SetKeys(keys *keyer.Keys) error {
	a.keys.Store(keys)
	return a.receiver.SetKeys(keys)
}

// atFlowBound reports whether the agent would rather pass a new flow on.
func (a *Agent) atFlowBound() bool {
	service := a.service.Load()
	if service == nil || a.barred.Load() {
		return true
	}
	return int(a.driver.Load().Streams) >= service.Limits.Connections
}
