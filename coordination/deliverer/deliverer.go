// Package deliverer decides at an agent what happens to each packet for its
// backend server. It is the last word before the server, however stale the
// balancer was that sent the packet.
//
// Load pattern: agents that restart while their servers keep their flows. An
// agent that doesn't know a flow gives the packet to its server, which returns
// what it doesn't hold, and learns the flows again from what the server sends.
package deliverer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// Action is what is done with a packet.
type Action uint8

// The actions of a step.
const (
	// Drop does nothing.
	Drop Action = iota
	// ToServer gives the packet to the backend server with Tag.
	ToServer
	// ToCaller sends the server's packet to its caller.
	ToCaller
	// Forward sends the packet to a peer.
	Forward
	// Reset tells the caller that the flow is closed.
	Reset
)

// Reason says why a packet doesn't reach the server.
type Reason string

// The reasons of steps.
const (
	// ReasonWrongService: the flow was placed at another service, or the
	// routes in force don't allow the server's service.
	ReasonWrongService Reason = "wrong-service"
	// ReasonNeverServed: the server has taken no flow of the address.
	ReasonNeverServed Reason = "never-served"
	// ReasonServerUnknown: the server has not announced itself yet.
	ReasonServerUnknown Reason = "server-unknown"
	// ReasonServerLeaving: the server takes no new flows.
	ReasonServerLeaving Reason = "server-leaving"
	// ReasonServerSilent: the server's announcements have stopped.
	ReasonServerSilent Reason = "server-silent"
	// ReasonServerGone: the server has ended.
	ReasonServerGone Reason = "server-gone"
	// ReasonAgentLeaving: the agent is being stopped.
	ReasonAgentLeaving Reason = "agent-leaving"
	// ReasonServerRefused: the server returned an opening packet.
	ReasonServerRefused Reason = "server-refused"
	// ReasonNotHeld: the server returned a packet of a flow that it doesn't
	// hold.
	ReasonNotHeld Reason = "not-held"
	// ReasonNoTry: a returned packet has no record of where it came from.
	ReasonNoTry Reason = "no-try"
)

// Step is what is to be done with a packet.
type Step struct {
	Action Action
	// Tag is written into a packet for the server.
	Tag uint32
	// To and Hop are set for Forward.
	To  gooseberrymast.Endpoint
	Hop gooseberrymast.Hop
	// Of is the caller's packet that Reset answers.
	Of gooseberrymast.PacketHeader
	// Tell is a balancer that should learn that this agent owns the flow.
	Tell gooseberrymast.Endpoint
	// Reason is set when the packet doesn't reach the server.
	Reason Reason
	// Event says what is worth a log line; it is empty for the packets of an
	// open flow.
	Event Event
	// Answered is set on the first packet of an answer, with the request.
	Answered bool
	Request  Request
}

// Event is what a step means for a flow.
type Event uint8

// The events of a flow.
const (
	// FlowTaken: a new flow was given to the server.
	FlowTaken Event = iota + 1
	// FlowTried: the server is given a packet of a flow that the agent
	// doesn't know.
	FlowTried
	// FlowLearned: the server sent a packet of a flow that the agent didn't
	// know.
	FlowLearned
	// RequestCut: the server ended a flow before it answered its request.
	RequestCut
)

// Request is a request that the server works on.
type Request struct {
	// ID is empty when the caller named none.
	ID string
	// Took is the time from the request's first packet to its answer's.
	Took time.Duration
}

const (
	// tries is the number of packets that are remembered until the server has
	// returned them; it returns a packet within a millisecond.
	tries = 4096
	// lingers is how long a closed flow is remembered: its ends may send
	// their last packets again, at intervals of 1.6 s at most.
	lingers = 4 * time.Second
	// forgets is how long an idle flow is remembered.
	forgets = 30 * time.Second
)

