// Package deliverer decides at an agent what happens to each packet for its
// backend server. Its decision is final, however outdated the state of the
// balancer that sent the packet.
//
// Load pattern: agents that restart while their servers keep their flows. An
// agent passes a packet of an unknown flow to its server, which returns packets
// of flows that it doesn't hold, and records the flows again from the packets
// that the server sends.
//
// Load pattern: a peak load at which many balancers place flows by reports of the
// same age. Only the agent has the number of requests that its server works on
// at the moment, so an agent whose server is full passes a new flow on to the
// next candidate. The last candidate takes it.
//
// Load pattern: servers that crash, hang or are cut off while packets are on their way
// through their agents. A packet that the server neither returns nor answers is passed on.
package deliverer

import (
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/predictor"
	"gooseberrymast/coordination/retainer"
	"gooseberrymast/coordination/tracker"
)

const (
	// maxPending is the number of packets that are recorded until the server may
	// have returned them; it returns a packet within a millisecond.
	maxPending = 4096
	// closedFlowTimeout is how long a flow that both ends have closed is kept: they
	// may retransmit their last packets, at intervals of 1.6 s at most.
	closedFlowTimeout = 4 * time.Second
)

// Deliverer holds the state of one agent's decisions. The zero value is ready.
type Deliverer struct {
	// Gates restrict which new flows are taken, in the order in which they are asked.
	// They are set before use and called under the deliverer's lock.
	Gates []gooseberrymast.FlowGate
	// Admission is asked after Gates while Server.Admission is set, and then decides when
	// a server is full. Nil: no flow is held, and the last candidate takes every flow.
	Admission gooseberrymast.AdmissionGate
	// ZoneOf returns the availability zone of a balancer, or "". Nil knows none.
	ZoneOf func(balancer gooseberrymast.Endpoint) string
	// Work is told of the flows and requests, under the deliverer's lock; nil if nothing
	// needs it. It is set before use.
	Work *predictor.Predictor
	// MaxFlowAge is the age from which a server may discard a flow; zero means
	// gooseberrymast.DefaultMaxFlowAge. It is set before use.
	MaxFlowAge time.Duration
	// MaxFlows bounds the flows that are kept; zero means defaultMaxFlows. It is set
	// before use.
	MaxFlows int
	// RefuseFullDefinitely lets the caller of a flow be reset if all candidates are full
	// or refuse it otherwise, instead of being left to retransmit. It is set before use.
	RefuseFullDefinitely bool

	mu        sync.Mutex
	leaving   bool
	flows     map[gooseberrymast.FlowKey]*flow
	pending   [maxPending]pendingPacket
	lastTag   uint32
	openFlows int
	busyFlows int
	// idleTimeout is that of the document in force; zero while it is unknown.
	idleTimeout time.Duration
	// incompleteUntil is until when the server may hold a flow that was evicted.
	incompleteUntil time.Time
	// answers counts the flows that the server has accepted. Those up to ownAnswers
	// were accepted by the incarnation that announced itself last, or before it;
	// announcedAnswers is the count at its last announcement.
	answers, ownAnswers, announcedAnswers uint64
	// served holds the addresses whose flows the server has taken, and restored
	// is set once it includes those of earlier incarnations of the agent.
	served   map[gooseberrymast.Endpoint]struct{}
	restored bool
	// recorded holds the addresses that the agent's entry in the store names, or
	// will once its write in progress succeeds. servedChanges counts the addresses
	// of served that it lacked, and the calls of ClearServed.
	recorded      map[gooseberrymast.Endpoint]struct{}
	servedChanges int
	// stored holds the addresses that the entry is certain to name, once entryKnown is
	// set: the agent has read or written it, with the times from which flows of them may be
	// taken. wanted holds those of refused flows that it lacks.
	stored     map[gooseberrymast.Endpoint]time.Time
	wanted     map[gooseberrymast.Endpoint]struct{}
	entryKnown bool
	// firstRoutes are the first ones that the agent has put in force.
	firstRoutes *gooseberrymast.Routes
	// refused holds new flows that could be taken a moment later.
	refused refusals
	// heard counts the packets that the server has sent. silent is set while it has sent
	// none since it left one unanswered.
	heard  uint64
	silent bool
	// kept holds the packets that the server may return.
	kept retainer.Retainer[handed]
}

// pendingPacket holds the tag and the hop of a packet that was sent to the server.
type pendingPacket struct {
	tag uint32
	hop gooseberrymast.Hop
}

// Server is the state of the backend server on which decisions depend.
type Server struct {
	Status  tracker.Status
	Service string
	// Slots is the number of requests that the server runs at once; zero while
	// it is unknown.
	Slots int
	// Admission is set while the deliverer's admission gate is in force at the server.
	Admission bool
	// Complete is set when the agent has seen every packet of the server's
	// incarnation, so that it holds all of its flows, except those evicted.
	Complete bool
	// Evacuated is set while the agent's zone is evacuated, and EvacuationUnknown while
	// an agent that has just started doesn't know whether it is.
	Evacuated         bool
	EvacuationUnknown bool
}

