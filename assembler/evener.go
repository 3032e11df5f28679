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

// flowEvener runs the evener of one agent. It decides for each new flow whether to
// pass it on, and queries peers for their loads while new flows arrive.
type flowEvener struct {
	timer gooseberrymast.Timer

	mu     sync.Mutex
	evener evener.Evener
	driver *driver.Driver
	// retireFlows asks the callers of n flows to move to another agent and returns how
	// many were asked.
	retireFlows func(n int) int
}

func (f *flowEvener) configure(self gooseberrymast.Identity, seed uint64, driver *driver.Driver, retireFlows func(n int) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evener.Self = self
	f.evener.Random = rand.New(rand.NewPCG(seed, uint64(self.Address.Port())))
	f.driver = driver
	f.retireFlows = retireFlows
}

// start queries a round of peers in each period until stop is called.
func (f *flowEvener) start(ctx context.Context) (stop func()) {
	return f.timer.Every(evener.Period, func(time.Time) {
		f.mu.Lock()
		peers := f.evener.PeersToQuery()
		f.mu.Unlock()
		for _, peer := range peers {
			f.driver.Peers.QueryLoad(ctx, peer)
		}
		if len(peers) > 0 {
			f.retireExcess()
		}
	})
}

// retireExcess asks callers to move if the agent holds more than its share of flows.
func (f *flowEvener) retireExcess() {
	own := f.driver.Flows()
	f.mu.Lock()
	excess := f.evener.Excess(f.timer.Now(), own)
	f.mu.Unlock()
	if excess == 0 {
		return
	}
	retired := f.retireFlows(excess)
	log.Debug().Int("flows", retired).Int32("own", own).Msg("asked flows to move to agents that hold fewer")
}

func (f *flowEvener) updateMembers(members []gooseberrymast.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evener.Update(members)
}

func (f *flowEvener) handleLoad(peer gooseberrymast.Identity, load gooseberrymast.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evener.HandleLoad(f.timer.Now(), peer, load)
}

// passOn reports whether a new flow that was offered to this agent first should be
// passed to its second candidate.
func (f *flowEvener) passOn(second gooseberrymast.Identity) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.driver == nil {
		return false
	}
	return f.evener.PassOn(f.timer.Now(), f.driver.Flows(), second)
}