// Deliverer holds the state of one agent's decisions. Its exported fields are
// set before use.
type Deliverer struct {
	// Self is the agent's endpoint among its peers.
	Self gooseberrymast.Endpoint

	mu      sync.Mutex
	leaving bool
	flows   map[gooseberrymast.FlowKey]*flow
	tries   [tries]try
	serial  uint32
	open    int
	busy    int
	// served are the addresses whose flows the server has taken, and restored
	// is set once those of earlier incarnations of the agent are among them.
	served   map[gooseberrymast.Endpoint]struct{}
	restored bool
	// servedChanges counts the additions to served.
	servedChanges int
}

type flow struct {
	opened   time.Time
	used     time.Time
	finished time.Time
	// acked is what the caller acknowledged last.
	acked uint32
	// asked is the number behind the last byte that the caller sent.
	asked uint32
	// sent is the number behind the last byte that the server sent, and began
	// is set once it has sent anything.
	sent  uint32
	began bool
	// answered is set when the server has sent anything.
	answered bool
	busy     bool
	closed   bool
	// request and since are those of the work in progress.
	request string
	since   time.Time
	// tell is a balancer to be told once the server has answered.
	tell gooseberrymast.Endpoint
	// told are the places that know of the flow.
	told [2]gooseberrymast.Endpoint
}

// try is a packet that was given to the server.
type try struct {
	tag    uint32
	hop    gooseberrymast.Hop
	sender gooseberrymast.Endpoint
}

// Server is what the deliverer needs to know of the backend server.
type Server struct {
	Status  tracker.Status
	Service string
}

// Leave makes the agent refuse new flows.
func (d *Deliverer) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// Lost forgets all flows, since the server has ended or is a new incarnation
// that holds none. It gives the packets by which the callers of open flows are
// told, so that they need not find out with their next request.
func (d *Deliverer) Lost() []gooseberrymast.PacketHeader {
	d.mu.Lock()
	defer d.mu.Unlock()
	var open []gooseberrymast.PacketHeader
	for key, known := range d.flows {
		if !known.closed && known.answered {
			open = append(open, gooseberrymast.PacketHeader{
				Source: key.Caller, Destination: key.Service, Acknowledgement: known.acked,
			})
		}
	}
	d.flows = nil
	d.open, d.busy = 0, 0
	return open
}

// unansweredAfter is the time after which a server that has not answered an
// opening packet may be dead: it answers within a few milliseconds.
const unansweredAfter = 100 * time.Millisecond

// Unanswered reports whether the server has left an opening packet without an
// answer for too long.
func (d *Deliverer) Unanswered(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, known := range d.flows {
		if !known.answered && now.Sub(known.opened) > unansweredAfter {
			return true
		}
	}
	return false
}

// FromPeer decides on a packet that a peer sent.
func (d *Deliverer) FromPeer(header gooseberrymast.PacketHeader, hop gooseberrymast.Hop,
	sender gooseberrymast.Endpoint, server Server, routes *gooseberrymast.Routes, now time.Time) Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := header.FromCaller()
	if known := d.flows[key]; known != nil && server.Status != tracker.Gone {
		return d.deliver(known, header, hop, sender, now)
	}
	if header.Opens {
		if reason, definite := d.refuses(hop, key, server, routes); reason != "" {
			return d.pass(header, hop, reason, definite)
		}
		known := d.add(key, now)
		if hop.Passed {
			known.tell = hop.Origin
		}
		step := d.deliver(known, header, hop, sender, now)
		step.Event = FlowTaken
		return step
	}
	if server.Status == tracker.Gone {
		return d.notHeld(header, hop, ReasonServerGone, true)
	}
	if hop.Mode == gooseberrymast.HopWalk && !d.mayHold(key, server.Service, routes) {
		return d.notHeld(header, hop, ReasonNeverServed, d.restored)
	}
	return Step{Action: ToServer, Tag: d.remember(hop, sender), Event: FlowTried}
}

// Begin names the request that a caller's packet begins. It is called before
// the packet is decided on.
func (d *Deliverer) Begin(key gooseberrymast.FlowKey, request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.flows[key]; known != nil && (!known.busy || known.request == "") {
		known.request = request
	}
}

