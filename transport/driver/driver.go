// Package driver stands between the deciding code and the transport: it
// serializes the events of one dispatcher, performs the actions that follow and
// reports how they ended.
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

// Driver drives one dispatcher. The exported fields must be set before the
// first use and must not change after it; it must not be copied.
type Driver struct {
	// Self is the agent's own identity.
	Self gooseberrymast.Identity
	// Dispatcher decides. Nothing else may call it.
	Dispatcher gooseberrymast.Dispatcher
	// Timer is the timer service.
	Timer gooseberrymast.Timer
	// Executor runs requests on the agent's own backend server.
	Executor *executor.Executor
	// Peers hands requests over. Its OnLoad is to be the driver's PeerLoad.
	Peers *hander.Client
	// Refuse makes and records a refusal that the transport itself decides.
	// It is called like the dispatcher's methods, one call at a time. Nil
	// makes a refusal with little more than the reason.
	Refuse func(now time.Time, reason gooseberrymast.Reason) gooseberrymast.Refusal
	// Flows gives the number of callers' flows that are open; nil is none.
	Flows func() int32
	// Metrics counts; nil counts nothing.
	Metrics *Metrics

	mu         sync.Mutex
	lastID     gooseberrymast.WorkID
	running    map[gooseberrymast.WorkID]*running
	tickAt     time.Time
	cancelTick func()
}

// Serve treats a request that came on a caller's flow. It returns once the
// exchange has ended. The context ends when the caller goes away.
func (d *Driver) Serve(ctx context.Context, exchange *executor.Exchange) executor.Status {
	return d.serve(ctx, exchange, true)
}

// ServeHandOver treats a request that another agent handed over.
func (d *Driver) ServeHandOver(ctx context.Context, exchange *executor.Exchange) executor.Status {
	return d.serve(ctx, exchange, false)
}

func (d *Driver) serve(ctx context.Context, exchange *executor.Exchange, local bool) executor.Status {
	r := d.register(exchange, local)
	defer d.unregister(r)
	defer r.dropHeld()
	d.decide(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.Arrive(now, exchange.Work)
	})
	for {
		action, ok := r.next(ctx)
		if !ok {
			d.cancel(r)
			return d.ended(executor.StatusCancelled)
		}
		if status := d.perform(ctx, r, action); status != 0 {
			return d.ended(status)
		}
	}
}

// perform carries out one action. It gives zero while the request goes on.
func (d *Driver) perform(ctx context.Context, r *running, action gooseberrymast.Action) executor.Status {
	switch action.Kind {
	case gooseberrymast.ActionRun:
		return d.attempt(ctx, r, d.runHere(r))
	case gooseberrymast.ActionHandOver:
		asserter.Holds(!r.exchange.Work.HandedOver(d.Self), "one-hand-over",
			"request %d of %s was to be handed over again", r.exchange.Work.OriginID, r.exchange.Work.Origin)
		return d.attempt(ctx, r, d.handOver(r, action.Peer))
	case gooseberrymast.ActionAsk:
		d.ask(ctx, r, action.Peer)
		return 0
	case gooseberrymast.ActionSpend:
		d.spend(ctx, r)
		return 0
	case gooseberrymast.ActionRefuse:
		return d.refuse(r, action.Refusal)
	case gooseberrymast.ActionCancel:
		return executor.StatusCancelled
	}
	asserter.Holds(false, "known-action", "action %d", action.Kind)
	return 0
}

func (d *Driver) refuse(r *running, refusal gooseberrymast.Refusal) executor.Status {
	if r.begun {
		return executor.StatusTorn
	}
	r.exchange.Refuse(refusal)
	return executor.StatusRefused
}

func (d *Driver) ask(ctx context.Context, r *running, peer gooseberrymast.Identity) {
	id := r.exchange.Work.ID
	known, ran := d.Peers.Ask(ctx, peer, id)
	d.decide(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.Answered(now, id, known, ran)
	})
}

func (d *Driver) spend(ctx context.Context, r *running) {
	id := r.exchange.Work.ID
	known, granted := d.Peers.Spend(ctx, r.exchange.Work.Ticket)
	d.decide(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.Spent(now, id, known, granted)
	})
}

func (d *Driver) cancel(r *running) {
	d.decide(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.Cancel(now, r.exchange.Work.ID)
	})
}

func (d *Driver) finish(r *running, result gooseberrymast.Result, refusal gooseberrymast.Refusal) {
	d.decide(func(now time.Time) []gooseberrymast.Action {
		return d.Dispatcher.Finish(now, r.exchange.Work.ID, result, refusal)
	})
}

func (d *Driver) ended(status executor.Status) executor.Status {
	d.Metrics.ended(status)
	return status
}

func (d *Driver) register(exchange *executor.Exchange, local bool) *running {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	exchange.Work.ID = d.lastID
	if local {
		exchange.Work.Origin = d.Self
		exchange.Work.OriginID = d.lastID
	}
	if d.running == nil {
		d.running = map[gooseberrymast.WorkID]*running{}
	}
	r := &running{exchange: exchange, signal: make(chan struct{}, 1)}
	d.running[d.lastID] = r
	return r
}

// unregister forgets a request. Attempts that were decided but not begun are
// reported as cancelled, so that the dispatcher frees what they hold.
func (d *Driver) unregister(r *running) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, r.exchange.Work.ID)
	now := d.Timer.Now()
	for action, ok := r.pop(); ok; action, ok = r.pop() {
		d.dropAttempt(now, action)
	}
	d.schedule(now)
}

func (d *Driver) dropAttempt(now time.Time, action gooseberrymast.Action) {
	if action.Kind == gooseberrymast.ActionRun || action.Kind == gooseberrymast.ActionHandOver {
		d.route(now, d.Dispatcher.Finish(now, action.Work, gooseberrymast.ResultCancelled, gooseberrymast.Refusal{}))
	}
}

// decide gives one event to the dispatcher and its actions to the requests.
func (d *Driver) decide(event func(now time.Time) []gooseberrymast.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Timer.Now()
	d.route(now, event(now))
	d.schedule(now)
}

func (d *Driver) route(now time.Time, actions []gooseberrymast.Action) {
	for _, action := range actions {
		if action.Kind == gooseberrymast.ActionCount {
			go d.report(action)
			continue
		}
		if r := d.running[action.Work]; r != nil {
			r.push(action)
			continue
		}
		d.dropAttempt(now, action)
	}
}

// schedule sees to it that Tick is called when the dispatcher asks for it.
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
		return // It was rescheduled while it fired.
	}
	d.tickAt = time.Time{}
	d.cancelTick = nil
	now := d.Timer.Now()
	d.route(now, d.Dispatcher.Tick(now))
	d.schedule(now)
}
