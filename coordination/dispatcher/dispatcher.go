// Package dispatcher decides what becomes of each request at one agent. It
// composes admission, placement, retries, ejection, tickets, caller rates and
// the drain into one state machine without goroutines, sockets or a clock.
package dispatcher

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/admitter"
	"gooseberrymast/coordination/drainer"
	"gooseberrymast/coordination/ejector"
	"gooseberrymast/coordination/estimator"
	"gooseberrymast/coordination/placer"
	"gooseberrymast/coordination/retrier"
	"gooseberrymast/coordination/ticketer"
	"gooseberrymast/state/recorder"
)

// Policy switches single decisions off, for baselines to measure against. The
// zero value is the product's policy.
type Policy struct {
	// NoHandOver runs each request where it arrived.
	NoHandOver bool
	// UnboundedQueue lets any number of requests wait, in the order of their
	// arrival and until their deadlines.
	UnboundedQueue bool
	// UnbudgetedRetries lets every retry through.
	UnbudgetedRetries bool
	// MixLong lets stragglers take any slot.
	MixLong bool
	// NoEjection keeps failing backend servers in use.
	NoEjection bool
	// Order is the queue's order.
	Order admitter.Order
}

// Config is what a dispatcher is made of.
type Config struct {
	// Self is the agent that decides.
	Self gooseberrymast.Identity
	// Service is the name of the agent's service.
	Service string
	// Tag is the service's tag; zero derives it from Service.
	Tag gooseberrymast.ServiceTag
	// Zone is the agent's availability zone.
	Zone string
	// Instance names the agent in refusals; empty takes Self's address.
	Instance string
	// Seed feeds the random choices.
	Seed uint64
	// CountAtHome counts callers over the whole service. It is set when the
	// transport carries ActionCount and calls Count and Counted.
	CountAtHome bool
	// Policy is zero but for baselines.
	Policy Policy
	// Recorder keeps refusals and counts; nil makes one.
	Recorder *recorder.Recorder
}

// Dispatcher implements gooseberrymast.Dispatcher.
type Dispatcher struct {
	config   Config
	recorder *recorder.Recorder
	random   *rand.Rand

	// revision is zero until the first Configure.
	revision uint64
	service  gooseberrymast.Service

	requests map[gooseberrymast.WorkID]*request
	// pending holds the requests that wait for an issuer's or a peer's reply.
	pending map[gooseberrymast.WorkID]*request
	// handed finds the requests that peers handed over and that are in progress.
	handed  map[handedKey]*request
	streams int

	admitter  admitter.Admitter
	estimator estimator.Estimator
	placer    placer.Placer
	budget    retrier.Budget
	ejector   ejector.Ejector
	issuer    ticketer.Issuer
	memory    ticketer.Memory
	callers   callers
	drainer   drainer.Drainer

	// healthy is the backend server's own word, a hint.
	healthy bool
	// now is the time of the latest event.
	now time.Time
	// refusals numbers the refusals of this incarnation.
	refusals uint64
	// stirred is set when an event without actions may let queued requests move.
	stirred bool
	// nextPump is when queued requests look for peers again.
	nextPump time.Time
	actions  []gooseberrymast.Action
}

var _ gooseberrymast.Dispatcher = (*Dispatcher)(nil)

// New makes the dispatcher of one agent. It refuses every request until the
// first Configure.
func New(config Config) *Dispatcher {
	if config.Tag == 0 {
		config.Tag = gooseberrymast.TagOf(config.Service)
	}
	if config.Instance == "" {
		config.Instance = config.Self.Address.String()
	}
	if config.Recorder == nil {
		config.Recorder = &recorder.Recorder{}
	}
	d := &Dispatcher{
		config:   config,
		recorder: config.Recorder,
		random:   rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		requests: map[gooseberrymast.WorkID]*request{},
		pending:  map[gooseberrymast.WorkID]*request{},
		handed:   map[handedKey]*request{},
		issuer:   ticketer.Issuer{Self: config.Self, Service: config.Tag},
		healthy:  true,
	}
	d.placer = placer.Placer{Random: d.random, Zone: config.Zone, Ejected: d.peerEjected}
	d.ejector.Retain([]netip.AddrPort{config.Self.Address})
	return d
}

