// Package deliverer decides at an agent what happens to each packet for its
// backend server. It is the last word before the server, however stale the
// balancer was that sent the packet.
//
// Load pattern: agents that restart while their servers keep their flows. An
// agent that doesn't know a flow gives the packet to its server, which returns
// what it doesn't hold, and learns the flows again from what the server sends.
//
// Load pattern: a crest at which many balancers place flows by reports that are
// all equally old. The agent alone knows what its server works on at the moment,
// so one whose server is full passes a new flow on to the next candidate. The
// last candidate takes it.
package deliverer

import (
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

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

// Deliverer holds the state of one agent's decisions. The zero value is ready.
type Deliverer struct {
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

// try is a packet that was given to the server.
type try struct {
	tag uint32
	hop gooseberrymast.Hop
}

// Server is what the deliverer needs to know of the backend server.
type Server struct {
	Status  tracker.Status
	Service string
	// Slots is the number of requests that the server runs at once; zero while
	// it is unknown.
	Slots int
	// Complete is set when the agent has seen every packet of the server's
	// incarnation, so that it knows all of its flows.
	Complete bool
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
func (d *Deliverer) FromPeer(header gooseberrymast.PacketHeader, hop gooseberrymast.Hop, server Server,
	routes *gooseberrymast.Routes, now time.Time) Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := header.FromCaller()
	if known := d.flows[key]; known != nil && server.Status != tracker.Gone {
		return d.deliver(known, header, hop, now)
	}
	if header.Opens {
		if reason, definite := d.refuses(hop, key, server, routes); reason != "" {
			return d.pass(header, hop, reason, definite)
		}
		known := d.add(key, now)
		if hop.Passed {
			known.tell = hop.Origin
		}
		step := d.deliver(known, header, hop, now)
		step.Event = FlowTaken
		return step
	}
	if server.Status == tracker.Gone {
		return d.notHeld(header, hop, ReasonServerGone, true)
	}
	if hop.Mode == gooseberrymast.HopWalk && server.Complete {
		return d.notHeld(header, hop, ReasonNotHeld, true)
	}
	if hop.Mode == gooseberrymast.HopWalk && !d.mayHold(key, server.Service, routes) {
		return d.notHeld(header, hop, ReasonNeverServed, d.restored)
	}
	return Step{Action: ToServer, Tag: d.remember(hop), Event: FlowTried}
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
		step.Request = d.end(known, now)
		// The end of a flow may overtake the answer before it; then its number
		// is beyond what the server has sent.
		step.Answered = header.Payload > 0 || !header.Resets && int32(header.Sequence-known.sent) > 0
		if !step.Answered {
			step.Event = RequestCut
		}
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
func (d *Deliverer) deliver(known *flow, header gooseberrymast.PacketHeader, hop gooseberrymast.Hop, now time.Time) Step {
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
	step := Step{Action: ToServer, Tag: d.remember(hop)}
	if hop.Passed && known.answered {
		step.Tell = hop.Origin
	}
	if known.busy && (header.Resets || header.Finishes) {
		step.Event, step.Request = RequestAbandoned, d.end(known, now)
	}
	return step
}

// end ends the work in progress of a flow.
func (d *Deliverer) end(known *flow, now time.Time) Request {
	d.setBusy(known, false)
	ended := Request{ID: known.request, Took: now.Sub(known.since)}
	known.request = ""
	return ended
}

// fullTimes is the work in progress, in times of a server's slots, from which
// a new flow is passed on: its request would wait for a whole service time.
const fullTimes = 2

// Full reports whether a server with so many requests in progress takes a new
// flow only when nobody else does.
func Full(inProgress, slots int) bool {
	return slots > 0 && inProgress >= fullTimes*slots
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
	if len(hop.Candidates) > 0 && Full(d.busy, server.Slots) {
		return ReasonServerFull, false
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