// Returned decides on a packet that the server gave back.
func (d *Deliverer) Returned(header gooseberrymast.PacketHeader, now time.Time) Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := header.FromCaller()
	if known := d.flows[key]; known != nil && (!header.Opens || !known.answered) {
		d.drop(key, known)
	}
	found := d.tries[header.Tag%tries]
	if found.tag != header.Tag || found.tag == 0 {
		return Step{Action: Drop, Reason: ReasonNoTry}
	}
	d.tries[header.Tag%tries] = try{}
	if header.Opens {
		return d.pass(header, found.hop, ReasonServerRefused, true)
	}
	return d.notHeld(header, found.hop, ReasonNotHeld, true)
}

// FromServer decides on a packet that the server sends to a caller.
func (d *Deliverer) FromServer(header gooseberrymast.PacketHeader, now time.Time) Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := header.FromServer()
	known := d.flows[key]
	var learned Event
	if known == nil {
		if header.Resets || header.Finishes {
			return Step{Action: ToCaller}
		}
		known = d.add(key, now)
		learned = FlowLearned
	}
	known.used = now
	step := Step{Action: ToCaller, Event: learned}
	if !known.answered {
		known.answered = true
		step.Tell = known.tell
	}
	if known.busy && (header.Payload > 0 || header.Finishes || header.Resets) {
		d.setBusy(known, false)
		step.Request = Request{ID: known.request, Took: now.Sub(known.since)}
		// The end of a flow may overtake the answer before it; then its number
		// is beyond what the server has sent.
		step.Answered = header.Payload > 0 || !header.Resets && int32(header.Sequence-known.sent) > 0
		if !step.Answered {
			step.Event = RequestCut
		}
		known.request = ""
	}
	if end := header.Sequence + uint32(header.Payload); int32(end-known.sent) > 0 || known.sent == 0 {
		known.sent = end
		if header.Acknowledges && header.Payload == 0 && !header.Finishes && !known.began {
			// The answer to an opening packet takes one number itself.
			known.sent++
		}
		known.began = true
	}
	if (header.Resets || header.Finishes) && !known.closed {
		known.closed, known.finished = true, now
		d.open--
	}
	return step
}

// mayHold reports whether the server may hold a flow that the agent doesn't
// know: it has taken flows of the address, under this incarnation of the agent
// or an earlier one. While the earlier ones are not known, the routes decide.
func (d *Deliverer) mayHold(key gooseberrymast.FlowKey, service string, routes *gooseberrymast.Routes) bool {
	if _, served := d.served[key.Service]; served {
		return true
	}
	return !d.restored && allowed(routes, key, service)
}

// deliver gives the server a packet of a known flow.
func (d *Deliverer) deliver(known *flow, header gooseberrymast.PacketHeader, hop gooseberrymast.Hop,
	sender gooseberrymast.Endpoint, now time.Time) Step {
	known.used = now
	if !header.Opens {
		known.acked = header.Acknowledgement
	}
	if header.Payload > 0 {
		end := header.Sequence + uint32(header.Payload)
		// Sequence numbers wrap, so their difference is compared.
		if known.asked == 0 || int32(end-known.asked) > 0 {
			known.asked = end
			if !known.busy && !known.closed {
				known.since = now
				d.setBusy(known, true)
			}
		}
	}
	step := Step{Action: ToServer, Tag: d.remember(hop, sender)}
	if hop.Passed && known.answered {
		step.Tell = hop.Origin
	}
	return step
}

// refuses gives the reason for which a new flow is not taken, and whether the
// server has certainly not seen it and won't take it a moment later.
func (d *Deliverer) refuses(hop gooseberrymast.Hop, key gooseberrymast.FlowKey, server Server,
	routes *gooseberrymast.Routes) (reason Reason, definite bool) {
	switch {
	case server.Status == tracker.Unknown:
		return ReasonServerUnknown, false
	case server.Status == tracker.Silent:
		return ReasonServerSilent, false
	case server.Status == tracker.Gone:
		return ReasonServerGone, true
	case server.Status == tracker.Leaving:
		return ReasonServerLeaving, true
	case d.leaving:
		return ReasonAgentLeaving, true
	case hop.Service != gooseberrymast.ServiceHash(server.Service):
		return ReasonWrongService, false
	}
	if routes != nil && routes.Version >= hop.Version && !allowed(routes, key, server.Service) {
		return ReasonWrongService, true
	}
	return "", true
}

