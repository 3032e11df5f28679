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

// BalancerConfig is what a balancer is made of.
type BalancerConfig struct {
	// Settings are validated, with their defaults set. Port 0 takes a free port.
	Settings gooseberrymast.BalancerSettings
	// Incarnation is higher than that of any process that had the address before.
	Incarnation gooseberrymast.Incarnation
	// Keys are the fleet's keys at the start.
	Keys *keyer.Keys
	// Timer is the timer service.
	Timer gooseberrymast.Timer
	// Store is the platform's store; nil leaves the balancer to its peers.
	Store gooseberrymast.Store
	// Seed feeds the random choices.
	Seed uint64
	// Registry takes the metrics; nil makes one.
	Registry *prometheus.Registry
}

// Balancer is one balancer process.
type Balancer struct {
	// Registry holds the balancer's metrics.
	Registry *prometheus.Registry

	config     BalancerConfig
	keys       atomic.Pointer[keyer.Keys]
	forwarder  *forwarder.Forwarder
	listener   *linker.Listener
	controller *controller.Controller
	services   []forwarder.ServiceAddress
	raised     chan gooseberrymast.Identity
}

// NewBalancer opens the balancer's sockets.
func NewBalancer(config BalancerConfig) (*Balancer, error) {
	b := &Balancer{config: config, Registry: config.Registry, raised: make(chan gooseberrymast.Identity, 1)}
	b.keys.Store(config.Keys)
	if b.Registry == nil {
		b.Registry = prometheus.NewRegistry()
	}
	b.services = serviceAddresses(config.Settings.ServiceAddresses)
	fwd, err := forwarder.New(forwarder.Config{
		Services: b.services,
		Forward:  config.Settings.ForwardAddress,
		Zone:     config.Settings.Zone,
		Keys:     config.Keys,
		Timer:    config.Timer,
		Shards:   shardsOf(config.Settings),
	})
	if err != nil {
		return nil, fmt.Errorf("assembler.NewBalancer: %w", err)
	}
	b.forwarder = fwd
	if b.listener, err = linker.Listen(config.Settings.ControlAddress, b.keys.Load); err != nil {
		fwd.Close()
		return nil, fmt.Errorf("assembler.NewBalancer: %w", err)
	}
	b.join()
	return b, b.register()
}

// shardsOf gives the number of sockets for each address: the one in the
// settings, or one for each processor.
func shardsOf(settings gooseberrymast.BalancerSettings) int {
	if settings.Shards > 0 {
		return settings.Shards
	}
	return min(runtime.GOMAXPROCS(0), gooseberrymast.MaxShards)
}

// join makes the balancer's part in its environment.
func (b *Balancer) join() {
	b.controller = controller.New(b.membership())
	b.controller.Attach(b.listener)
}

// membership sets up the balancer's controller.
func (b *Balancer) membership() controller.Config {
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
		OnIdentity:   func(identity gooseberrymast.Identity) { b.raised <- identity },
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

// serviceAddresses lists the addresses in the order of the services' names.
func serviceAddresses(settings map[string][]netip.AddrPort) []forwarder.ServiceAddress {
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

// ServiceAddress gives the first address of a service.
func (b *Balancer) ServiceAddress(service string) (netip.AddrPort, bool) {
	i := slices.IndexFunc(b.services, func(s forwarder.ServiceAddress) bool { return s.Service == service })
	if i < 0 {
		return netip.AddrPort{}, false
	}
	return b.forwarder.ServiceAddress(i), true
}

// Identity is the balancer's own.
func (b *Balancer) Identity() gooseberrymast.Identity {
	return gooseberrymast.Identity{Address: b.forwarder.ForwardAddress(), Incarnation: b.config.Incarnation}
}

// Control is the TCP address for sessions between processes.
func (b *Balancer) Control() netip.AddrPort {
	return b.listener.Address()
}

// Routes reports whether the balancer gives new flows to an agent.
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

// Status is what the balancer knows of its environment.
func (b *Balancer) Status() gooseberrymast.Status {
	return b.controller.Status()
}

// Ready gives nil while the balancer can open new flows and otherwise says why not.
func (b *Balancer) Ready() error {
	if state := b.controller.State(); state != gooseberrymast.StateReady {
		return fmt.Errorf("the balancer is %s", state)
	}
	return nil
}

// SetKeys puts a changed key file in force.
func (b *Balancer) SetKeys(keys *keyer.Keys) error {
	b.keys.Store(keys)
	return b.forwarder.SetKeys(keys)
}

// Run forwards packets until Close. It gives a RaisedError when the balancer
// must be made again with a higher incarnation.
func (b *Balancer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 2)
	go func() { ended <- b.listener.Serve(ctx) }()
	go func() { ended <- b.forwarder.Run(ctx) }()
	b.controller.Start()
	b.controller.Move(gooseberrymast.StateReady)
	select {
	case identity := <-b.raised:
		return &RaisedError{Identity: identity}
	case err := <-ended:
		return err
	}
}

// Shutdown announces the departure, so that the fabric and the agents turn to
// other balancers, and forwards until the announcement has had its time.
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
