package soaker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

const (
	// askEvery is how often the fabric asks balancers whether they are ready, and
	// missesOut the failures in a row after which it takes one out.
	askEvery  = 500 * time.Millisecond
	missesOut = 2
)

// fabric stands for the routers that spread callers' packets over balancers.
type fabric struct {
	network *network
	client  http.Client

	mu        sync.Mutex
	balancers []*rotation
}

// rotation is a balancer in the fabric's eyes.
type rotation struct {
	settings gooseberrymast.InstanceSettings
	listens  gooseberrymast.Endpoint
	misses   int
}

func (f *fabric) add(settings gooseberrymast.InstanceSettings, listens gooseberrymast.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append(f.balancers, &rotation{settings: settings, listens: listens, misses: missesOut})
}

// watch asks the balancers until the context ends.
func (f *fabric) watch(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, each := range f.balancers {
		go f.watchOne(ctx, each)
	}
}

func (f *fabric) watchOne(ctx context.Context, balancer *rotation) {
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, askEvery)
		ready := platform.CheckReady(asking, &f.client, balancer.settings.Readiness)
		cancel()
		f.mu.Lock()
		if ready {
			balancer.misses = 0
		} else {
			balancer.misses++
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(askEvery):
		}
	}
}

// choose gives the balancer that gets a flow's packet: of the zone's in
// rotation, of all of the zone when fewer than half are, and of other zones
// when none is. ok is false when the packet is lost on its way.
func (f *fabric) choose(zone string, key gooseberrymast.FlowKey) (to gooseberrymast.Endpoint, name string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, ready, others []*rotation
	for _, each := range f.balancers {
		switch {
		case each.settings.Zone != zone && each.misses < missesOut:
			others = append(others, each)
		case each.settings.Zone == zone:
			all = append(all, each)
			if each.misses < missesOut {
				ready = append(ready, each)
			}
		}
	}
	switch {
	case len(ready) == 0 && len(others) > 0:
		ready = others
	case 2*len(ready) < len(all):
		ready = all
	}
	if len(ready) == 0 {
		return to, "", false
	}
	chosen := ready[key.Hash()%uint64(len(ready))]
	return chosen.settings.Packets, chosen.settings.Name, f.network.reaches(chosen.listens)
}

// ready gives the number of balancers in rotation.
func (f *fabric) ready() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, each := range f.balancers {
		if each.misses < missesOut {
			count++
		}
	}
	return count
}
