package driver

import (
	"context"
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/transport/hander"
)

var _ hander.Local = &Driver{}

// Configure puts the limits of a revision in force.
func (d *Driver) Configure(revision uint64, service gooseberrymast.Service) {
	d.decide(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.Configure(now, revision, service)
	})
}

// Observe reports the backend server's health and load, as polled.
func (d *Driver) Observe(healthy bool, load int32) {
	d.decide(func(now time.Time) []gooseberrymast.Action {
		d.Dispatcher.Observe(now, healthy, load)
		return nil
	})
}

// Members replaces the members of the service other than this agent.
func (d *Driver) Members(peers []gooseberrymast.Member) {
	d.decide(func(now time.Time) []gooseberrymast.Action {
		d.Dispatcher.Peers(now, peers)
		return nil
	})
}

// PeerLoad reports the load that came with a peer's answer.
func (d *Driver) PeerLoad(peer gooseberrymast.Identity, load gooseberrymast.Load) {
	d.decide(func(now time.Time) []gooseberrymast.Action {
		d.Dispatcher.PeerLoad(now, peer, load)
		return nil
	})
}

// Leave stops new work at the agent's own backend server for good.
func (d *Driver) Leave() {
	d.decide(d.Dispatcher.Leave)
}

// Load gives the agent's own load.
func (d *Driver) Load() gooseberrymast.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := d.Dispatcher.Load()
	if d.Flows != nil {
		load.Flows = d.Flows()
	}
	return load
}

// Ask reports whether a request that was handed over ran or may still run
// here. One that is not known is refused from then on.
func (d *Driver) Ask(origin gooseberrymast.Identity, originID gooseberrymast.WorkID) (ran bool) {
	d.decide(func(now time.Time) []gooseberrymast.Action {
		ran = d.Dispatcher.Ask(now, origin, originID)
		return nil
	})
	return ran
}

// Issue makes a ticket.
func (d *Driver) Issue() (ticket gooseberrymast.Ticket) {
	d.decide(func(now time.Time) []gooseberrymast.Action {
		ticket = d.Dispatcher.Issue(now)
		return nil
	})
	return ticket
}

// Spend grants one run for a ticket that this agent issued.
func (d *Driver) Spend(ticket gooseberrymast.Ticket) (granted bool) {
	d.decide(func(now time.Time) []gooseberrymast.Action {
		granted = d.Dispatcher.Spend(now, ticket)
		return nil
	})
	return granted
}

// Count answers a peer that has admitted requests of a caller.
func (d *Driver) Count(caller netip.Addr, admitted int) (granted int, wait time.Duration) {
	counter, ok := d.Dispatcher.(gooseberrymast.CallerCounter)
	if !ok {
		return admitted, 0
	}
	d.decide(func(now time.Time) []gooseberrymast.Action {
		granted, wait = counter.Count(now, caller, admitted)
		return nil
	})
	return granted, wait
}

// report tells a caller's home agent what was admitted here, and the
// dispatcher what it answered.
func (d *Driver) report(action gooseberrymast.Action) {
	counter, ok := d.Dispatcher.(gooseberrymast.CallerCounter)
	if !ok {
		return
	}
	known, granted, wait := d.Peers.Count(context.Background(), action.Peer, action.Caller, action.Count)
	d.decide(func(now time.Time) []gooseberrymast.Action {
		counter.Counted(now, action.Caller, known, granted, wait)
		return nil
	})
}

// Refusal makes a refusal that the transport itself decides. It is made before
// any server was given the request.
func (d *Driver) Refusal(reason gooseberrymast.Reason) gooseberrymast.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Timer.Now()
	if d.Refuse != nil {
		return d.Refuse(now, reason)
	}
	return gooseberrymast.Refusal{
		Reason:   reason,
		Ran:      gooseberrymast.RanNo,
		Instance: d.Self.Address.String(),
		Time:     now,
	}
}

// InProgress gives the number of requests that have not ended.
func (d *Driver) InProgress() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running)
}