// answers reports whether the server is known to run, so that it returns packets of flows
// that it doesn't hold.
func (s Server) answers() bool {
	return s.Status == tracker.Ready || s.Status == tracker.Leaving || s.Status == tracker.Introduced
}

// Leave makes the agent refuse new flows.
func (d *Deliverer) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// FromPeer decides on a packet that a peer sent.
func (d *Deliverer) FromPeer(header gooseberrymast.PacketHeader, hop gooseberrymast.Hop, server Server,
	routes *gooseberrymast.Routes, now time.Time) Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := header.FromCaller()
	f := d.flows[key]
	if f != nil && f.closed && header.Opens && header.Copy == 0 {
		// The caller uses the port of a closed flow for a new one.
		d.dropFlow(key, f)
		f = nil
	}
	if f != nil && server.Status != tracker.Gone {
		if d.unresponsive(f, header, hop, now) {
			return d.passOn(hop, ReasonServerUnresponsive, false)
		}
		return d.deliver(f, header, hop, now)
	}
	if header.Opens {
		if reason, definite := d.refusal(hop, key, server, routes, now); reason != "" {
			return d.passOn(hop, reason, definite)
		}
		if d.unresponsive(nil, header, hop, now) {
			return d.passOn(hop, ReasonServerUnresponsive, false)
		}
		offer := d.flowOffer(header, hop, server, routes)
		if header.Copy == 0 && d.refused.has(key, now) {
			return d.passOn(hop, ReasonRefusedBefore, true)
		}
		if !d.admits(server) && d.full(hop, server) {
			return d.passOn(hop, ReasonServerFull, d.RefuseFullDefinitely && d.refused.add(key, now))
		}
		if decision := askGates(d.gates(server), offer, now); decision.Verdict != gooseberrymast.GateAdmit {
			return d.passOn(hop, Reason(decision.Reason), decision.Definite && d.refused.add(key, now))
		}
		return d.take(offer, header, hop, server, now)
	}
	if server.Status == tracker.Gone {
		return d.answerNotHeld(header, hop, ReasonServerGone, true)
	}
	complete := server.Complete && !now.Before(d.incompleteUntil)
	if hop.Mode == gooseberrymast.HopWalk && complete {
		return d.answerNotHeld(header, hop, ReasonNotHeld, true)
	}
	if !d.mayHold(key, server.Service, routes) {
		// The balancer knows another service here: the instance was given to this one since,
		// and its server holds no flow of the other's addresses.
		if hop.Service != 0 && server.Service != "" && hop.Service != gooseberrymast.ServiceHash(server.Service) {
			return d.answerNotHeld(header, hop, ReasonWrongService, false)
		}
		// An earlier agent may have taken flows that it couldn't record, so that the lack
		// of a record is no proof, and the server is asked.
		if hop.Mode == gooseberrymast.HopWalk && !server.answers() {
			return d.answerNotHeld(header, hop, ReasonNeverServed, false)
		}
		// A balancer may have recorded the agent as the owner before its instance became
		// one of another service.
		if hop.Mode != gooseberrymast.HopWalk && (d.restored || server.Complete) && routes != nil {
			return d.answerNotHeld(header, hop, ReasonNeverServed, complete)
		}
	}
	return Step{Action: ToServer, Tag: d.recordPending(hop), Event: FlowTried, Keep: true}
}

// SetRequestID sets the id of the request that a caller's packet begins. It is called
// before FromPeer decides on the packet.
func (d *Deliverer) SetRequestID(key gooseberrymast.FlowKey, request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.flows[key]; f != nil && (!f.busy || f.requestID == "") {
		f.requestID = request
	}
}

// HandleReturned decides on a packet that the server returned.
func (d *Deliverer) HandleReturned(header gooseberrymast.PacketHeader, now time.Time) Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hear()
	key := header.FromCaller()
	forgotten := false
	if f := d.flows[key]; f != nil && (!header.Opens || !f.answered) {
		forgotten = f.opened && f.answered && !f.closed && !f.ended
		d.dropFlow(key, f)
	}
	step := d.passOnReturned(header)
	step.Forgotten = forgotten
	return step
}

// passOnReturned decides where a packet goes that the server has returned.
func (d *Deliverer) passOnReturned(header gooseberrymast.PacketHeader) Step {
	found := d.pending[header.Tag%maxPending]
	if found.tag != header.Tag || found.tag == 0 {
		return Step{Action: Drop, Reason: ReasonNoTry}
	}
	d.pending[header.Tag%maxPending] = pendingPacket{}
	if header.Opens {
		return d.passOn(found.hop, ReasonServerRefused, true)
	}
	return d.answerNotHeld(header, found.hop, ReasonNotHeld, true)
}

