package dispatcher

import (
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/limiter"
)

var _ gooseberrymast.CallerCounter = (*Dispatcher)(nil)

// callers bounds the rate of each caller, over the whole service if the
// transport carries reports, and otherwise at this agent alone.
type callers struct {
	alone  limiter.Local
	home   limiter.Home
	remote limiter.Remote
	// agents are those of the service that can be a home, this one included.
	agents []gooseberrymast.Identity
	// homes remembers the choice for each caller until the agents change.
	homes map[netip.Addr]gooseberrymast.Identity
}

func (c *callers) configure(limits gooseberrymast.Limits) {
	c.alone.Rate, c.alone.Burst = limits.CallerRate, limits.CallerBurst
	c.home.Rate, c.home.Burst = limits.CallerRate, limits.CallerBurst
	c.remote.Rate, c.remote.Burst = limits.CallerRate, limits.CallerBurst
}

// update replaces the agents that can be a home.
func (c *callers) update(self gooseberrymast.Identity, peers []gooseberrymast.Member) {
	c.agents = []gooseberrymast.Identity{self}
	for _, peer := range peers {
		if peer.Routable() {
			c.agents = append(c.agents, peer.Identity)
		}
	}
	c.homes = nil
}

func (c *callers) homeOf(caller netip.Addr) gooseberrymast.Identity {
	if home, ok := c.homes[caller]; ok {
		return home
	}
	if c.homes == nil || len(c.homes) >= limiter.MaxCallers {
		c.homes = map[netip.Addr]gooseberrymast.Identity{}
	}
	home := limiter.HomeOf(caller, c.agents)
	c.homes[caller] = home
	return home
}

// withinRate counts a request of a caller and reports whether it may go on.
func (d *Dispatcher) withinRate(now time.Time, caller netip.Addr) bool {
	if d.service.Limits.CallerRate <= 0 || !caller.IsValid() {
		return true
	}
	if !d.config.CountAtHome {
		return d.callers.alone.Allow(now, caller)
	}
	home := d.callers.homeOf(caller)
	if home.IsZero() || home == d.config.Self {
		return d.callers.home.Allow(now, caller)
	}
	ok, report := d.callers.remote.Allow(now, caller)
	if report > 0 {
		d.emit(gooseberrymast.Action{Kind: gooseberrymast.ActionCount, Peer: home, Caller: caller, Count: report})
	}
	return ok
}

// Count answers a peer that has admitted requests of a caller.
func (d *Dispatcher) Count(now time.Time, caller netip.Addr, admitted int) (granted int, wait time.Duration) {
	if d.service.Limits.CallerRate <= 0 || admitted < 0 {
		return limiter.Batch(d.service.Limits.CallerBurst), 0
	}
	return d.callers.home.Count(now, caller, admitted)
}

// Counted takes the reply to ActionCount.
func (d *Dispatcher) Counted(now time.Time, caller netip.Addr, known bool, granted int, wait time.Duration) {
	d.callers.remote.Counted(now, caller, known, granted, wait)
}
