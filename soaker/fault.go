package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// Fault is one scheduled fault of a soak.
type Fault struct {
	// At is the time since the start of traffic.
	At time.Duration `json:"at"`
	// Duration is how long the fault lasts. Some kinds ignore it.
	Duration time.Duration `json:"for"`
	Kind     string        `json:"kind"`
	// Seed seeds the draw of the affected instances and of other details.
	Seed uint64 `json:"number"`
}

// faultKind is a kind of fault with its relative frequency.
type faultKind struct {
	name   string
	weight int
	inject func(s *soak, ctx context.Context, fault Fault, random *rand.Rand) error
}

// faultKinds returns all kinds of faults.
func faultKinds() []faultKind {
	return []faultKind{
		{"pause", 3, (*soak).pauseInstances},
		{"kill", 3, (*soak).killInstances},
		{"kill-all", 1, (*soak).killAllInstances},
		{"lose-all", 1, (*soak).loseEverything},
		{"restart-balancers", 2, (*soak).restartBalancers},
		{"restart-agents", 2, (*soak).restartAgents},
		{"cut", 2, injectLinkFault(linkFault{cutIn: true, cutOut: true})},
		{"cut-in", 2, injectLinkFault(linkFault{cutIn: true})},
		{"cut-out", 2, injectLinkFault(linkFault{cutOut: true})},
		{"cut-balancers", 2, (*soak).cutBalancers},
		{"announcements-late", 2, (*soak).announceLate},
		{"delay", 2, injectLinkFault(linkFault{delay: 150 * time.Millisecond})},
		{"loss", 2, injectLinkFault(linkFault{loss: 0.1})},
		{"store-silent", 2, injectStoreFault(storeFault{silent: true}, true)},
		{"store-reset", 1, injectStoreFault(storeFault{reset: true}, true)},
		{"store-slow", 1, injectStoreFault(storeFault{delay: 250 * time.Millisecond}, true)},
		{"store-loses", 2, injectStoreFault(storeFault{lossShare: 0.5}, true)},
		{"store-late", 2, injectStoreFault(storeFault{lossShare: 0.5, lossDelay: 2 * time.Second}, true)},
		{"store-removes-late", 2, injectStoreFault(storeFault{removalLossShare: 1, lossDelay: 5 * time.Second}, true)},
		{"store-refuses-writes", 2, injectStoreFault(storeFault{refusesWrites: true}, false)},
		{"store-refuses-some", 2, injectStoreFault(storeFault{unavailable: true}, false)},
		{"store-limits-some", 1, injectStoreFault(storeFault{rateLimited: true}, false)},
		{"store-connections-silent", 1, (*soak).silenceStoreConnections},
		{"store-restored", 2, (*soak).restoreStore},
		{"evacuation", 3, (*soak).evacuateZone},
		{"document", 3, (*soak).changeDocument},
		{"document-storm", 1, (*soak).changeDocumentRepeatedly},
		{"hangup", 1, (*soak).sendHangup},
		{"settings-changed", 1, (*soak).changeSettings},
		{"server-crash", 2, (*soak).crashServer},
		{"server-release", 3, (*soak).releaseServer},
	}
}

const (
	// firstFaultAt leaves the processes time to connect to each other.
	firstFaultAt = 2 * time.Second
	// recoveryWindow is the time without faults at the end of a soak, within
	// which service must recover. It is the users' limit for recovery.
	recoveryWindow = 12 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	// Faults may overlap.
	meanFaultInterval = 1500 * time.Millisecond
	// maxFaultDuration is the upper bound of a fault's duration.
	maxFaultDuration = 6 * time.Second
)

// Schedule returns the faults of a seed, in order of time.
func Schedule(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, kind := range faultKinds() {
		total += kind.weight
	}
	var faults []Fault
	for at := firstFaultAt; ; at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval)) {
		if at > length-recoveryWindow-maxFaultDuration {
			return faults
		}
		pick := random.IntN(total)
		for _, kind := range faultKinds() {
			if pick -= kind.weight; pick < 0 {
				duration := time.Second/2 + time.Duration(random.Int64N(int64(maxFaultDuration-time.Second/2)))
				faults = append(faults, Fault{
					At: at.Truncate(time.Millisecond), Duration: duration.Truncate(time.Millisecond), Kind: kind.name, Seed: random.Uint64(),
				})
				break
			}
		}
	}
}

// inject runs one fault and returns when it is over.
func (s *soak) inject(ctx context.Context, fault Fault) error {
	for _, kind := range faultKinds() {
		if kind.name == fault.Kind {
			return kind.inject(s, ctx, fault, rand.New(rand.NewPCG(fault.Seed, 2)))
		}
	}
	return fmt.Errorf("soak: no fault %q", fault.Kind)
}

