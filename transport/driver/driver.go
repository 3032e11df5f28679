// Package driver connects a dispatcher to the transport: it serializes the
// events of the dispatcher, performs the actions that it returns and reports
// their results.
package driver

import (
	"context"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
	"gooseberrymast/transport/executor"
	"gooseberrymast/transport/hander"
)

// Driver passes requests and events to one dispatcher. The exported fields must
// be set before the first use and must not change after it; it must not be
// copied.
type Driver struct {
	// Self is the agent's own identity.
	Self gooseberrymast.Identity
	// Dispatcher decides where each request runs. Only the driver may call it.
	Dispatcher gooseberrymast.Dispatcher
	// Timer is the timer service.
	Timer gooseberrymast.Timer
	// Executor runs requests on the agent's own backend server.
	Executor *executor.Executor
	// Peers hands requests over to other agents. Its OnLoad must be the
	// driver's HandlePeerLoad.
	Peers *hander.Client
	// Refuse creates and records a refusal that the transport itself decides.
	// Like the dispatcher's methods it is called one call at a time. If it is
	// nil, refusals carry the reason, the instance and the time only.
	Refuse func(now time.Time, reason gooseberrymast.Reason) gooseberrymast.Refusal
	// Flows returns the number of callers' open flows; nil means none.
	Flows func() int32
	// Metrics counts requests and attempts; nil counts nothing.
	Metrics *Metrics

	mu         sync.Mutex
	lastID     gooseberrymast.WorkID
	requests   map[gooseberrymast.WorkID]*activeRequest
	tickAt     time.Time
	cancelTick func()
}

// Serve handles a request that arrived on a caller's flow. It returns once the
// exchange has ended. The context must end when the caller disconnects.
func (d *Driver) Serve(ctx context.Context, exchange *executor.Exchange) executor.Status {
	return d.serve(ctx, exchange, true)
}

// ServeHandOver handles a request that another agent handed over.
func (d *Driver) ServeHandOver(ctx context.Context, exchange *executor.Exchange) executor.Status {
	return d.serve(ctx, exchange, false)
}

func (d *Driver) serve(ctx context.Context, exchange *executor.Exchange, local bool) executor.Status {
	r := d.register(exchange, local)
	defer d.unregister(r)
	defer r.closeHeld()
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.HandleRequest(now, exchange.Work)
	})
	for {
		action, ok := r.next(ctx)
		if !ok {
			d.cancel(r)
			return d.countStatus(executor.StatusCancelled)
		}
		if status := d.perform(ctx, r, action); status != 0 {
			return d.countStatus(status)
		}
	}
}

// perform carries out one action. It returns zero while the request continues.
func (d *Driver) perform(ctx context.Context, r *activeRequest, action gooseberrymast.Action) executor.Status {
	switch action.Kind {
	case gooseberrymast.ActionRun:
		return d.attempt(ctx, r, d.runLocally(r))
	case gooseberrymast.ActionHandOver:
		asserter.Holds(!r.exchange.Work.HandedOver(d.Self), "one-hand-over",
			"request %d of %s was to be handed over again", r.exchange.Work.OriginID, r.exchange.Work.Origin)
		return d.attempt(ctx, r, d.handOver(r, action))
	case gooseberrymast.ActionQueryOutcome:
		d.queryPeer(ctx, r, action.Peer)
		return 0
	case gooseberrymast.ActionSpend:
		d.spendTicket(ctx, r)
		return 0
	case gooseberrymast.ActionRefuse:
		return d.refuse(r, action.Refusal)
	case gooseberrymast.ActionCancel:
		return executor.StatusCancelled
	}
	asserter.Holds(false, "known-action", "action %d", action.Kind)
	return 0
}

func (d *Driver) refuse(r *activeRequest, refusal gooseberrymast.Refusal) executor.Status {
	if r.responseStarted {
		return executor.StatusTorn
	}
	r.exchange.Refuse(refusal)
	return executor.StatusRefused
}

