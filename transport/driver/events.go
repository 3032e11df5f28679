package driver

import (
	"context"
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/transport/hander"
)

var _ hander.Local = &Driver{}

// Configure applies the limits of a revision.
func (d *Driver) Configure(revision uint64, service gooseberrymast.Service) {
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.Configure(now, revision, service)
	})
}

// HandleServerStatus sets the backend server's polled health and load.
func (d *Driver) HandleServerStatus(healthy bool, load int32) {
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		d.Dispatcher.HandleServerStatus(now, healthy, load)
		return nil
	})
}

// SetPeers replaces the members of the service other than this agent.
func (d *Driver) SetPeers(peers []gooseberrymast.Member) {
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		d.Dispatcher.SetPeers(now, peers)
		return nil
	})
}

// HandlePeerLoad sets the load that a peer reported with its answer.
func (d *Driver) HandlePeerLoad(peer gooseberrymast.Identity, load gooseberrymast.Load) {
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		d.Dispatcher.HandlePeerLoad(now, peer, load)
		return nil
	})
}

// Leave permanently stops new requests to the agent's own backend server.
func (d *Driver) Leave() {
	d.dispatch(d.Dispatcher.Leave)
}

// Load returns the agent's own load.
func (d *Driver) Load() gooseberrymast.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := d.Dispatcher.Load()
	if d.Flows != nil {
		load.Flows = d.Flows()
	}
	return load
}

// HandleOutcomeQuery reports whether a request that was handed over ran or may
// still run here. A request that has not arrived is refused if it arrives later.
func (d *Driver) HandleOutcomeQuery(origin gooseberrymast.Identity, originID gooseberrymast.WorkID) (ran bool) {
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		ran = d.Dispatcher.HandleOutcomeQuery(now, origin, originID)
		return nil
	})
	return ran
}

// Issue creates a ticket.
func (d *Driver) Issue() (ticket gooseberrymast.Ticket) {
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		ticket = d.Dispatcher.Issue(now)
		return nil
	})
	return ticket
}

// Spend reports whether the holder of a ticket that this agent issued may run
// its request. A ticket is granted at most once.
func (d *Driver) Spend(ticket gooseberrymast.Ticket) (granted bool) {
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		granted = d.Dispatcher.Spend(now, ticket)
		return nil
	})
	return granted
}

// HandleCount handles a peer's report of admitted requests of a caller. It returns
// how many more the peer may admit, or the time after which it may admit one.
func (d *Driver) HandleCount(caller netip.Addr, admitted int) (granted int, wait time.Duration) {
	counter, ok := d.Dispatcher.(gooseberrymast.CallerCounter)
	if !ok {
		return admitted, 0
	}
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		granted, wait = counter.HandleCount(now, caller, admitted)
		return nil
	})
	return granted, wait
}

// reportAdmitted reports the requests admitted here to the caller's home agent
// and passes its answer to the dispatcher.
func (d *Driver) reportAdmitted(action gooseberrymast.Action) {
	counter, ok := d.Dispatcher.(gooseberrymast.CallerCounter)
	if !ok {
		return
	}
	answered, granted, wait := d.Peers.ReportCount(context.Background(), action.Peer, action.Caller, action.Count)
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		counter.HandleCountReply(now, action.Caller, answered, granted, wait)
		return nil
	})
}

// Refusal creates a refusal that the transport itself decides, before the
// request was sent to any server.
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

// InProgress returns the number of requests that have not ended.
func (d *Driver) InProgress() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests)
}
