package dispatcher

import (
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/limiter"
)

var _ gooseberrymast.CallerCounter = (*Dispatcher)(nil)

// callers enforces the rate of each caller: over the whole service if the
// transport carries reports between agents, otherwise at this agent only.
type callers struct {
	local  limiter.Local
	home   limiter.Home
	remote limiter.Remote
	// agents are the agents of the service that can be a home, including this one.
	agents []gooseberrymast.Identity
	// homes caches the home of each caller until the agents change.
	homes map[netip.Addr]gooseberrymast.Identity
}

func (c *callers) configure(limits gooseberrymast.Limits) {
	c.local.Rate, c.local.Burst = limits.CallerRate, limits.CallerBurst
	c.home.Rate, c.home.Burst = limits.CallerRate, limits.CallerBurst
	c.remote.Rate, c.remote.Burst = limits.CallerRate, limits.CallerBurst
}

// update sets the agents that can be a home.
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

// withinRate counts a request and reports whether it is within the caller's rate.
func (d *Dispatcher) withinRate(now time.Time, caller netip.Addr) bool {
	if d.service.Limits.CallerRate <= 0 || !caller.IsValid() {
		return true
	}
	if !d.config.CountAtHome {
		return d.callers.local.Allow(now, caller)
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

// HandleCount receives the number of requests of a caller that a peer has admitted
// and returns how many more it may admit, or how long it must wait.
func (d *Dispatcher) HandleCount(now time.Time, caller netip.Addr, admitted int) (granted int, wait time.Duration) {
	if d.service.Limits.CallerRate <= 0 || admitted < 0 {
		return limiter.Batch(d.service.Limits.CallerBurst), 0
	}
	return d.callers.home.Count(now, caller, admitted)
}

// HandleCountReply receives the reply to ActionCount.
func (d *Dispatcher) HandleCountReply(now time.Time, caller netip.Addr, known bool, granted int, wait time.Duration) {
	d.callers.remote.HandleCountReply(now, caller, known, granted, wait)
}
