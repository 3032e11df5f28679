package soaker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"gooseberrymast"
)

// Promise is one thing that must hold all the time.
type Promise string

// The promises that are checked.
const (
	// PromiseService: no packet reaches a server of a service that no document
	// ever allowed for the packet's address.
	PromiseService Promise = "misdelivered"
	// PromiseOnce: a request that may not run twice runs once at most. Callers try
	// it again only after an opening that failed, so that this covers untrue
	// words that it has not run.
	PromiseOnce Promise = "run-twice"
	// PromiseFlow: nobody but its server resets an open flow.
	PromiseFlow Promise = "flow-cut"
	// PromiseOwner: the packets of an open flow don't keep going elsewhere.
	PromiseOwner Promise = "flow-strayed"
	// PromiseAnswer: a caller gets the whole answer to its own request.
	PromiseAnswer Promise = "answer-wrong"
	// PromiseLeaving: a leaving server takes no new flow after the drain time.
	PromiseLeaving Promise = "flow-at-leaving-server"
	// PromiseDocument: a document is in force within its time.
	PromiseDocument Promise = "document-late"
	// PromiseForward: a process never goes back to an earlier document.
	PromiseForward Promise = "document-went-back"
	// PromiseRecovery: service is back after the faults.
	PromiseRecovery Promise = "not-recovered"
	// PromiseExit: no process ends by itself.
	PromiseExit Promise = "exited-by-itself"
	// PromiseBounded: descriptors and memory stay within their bounds.
	PromiseBounded Promise = "resources"
)

// The bounds of the promises, as the users' sheets give them.
const (
	// settledAfter is how long a machine must have been left alone to be held
	// to bounds of time.
	settledAfter = 4 * time.Second
	// appliedWithin is the time in which a document must be in force.
	appliedWithin = 3 * time.Second
	// drainedWithin is the time after which a leaving server takes no new flow.
	drainedWithin = 3 * time.Second
	// strayFor and strayPackets tell a flow that strays from one whose packets
	// were reordered.
	strayFor     = 2 * time.Second
	strayPackets = 3
	// flowLife is the age beyond which a flow may be discarded.
	flowLife = 60 * time.Second
	// idleLife is the time without a packet after which a flow may be discarded.
	idleLife = 12 * time.Second
	// recoveredShare is the share of requests that must be served again.
	recoveredShare = 0.25
)

// storeName stands for the store among the machines.
const storeName = "store"

// Violation is a promise that was broken.
type Violation struct {
	Promise Promise   `json:"promise"`
	At      time.Time `json:"at"`
	What    string    `json:"what"`
}

// Checker judges what callers and servers see. It has no sockets and reads no
// clock. The zero value is ready.
type Checker struct {
	mu         sync.Mutex
	documents  []documentFact
	ever       map[gooseberrymast.Endpoint][]string
	runs       map[string]int
	flows      map[gooseberrymast.FlowKey]*flowFact
	disturbed  map[string][]*span
	versions   map[string]uint64
	violations []Violation
}

// documentFact is a document that the store has acknowledged.
type documentFact struct {
	at     time.Time
	routes map[gooseberrymast.Endpoint][]string
}

// span is a time in which a machine was disturbed; to is zero while it is.
type span struct {
	from, to time.Time
	planned  bool
}

// flowFact is what is known of a flow.
type flowFact struct {
	sent     []time.Time
	balancer string
	server   string
	agent    string
	opened   time.Time
	used     time.Time
	// ended is set once the flow's end at the caller or the server is known.
	ended   bool
	strays  int
	strayed time.Time
}

// Document records that the store acknowledged a document.
func (c *Checker) Document(routes map[gooseberrymast.Endpoint][]string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents = append(c.documents, documentFact{at: at, routes: routes})
	if c.ever == nil {
		c.ever = map[gooseberrymast.Endpoint][]string{}
	}
	for address, services := range routes {
		for _, service := range services {
			if !slices.Contains(c.ever[address], service) {
				c.ever[address] = append(c.ever[address], service)
			}
		}
	}
}