// randomInstances returns one or more random instances, at most a quarter of
// all.
func (s *soak) randomInstances(random *rand.Rand) []*instance {
	const shareDivisor = 4
	count := 1 + random.IntN(max(1, len(s.instances)/shareDivisor))
	var drawn []*instance
	for _, index := range random.Perm(len(s.instances))[:count] {
		drawn = append(drawn, s.instances[index])
	}
	return drawn
}

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// forEachParallel calls do for all instances in parallel, each under its
// faultMu, waits for all calls and returns the first error received.
func forEachParallel(instances []*instance, do func(*instance) error) error {
	errs := make(chan error, len(instances))
	for _, i := range instances {
		go func() {
			i.faultMu.Lock()
			defer i.faultMu.Unlock()
			errs <- do(i)
		}()
	}
	var first error
	for range instances {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// withDisturbance runs do and records the instance as disturbed meanwhile.
func (s *soak) withDisturbance(i *instance, planned bool, do func() error) error {
	end := s.checker.BeginDisturbance(i.settings.Name, planned, time.Now())
	defer func() { end(time.Now()) }()
	return do()
}

func (s *soak) pauseInstances(ctx context.Context, fault Fault, random *rand.Rand) error {
	return forEachParallel(s.randomInstances(random), func(i *instance) error {
		return s.withDisturbance(i, false, func() error {
			i.process.signal(syscall.SIGSTOP)
			sleep(ctx, fault.Duration)
			i.process.signal(syscall.SIGCONT)
			return nil
		})
	})
}

func (s *soak) killInstances(ctx context.Context, fault Fault, random *rand.Rand) error {
	return forEachParallel(s.randomInstances(random), func(i *instance) error { return s.restart(ctx, i, 0, fault.Duration/4) })
}

func (s *soak) killAllInstances(ctx context.Context, fault Fault, _ *rand.Rand) error {
	return forEachParallel(s.instances, func(i *instance) error { return s.restart(ctx, i, 0, fault.Duration/4) })
}

// restart stops an instance's program, by SIGKILL if grace is 0, and starts it
// again after the time down.
func (s *soak) restart(ctx context.Context, i *instance, grace, down time.Duration) error {
	return s.withDisturbance(i, grace > 0, func() error {
		i.process.stop(grace)
		sleep(ctx, down)
		select {
		case <-ctx.Done():
			return nil
		default:
			return i.process.start()
		}
	})
}

func (s *soak) restartBalancers(ctx context.Context, _ Fault, _ *rand.Rand) error {
	return s.rollingRestart(ctx, gooseberrymast.RoleBalancer)
}

func (s *soak) restartAgents(ctx context.Context, _ Fault, _ *rand.Rand) error {
	return s.rollingRestart(ctx, gooseberrymast.RoleAgent)
}

// rollingRestart restarts up to maxRestarts programs of a role, one at a time.
func (s *soak) rollingRestart(ctx context.Context, role gooseberrymast.Role) error {
	const maxRestarts, pause = 4, time.Second
	restarted := 0
	for _, i := range s.instances {
		if i.settings.Role != role || restarted == maxRestarts || ctx.Err() != nil {
			continue
		}
		restarted++
		if err := forEachParallel([]*instance{i}, func(i *instance) error { return s.restart(ctx, i, stopGrace, restartAfter) }); err != nil {
			return err
		}
		sleep(ctx, pause)
	}
	return nil
}

// injectLinkFault returns a function that applies a fault to the links of random
// instances.
func injectLinkFault(injected linkFault) func(*soak, context.Context, Fault, *rand.Rand) error {
	return func(s *soak, ctx context.Context, fault Fault, random *rand.Rand) error {
		return forEachParallel(s.randomInstances(random), func(i *instance) error {
			return s.withDisturbance(i, false, func() error {
				s.network.setFault(i.listens, injected)
				sleep(ctx, fault.Duration)
				s.network.setFault(i.listens, linkFault{})
				return nil
			})
		})
	}
}

// cutBalancers cuts all balancers of a random zone off from the other zones and the
// store. The zone's agents reach all.
func (s *soak) cutBalancers(ctx context.Context, fault Fault, random *rand.Rand) error {
	zone := zones[random.IntN(len(zones))]
	var affected []*instance
	for _, i := range s.instances {
		if i.settings.Role == gooseberrymast.RoleBalancer && i.settings.Zone == zone {
			affected = append(affected, i)
		}
	}
	return forEachParallel(affected, func(i *instance) error {
		return s.withDisturbance(i, false, func() error {
			s.network.setFault(i.listens, linkFault{cutZones: true})
			s.store.setFault(i.settings.Name, storeFault{silent: true})
			sleep(ctx, fault.Duration)
			s.store.setFault(i.settings.Name, storeFault{})
			s.network.setFault(i.listens, linkFault{})
			return nil
		})
	})
}

// announceLate restarts a random agent as planned. The last announcements and the
// departures of the earlier incarnations of its server reach it then.
func (s *soak) announceLate(ctx context.Context, _ Fault, random *rand.Rand) error {
	return forEachParallel([]*instance{s.randomAgent(random)}, func(i *instance) error {
		if err := s.restart(ctx, i, stopGrace, 0); err != nil {
			return err
		}
		i.mu.Lock()
		ended := slices.Clone(i.ended)
		i.mu.Unlock()
		client := http.Client{Timeout: announceTimeout}
		const attempts, pause = 10, 30 * time.Millisecond
		for range attempts {
			for _, late := range ended {
				// The agent may not listen yet, or refuse them.
				_ = platform.SendAnnouncement(ctx, &client, i.settings.Announcements, late)
				_ = platform.SendDeparture(ctx, &client, i.settings.Announcements, late)
			}
			sleep(ctx, pause)
		}
		return nil
	})
}

// injectStoreFault returns a function that applies a fault to the store calls
// of all instances or of random ones.
func injectStoreFault(injected storeFault, all bool) func(*soak, context.Context, Fault, *rand.Rand) error {
	return func(s *soak, ctx context.Context, fault Fault, random *rand.Rand) error {
		affected := s.randomInstances(random)
		if all {
			affected = s.instances
		}
		end := s.checker.BeginDisturbance(storeName, false, time.Now())
		defer func() { end(time.Now()) }()
		for _, i := range affected {
			s.store.setFault(i.settings.Name, injected)
		}
		sleep(ctx, fault.Duration)
		for _, i := range affected {
			s.store.setFault(i.settings.Name, storeFault{})
		}
		return nil
	}
}

// silenceStoreConnections makes all open store connections go silent without a
// reset.
func (s *soak) silenceStoreConnections(context.Context, Fault, *rand.Rand) error {
	end := s.checker.BeginDisturbance(storeName, false, time.Now())
	for _, i := range s.instances {
		s.store.silence(i.settings.Name)
	}
	end(time.Now())
	return nil
}

func (s *soak) changeDocument(_ context.Context, _ Fault, random *rand.Rand) error {
	return s.changeRoutes(random)
}

func (s *soak) changeDocumentRepeatedly(ctx context.Context, fault Fault, random *rand.Rand) error {
	const interval = 330 * time.Millisecond
	for range fault.Duration / interval {
		if err := s.changeRoutes(random); err != nil {
			return err
		}
		sleep(ctx, interval)
	}
	return nil
}

func (s *soak) sendHangup(_ context.Context, _ Fault, random *rand.Rand) error {
	return forEachParallel(s.randomInstances(random), func(i *instance) error { return i.rewriteSettings(true) })
}

// changeSettings switches random instances to the other address of the store
// and sends SIGHUP in half of the cases.
func (s *soak) changeSettings(_ context.Context, _ Fault, random *rand.Rand) error {
	signalled := random.IntN(2) == 0
	return forEachParallel(s.randomInstances(random), func(i *instance) error {
		i.settings.Store.Port = storePort + otherStorePort - i.settings.Store.Port
		return i.rewriteSettings(signalled)
	})
}

// randomAgent returns a random agent instance.
func (s *soak) randomAgent(random *rand.Rand) *instance {
	for {
		if i := s.instances[random.IntN(len(s.instances))]; i.settings.Role == gooseberrymast.RoleAgent {
			return i
		}
	}
}

func (s *soak) crashServer(ctx context.Context, fault Fault, random *rand.Rand) error {
	return forEachParallel([]*instance{s.randomAgent(random)}, func(i *instance) error {
		i.currentServer().crash()
		sleep(ctx, fault.Duration/4)
		return s.startServer(i)
	})
}

// releaseServer drains the server of a random agent, stops the agent's program and
// starts both again, in half of the cases with another service.
func (s *soak) releaseServer(ctx context.Context, _ Fault, random *rand.Rand) error {
	switchService := random.IntN(2) == 0
	return forEachParallel([]*instance{s.randomAgent(random)}, func(i *instance) error {
		i.currentServer().leave(drainTime + time.Second)
		return s.withDisturbance(i, true, func() error {
			i.process.stop(stopGrace)
			if switchService {
				i.settings.Service = s.alternativeService(i)
			}
			if err := i.writeSettings(); err != nil {
				return err
			}
			if err := i.process.start(); err != nil {
				return err
			}
			sleep(ctx, restartAfter)
			return s.startServer(i)
		})
	})
}
