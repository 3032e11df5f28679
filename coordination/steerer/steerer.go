// Package steerer decides at a balancer where each packet of a flow goes.
//
// Load pattern: the network may hand any packet to any balancer, and all
// balancers may lose their state at once while servers and callers keep their
// flows. A flow whose owner is not recorded is searched for by a walk over every
// agent that may hold it. It is reset only after each of these agents has
// answered definitely that it doesn't hold it, and the store's entries, which are
// read anew for this, name no other agent that may; the reset lets the caller fail
// at once instead of at its deadline.
package steerer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/chooser"
	"gooseberrymast/coordination/locator"
	"gooseberrymast/coordination/retainer"
	"gooseberrymast/state/roster"
)

// Action is the kind of a step.
type Action uint8

// The actions of a step.
const (
	// Drop does nothing; the sender retransmits the packet.
	Drop Action = iota
	// Forward sends the packet to a peer.
	Forward
	// Reset sends the caller a reset of the flow.
	Reset
	// ReadEntries reads the entries of all instances in the store and passes the outcome
	// to HandleEntries: a search has found no holder.
	ReadEntries
)

// Reason says why a packet is not forwarded.
type Reason string

// The reasons of steps that drop or reset.
const (
	// ReasonNoDocument: the balancer has no document yet.
	ReasonNoDocument Reason = "no-document"
	// ReasonNoRoute: the document has no route for the address.
	ReasonNoRoute Reason = "no-route"
	// ReasonRouteRemoved: the document no longer has the flow's route.
	ReasonRouteRemoved Reason = "route-removed"
	// ReasonNoAgent: no agent of the route's services accepts new flows, or all
	// candidates for a flow refused it.
	ReasonNoAgent Reason = "no-agent"
	// ReasonNoHolder: every agent that may hold the flow has answered that it
	// doesn't.
	ReasonNoHolder Reason = "no-holder"
	// ReasonOwnerGone: the flow's recorded owner is gone, so that the flow is searched
	// for.
	ReasonOwnerGone Reason = "owner-gone"
	// ReasonSearchUnanswered: neither the flow's owner nor a denial has come back from a
	// lookup balancer or a chain of agents, so that others are asked.
	ReasonSearchUnanswered Reason = "search-unanswered"
	// ReasonOwnerSilent: nothing was heard of the agent that the flow was offered to since
	// the packet came first, so that the flow is searched for.
	ReasonOwnerSilent Reason = "owner-silent"
	// ReasonHolderUnknown: the walk found no holder, but not every agent has
	// answered definitely.
	ReasonHolderUnknown Reason = "holder-unknown"
	// ReasonEntriesAwaited: the walk found no holder, and the store's entries are read to
	// see whether all agents that may hold the flow were asked.
	ReasonEntriesAwaited Reason = "entries-awaited"
	// ReasonHolderNotAsked: the store's entries name an agent that may hold the flow and
	// was not asked.
	ReasonHolderNotAsked Reason = "holder-not-asked"
	// ReasonEntriesIncomplete: the list of entries that was read may lack some.
	ReasonEntriesIncomplete Reason = "entries-incomplete"
)

// Step is a decision on one packet.
type Step struct {
	Action Action
	// To and Hop are set for Forward.
	To  gooseberrymast.Endpoint
	Hop gooseberrymast.Hop
	// Search is set with the first step of a search for the flow of a caller's packet: the
	// packet is to be kept (Steerer.Keep) until the search must have ended.
	Search uint32
	// CallerHeader is the caller's packet that Reset answers.
	CallerHeader gooseberrymast.PacketHeader
	// Reason is set for Drop and Reset, and for the walk of a flow whose recorded
	// owner is gone, or of which an earlier search was not answered.
	Reason Reason
}

const (
	// placeCandidates is the number of agents that a new flow is offered to:
	// enough that one of them takes it while the others leave or restart.
	placeCandidates = 4
	// maxChains bounds the chains of walks in progress at one balancer, and the walks that
	// wait for the store's entries.
	maxChains = 4096
	// walkTimeout is the time after which a walk is dropped: the longest
	// retransmission interval of a caller.
	walkTimeout = 1600 * time.Millisecond
)

// Steerer holds the state of one balancer's decisions. Its exported fields are
// set before use.
type Steerer struct {
	// Self is the balancer's endpoint among its peers.
	Self gooseberrymast.Endpoint
	// Zone is the balancer's availability zone.
	Zone string
	// Roster holds the reports of the peers.
	Roster *roster.Roster
	// Owners holds the known owners of flows.
	Owners *locator.Locator
	// Random breaks ties.
	Random *rand.Rand
	// PlacesByWork is set if new flows are placed by the expected work that agents report.
	PlacesByWork bool

	mu      sync.Mutex
	chooser chooser.Chooser
	// chains holds each chain that has not been answered, by its id.
	chains      map[uint32]chain
	lastChainID uint32
	// kept holds the packets whose searches have not ended.
	kept retainer.Retainer[*walk]
	// denied holds the walks that have found no holder and wait for the store's entries.
	denied []*walk
	// entriesAt is when the last complete read of the store's entries began.
	entriesAt time.Time
	// reporting and silent are reused buffers of candidates.
	reporting, silent []chooser.Candidate

	routesMu sync.RWMutex
	routes   *gooseberrymast.Routes
	// removed holds the addresses without a route that had one, with the epoch of
	// Owners that began when the route was removed.
	removed map[gooseberrymast.Endpoint]uint64
	// allowed holds, for each address, every service that its route has allowed
	// since the process started.
	allowed map[gooseberrymast.Endpoint][]string
	// evacuated are the zones that take no new flows.
	evacuated []string
}

