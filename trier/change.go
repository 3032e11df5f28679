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

// replaceBalancer starts a balancer in place of another one, which then shuts
// down. The new one starts without any state of the flows in progress.
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
	previous := f.balancers[i]
	f.balancers[i] = next
	f.mu.Unlock()
	f.fabric.Add(f.fabricBalancer(next, i))
	if previous == nil {
		return nil
	}
	if err := previous.Shutdown(ctx); err != nil {
		return fmt.Errorf("fleet.replaceBalancer %d: %w", i, err)
	}
	return previous.Close()
}

// killBalancer stops a balancer abruptly, without a shutdown, and starts another
// in its place.
func (f *fleet) killBalancer(ctx context.Context, i int) error {
	f.mu.Lock()
	crashed := f.balancers[i]
	f.balancers[i] = nil
	f.mu.Unlock()
	if err := crashed.Close(); err != nil {
		return fmt.Errorf("fleet.killBalancer %d: %w", i, err)
	}
	return f.replaceBalancer(ctx, i)
}

// drainGrace is the time after which a leaving backend server may start no
// request or stream: the default drain grace of a document.
const drainGrace = gooseberrymast.DefaultDrainGrace

// drain makes a backend server leave, waits for its requests and streams in
// progress, and starts a new one in its place.
func (f *fleet) drain(ctx context.Context, s *server) error {
	f.mu.Lock()
	s.leaving = true
	f.mu.Unlock()
	var startedAtGrace atomic.Int64
	startedAtGrace.Store(-1)
	grace := time.AfterFunc(drainGrace, func() { startedAtGrace.Store(requestsStarted(s.backend)) })
	defer grace.Stop()
	if err := s.agent.Shutdown(ctx); err != nil {
		return fmt.Errorf("fleet.drain: %w", err)
	}
	if started := startedAtGrace.Load(); started >= 0 {
		f.leavingWork.Add(requestsStarted(s.backend) - started)
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
	// The next server must not leave before this one's replacement receives flows.
	return await(ctx, s.name+" takes no new flows", func() bool { return f.routed(s) })
}

// kill emulates the crash of an instance: it stops the agent and its backend
// server together and returns the number of requests and streams in progress.
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

// retire keeps the stand-in of a server that is replaced, since its counts are
// part of the report.
func (f *fleet) retire(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired = append(f.retired, s.backend)
}
