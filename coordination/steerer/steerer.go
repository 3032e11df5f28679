// Package steerer decides at a balancer where each packet of a flow goes.
//
// Load pattern: a fabric that hands any packet to any balancer, and a fleet
// that loses its memory at once while servers and callers keep their flows. A
// flow that nobody remembers is looked for by a walk over every agent that may
// hold it. A flow is reset only when each of these has said for certain that
// it doesn't hold it; then its caller learns at once what it would else learn
// at its deadline.
package steerer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/chooser"
	"gooseberrymast/coordination/locator"
	"gooseberrymast/state/roster"
)

// Action is what is done with a packet.
type Action uint8

// The actions of a step.
const (
	// Drop does nothing; the sender will send the packet again.
	Drop Action = iota
	// Forward sends the packet to a peer.
	Forward
	// Reset tells the caller that the flow is closed.
	Reset
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
	// ReasonNoAgent: no agent of the route's services takes new flows.
	ReasonNoAgent Reason = "no-agent"
	// ReasonNoHolder: every agent that may hold the flow has said that it
	// doesn't.
	ReasonNoHolder Reason = "no-holder"
	// ReasonOwnerGone: the agent that owned the flow is gone.
	ReasonOwnerGone Reason = "owner-gone"
	// ReasonHolderUnknown: the walk ended without a holder, and not every
	// agent has answered for certain.
	ReasonHolderUnknown Reason = "holder-unknown"
)

// Step is one thing to do with a packet.
type Step struct {
	Action Action
	// To and Hop are set for Forward.
	To  gooseberrymast.Endpoint
	Hop gooseberrymast.Hop
	// Of is the caller's packet that Reset answers.
	Of gooseberrymast.PacketHeader
	// Reason is set for Drop and Reset.
	Reason Reason
}

const (
	// placeCandidates is the number of agents that a new flow is offered to:
	// enough that one of them takes it while the others leave or restart.
	placeCandidates = 4
	// maxWalks bounds the walks in progress at one balancer.
	maxWalks = 4096
	// walkTimeout is the time after which a walk is forgotten: the longest
	// interval at which a caller sends a packet again.
	walkTimeout = 1600 * time.Millisecond
)

// Steerer holds the state of one balancer's decisions. Its exported fields are
// set before use.
type Steerer struct {
	// Self is the balancer's endpoint among its peers.
	Self gooseberrymast.Endpoint
	// Zone is the balancer's availability zone.
	Zone string
	// Started is when the balancer began to hear peers.
	Started time.Time
	// Roster knows the peers.
	Roster *roster.Roster
	// Owners remembers the owners of flows.
	Owners *locator.Locator
	// Random breaks ties.
	Random *rand.Rand

	mu      sync.Mutex
	chooser chooser.Chooser
	walks   map[uint32]walk
	serial  uint32
	// heard and others are scratch space of candidates.
	heard, others []chooser.Candidate

	routesMu sync.RWMutex
	routes   *gooseberrymast.Routes
	removed  map[gooseberrymast.Endpoint]struct{}
	// allowed are the services that each address's route has ever allowed, as
	// far as this process knows.
	allowed map[gooseberrymast.Endpoint][]string
}

// walk is the search for a flow's holder, in several chains of candidates.
type walk struct {
	of     gooseberrymast.PacketHeader
	chains int
	// definite is set while all agents that may hold the flow were asked and
	// have answered for certain.
	definite bool
	began    time.Time
}

// SetRoutes takes routes of a higher version and gives whether they were taken.
func (s *Steerer) SetRoutes(routes *gooseberrymast.Routes) bool {
	s.routesMu.Lock()
	defer s.routesMu.Unlock()
	if s.routes != nil && routes.Version <= s.routes.Version {
		return false
	}
	if s.removed == nil {
		s.removed = map[gooseberrymast.Endpoint]struct{}{}
	}
	if s.routes != nil {
		for address := range s.routes.ByAddress {
			if _, ok := routes.ByAddress[address]; !ok {
				s.removed[address] = struct{}{}
			}
		}
	}
	if s.allowed == nil {
		s.allowed = map[gooseberrymast.Endpoint][]string{}
	}
	for address, route := range routes.ByAddress {
		delete(s.removed, address)
		for _, backend := range route.Backends {
			if !slices.Contains(s.allowed[address], backend.Service) {
				s.allowed[address] = append(s.allowed[address], backend.Service)
			}
		}
	}
	s.routes = routes
	return true
}

