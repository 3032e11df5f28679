package trier

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"gooseberrymast"
	"gooseberrymast/assembler"
	"gooseberrymast/coordination/dispatcher"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/standin/backend"
	"gooseberrymast/standin/fabric"
	"gooseberrymast/state/timer"
)

// balancers is the number of entry instances of a trial.
const balancers = 3

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// server is one backend server with its agent.
type server struct {
	service DeployedService
	name    string
	zone    string
	backend *backend.Backend
	agent   *assembler.Agent
	state   gooseberrymast.State
	// leftAt is when the drain began, and unset before.
	leftAt time.Time
}

// fleet is a whole system on loopback.
type fleet struct {
	deployment Deployment
	seed       uint64
	policy     dispatcher.Policy
	plan       Plan
	keys       *keyer.Keys
	document   *gooseberrymast.Document
	tls        *tlsMaterial
	fabric     *fabric.Fabric
	addresses  map[string]netip.AddrPort

	mu        sync.Mutex
	version   uint64
	servers   []*server
	balancers []*assembler.Balancer
	lives     gooseberrymast.Incarnation
	// retired holds the stand-ins of servers that were replaced.
	retired []*backend.Backend
}

func newFleet(deployment Deployment, seed uint64, plan Plan, policy dispatcher.Policy) (*fleet, error) {
	material, err := newTLS(deployment)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		deployment: deployment,
		seed:       seed,
		policy:     policy,
		plan:       plan,
		keys:       keyer.Random(),
		document:   documentOf(deployment),
		tls:        material,
		addresses:  map[string]netip.AddrPort{},
	}
	if err := f.startFabric(); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *fleet) startFabric() error {
	var addresses []netip.AddrPort
	for range f.deployment.Services {
		addresses = append(addresses, anyPort)
	}
	fab, err := fabric.New(fabric.Config{Services: addresses, Seed: f.seed})
	if err != nil {
		return fmt.Errorf("fleet.startFabric: %w", err)
	}
	fab.SetFaults(fabric.Faults{Delay: f.deployment.CallerDelay})
	f.fabric = fab
	for i, service := range f.deployment.Services {
		f.addresses[service.Name] = fab.ServiceAddress(i)
	}
	return nil
}

// start brings up every backend server, agent and balancer.
func (f *fleet) start(ctx context.Context) error {
	n := 0
	for _, service := range f.deployment.Services {
		for i := range service.Servers {
			s := &server{
				service: service,
				name:    fmt.Sprintf("%s-%d", service.Name, i),
				zone:    f.deployment.Zones[n%len(f.deployment.Zones)],
			}
			n++
			if err := f.startServer(ctx, s); err != nil {
				return err
			}
			f.servers = append(f.servers, s)
		}
	}
	for i := range balancers {
		f.balancers = append(f.balancers, nil)
		if err := f.replaceBalancer(ctx, i); err != nil {
			return err
		}
	}
	f.publish()
	return nil
}

// startServer starts a stand-in backend server and the agent beside it.
func (f *fleet) startServer(ctx context.Context, s *server) error {
	s.backend = &backend.Backend{Name: s.name, Slots: s.service.Slots, Work: f.plan.Work, Push: f.plan.StreamPeriod}
	address, err := s.backend.Start(anyPort)
	if err != nil {
		return fmt.Errorf("fleet.startServer %s: %w", s.name, err)
	}
	settings := gooseberrymast.AgentSettings{
		Service:        s.service.Name,
		Zone:           s.zone,
		Address:        anyPort,
		ControlAddress: anyPort,
	}
	settings.Backend.Address = address
	settings.Backend.HealthPath = backend.PathHealth
	settings.Backend.LoadPath = backend.PathLoad
	settings.Defaults()
	agent, err := assembler.NewAgent(assembler.AgentConfig{
		Settings:    settings,
		Incarnation: f.nextLife(),
		Keys:        f.keys,
		Certificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &f.tls.certificate, nil },
		Timer:       timer.System{},
		Seed:        f.seed,
		Policy:      f.policy,
	})
	if err != nil {
		return fmt.Errorf("fleet.startServer %s: %w", s.name, err)
	}
	s.agent = agent
	s.state = gooseberrymast.StateReady
	s.leftAt = time.Time{}
	agent.SetDocument(1, f.document)
	go func() {
		if err := agent.Run(ctx); err != nil && ctx.Err() == nil {
			log.Error().Err(err).Str("agent", s.name).Msg("the agent stopped")
		}
	}()
	return nil
}

