// Package dispatcher decides how one agent handles each request: run it, queue
// it, hand it over or refuse it. It combines admission, placement, retries,
// ejection, tickets, caller rates and draining in one state machine that uses
// no goroutines, sockets or clock.
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

// Policy switches off single mechanisms, so that baselines can be measured
// without them. The zero value is the product's policy.
type Policy struct {
	// NoHandOver runs each request where it arrived.
	NoHandOver bool
	// UnboundedQueue lets any number of requests wait until their deadlines, in
	// order of arrival.
	UnboundedQueue bool
	// UnlimitedRetries allows every retry, regardless of the retry budget.
	UnlimitedRetries bool
	// NoSlotReserve lets requests that are expected to be stragglers take any slot.
	NoSlotReserve bool
	// NoEjection keeps failing backend servers in use.
	NoEjection bool
	// Order is the order in which queued requests take slots.
	Order admitter.Order
}

// Config holds the settings of a Dispatcher.
type Config struct {
	// Self is the identity of the agent that the dispatcher decides for.
	Self gooseberrymast.Identity
	// Service is the name of the agent's service.
	Service string
	// Tag is the service's tag; if zero, it is derived from Service.
	Tag gooseberrymast.ServiceTag
	// Zone is the agent's availability zone.
	Zone string
	// Instance is the instance name in refusals; if empty, Self's address is used.
	Instance string
	// Seed seeds the random number generator.
	Seed uint64
	// CountAtHome enforces caller rates over the whole service, each caller
	// counted at its home agent. It requires a transport that carries
	// ActionCount and calls HandleCount and HandleCountReply.
	CountAtHome bool
	// Policy is the zero value except in baselines.
	Policy Policy
	// Recorder records refusals and retries; if nil, New creates one.
	Recorder *recorder.Recorder
}

// Dispatcher implements gooseberrymast.Dispatcher.
type Dispatcher struct {
	config   Config
	recorder *recorder.Recorder
	random   *rand.Rand

	// revision is the revision in force, or zero before the first Configure.
	revision uint64
	service  gooseberrymast.Service

	requests map[gooseberrymast.WorkID]*request
	// pending contains the requests that wait for a reply from a ticket's issuer
	// or from a peer.
	pending map[gooseberrymast.WorkID]*request
	// handedOver indexes the requests in progress that peers handed over.
	handedOver map[handOverKey]*request
	streams    int

	admitter  admitter.Admitter
	estimator estimator.Estimator
	placer    placer.Placer
	budget    retrier.Budget
	ejector   ejector.Ejector
	issuer    ticketer.Issuer
	history   ticketer.History
	callers   callers
	drainer   drainer.Drainer

	// healthy is the backend server's own reported status. It is only a hint.
	healthy bool
	// now is the time of the latest event.
	now time.Time
	// refusalCount numbers the refusals of this incarnation.
	refusalCount uint64
	// dirty is set when an event that returned no actions may allow queued
	// requests to move.
	dirty bool
	// nextQueueScan is when queued requests next look for peers with free slots.
	nextQueueScan time.Time
	actions       []gooseberrymast.Action
}

var _ gooseberrymast.Dispatcher = (*Dispatcher)(nil)

// New returns the dispatcher of one agent. It refuses every request until the
// first call to Configure.
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
		config:     config,
		recorder:   config.Recorder,
		random:     rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		requests:   map[gooseberrymast.WorkID]*request{},
		pending:    map[gooseberrymast.WorkID]*request{},
		handedOver: map[handOverKey]*request{},
		issuer:     ticketer.Issuer{Self: config.Self, Service: config.Tag},
		healthy:    true,
	}
	d.placer = placer.Placer{Random: d.random, Zone: config.Zone, Ejected: d.peerEjected}
	d.ejector.Retain([]netip.AddrPort{config.Self.Address})
	return d
}

// Recorder returns the recorder of this dispatcher's refusals and retries.
func (d *Dispatcher) Recorder() *recorder.Recorder {
	return d.recorder
}

// Drain returns the progress of the agent's drain. Requests that were handed
// over still count, because their callers' flows are held here.
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
// must already be filled in. A revision lower than the one in force is ignored.
func (d *Dispatcher) Configure(now time.Time, revision uint64, service gooseberrymast.Service) []gooseberrymast.Action {
	if revision < d.revision {
		return nil
	}
	if d.revision == 0 {
		d.admitter.Started = now
	}
	d.revision = revision
	d.service = service
	d.applyLimits()
	d.processQueue(now)
	return d.takeActions()
}

// applyLimits passes the limits in force to the components.
func (d *Dispatcher) applyLimits() {
	limits, policy := d.service.Limits, d.config.Policy
	d.admitter.Slots = limits.Slots
	d.admitter.Queue = limits.Queue
	d.admitter.SlowStart = limits.SlowStart.Std()
	d.admitter.Order = policy.Order
	d.admitter.NoSlotReserve = policy.NoSlotReserve
	d.admitter.Typical = d.estimator.Typical()
	d.admitter.LongAfter = d.estimator.LongAfter()
	if policy.UnboundedQueue {
		d.admitter.Queue = -1
		d.admitter.Order = admitter.OrderArrival
		d.admitter.KeepInfeasible = true
	}
	d.placer.CrossZone = d.service.CrossZone != gooseberrymast.CrossZoneNever
	d.placer.Connections = limits.Connections
	d.placer.SlowStart = limits.SlowStart.Std()
	d.budget.Share = limits.RetryBudget
	d.budget.Unlimited = policy.UnlimitedRetries
	d.ejector.MaxEjected = limits.MaxEjected
	d.callers.configure(limits)
	d.drainer.Grace = d.service.Drain.Grace.Std()
	d.drainer.MaxWait = d.service.Drain.MaxWait.Std()
}

// HandleServerStatus receives the backend server's reported health and load. Only the
// results of real requests start and end an ejection; the reported health
// merely lets a non-idempotent request probe an ejected server. The number of
// running requests is bounded by the slots and by what the server sheds, not by
// the reported load.
func (d *Dispatcher) HandleServerStatus(_ time.Time, healthy bool, _ int32) {
	if healthy && !d.healthy {
		d.dirty = true
	}
	d.healthy = healthy
}

// SetPeers sets the members of the service other than this agent.
func (d *Dispatcher) SetPeers(now time.Time, peers []gooseberrymast.Member) {
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
	d.dirty = true
}

// HandlePeerLoad receives the load that a peer attached to an answer.
func (d *Dispatcher) HandlePeerLoad(now time.Time, peer gooseberrymast.Identity, load gooseberrymast.Load) {
	d.placer.HandleLoad(now, peer, load)
	if d.admitter.Waiting() > 0 {
		d.dirty = true
	}
}

// Load returns the agent's own load.
func (d *Dispatcher) Load() gooseberrymast.Load {
	return gooseberrymast.Load{
		FreeSlots: int32(d.freeSlots()),
		Queued:    int32(d.admitter.Waiting()),
		Streams:   int32(d.streams),
		Leaving:   d.drainer.Leaving(),
	}
}

// takeActions returns the actions collected since the last call and clears them.
func (d *Dispatcher) takeActions() []gooseberrymast.Action {
	actions := d.actions
	d.actions = nil
	return actions
}