func (s *Steerer) everAllowed(address gooseberrymast.Endpoint) []string {
	s.routesMu.RLock()
	defer s.routesMu.RUnlock()
	return s.allowed[address]
}

// Routes gives the routes in force, or nil.
func (s *Steerer) Routes() *gooseberrymast.Routes {
	s.routesMu.RLock()
	defer s.routesMu.RUnlock()
	return s.routes
}

// FromCaller decides on a packet that the fabric handed over, and appends what
// is to be done.
func (s *Steerer) FromCaller(steps []Step, header gooseberrymast.PacketHeader, now time.Time) []Step {
	key := header.FromCaller()
	routes := s.Routes()
	if routes == nil {
		return append(steps, Step{Action: Drop, Reason: ReasonNoDocument})
	}
	route, ok := routes.Lookup(key.Service)
	if !ok {
		return append(steps, s.unrouted(header))
	}
	if header.Opens {
		return append(steps, s.open(header, route, routes, now))
	}
	hop := gooseberrymast.Hop{Mode: gooseberrymast.HopDeliver, Origin: s.Self, Version: routes.Version}
	if owner, found := s.Owners.Find(key, now); found {
		return append(steps, s.deliver(header, owner, hop, now))
	}
	for _, place := range locator.PlacesOf(key, s.balancers(now)) {
		if place != s.Self && !place.IsZero() {
			hop.Mode = gooseberrymast.HopLookup
			return append(steps, Step{Action: Forward, To: place, Hop: hop})
		}
	}
	return s.walk(steps, header, hop, gooseberrymast.Endpoint{}, now)
}

// FromPeer decides on a packet that a peer sent.
func (s *Steerer) FromPeer(steps []Step, header gooseberrymast.PacketHeader, hop gooseberrymast.Hop,
	sender gooseberrymast.Endpoint, now time.Time) []Step {
	key := header.FromCaller()
	switch hop.Mode {
	case gooseberrymast.HopLookup:
		if owner, found := s.Owners.Find(key, now); found {
			hop.Mode, hop.Passed = gooseberrymast.HopDeliver, true
			return append(steps, s.deliver(header, owner, hop, now))
		}
		return s.walk(steps, header, hop, gooseberrymast.Endpoint{}, now)
	case gooseberrymast.HopReturn:
		s.Owners.Forget(key, sender)
		return s.walk(steps, header, hop, sender, now)
	case gooseberrymast.HopAbsent:
		return s.absent(steps, hop)
	}
	return steps
}

// deliver sends a packet to the owner of its flow. The flow of an owner that
// is taken as gone is reset, so that its caller need not wait for its deadline.
func (s *Steerer) deliver(header gooseberrymast.PacketHeader, owner gooseberrymast.Endpoint, hop gooseberrymast.Hop,
	now time.Time) Step {
	if s.gone(owner, now) {
		return Step{Action: Reset, Of: header, Reason: ReasonOwnerGone}
	}
	return Step{Action: Forward, To: owner, Hop: hop}
}

// unrouted decides on a packet to an address that has no route.
func (s *Steerer) unrouted(header gooseberrymast.PacketHeader) Step {
	s.routesMu.RLock()
	_, removed := s.removed[header.Destination]
	s.routesMu.RUnlock()
	switch {
	case header.Opens:
		return Step{Action: Reset, Of: header, Reason: ReasonNoRoute}
	case removed:
		return Step{Action: Reset, Of: header, Reason: ReasonRouteRemoved}
	}
	// The flow may have been opened by a later document than this one.
	return Step{Action: Drop, Reason: ReasonNoRoute}
}

