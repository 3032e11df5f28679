package assembler

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"sort"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/protocol/parser"
	"gooseberrymast/transport/controller"
	"gooseberrymast/transport/forwarder"
	"gooseberrymast/transport/linker"
)

// BalancerConfig configures a balancer.
type BalancerConfig struct {
	// Settings are the validated settings with their defaults set. Port 0 chooses a
	// free port.
	Settings gooseberrymast.BalancerSettings
	// Incarnation must be higher than that of any earlier process at the address;
	// otherwise Run returns a StaleIncarnationError.
	Incarnation gooseberrymast.Incarnation
	// Keys are the fleet's keys; SetKeys replaces them later.
	Keys *keyer.Keys
	// Timer provides the time and schedules callbacks.
	Timer gooseberrymast.Timer
	// Store is the platform's store; with nil the balancer depends on its peers.
	Store gooseberrymast.Store
	// Seed initialises the random choices.
	Seed uint64
	// Registry receives the metrics; nil creates a registry.
	Registry *prometheus.Registry
}

// Balancer is a balancer: the process that forwards callers' packets to agents.
type Balancer struct {
	// Registry holds the balancer's metrics.
	Registry *prometheus.Registry

	config     BalancerConfig
	keys       atomic.Pointer[keyer.Keys]
	forwarder  *forwarder.Forwarder
	listener   *linker.Listener
	controller *controller.Controller
	services   []forwarder.ServiceAddress
	// raisedIdentity receives the identity that the membership accepts, if it rejected
	// the balancer's incarnation as too low.
	raisedIdentity chan gooseberrymast.Identity
}

// NewBalancer creates a balancer and opens its sockets. Run starts it.
func NewBalancer(config BalancerConfig) (*Balancer, error) {
	b := &Balancer{config: config, Registry: config.Registry, raisedIdentity: make(chan gooseberrymast.Identity, 1)}
	b.keys.Store(config.Keys)
	if b.Registry == nil {
		b.Registry = prometheus.NewRegistry()
	}
	b.services = sortedServiceAddresses(config.Settings.ServiceAddresses)
	fwd, err := forwarder.New(forwarder.Config{
		Services: b.services,
		Forward:  config.Settings.ForwardAddress,
		Zone:     config.Settings.Zone,
		Keys:     config.Keys,
		Timer:    config.Timer,
		Shards:   shardCount(config.Settings),
	})
	if err != nil {
		return nil, fmt.Errorf("assembler.NewBalancer: %w", err)
	}
	b.forwarder = fwd
	if b.listener, err = linker.Listen(config.Settings.ControlAddress, b.keys.Load); err != nil {
		fwd.Close()
		return nil, fmt.Errorf("assembler.NewBalancer: %w", err)
	}
	b.setUpMembership()
	return b, b.register()
}

// shardCount returns the number of sockets for each address: the number in the
// settings or, if that is 0, one for each processor up to MaxShards.
func shardCount(settings gooseberrymast.BalancerSettings) int {
	if settings.Shards > 0 {
		return settings.Shards
	}
	return min(runtime.GOMAXPROCS(0), gooseberrymast.MaxShards)
}

// setUpMembership creates the controller, which takes part in the membership.
func (b *Balancer) setUpMembership() {
	b.controller = controller.New(b.controllerConfig())
	b.controller.Attach(b.listener)
}

// controllerConfig returns the configuration of the balancer's controller.
func (b *Balancer) controllerConfig() controller.Config {
	settings := b.config.Settings
	return controller.Config{
		Environment: settings.Environment,
		Record: gooseberrymast.Record{
			Identity: b.Identity(),
			Control:  b.listener.Address(),
			Role:     gooseberrymast.RoleBalancer,
			Zone:     settings.Zone,
			Weight:   gooseberrymast.DefaultWeight,
		},
		Seeds:        settings.Seeds,
		CellsPerZone: settings.CellsPerZone,
		Keys:         b.keys.Load,
		Store:        b.config.Store,
		Timer:        b.config.Timer,
		Seed:         b.config.Seed + uint64(b.Identity().Address.Port()),
		Parse:        parser.Document,
		OnTable:      b.forwarder.SetTable,
		OnRevision:   func(_ uint64, document gooseberrymast.Document) { b.forwarder.SetDocument(&document) },
		OnIdentity:   func(identity gooseberrymast.Identity) { b.raisedIdentity <- identity },
	}
}

