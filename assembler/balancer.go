package assembler

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sort"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/transport/forwarder"
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
	// Seed feeds the random choices.
	Seed uint64
	// Registry takes the metrics; nil makes one.
	Registry *prometheus.Registry
}

// Balancer is one balancer process without its control side.
type Balancer struct {
	// Registry holds the balancer's metrics.
	Registry *prometheus.Registry

	config    BalancerConfig
	forwarder *forwarder.Forwarder
	services  []forwarder.ServiceAddress
}

// NewBalancer opens the balancer's sockets.
func NewBalancer(config BalancerConfig) (*Balancer, error) {
	b := &Balancer{config: config, Registry: config.Registry}
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
		Shards:   config.Settings.Shards,
	})
	if err != nil {
		return nil, fmt.Errorf("assembler.NewBalancer: %w", err)
	}
	b.forwarder = fwd
	return b, nil
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

// SetTable puts a snapshot of the members in force.
func (b *Balancer) SetTable(table *gooseberrymast.Table) {
	b.forwarder.SetTable(table)
}

// SetDocument puts a revision in force.
func (b *Balancer) SetDocument(_ uint64, document *gooseberrymast.Document) {
	b.forwarder.SetDocument(document)
}

// SetKeys puts a changed key file in force.
func (b *Balancer) SetKeys(keys *keyer.Keys) error {
	return b.forwarder.SetKeys(keys)
}

// Run forwards packets until Close.
func (b *Balancer) Run(ctx context.Context) error {
	return b.forwarder.Run(ctx)
}

// Close closes the sockets.
func (b *Balancer) Close() {
	b.forwarder.Close()
}
