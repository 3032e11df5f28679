package assembler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/evener"
	"gooseberrymast/transport/driver"
)

// flowEvener drives the evener of one agent: new flows ask it, and it asks the
// peers for their loads while flows come.
type flowEvener struct {
	timer gooseberrymast.Timer

	mu     sync.Mutex
	evener evener.Evener
	driver *driver.Driver
}

func (f *flowEvener) set(self gooseberrymast.Identity, seed uint64, driver *driver.Driver) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evener.Self = self
	f.evener.Random = rand.New(rand.NewPCG(seed, uint64(self.Address.Port())))
	f.driver = driver
}

// start asks a round of questions each period until the returned function is
// called.
func (f *flowEvener) start(ctx context.Context) (stop func()) {
	return f.timer.Every(evener.Period, func(time.Time) {
		f.mu.Lock()
		asked := f.evener.Round()
		f.mu.Unlock()
		for _, peer := range asked {
			f.driver.Peers.Measure(ctx, peer)
		}
	})
}

func (f *flowEvener) update(members []gooseberrymast.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evener.Update(members)
}

func (f *flowEvener) heard(peer gooseberrymast.Identity, load gooseberrymast.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evener.Heard(f.timer.Now(), peer, load)
}

// passOn is called for each new flow that is offered to this agent first.
func (f *flowEvener) passOn(second gooseberrymast.Identity) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.driver == nil {
		return false
	}
	return f.evener.PassOn(f.timer.Now(), f.driver.Flows(), second)
}