func allowed(routes *gooseberrymast.Routes, key gooseberrymast.FlowKey, service string) bool {
	route, ok := routes.Lookup(key.Service)
	return ok && route.Allows(service)
}

// pass gives a new flow to the next candidate, or ends its opening.
func (d *Deliverer) pass(header gooseberrymast.PacketHeader, hop gooseberrymast.Hop, reason Reason, definite bool) Step {
	hop.Definite = hop.Definite && definite
	hop.Passed = true
	if len(hop.Candidates) > 0 {
		next := hop.Candidates[0]
		hop.Candidates = hop.Candidates[1:]
		return Step{Action: Forward, To: next, Hop: hop, Reason: reason}
	}
	if hop.Definite {
		return Step{Action: Reset, Of: header, Reason: reason}
	}
	return Step{Action: Drop, Reason: reason}
}

// notHeld answers that the server doesn't hold a flow.
func (d *Deliverer) notHeld(header gooseberrymast.PacketHeader, hop gooseberrymast.Hop, reason Reason, definite bool) Step {
	hop.Definite = hop.Definite && definite
	if hop.Mode == gooseberrymast.HopDeliver || hop.Mode == gooseberrymast.HopPlace {
		hop.Mode, hop.Definite = gooseberrymast.HopReturn, definite
		return Step{Action: Forward, To: hop.Origin, Hop: hop, Reason: reason}
	}
	if len(hop.Candidates) > 0 {
		next := hop.Candidates[0]
		hop.Candidates = hop.Candidates[1:]
		return Step{Action: Forward, To: next, Hop: hop, Reason: reason}
	}
	hop.Mode = gooseberrymast.HopAbsent
	return Step{Action: Forward, To: hop.Initiator, Hop: hop, Reason: reason}
}

// remember keeps where a packet came from until the server returns it.
func (d *Deliverer) remember(hop gooseberrymast.Hop, sender gooseberrymast.Endpoint) uint32 {
	d.serial++
	if d.serial == 0 {
		d.serial++
	}
	d.tries[d.serial%tries] = try{tag: d.serial, hop: hop, sender: sender}
	return d.serial
}

func (d *Deliverer) add(key gooseberrymast.FlowKey, now time.Time) *flow {
	if d.flows == nil {
		d.flows = map[gooseberrymast.FlowKey]*flow{}
	}
	d.serve(key.Service)
	added := &flow{opened: now, used: now}
	d.flows[key] = added
	d.open++
	return added
}

func (d *Deliverer) serve(address gooseberrymast.Endpoint) {
	if d.served == nil {
		d.served = map[gooseberrymast.Endpoint]struct{}{}
	}
	if _, known := d.served[address]; !known {
		d.served[address] = struct{}{}
		d.servedChanges++
	}
}

// ServedChanges counts the changes of the addresses that the server has served.
func (d *Deliverer) ServedChanges() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servedChanges
}

// Restore adds the addresses that an earlier incarnation of the agent served.
func (d *Deliverer) Restore(addresses []gooseberrymast.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		d.serve(address)
	}
	d.restored = true
}

// Served gives the addresses whose flows the server has taken.
func (d *Deliverer) Served() []gooseberrymast.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	served := slices.Collect(maps.Keys(d.served))
	slices.SortFunc(served, gooseberrymast.Endpoint.Compare)
	return served
}

func (d *Deliverer) drop(key gooseberrymast.FlowKey, known *flow) {
	d.setBusy(known, false)
	if !known.closed {
		d.open--
	}
	delete(d.flows, key)
}

func (d *Deliverer) setBusy(known *flow, busy bool) {
	if known.busy == busy {
		return
	}
	known.busy = busy
	if busy {
		d.busy++
	} else {
		d.busy--
	}
}
