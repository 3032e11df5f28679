package assembler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

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
	// retire asks a number of flows to move.
	retire func(n int) int
}

func (f *flowEvener) set(self gooseberrymast.Identity, seed uint64, driver *driver.Driver, retire func(n int) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evener.Self = self
	f.evener.Random = rand.New(rand.NewPCG(seed, uint64(self.Address.Port())))
	f.driver = driver
	f.retire = retire
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
		if len(asked) > 0 {
			f.move()
		}
	})
}

// move asks callers to move when the agent holds more than its part.
func (f *flowEvener) move() {
	own := f.driver.Flows()
	f.mu.Lock()
	excess := f.evener.Excess(f.timer.Now(), own)
	f.mu.Unlock()
	if excess == 0 {
		return
	}
	asked := f.retire(excess)
	log.Debug().Int("flows", asked).Int32("own", own).Msg("asked flows to move to agents that hold fewer")
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
