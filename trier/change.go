package trier

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"gooseberrymast"
	"gooseberrymast/assembler"
	"gooseberrymast/state/timer"
)

// replaceBalancer starts a balancer in the place of another one, which then
// stops. The new one knows nothing of the flows in progress.
func (f *fleet) replaceBalancer(ctx context.Context, i int) error {
	settings := gooseberrymast.BalancerSettings{
		Environment:      environment,
		Zone:             f.deployment.Zones[i%len(f.deployment.Zones)],
		ServiceAddresses: map[string][]netip.AddrPort{},
		ForwardAddress:   anyPort,
		ControlAddress:   anyPort,
		Seeds:            f.seeds(),
		Shards:           1,
	}
	for _, service := range f.deployment.Services {
		settings.ServiceAddresses[service.Name] = []netip.AddrPort{anyPort}
	}
	next, err := assembler.NewBalancer(assembler.BalancerConfig{
		Settings:    settings,
		Incarnation: f.nextIncarnation(),
		Keys:        f.keys,
		Store:       f.platform,
		Timer:       timer.System{},
		Seed:        f.seed,
	})
	if err != nil {
		return fmt.Errorf("fleet.replaceBalancer %d: %w", i, err)
	}
	go func() {
		if err := next.Run(ctx); err != nil && ctx.Err() == nil {
			log.Error().Err(err).Int("balancer", i).Msg("the balancer stopped")
		}
	}()
	f.mu.Lock()
	before := f.balancers[i]
	f.balancers[i] = next
	f.mu.Unlock()
	f.fabric.Add(f.placeOf(next, i))
	if before == nil {
		return nil
	}
	if err := before.Shutdown(ctx); err != nil {
		return fmt.Errorf("fleet.replaceBalancer %d: %w", i, err)
	}
	return before.Close()
}

// killBalancer ends a balancer without a word and starts another in its place.
func (f *fleet) killBalancer(ctx context.Context, i int) error {
	f.mu.Lock()
	dead := f.balancers[i]
	f.balancers[i] = nil
	f.mu.Unlock()
	if err := dead.Close(); err != nil {
		return fmt.Errorf("fleet.killBalancer %d: %w", i, err)
	}
	return f.replaceBalancer(ctx, i)
}

// leavingGrace is the time after which a leaving backend server may begin
// nothing: the default grace of a document.
const leavingGrace = gooseberrymast.DefaultDrainGrace

// drain makes a backend server leave, waits for what is in progress, and puts
// a new one in its place.
func (f *fleet) drain(ctx context.Context, s *server) error {
	f.mu.Lock()
	s.leaving = true
	f.mu.Unlock()
	var atGrace atomic.Int64
	atGrace.Store(-1)
	grace := time.AfterFunc(leavingGrace, func() { atGrace.Store(runsOf(s.backend)) })
	defer grace.Stop()
	if err := s.agent.Shutdown(ctx); err != nil {
		return fmt.Errorf("fleet.drain: %w", err)
	}
	if began := atGrace.Load(); began >= 0 {
		f.leavingWork.Add(runsOf(s.backend) - began)
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
	// The next one must not leave before its successor takes work.
	return await(ctx, s.name+" takes no new flows", func() bool { return f.inUse(s) })
}

// kill ends an instance as a crash does, the agent and its backend server at
// once, and gives the number of requests and streams that were in progress.
func (f *fleet) kill(s *server) int64 {
	f.retire(s)
	lost := int64(s.agent.Driver().InProgress())
	f.mu.Lock()
	s.leaving = true
	f.mu.Unlock()
	s.agent.Kill()
	s.backend.Close()
	return lost
}

// retire keeps the counts of a stand-in whose server is replaced.
func (f *fleet) retire(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired = append(f.retired, s.backend)
}