// open places a new flow, or sends the copy of an opening packet where the
// first went.
func (s *Steerer) open(header gooseberrymast.PacketHeader, route gooseberrymast.Route,
	routes *gooseberrymast.Routes, now time.Time) Step {
	key := header.FromCaller()
	complete := s.Roster.IsComplete()
	s.mu.Lock()
	service, candidates := s.candidates(route, now)
	chosen := s.chooser.Choose(candidates, placeCandidates, !route.Idempotent, s.Random)
	s.mu.Unlock()
	if owner, found := s.Owners.Find(key, now); found && s.mayTake(owner, header.Copy, now) {
		chosen = moveFirst(chosen, owner)
	}
	if len(chosen) == 0 {
		if !complete {
			return Step{Action: Drop, Reason: ReasonNoAgent}
		}
		return Step{Action: Reset, Of: header, Reason: ReasonNoAgent}
	}
	s.Owners.Learn(key, chosen[0], now)
	return Step{Action: Forward, To: chosen[0], Hop: gooseberrymast.Hop{
		Mode:       gooseberrymast.HopPlace,
		Definite:   true,
		Origin:     s.Self,
		Version:    routes.Version,
		Service:    gooseberrymast.ServiceHash(service),
		Candidates: chosen[1:],
	}}
}

const (
	// lateReport is the age of a report that shows that the next one is late.
	lateReport = 300 * time.Millisecond
	// lastCopy is the copy of an opening packet that goes to another agent in
	// any case: the first has not answered for 600 ms.
	lastCopy = 2
)

// mayTake reports whether a copy of an opening packet goes where the first
// went. An agent answers within milliseconds, so a copy shows that it may have
// failed. If both answer after all, the flow opens where the caller
// acknowledges the answer, and a walk finds it.
func (s *Steerer) mayTake(owner gooseberrymast.Endpoint, copies int, now time.Time) bool {
	if copies == 0 {
		return !s.gone(owner, now)
	}
	entry, known := s.Roster.Get(owner)
	return copies < lastCopy && known && now.Sub(entry.Heard) <= lateReport
}

// candidates gives the agents that may take a new flow of a route, all of one
// service: that which the weights draw, or the next one that has any. Agents
// that were not heard lately are used only when none was.
func (s *Steerer) candidates(route gooseberrymast.Route, now time.Time) (string, []chooser.Candidate) {
	s.chooser.Zone = s.Zone
	first := s.drawService(route)
	for i := range route.Backends {
		service := route.Backends[(first+i)%len(route.Backends)].Service
		heard, others := s.heard[:0], s.others[:0]
		s.Roster.Each(func(entry roster.Entry) {
			if entry.Role != gooseberrymast.RoleAgent || entry.Service != service {
				return
			}
			candidate := chooser.Candidate{Endpoint: entry.Endpoint, Zone: entry.Zone, Load: entry.Load, Reported: entry.Heard}
			switch {
			case entry.Alive(now) && entry.State == gooseberrymast.StateReady:
				heard = append(heard, candidate)
			case !entry.Alive(now) && (entry.State == gooseberrymast.StateReady || entry.State == gooseberrymast.StateStarting):
				others = append(others, candidate)
			}
		})
		s.heard, s.others = heard, others
		if len(heard) > 0 {
			return service, heard
		}
		if len(others) > 0 {
			return service, others
		}
	}
	return "", nil
}

func (s *Steerer) drawService(route gooseberrymast.Route) int {
	var total uint32
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	if total == 0 {
		return 0
	}
	drawn := s.Random.Uint32N(total)
	for i, backend := range route.Backends {
		if drawn < backend.Weight {
			return i
		}
		drawn -= backend.Weight
	}
	return 0
}

// balancers gives the balancers at which flows are looked up, this one among
// them.
func (s *Steerer) balancers(now time.Time) []gooseberrymast.Endpoint {
	places := []gooseberrymast.Endpoint{s.Self}
	s.Roster.Each(func(entry roster.Entry) {
		if entry.Role == gooseberrymast.RoleBalancer && entry.State == gooseberrymast.StateReady && entry.Alive(now) {
			places = append(places, entry.Endpoint)
		}
	})
	return places
}

// moveFirst puts an endpoint first, whether or not it was among them.
func moveFirst(endpoints []gooseberrymast.Endpoint, first gooseberrymast.Endpoint) []gooseberrymast.Endpoint {
	moved := []gooseberrymast.Endpoint{first}
	for _, endpoint := range endpoints {
		if endpoint != first {
			moved = append(moved, endpoint)
		}
	}
	return moved
}
