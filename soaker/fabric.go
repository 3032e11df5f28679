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
	// readinessInterval is the time between two readiness queries to a
	// balancer, maxMisses the number of consecutive failures after which it is
	// removed from rotation.
	readinessInterval = 500 * time.Millisecond
	maxMisses         = 2
)

// fabric stands in for the routers that distribute callers' packets over the
// balancers.
type fabric struct {
	network *network
	client  http.Client

	mu        sync.Mutex
	balancers []*fabricBalancer
}

// fabricBalancer is a balancer with its readiness as seen by the fabric.
type fabricBalancer struct {
	settings gooseberrymast.InstanceSettings
	listens  gooseberrymast.Endpoint
	misses   int
}

// add adds a balancer, which is out of rotation until it is found ready.
func (f *fabric) add(settings gooseberrymast.InstanceSettings, listens gooseberrymast.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append(f.balancers, &fabricBalancer{settings: settings, listens: listens, misses: maxMisses})
}

// watch starts querying the readiness of all balancers, which continues until
// the context ends.
func (f *fabric) watch(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, balancer := range f.balancers {
		go f.watchOne(ctx, balancer)
	}
}

func (f *fabric) watchOne(ctx context.Context, balancer *fabricBalancer) {
	for ctx.Err() == nil {
		requestCtx, cancel := context.WithTimeout(ctx, readinessInterval)
		ready := platform.CheckReady(requestCtx, &f.client, balancer.settings.Readiness)
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
		case <-time.After(readinessInterval):
		}
	}
}

// choose returns the balancer for a packet of a flow: one of the zone's balancers
// in rotation, or one of all in the zone if fewer than half of them are in
// rotation. If none of the zone is in rotation, it chooses among those of other
// zones that are. ok is false if the packet is lost on its way.
func (f *fabric) choose(zone string, key gooseberrymast.FlowKey) (to gooseberrymast.Endpoint, name string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, ready, others []*fabricBalancer
	for _, balancer := range f.balancers {
		switch {
		case balancer.settings.Zone != zone && balancer.misses < maxMisses:
			others = append(others, balancer)
		case balancer.settings.Zone == zone:
			all = append(all, balancer)
			if balancer.misses < maxMisses {
				ready = append(ready, balancer)
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

// readyCount returns the number of balancers in rotation.
func (f *fabric) readyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, balancer := range f.balancers {
		if balancer.misses < maxMisses {
			count++
		}
	}
	return count
}
