// Package assembler builds the two processes, agent and balancer, from the packages
// of the layers below.
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

// AgentConfig configures an agent.
type AgentConfig struct {
	// Settings are the validated settings with their defaults set. Port 0 chooses a
	// free port.
	Settings gooseberrymast.AgentSettings
	// Incarnation must be higher than that of any earlier process at the address;
	// otherwise Run returns a StaleIncarnationError.
	Incarnation gooseberrymast.Incarnation
	// Keys are the fleet's keys; SetKeys replaces them later.
	Keys *keyer.Keys
	// Certificate returns the certificate to present to callers.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// Timer provides the time and schedules callbacks.
	Timer gooseberrymast.Timer
	// Seed initialises the random choices.
	Seed uint64
	// Policy is the zero value except in runs of the baseline.
	Policy dispatcher.Policy
	// Registry receives the metrics; nil creates a registry.
	Registry *prometheus.Registry
}

// Agent is an agent: the process beside a backend server that terminates flows.
type Agent struct {
	// Registry holds the agent's metrics.
	Registry *prometheus.Registry

	config     AgentConfig
	tag        gooseberrymast.ServiceTag
	keys       atomic.Pointer[keyer.Keys]
	service    atomic.Pointer[gooseberrymast.Service]
	document   atomic.Pointer[gooseberrymast.Document]
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
	flowEvener flowEvener
	healthy    atomic.Bool
	// readyOnce is done once the agent has become ready, or has begun to leave
	// before that.
	readyOnce    sync.Once
	zoneExcluded atomic.Bool
	revision     atomic.Uint64
	// raisedIdentity receives the identity that the membership accepts, if it rejected
	// the agent's incarnation as too low.
	raisedIdentity chan gooseberrymast.Identity
	leaveOnce      sync.Once
}

// NewAgent creates an agent and opens its sockets. Run starts it.
func NewAgent(config AgentConfig) (*Agent, error) {
	a := &Agent{config: config, Registry: config.Registry, raisedIdentity: make(chan gooseberrymast.Identity, 1)}
	if a.Registry == nil {
		a.Registry = prometheus.NewRegistry()
	}
	a.tag = gooseberrymast.TagOf(config.Settings.Service)
	a.keys.Store(config.Keys)
	a.flowEvener.timer = config.Timer
	if err := a.openSockets(); err != nil {
		a.closeSockets()
		return nil, fmt.Errorf("assembler.NewAgent: %w", err)
	}
	a.assemble()
	a.setUpMembership()
	return a, a.register()
}

func (a *Agent) openSockets() error {
	settings := a.config.Settings
	var err error
	a.receiver, err = receiver.New(receiver.Config{
		Identity:      gooseberrymast.Identity{Address: settings.Address, Incarnation: a.config.Incarnation},
		Service:       settings.Service,
		Keys:          a.config.Keys,
		Timer:         a.config.Timer,
		AtFlowLimit:   a.atFlowBound,
		PrefersSecond: a.flowEvener.passOn,
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
	a.driver.Flows = func() int32 { return int32(a.terminator.ActiveFlows()) }
	a.driver.Peers = &hander.Client{
		Self:    self,
		Service: a.tag,
		Pool:    a.pool,
		Locate:  a.locate,
		OnLoad:  a.handlePeerLoad,
	}
	a.flowEvener.configure(self, a.config.Seed, a.driver, func(n int) int { return a.terminator.Retire(n) })
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
		Document:  a.currentService,
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

// quicConfig combines the terminator's settings for flows with the receiver's
// settings for packets.
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

// Identity returns the agent's identity.
func (a *Agent) Identity() gooseberrymast.Identity {
	return a.receiver.Identity()
}

// ControlAddress returns the TCP address for sessions with other processes.
func (a *Agent) ControlAddress() netip.AddrPort {
	return a.listener.Address()
}

// Driver returns the driver, which reports the agent's load and receives the results
// of polling the backend server.
func (a *Agent) Driver() *driver.Driver {
	return a.driver
}

// Dispatcher returns the dispatcher, which holds the refusals and the state of the
// drain.
func (a *Agent) Dispatcher() *dispatcher.Dispatcher {
	return a.dispatcher
}

// SetKeys replaces the fleet's keys after a change of the key file.
func (a *Agent) SetKeys(keys *keyer.Keys) error {
	a.keys.Store(keys)
	return a.receiver.SetKeys(keys)
}

// atFlowBound reports whether a new flow should be passed to its second candidate:
// it has received no document with its service yet, the document excludes its availability zone, or
// its open streams have reached the limit of connections.
func (a *Agent) atFlowBound() bool {
	service := a.service.Load()
	if service == nil || a.zoneExcluded.Load() {
		return true
	}
	return int(a.driver.Load().Streams) >= service.Limits.Connections
}