// Recorder gives the refusals and counts of this dispatcher.
func (d *Dispatcher) Recorder() *recorder.Recorder {
	return d.recorder
}

// Drain reports how far the agent's departure has come. What was handed over
// remains too, since its callers' flows are here.
func (d *Dispatcher) Drain(now time.Time) drainer.Status {
	streams := 0
	for _, r := range d.requests {
		if r.work.Stream {
			streams++
		}
	}
	return d.drainer.Status(now, len(d.requests)-streams, streams)
}

// Configure puts the limits of a revision in force. The service's defaults
// have been set. A lower revision than the one in force is ignored.
func (d *Dispatcher) Configure(now time.Time, revision uint64, service gooseberrymast.Service) []gooseberrymast.Action {
	if revision < d.revision {
		return nil
	}
	if d.revision == 0 {
		d.admitter.Started = now
	}
	d.revision = revision
	d.service = service
	d.apply()
	d.pump(now)
	return d.take()
}

// apply hands the limits in force to the parts.
func (d *Dispatcher) apply() {
	limits, policy := d.service.Limits, d.config.Policy
	d.admitter.Slots = limits.Slots
	d.admitter.Queue = limits.Queue
	d.admitter.SlowStart = limits.SlowStart.Std()
	d.admitter.Order = policy.Order
	d.admitter.MixLong = policy.MixLong
	d.admitter.Typical = d.estimator.Typical()
	d.admitter.LongAfter = d.estimator.LongAfter()
	if policy.UnboundedQueue {
		d.admitter.Queue = -1
		d.admitter.Order = admitter.OrderArrival
		d.admitter.KeepDoomed = true
	}
	d.placer.CrossZone = d.service.CrossZone != gooseberrymast.CrossZoneNever
	d.placer.Connections = limits.Connections
	d.placer.SlowStart = limits.SlowStart.Std()
	d.budget.Share = limits.RetryBudget
	d.budget.Unlimited = policy.UnbudgetedRetries
	d.ejector.MaxEjected = limits.MaxEjected
	d.callers.configure(limits)
	d.drainer.Grace = d.service.Drain.Grace.Std()
	d.drainer.MaxWait = d.service.Drain.MaxWait.Std()
}

// Observe takes the backend server's word on its health and load. An ejection
// starts and ends by real answers; word of health only lets a request that is
// not idempotent try an ejected server. The bound on requests comes from the
// slots and from what the server sheds, and not from the reported load.
func (d *Dispatcher) Observe(_ time.Time, healthy bool, _ int32) {
	if healthy && !d.healthy {
		d.stirred = true
	}
	d.healthy = healthy
}

// Peers replaces the members of the service other than this agent.
func (d *Dispatcher) Peers(now time.Time, peers []gooseberrymast.Member) {
	members := []netip.AddrPort{d.config.Self.Address}
	others := make([]gooseberrymast.Member, 0, len(peers))
	for _, peer := range peers {
		if peer.Identity.Address == d.config.Self.Address {
			continue
		}
		others = append(others, peer)
		members = append(members, peer.Identity.Address)
	}
	d.placer.Update(now, others)
	d.ejector.Retain(members)
	d.callers.update(d.config.Self, others)
	d.stirred = true
}

// PeerLoad takes the load that came with a peer's answer.
func (d *Dispatcher) PeerLoad(now time.Time, peer gooseberrymast.Identity, load gooseberrymast.Load) {
	d.placer.Heard(now, peer, load)
	if d.admitter.Waiting() > 0 {
		d.stirred = true
	}
}

// Load gives the agent's own load.
func (d *Dispatcher) Load() gooseberrymast.Load {
	return gooseberrymast.Load{
		FreeSlots: int32(d.freeSlots()),
		Queued:    int32(d.admitter.Waiting()),
		Streams:   int32(d.streams),
		Leaving:   d.drainer.Leaving(),
	}
}

// take gives the actions collected since the last call.
func (d *Dispatcher) take() []gooseberrymast.Action {
	actions := d.actions
	d.actions = nil
	return actions
}