// FromServer decides on a packet that the server sends to a caller.
func (d *Deliverer) FromServer(header gooseberrymast.PacketHeader, now time.Time) Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hear()
	key := header.FromServer()
	f := d.flows[key]
	var event Event
	if f == nil {
		if header.Resets || header.Finishes {
			return Step{Action: ToCaller}
		}
		f = d.addFlow(key, now)
		event = FlowLearned
		tried, _ := d.kept.Find(func(value handed) bool { return value.header.FromCaller() == key })
		f.notify = tried.origin
	}
	f.lastUsed = now
	d.attribute(f, header)
	f.opened = f.opened || header.Payload > 0
	if header.Acknowledges && header.Acknowledgement != 0 && f.precedes(header.Acknowledgement) {
		// Caller's packets up to there are copies, though the agent may not have seen them.
		f.callerEnd = header.Acknowledgement
	}
	step := Step{Action: ToCaller, Event: event}
	if !f.answered {
		f.answered = true
		step.Notify = f.notify
	}
	if f.busy && (header.Payload > 0 || header.Finishes || header.Resets) {
		step.Request = d.endRequest(f, true, now)
		// The end of a flow may overtake the answer before it; then its sequence
		// number is beyond what the server has sent.
		step.Answered = header.Payload > 0 || !header.Resets && int32(header.Sequence-f.serverEnd) > 0
		if !step.Answered {
			step.Event = RequestCut
		}
	}
	if end := header.Sequence + uint32(header.Payload); int32(end-f.serverEnd) > 0 || f.serverEnd == 0 {
		f.serverEnd = end
		if header.Acknowledges && header.Payload == 0 && !header.Finishes && !f.serverBegan {
			// The answer to an opening packet takes one sequence number itself.
			f.serverEnd++
		}
		f.serverBegan = true
	}
	f.ended = f.ended || header.Resets
	if (header.Resets || header.Finishes) && !f.closed {
		f.closed = true
		d.openFlows--
		if d.Admission != nil {
			d.Admission.FlowClosed(key)
		}
		d.Work.Close(&f.work, now)
	}
	return step
}

// mayHold reports whether the server may hold a flow that the agent doesn't: it has
// taken flows of the address, under this incarnation of the agent or an earlier one, or
// the routes allow it.
func (d *Deliverer) mayHold(key gooseberrymast.FlowKey, service string, routes *gooseberrymast.Routes) bool {
	if _, served := d.served[key.Service]; served {
		return true
	}
	return routeAllows(routes, key, service)
}

// deliver decides on a packet of a known flow: it goes to the server.
func (d *Deliverer) deliver(f *flow, header gooseberrymast.PacketHeader, hop gooseberrymast.Hop, now time.Time) Step {
	f.lastUsed = now
	f.ended = f.ended || header.Resets || header.Finishes
	if !header.Opens {
		f.lastAck = header.Acknowledgement
		f.opened = f.opened || f.acknowledges(header)
	}
	if header.Payload > 0 {
		end := header.Sequence + uint32(header.Payload)
		if f.precedes(end) {
			f.callerEnd = end
			if !f.busy && !f.closed {
				f.busySince = now
				d.setBusy(f, true)
				if d.Admission != nil {
					d.Admission.RequestBegan(header.FromCaller())
				}
				d.Work.Begin(&f.work, now)
				d.observeRequest(f, now)
			}
		}
	}
	// A server that has only answered the opening may not hold the flow: another one may
	// have answered a copy.
	step := Step{Action: ToServer, Tag: d.recordPending(hop), Keep: !header.Opens && !f.opened}
	if hop.NotifyOrigin && f.answered && (f.opened || header.Opens) {
		step.Notify = hop.Origin
	}
	if f.busy && (header.Resets || header.Finishes) {
		step.Event, step.Request = RequestAbandoned, d.endRequest(f, false, now)
	}
	return step
}

// endRequest ends the request in progress of a flow and returns it. finished is false if
// the server may still work on it.
func (d *Deliverer) endRequest(f *flow, finished bool, now time.Time) Request {
	d.setBusy(f, false)
	ended := Request{ID: f.requestID, Duration: now.Sub(f.busySince), SlotTime: d.Work.End(&f.work, finished, now)}
	f.requestID = ""
	return ended
}

// passOn forwards a new flow to the next candidate, or ends its opening: the balancer
// that placed it decides whether the flow may be reset, since a copy of the opening
// packet may have opened it elsewhere.
func (d *Deliverer) passOn(hop gooseberrymast.Hop, reason Reason, definite bool) Step {
	hop.Definite = hop.Definite && definite
	hop.NotifyOrigin = true
	if len(hop.Candidates) > 0 {
		next := hop.Candidates[0]
		hop.Candidates = hop.Candidates[1:]
		return Step{Action: Forward, To: next, Hop: hop, Reason: reason}
	}
	if hop.Definite && !hop.Initiator.IsZero() {
		hop.Mode = gooseberrymast.HopAbsent
		return Step{Action: Forward, To: hop.Initiator, Hop: hop, Reason: reason}
	}
	return Step{Action: Drop, Reason: reason}
}

// answerNotHeld answers or continues the search for the holder of a flow that
// the server doesn't hold.
func (d *Deliverer) answerNotHeld(header gooseberrymast.PacketHeader, hop gooseberrymast.Hop, reason Reason, definite bool) Step {
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