// walk is the search for a flow's holder, along several chains of candidates or by a lookup
// balancer, or the offer of a new flow to one chain.
type walk struct {
	header        gooseberrymast.PacketHeader
	pendingChains int
	// definite is set while each agent that has answered did so definitely.
	definite bool
	started  time.Time
	// asked are the agents that were queried, with one that had returned the packet.
	asked []gooseberrymast.Endpoint
	// firstChain is the id of the first of chainCount chains; the others follow.
	firstChain, chainCount uint32
	// lookup is set if another balancer searches, which draws the conclusion.
	lookup bool
	// askedBy is the balancer that waits for the end of this search, and askedID the id of
	// its own; zero if none does.
	askedBy gooseberrymast.Endpoint
	askedID uint32
}

// chain is one chain of a walk. Each of its agents passes the packet on to the next one. As
// far as the balancer knows, their servers are of one service.
type chain struct {
	walk    *walk
	service string
	agents  []gooseberrymast.Endpoint
}

// SetRoutes applies routes unless those in force are newer, and reports whether it did.
func (s *Steerer) SetRoutes(newRoutes *gooseberrymast.Routes) bool {
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	if s.routes != nil && s.routes.Version.Newer(newRoutes.Version) {
		return false
	}
	if s.removed == nil {
		s.removed = map[gooseberrymast.Endpoint]uint64{}
	}
	if s.routes != nil {
		epoch := s.Owners.BeginEpoch()
		for address := range s.routes.ByAddress {
			if _, ok := newRoutes.ByAddress[address]; !ok {
				s.removed[address] = epoch
			}
		}
	}
	if s.allowed == nil {
		s.allowed = map[gooseberrymast.Endpoint][]string{}
	}
	for address, route := range newRoutes.ByAddress {
		delete(s.removed, address)
		for _, backend := range route.Backends {
			if !slices.Contains(s.allowed[address], backend.Service) {
				s.allowed[address] = append(s.allowed[address], backend.Service)
			}
		}
	}
	s.routes = newRoutes
	return true
}

func (s *Steerer) everAllowed(address gooseberrymast.Endpoint) []string {
	s.routesMu.RLock()
	defer s.routesMu.RUnlock()
	return s.allowed[address]
}

// Routes returns the routes in force, or nil.
func (s *Steerer) Routes() *gooseberrymast.Routes {
	s.routesMu.RLock()
	defer s.routesMu.RUnlock()
	return s.routes
}

// FromCaller decides on a packet that came from the network and appends the
// steps to take.
func (s *Steerer) FromCaller(steps []Step, header gooseberrymast.PacketHeader, now time.Time) []Step {
	key := header.FromCaller()
	routes := s.Routes()
	if routes == nil {
		return append(steps, Step{Action: Drop, Reason: ReasonNoDocument})
	}
	route, ok := routes.Lookup(key.Service)
	if !ok {
		return append(steps, s.handleUnrouted(header, now))
	}
	if header.Opens {
		return append(steps, s.placeFlow(header, route, routes, now))
	}
	hop := gooseberrymast.Hop{Mode: gooseberrymast.HopDeliver, Origin: s.Self, Version: routes.Version}
	if owner, found := s.Owners.Find(key, now); found {
		return s.deliver(steps, header, owner, hop, now)
	}
	for _, lookup := range locator.LookupBalancers(key, s.readyBalancers(now)) {
		if lookup != s.Self && !lookup.IsZero() {
			hop.Mode, hop.Initiator = gooseberrymast.HopLookup, s.Self
			hop.Walk = s.beginWalk(&walk{header: header, lookup: true, started: now}, []chain{{}}, now)
			return append(steps, Step{Action: Forward, To: lookup, Hop: hop, Search: hop.Walk})
		}
	}
	return s.walk(steps, header, hop, gooseberrymast.Endpoint{}, false, now)
}