// Disturb records that something is done to a machine until the returned
// function is called. Planned work excuses no broken flow.
func (c *Checker) Disturb(machine string, planned bool, now time.Time) (end func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disturbed == nil {
		c.disturbed = map[string][]*span{}
	}
	added := &span{from: now, planned: planned}
	c.disturbed[machine] = append(c.disturbed[machine], added)
	return func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		added.to = now
	}
}

// settled reports whether nothing was done to the machines for long enough.
// The caller holds the lock.
func (c *Checker) settled(at time.Time, alsoPlanned bool, machines ...string) bool {
	for _, machine := range machines {
		for _, each := range c.disturbed[machine] {
			over := !each.to.IsZero() && at.Sub(each.to) >= settledAfter
			if !over && !each.from.After(at) && (alsoPlanned || !each.planned) {
				return false
			}
		}
	}
	return true
}

func (c *Checker) broken(promise Promise, at time.Time, format string, values ...any) {
	c.violations = append(c.violations, Violation{Promise: promise, At: at, What: fmt.Sprintf(format, values...)})
}

func (c *Checker) flow(key gooseberrymast.FlowKey) *flowFact {
	if c.flows == nil {
		c.flows = map[gooseberrymast.FlowKey]*flowFact{}
	}
	if c.flows[key] == nil {
		c.flows[key] = &flowFact{}
	}
	return c.flows[key]
}

// Sent records that a caller sent a packet by a balancer.
func (c *Checker) Sent(key gooseberrymast.FlowKey, balancer string, opens bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.flow(key)
	known.balancer, known.used = balancer, at
	if opens {
		known.sent = append(known.sent, at)
	}
}

// Opening is an opening packet at a server.
type Opening struct {
	Key gooseberrymast.FlowKey
	// Copy counts the earlier copies of the packet.
	Copy int
	// Server names the server's incarnation, Agent its machine.
	Server, Agent, Service string
	// LeavingSince is when the server's word that it leaves was acknowledged; zero
	// while it doesn't leave.
	LeavingSince time.Time
}

// Taken judges an opening packet that a server took.
func (c *Checker) Taken(opening Opening, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := opening.Key.Service
	if !slices.Contains(c.ever[address], opening.Service) {
		c.broken(PromiseService, at, "flow %s opened at %s of %s", opening.Key, opening.Server, opening.Service)
		return
	}
	known := c.flow(opening.Key)
	sent := at
	if opening.Copy < len(known.sent) {
		sent = known.sent[opening.Copy]
	}
	settled := c.settled(at, true, known.balancer, opening.Agent)
	if settled && c.settled(at, true, storeName) && !slices.Contains(c.allowed(address, sent), opening.Service) {
		c.broken(PromiseDocument, at, "flow %s sent at %s by %s opened at %s of %s, which the document has not allowed since",
			opening.Key, sent.Format(time.TimeOnly), known.balancer, opening.Server, opening.Service)
	}
	if settled && !opening.LeavingSince.IsZero() && sent.Sub(opening.LeavingSince) > drainedWithin {
		c.broken(PromiseLeaving, at, "flow %s opened at %s, leaving for %s", opening.Key, opening.Server, sent.Sub(opening.LeavingSince))
	}
}

// allowed gives the services that a flow sent at a time may go to: those of the
// document that must be in force by then, and of all later ones.
func (c *Checker) allowed(address gooseberrymast.Endpoint, sent time.Time) []string {
	var services []string
	for i, each := range c.documents {
		replaced := i+1 < len(c.documents) && sent.Sub(c.documents[i+1].at) > appliedWithin
		if !replaced {
			services = append(services, each.routes[address]...)
		}
	}
	return services
}

// Opened records that a server has the end of a flow's handshake.
func (c *Checker) Opened(key gooseberrymast.FlowKey, server, agent string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.flow(key)
	known.server, known.agent, known.opened = server, agent, at
}

// Own records a packet of a flow at its own server.
func (c *Checker) Own(key gooseberrymast.FlowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flow(key).strays = 0
}