func (f *fleet) nextLife() gooseberrymast.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lives++
	return f.lives
}

// replaceBalancer starts a balancer in the place of another one, which then
// stops. The new one knows nothing of the flows in progress.
func (f *fleet) replaceBalancer(ctx context.Context, i int) error {
	settings := gooseberrymast.BalancerSettings{
		Zone:             f.deployment.Zones[i%len(f.deployment.Zones)],
		ServiceAddresses: map[string][]netip.AddrPort{},
		ForwardAddress:   anyPort,
		Shards:           1,
	}
	for _, service := range f.deployment.Services {
		settings.ServiceAddresses[service.Name] = []netip.AddrPort{anyPort}
	}
	next, err := assembler.NewBalancer(assembler.BalancerConfig{
		Settings:    settings,
		Incarnation: f.nextLife(),
		Keys:        f.keys,
		Timer:       timer.System{},
	})
	if err != nil {
		return fmt.Errorf("fleet.replaceBalancer %d: %w", i, err)
	}
	next.SetDocument(1, f.document)
	go func() {
		if err := next.Run(ctx); err != nil && ctx.Err() == nil {
			log.Error().Err(err).Int("balancer", i).Msg("the balancer stopped")
		}
	}()
	f.mu.Lock()
	before := f.balancers[i]
	f.balancers[i] = next
	f.mu.Unlock()
	f.publish()
	f.fabric.Add(f.placeOf(next, i))
	if before != nil {
		before.Close()
	}
	return nil
}

func (f *fleet) placeOf(b *assembler.Balancer, i int) fabric.Balancer {
	place := fabric.Balancer{Name: fmt.Sprintf("balancer-%d", i)}
	for _, service := range f.deployment.Services {
		address, _ := b.ServiceAddress(service.Name)
		place.Services = append(place.Services, address)
	}
	return place
}

// publish gives every process the table of the members.
func (f *fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	table := &gooseberrymast.Table{Version: f.version, Revision: 1, Services: map[gooseberrymast.ServiceTag][]gooseberrymast.Member{}}
	for _, s := range f.servers {
		tag := gooseberrymast.TagOf(s.service.Name)
		table.Services[tag] = append(table.Services[tag], gooseberrymast.Member{Record: gooseberrymast.Record{
			Identity: s.agent.Identity(),
			Sequence: uint32(f.version),
			Control:  s.agent.Control(),
			Role:     gooseberrymast.RoleAgent,
			State:    s.state,
			Service:  tag,
			Zone:     s.zone,
			Weight:   1,
		}})
	}
	for _, s := range f.servers {
		s.agent.SetTable(table)
	}
	for _, b := range f.balancers {
		if b != nil {
			b.SetTable(table)
		}
	}
}

// drain makes a backend server leave, waits for what is in progress, and puts
// a new one in its place.
func (f *fleet) drain(ctx context.Context, s *server) error {
	f.mu.Lock()
	s.state = gooseberrymast.StateLeaving
	s.leftAt = time.Now()
	f.mu.Unlock()
	s.agent.Leave()
	f.publish()
	if err := s.agent.Shutdown(ctx); err != nil {
		return fmt.Errorf("fleet.drain: %w", err)
	}
	f.retire(s)
	if err := s.agent.Close(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("fleet.drain %s: %w", s.name, err)
	}
	if err := s.backend.Close(); err != nil {
		return fmt.Errorf("fleet.drain %s: %w", s.name, err)
	}
	if err := f.startServer(ctx, s); err != nil {
		return err
	}
	f.publish()
	return nil
}

func (f *fleet) retire(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired = append(f.retired, s.backend)
}

// close ends every process.
func (f *fleet) close() {
	for _, b := range f.balancers {
		if b != nil {
			b.Close()
		}
	}
	for _, s := range f.servers {
		s.agent.Close()
		s.backend.Close()
	}
	f.fabric.Close()
}

// documentOf writes the deployment's document.
func documentOf(deployment Deployment) *gooseberrymast.Document {
	document := &gooseberrymast.Document{Zones: deployment.Zones, Services: map[string]gooseberrymast.Service{}}
	for _, s := range deployment.Services {
		var service gooseberrymast.Service
		service.Limits.Slots = s.Slots
		service.Streams = []string{backend.PathPush, backend.PathConverse}
		service.CrossZone = gooseberrymast.CrossZoneWhenFull
		document.Services[s.Name] = service
	}
	document.Defaults()
	return document
}