func (b *Balancer) register() error {
	for _, collector := range []prometheus.Collector{&b.forwarder.Counters, violations{}} {
		if err := b.Registry.Register(collector); err != nil {
			return fmt.Errorf("Balancer.register: %w", err)
		}
	}
	return b.controller.Register(b.Registry)
}

// sortedServiceAddresses returns the addresses of all services, ordered by the
// services' names.
func sortedServiceAddresses(settings map[string][]netip.AddrPort) []forwarder.ServiceAddress {
	names := make([]string, 0, len(settings))
	for name := range settings {
		names = append(names, name)
	}
	sort.Strings(names)
	var addresses []forwarder.ServiceAddress
	for _, name := range names {
		for _, address := range settings[name] {
			addresses = append(addresses, forwarder.ServiceAddress{Address: address, Service: name})
		}
	}
	return addresses
}

// ServiceAddress returns the first address of a service.
func (b *Balancer) ServiceAddress(service string) (netip.AddrPort, bool) {
	i := slices.IndexFunc(b.services, func(s forwarder.ServiceAddress) bool { return s.Service == service })
	if i < 0 {
		return netip.AddrPort{}, false
	}
	return b.forwarder.ServiceAddress(i), true
}

// Identity returns the balancer's identity.
func (b *Balancer) Identity() gooseberrymast.Identity {
	return gooseberrymast.Identity{Address: b.forwarder.ForwardAddress(), Incarnation: b.config.Incarnation}
}

// ControlAddress returns the TCP address for sessions with other processes.
func (b *Balancer) ControlAddress() netip.AddrPort {
	return b.listener.Address()
}

// Routes reports whether the balancer sends new flows to an agent.
func (b *Balancer) Routes(agent gooseberrymast.Identity) bool {
	table := b.controller.Table()
	if table == nil {
		return false
	}
	for _, members := range table.Services {
		for _, member := range members {
			if member.Identity == agent {
				return member.Routable()
			}
		}
	}
	return false
}

// Status returns the balancer's view of its environment.
func (b *Balancer) Status() gooseberrymast.Status {
	return b.controller.Status()
}

// Ready returns nil while the balancer can open new flows, and otherwise an error that
// says why not.
func (b *Balancer) Ready() error {
	if state := b.controller.State(); state != gooseberrymast.StateReady {
		return fmt.Errorf("the balancer is %s", state)
	}
	return nil
}

// SetKeys replaces the fleet's keys after a change of the key file.
func (b *Balancer) SetKeys(keys *keyer.Keys) error {
	b.keys.Store(keys)
	return b.forwarder.SetKeys(keys)
}

// Run forwards packets until Close. It returns a StaleIncarnationError if the balancer
// must be created again with a higher incarnation.
func (b *Balancer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 2)
	go func() { ended <- b.listener.Serve(ctx) }()
	go func() { ended <- b.forwarder.Run(ctx) }()
	b.controller.Start()
	b.controller.RequestState(gooseberrymast.StateReady)
	select {
	case identity := <-b.raisedIdentity:
		return &StaleIncarnationError{Identity: identity}
	case err := <-ended:
		return err
	}
}

// Shutdown announces that the balancer leaves, so that the fabric and the agents use
// other balancers, and goes on forwarding while the announcement spreads.
func (b *Balancer) Shutdown(ctx context.Context) error {
	b.controller.Leave(ctx)
	return ctx.Err()
}

// Close closes the sockets.
func (b *Balancer) Close() error {
	b.controller.Close()
	b.forwarder.Close()
	return b.listener.Close()
}