// Stray judges a packet of a flow at a server that doesn't hold it.
func (c *Checker) Stray(key gooseberrymast.FlowKey, service, agent string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.ever[key.Service], service) {
		c.broken(PromiseService, at, "packet of flow %s at %s of %s", key, agent, service)
	}
	known := c.flow(key)
	if known.opened.IsZero() || known.ended {
		return
	}
	if known.strays == 0 {
		known.strayed = at
	}
	known.strays++
	if known.strays >= strayPackets && at.Sub(known.strayed) >= strayFor && c.held(key, known, at) &&
		c.settled(at, false, known.balancer, known.agent, agent) {
		known.strays = 0
		c.broken(PromiseOwner, at, "flow %s of %s: packets go to %s instead", key, known.server, agent)
	}
}

// held reports whether a flow must be kept.
func (c *Checker) held(key gooseberrymast.FlowKey, known *flowFact, at time.Time) bool {
	routed := true
	for _, each := range c.documents {
		// A route that any document lacked since the flow was opened may have
		// ended it.
		if _, ok := each.routes[key.Service]; !ok && each.at.After(known.opened.Add(-appliedWithin)) {
			routed = false
		}
	}
	return routed && !known.opened.IsZero() && !known.ended && at.Sub(known.opened) < flowLife && at.Sub(known.used) < idleLife
}

// Ended records that the caller or the server has ended a flow.
func (c *Checker) Ended(key gooseberrymast.FlowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flow(key).ended = true
}

// ServerEnded records that a server is gone with its flows.
func (c *Checker) ServerEnded(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.flows {
		if known.server == server {
			known.ended = true
		}
	}
}

// Reset judges a reset that a caller got from a machine.
func (c *Checker) Reset(key gooseberrymast.FlowKey, sender string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.flow(key)
	if c.held(key, known, at) && c.settled(at, false, known.balancer, known.agent, sender) {
		c.broken(PromiseFlow, at, "flow %s of %s reset by %s after %s", key, known.server, sender, at.Sub(known.opened))
	}
	known.ended = true
}

// Ran judges the start of a request's work.
func (c *Checker) Ran(request string, once bool, server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[request]++
	if once && c.runs[request] > 1 {
		c.broken(PromiseOnce, at, "request %s ran %d times, last at %s", request, c.runs[request], server)
	}
}

// Answered judges an answer by what the caller asked and got.
func (c *Checker) Answered(key gooseberrymast.FlowKey, want, got string, at time.Time) {
	if want == got {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken(PromiseAnswer, at, "flow %s: asked %q, got %q", key, want, got)
}

// InForce judges the version that an incarnation of a process says it follows.
func (c *Checker) InForce(incarnation string, version uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.versions == nil {
		c.versions = map[string]uint64{}
	}
	if version < c.versions[incarnation] {
		c.broken(PromiseForward, at, "%s went from version %d to %d", incarnation, c.versions[incarnation], version)
	}
	c.versions[incarnation] = max(version, c.versions[incarnation])
}

// Served judges the requests of the time after all faults.
func (c *Checker) Served(served, asked int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(served) < recoveredShare*float64(asked) || asked == 0 {
		c.broken(PromiseRecovery, at, "%d of %d requests served after the last fault", served, asked)
	}
}

// Exited records that a process ended though nobody stopped it.
func (c *Checker) Exited(process, how string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken(PromiseExit, at, "%s: %s", process, how)
}

// Uses judges a process's descriptors and resident memory.
func (c *Checker) Uses(process string, descriptors, mebibytes int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if descriptors > maxDescriptors || mebibytes > maxMebibytes {
		c.broken(PromiseBounded, at, "%s: %d descriptors, %d MiB", process, descriptors, mebibytes)
	}
}

const (
	// maxDescriptors leaves room for the connections of a few hundred peers'
	// questions; a process needs about twenty.
	maxDescriptors = 400
	// maxMebibytes is the memory of the smallest machines on the users' sheets.
	maxMebibytes = 88
)

// Violations gives what was broken so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}