// FromPeer decides on a packet that a peer sent and appends the steps to take.
func (s *Steerer) FromPeer(steps []Step, header gooseberrymast.PacketHeader, hop gooseberrymast.Hop,
	sender gooseberrymast.Endpoint, now time.Time) []Step {
	key := header.FromCaller()
	switch hop.Mode {
	case gooseberrymast.HopLookup:
		if owner, found := s.Owners.Find(key, now); found {
			hop.Mode, hop.NotifyOrigin = gooseberrymast.HopDeliver, true
			return s.deliver(steps, header, owner, hop, now)
		}
		return s.walk(steps, header, hop, gooseberrymast.Endpoint{}, false, now)
	case gooseberrymast.HopReturn:
		s.Owners.Forget(key, sender)
		s.endLookup(hop, key)
		return s.walk(steps, header, hop, sender, hop.Definite, now)
	case gooseberrymast.HopAbsent:
		return s.handleAbsent(steps, hop, now)
	}
	return steps
}

// handleUnrouted decides on a packet to an address that has no route. A flow that was
// known before its route was removed is reset.
func (s *Steerer) handleUnrouted(header gooseberrymast.PacketHeader, now time.Time) Step {
	s.routesMu.RLock()
	epoch, removed := s.removed[header.Destination]
	s.routesMu.RUnlock()
	switch {
	case header.Opens:
		return refuseOpening(header, ReasonNoRoute)
	case removed && s.Owners.RecordedBefore(header.FromCaller(), epoch, now):
		return Step{Action: Reset, CallerHeader: header, Reason: ReasonRouteRemoved}
	}
	// The flow may have been opened under a later document, which this balancer
	// doesn't have yet.
	return Step{Action: Drop, Reason: ReasonNoRoute}
}

// placeFlow chooses the agent for a new flow. A retransmitted opening packet goes
// to the agent of the first one where mayReuseOwner allows it.
func (s *Steerer) placeFlow(header gooseberrymast.PacketHeader, route gooseberrymast.Route,
	routes *gooseberrymast.Routes, now time.Time) Step {
	key := header.FromCaller()
	complete := s.Roster.IsComplete()
	s.mu.Lock()
	service, candidates := s.candidates(route, now)
	chosen := s.chooser.Choose(candidates, placeCandidates, route, s.Random)
	s.mu.Unlock()
	owner, owned := s.Owners.Find(key, now)
	if owned && s.mayReuseOwner(owner, header.Copy, now) {
		chosen = moveFirst(chosen, owner)
	}
	if len(chosen) == 0 {
		// An agent may be missing from an incomplete list of peers. A recorded owner in an
		// evacuated zone may hold the flow, so that the packet may be a duplicate.
		if !complete || owned && s.inEvacuatedZone(owner) {
			return Step{Action: Drop, Reason: ReasonNoAgent}
		}
		return refuseOpening(header, ReasonNoAgent)
	}
	s.Owners.Offer(key, chosen[0], now)
	hop := gooseberrymast.Hop{
		Mode:       gooseberrymast.HopPlace,
		Definite:   true,
		Origin:     s.Self,
		Version:    routes.Version,
		Service:    gooseberrymast.ServiceHash(service),
		Candidates: chosen[1:],
	}
	if header.Copy == 0 {
		hop.Initiator = s.Self
		hop.Walk = s.beginWalk(&walk{header: header, definite: true, started: now}, []chain{{agents: chosen}}, now)
	}
	return Step{Action: Forward, To: chosen[0], Hop: hop}
}

// refuseOpening returns the step for an opening packet that can't be served. Only the
// first one is answered by a reset: another balancer may have placed a copy, and the
// flow may be open when a later copy arrives.
func refuseOpening(header gooseberrymast.PacketHeader, reason Reason) Step {
	if header.Copy > 0 {
		return Step{Action: Drop, Reason: reason}
	}
	return Step{Action: Reset, CallerHeader: header, Reason: reason}
}

const (
	// lateReportAge is the age of the last report from which the next one is late.
	lateReportAge = 300 * time.Millisecond
	// rerouteFromCopy is the retransmission of an opening packet from which it
	// goes to another agent in any case: the first agent has not answered for
	// 600 ms.
	rerouteFromCopy = 2
)

// Placed returns the numbers of flows that were placed by the expected work of agents and
// by their counts.
func (s *Steerer) Placed() (byWork, byCount uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.PlacedByWork, s.chooser.PlacedByCount
}

// mayReuseOwner reports whether a retransmitted opening packet goes to the agent
// of the first one. An agent answers within milliseconds, so a retransmission
// suggests that it failed. If both agents answer after all, the flow opens at
// the one whose answer the caller acknowledges, and a walk finds it.
//
// An agent of an evacuated zone gets no opening packet, since it may not have taken the
// flow before. If it has, a walk finds it.
func (s *Steerer) mayReuseOwner(owner gooseberrymast.Endpoint, copyNumber int, now time.Time) bool {
	if s.inEvacuatedZone(owner) {
		return false
	}
	if copyNumber == 0 {
		return !s.gone(owner, now)
	}
	entry, known := s.Roster.Get(owner)
	return copyNumber < rerouteFromCopy && known && entry.Reporting(now) && entry.ReportAge(now) <= lateReportAge
}
