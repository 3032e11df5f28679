package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"gooseberrymast"
)

// Fault is one entry of a soak's schedule.
type Fault struct {
	// At counts from the start of traffic.
	At time.Duration `json:"at"`
	// For is how long the fault lasts; some end by themselves.
	For  time.Duration `json:"for"`
	Kind string        `json:"kind"`
	// Number draws the instances that are concerned.
	Number uint64 `json:"number"`
}

// faultKind is a kind of fault with how often it comes, against the others.
type faultKind struct {
	name   string
	weight int
	do     func(s *soak, ctx context.Context, fault Fault, random *rand.Rand) error
}

// faultKinds lists every kind.
func faultKinds() []faultKind {
	return []faultKind{
		{"pause", 3, (*soak).pauseSome},
		{"kill", 3, (*soak).killSome},
		{"kill-all", 1, (*soak).killAll},
		{"restart-balancers", 2, (*soak).restartBalancers},
		{"restart-agents", 2, (*soak).restartAgents},
		{"cut", 2, cutWith(harm{cutIn: true, cutOut: true})},
		{"cut-in", 2, cutWith(harm{cutIn: true})},
		{"cut-out", 2, cutWith(harm{cutOut: true})},
		{"delay", 2, cutWith(harm{delay: 150 * time.Millisecond})},
		{"loss", 2, cutWith(harm{loss: 0.1})},
		{"store-silent", 2, storeWith(storeFault{silent: true}, true)},
		{"store-reset", 1, storeWith(storeFault{reset: true}, true)},
		{"store-slow", 1, storeWith(storeFault{slow: 250 * time.Millisecond}, true)},
		{"store-loses", 2, storeWith(storeFault{loses: 0.5}, true)},
		{"store-late", 2, storeWith(storeFault{loses: 0.5, late: 2 * time.Second}, true)},
		{"store-refuses-some", 2, storeWith(storeFault{refused: true}, false)},
		{"store-limits-some", 1, storeWith(storeFault{many: true}, false)},
		{"store-connections-silent", 1, (*soak).silenceStore},
		{"document", 3, (*soak).changeDocument},
		{"document-storm", 1, (*soak).stormDocuments},
		{"hangup", 1, (*soak).hangup},
		{"settings-changed", 1, (*soak).changeSettings},
		{"server-crash", 2, (*soak).crashServer},
		{"server-release", 3, (*soak).releaseServer},
	}
}

const (
	// firstFault leaves the processes time to meet.
	firstFault = 2 * time.Second
	// quietEnd is the time without a fault at the end, in which service must come
	// back: the users' time for recovery.
	quietEnd = 12 * time.Second
	// meanGap is the mean time between two faults; they overlap.
	meanGap = 1500 * time.Millisecond
	// longestFault bounds a fault.
	longestFault = 6 * time.Second
)

// Schedule draws the faults of a seed.
func Schedule(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, kind := range faultKinds() {
		total += kind.weight
	}
	var faults []Fault
	for at := firstFault; ; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		if at > length-quietEnd-longestFault {
			return faults
		}
		drawn := random.IntN(total)
		for _, kind := range faultKinds() {
			if drawn -= kind.weight; drawn < 0 {
				lasts := time.Second/2 + time.Duration(random.Int64N(int64(longestFault-time.Second/2)))
				faults = append(faults, Fault{
					At: at.Truncate(time.Millisecond), For: lasts.Truncate(time.Millisecond), Kind: kind.name, Number: random.Uint64(),
				})
				break
			}
		}
	}
}

// inject does one fault.
func (s *soak) inject(ctx context.Context, fault Fault) error {
	for _, kind := range faultKinds() {
		if kind.name == fault.Kind {
			return kind.do(s, ctx, fault, rand.New(rand.NewPCG(fault.Number, 2)))
		}
	}
	return fmt.Errorf("soak: no fault %q", fault.Kind)
}

// some draws a few of the instances.
func (s *soak) some(random *rand.Rand) []*instance {
	const mostShare = 4
	count := 1 + random.IntN(max(1, len(s.instances)/mostShare))
	var drawn []*instance
	for _, index := range random.Perm(len(s.instances))[:count] {
		drawn = append(drawn, s.instances[index])
	}
	return drawn
}

