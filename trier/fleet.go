package trier

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"gooseberrymast"
	"gooseberrymast/assembler"
	"gooseberrymast/coordination/dispatcher"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/protocol/translator"
	"gooseberrymast/standin/backend"
	"gooseberrymast/standin/fabric"
	"gooseberrymast/standin/platform"
	"gooseberrymast/state/timer"
)

// balancerCount is the number of balancers in a trial.
const balancerCount = 3

// environment is the name of the environment in every trial.
const environment = "trial"

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// server is a backend server with its agent. Both are replaced on a restart.
type server struct {
	service DeployedService
	name    string
	zone    string
	backend *backend.Backend
	agent   *assembler.Agent
	starts  int
	// startedAt is when the agent was started.
	startedAt time.Time
	leaving   bool
}

// fleet is a whole system on loopback: balancers, agents, backend servers, a
// network fabric and a store.
type fleet struct {
	deployment Deployment
	seed       uint64
	policy     dispatcher.Policy
	plan       Plan
	keys       *keyer.Keys
	platform   *platform.Platform
	tls        *tlsMaterial
	fabric     *fabric.Fabric
	addresses  map[string]netip.AddrPort

	mu              sync.Mutex
	servers         []*server
	balancers       []*assembler.Balancer
	lastIncarnation gooseberrymast.Incarnation
	// leavingWork counts the requests and streams that servers started after the
	// grace of their drain.
	leavingWork atomic.Int64
	// retired holds the stand-ins of replaced servers.
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
		platform:   &platform.Platform{Seed: seed},
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

// startTimeout bounds the wait until the whole system takes new flows.
const startTimeout = 30 * time.Second

// start starts every balancer, agent and backend server, and waits until all
// receive flows.
func (f *fleet) start(ctx context.Context) error {
	if err := f.apply(ctx); err != nil {
		return err
	}
	f.balancers = make([]*assembler.Balancer, balancerCount)
	for i := range balancerCount {
		if err := f.replaceBalancer(ctx, i); err != nil {
			return err
		}
	}
	if err := f.startServers(ctx); err != nil {
		return err
	}
	return f.awaitRoutes(ctx)
}

func (f *fleet) startServers(ctx context.Context) error {
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
	return nil
}

// apply writes the deployment's document to the platform's store.
func (f *fleet) apply(ctx context.Context) error {
	text, err := documentText(f.deployment)
	if err != nil {
		return err
	}
	const writeID = "trial-1"
	value, err := translator.EncodeRevision(gooseberrymast.Revision{
		Number: 1, Environment: environment, WriteID: writeID, Author: "try", Time: time.Now(), Text: text,
	})
	if err != nil {
		return fmt.Errorf("fleet.apply: %w", err)
	}
	object := gooseberrymast.Object{Key: gooseberrymast.DocumentKey(environment), WriteID: writeID, Value: value}
	if _, err := f.platform.Put(ctx, object, 0); err != nil {
		return fmt.Errorf("fleet.apply: %w", err)
	}
	return nil
}

// awaitRoutes waits until every balancer routes to every agent.
func (f *fleet) awaitRoutes(ctx context.Context) error {
	return await(ctx, "not every balancer routes to every agent", f.allRouted)
}

// await waits until holds returns true, for at most startTimeout. The error
// contains problem, which describes what is wrong while holds returns false.
func await(ctx context.Context, problem string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !holds() {
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return fmt.Errorf("fleet.await: %s: %w", problem, ctx.Err())
		}
	}
	return nil
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

func (f *fleet) allRouted() bool {
	for _, s := range f.servers {
		if !f.routed(s) {
			return false
		}
	}
	return true
}

// routed reports whether the server's agent is ready and every running balancer
// routes new flows to it.
func (f *fleet) routed(s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.balancers {
		if b != nil && !b.Routes(s.agent.Identity()) {
			return false
		}
	}
	return s.agent.Ready() == nil
}

// startServer starts a stand-in backend server and its agent.
func (f *fleet) startServer(ctx context.Context, s *server) error {
	s.starts++
	s.backend = &backend.Backend{Name: fmt.Sprintf("%s.%d", s.name, s.starts), Slots: s.service.Slots, ServiceTime: f.plan.Work, PushInterval: f.plan.StreamPeriod}
	address, err := s.backend.Start(anyPort)
	if err != nil {
		return fmt.Errorf("fleet.startServer %s: %w", s.name, err)
	}
	settings := gooseberrymast.AgentSettings{
		Environment:    environment,
		Service:        s.service.Name,
		Zone:           s.zone,
		Address:        anyPort,
		ControlAddress: anyPort,
		Seeds:          f.seeds(),
	}
	settings.Backend.Address = address
	settings.Backend.HealthPath = backend.PathHealth
	settings.Backend.LoadPath = backend.PathLoad
	settings.SetDefaults()
	agent, err := assembler.NewAgent(assembler.AgentConfig{
		Settings:    settings,
		Incarnation: f.nextIncarnation(),
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
	f.mu.Lock()
	s.startedAt, s.leaving = time.Now(), false
	f.mu.Unlock()
	go func() {
		if err := agent.Run(ctx); err != nil && ctx.Err() == nil {
			log.Error().Err(err).Str("agent", s.name).Msg("the agent stopped")
		}
	}()
	return nil
}

func (f *fleet) nextIncarnation() gooseberrymast.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastIncarnation++
	return f.lastIncarnation
}

// seeds returns the control addresses of the running balancers.
func (f *fleet) seeds() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seeds []netip.AddrPort
	for _, b := range f.balancers {
		if b != nil {
			seeds = append(seeds, b.ControlAddress())
		}
	}
	return seeds
}

func (f *fleet) fabricBalancer(b *assembler.Balancer, i int) fabric.Balancer {
	place := fabric.Balancer{Name: fmt.Sprintf("balancer-%d", i)}
	for _, service := range f.deployment.Services {
		address, _ := b.ServiceAddress(service.Name)
		place.Services = append(place.Services, address)
	}
	return place
}

// close stops every part of the system.
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