func (d *Driver) queryPeer(ctx context.Context, r *activeRequest, peer gooseberrymast.Identity) {
	id := r.exchange.Work.ID
	answered, ran := d.Peers.QueryOutcome(ctx, peer, id)
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.HandleOutcomeReply(now, id, answered, ran)
	})
}

func (d *Driver) spendTicket(ctx context.Context, r *activeRequest) {
	id := r.exchange.Work.ID
	answered, granted := d.Peers.Spend(ctx, r.exchange.Work.Ticket)
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.HandleSpendReply(now, id, answered, granted)
	})
}

func (d *Driver) cancel(r *activeRequest) {
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.Cancel(now, r.exchange.Work.ID)
	})
}

func (d *Driver) finish(r *activeRequest, result gooseberrymast.Result, refusal gooseberrymast.Refusal) {
	d.dispatch(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.Finish(now, r.exchange.Work.ID, result, refusal)
	})
}

func (d *Driver) countStatus(status executor.Status) executor.Status {
	d.Metrics.countRequest(status)
	return status
}

func (d *Driver) register(exchange *executor.Exchange, local bool) *activeRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	exchange.Work.ID = d.lastID
	if local {
		exchange.Work.Origin = d.Self
		exchange.Work.OriginID = d.lastID
	}
	if d.requests == nil {
		d.requests = map[gooseberrymast.WorkID]*activeRequest{}
	}
	r := &activeRequest{exchange: exchange, signal: make(chan struct{}, 1)}
	d.requests[d.lastID] = r
	return r
}

// unregister removes a request. Attempts that were decided but not started are
// reported as cancelled, so that the dispatcher frees their slots.
func (d *Driver) unregister(r *activeRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.requests, r.exchange.Work.ID)
	now := d.Timer.Now()
	for action, ok := r.pop(); ok; action, ok = r.pop() {
		d.cancelUnstarted(now, action)
	}
	d.schedule(now)
}

// cancelUnstarted reports an attempt that will not be started as cancelled.
func (d *Driver) cancelUnstarted(now time.Time, action gooseberrymast.Action) {
	if action.Kind == gooseberrymast.ActionRun || action.Kind == gooseberrymast.ActionHandOver {
		d.route(now, d.Dispatcher.Finish(now, action.Work, gooseberrymast.ResultCancelled, gooseberrymast.Refusal{}))
	}
}

// dispatch passes one event to the dispatcher and queues the returned actions at
// their requests.
func (d *Driver) dispatch(event func(now time.Time) []gooseberrymast.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Timer.Now()
	d.route(now, event(now))
	d.schedule(now)
}

// route queues each action at its request. An attempt of a request that has
// already ended is reported as cancelled.
func (d *Driver) route(now time.Time, actions []gooseberrymast.Action) {
	for _, action := range actions {
		if action.Kind == gooseberrymast.ActionCount {
			go d.reportAdmitted(action)
			continue
		}
		if r := d.requests[action.Work]; r != nil {
			r.push(action)
			continue
		}
		d.cancelUnstarted(now, action)
	}
}

// schedule sets the timer for the dispatcher's next Tick.
func (d *Driver) schedule(now time.Time) {
	next := d.Dispatcher.NextTick()
	if next.Equal(d.tickAt) {
		return
	}
	if d.cancelTick != nil {
		d.cancelTick()
		d.cancelTick = nil
	}
	d.tickAt = next
	if next.IsZero() {
		return
	}
	d.cancelTick = d.Timer.After(max(next.Sub(now), 0), func(time.Time) { d.tick(next) })
}

func (d *Driver) tick(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.tickAt.Equal(at) {
		return // Rescheduled while the timer fired.
	}
	d.tickAt = time.Time{}
	d.cancelTick = nil
	now := d.Timer.Now()
	d.route(now, d.Dispatcher.Tick(now))
	d.schedule(now)
}