// wait passes time, less when the soak ends.
func wait(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// each does something to instances at once and waits for all.
func each(instances []*instance, do func(*instance) error) error {
	results := make(chan error, len(instances))
	for _, one := range instances {
		go func() {
			one.busy.Lock()
			defer one.busy.Unlock()
			results <- do(one)
		}()
	}
	var first error
	for range instances {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// disturb records that an instance is disturbed while do runs.
func (s *soak) disturb(i *instance, planned bool, do func() error) error {
	end := s.checker.Disturb(i.settings.Name, planned, time.Now())
	defer func() { end(time.Now()) }()
	return do()
}

func (s *soak) pauseSome(ctx context.Context, fault Fault, random *rand.Rand) error {
	return each(s.some(random), func(i *instance) error {
		return s.disturb(i, false, func() error {
			i.process.signal(syscall.SIGSTOP)
			wait(ctx, fault.For)
			i.process.signal(syscall.SIGCONT)
			return nil
		})
	})
}

func (s *soak) killSome(ctx context.Context, fault Fault, random *rand.Rand) error {
	return each(s.some(random), func(i *instance) error { return s.restart(ctx, i, 0, fault.For/4) })
}

func (s *soak) killAll(ctx context.Context, fault Fault, _ *rand.Rand) error {
	return each(s.instances, func(i *instance) error { return s.restart(ctx, i, 0, fault.For/4) })
}

// restart stops an instance's program, with a grace or at once, and starts it
// again.
func (s *soak) restart(ctx context.Context, i *instance, grace, down time.Duration) error {
	return s.disturb(i, grace > 0, func() error {
		i.process.stop(grace)
		wait(ctx, down)
		select {
		case <-ctx.Done():
			return nil
		default:
			return i.process.start()
		}
	})
}

func (s *soak) restartBalancers(ctx context.Context, _ Fault, _ *rand.Rand) error {
	return s.roll(ctx, gooseberrymast.RoleBalancer)
}

func (s *soak) restartAgents(ctx context.Context, _ Fault, _ *rand.Rand) error {
	return s.roll(ctx, gooseberrymast.RoleAgent)
}

// roll stops the programs of a role in turn and starts them again.
func (s *soak) roll(ctx context.Context, role gooseberrymast.Role) error {
	const most, gap = 4, time.Second
	rolled := 0
	for _, i := range s.instances {
		if i.settings.Role != role || rolled == most || ctx.Err() != nil {
			continue
		}
		rolled++
		if err := each([]*instance{i}, func(i *instance) error { return s.restart(ctx, i, graceful, restartAfter) }); err != nil {
			return err
		}
		wait(ctx, gap)
	}
	return nil
}

func cutWith(harmed harm) func(*soak, context.Context, Fault, *rand.Rand) error {
	return func(s *soak, ctx context.Context, fault Fault, random *rand.Rand) error {
		return each(s.some(random), func(i *instance) error {
			return s.disturb(i, false, func() error {
				s.network.set(i.listens, harmed)
				wait(ctx, fault.For)
				s.network.set(i.listens, harm{})
				return nil
			})
		})
	}
}

// storeWith lets the store treat all instances, or some, badly.
func storeWith(treated storeFault, all bool) func(*soak, context.Context, Fault, *rand.Rand) error {
	return func(s *soak, ctx context.Context, fault Fault, random *rand.Rand) error {
		treat := s.some(random)
		if all {
			treat = s.instances
		}
		end := s.checker.Disturb(storeName, false, time.Now())
		defer func() { end(time.Now()) }()
		for _, i := range treat {
			s.store.set(i.settings.Name, treated)
		}
		wait(ctx, fault.For)
		for _, i := range treat {
			s.store.set(i.settings.Name, storeFault{})
		}
		return nil
	}
}

func (s *soak) silenceStore(context.Context, Fault, *rand.Rand) error {
	end := s.checker.Disturb(storeName, false, time.Now())
	for _, i := range s.instances {
		s.store.silence(i.settings.Name)
	}
	end(time.Now())
	return nil
}

func (s *soak) changeDocument(_ context.Context, _ Fault, random *rand.Rand) error {
	return s.putDocument(random)
}

func (s *soak) stormDocuments(ctx context.Context, fault Fault, random *rand.Rand) error {
	const gap = 330 * time.Millisecond
	for range fault.For / gap {
		if err := s.putDocument(random); err != nil {
			return err
		}
		wait(ctx, gap)
	}
	return nil
}

func (s *soak) hangup(_ context.Context, _ Fault, random *rand.Rand) error {
	return each(s.some(random), func(i *instance) error { return i.hangup(true) })
}

// changeSettings gives instances another address of the store, with and without
// a signal.
func (s *soak) changeSettings(_ context.Context, _ Fault, random *rand.Rand) error {
	signalled := random.IntN(2) == 0
	return each(s.some(random), func(i *instance) error {
		i.settings.Store.Port = storePort + otherStorePort - i.settings.Store.Port
		return i.hangup(signalled)
	})
}

// agent draws an instance with a server.
func (s *soak) agent(random *rand.Rand) *instance {
	for {
		if i := s.instances[random.IntN(len(s.instances))]; i.settings.Role == gooseberrymast.RoleAgent {
			return i
		}
	}
}

func (s *soak) crashServer(ctx context.Context, fault Fault, random *rand.Rand) error {
	return each([]*instance{s.agent(random)}, func(i *instance) error {
		i.currentServer().crash()
		wait(ctx, fault.For/4)
		return s.startServer(i)
	})
}

// releaseServer lets a server leave; then its instance's program is stopped, and
// both start again, at times for another service.
func (s *soak) releaseServer(ctx context.Context, _ Fault, random *rand.Rand) error {
	another := random.IntN(2) == 0
	return each([]*instance{s.agent(random)}, func(i *instance) error {
		i.currentServer().leave(drainedWithin + time.Second)
		return s.disturb(i, true, func() error {
			i.process.stop(graceful)
			if another {
				i.settings.Service = s.anotherService(i)
			}
			if err := i.writeSettings(); err != nil {
				return err
			}
			if err := i.process.start(); err != nil {
				return err
			}
			wait(ctx, restartAfter)
			return s.startServer(i)
		})
	})
}
