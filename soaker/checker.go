package soaker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"gooseberrymast"
)

// Promise is a property that must hold throughout a soak.
type Promise string

// The promises that the checker evaluates.
const (
	// PromiseDelivery: no packet reaches a server of a service that no document
	// ever allowed for the packet's address.
	PromiseDelivery Promise = "misdelivered"
	// PromiseRunOnce: a request that may not run twice runs at most once. Callers
	// retry such a request only after a failed opening, so this also detects a
	// false report that a request has not run.
	PromiseRunOnce Promise = "run-twice"
	// PromiseFlowKept: an open flow is reset only by its own server.
	PromiseFlowKept Promise = "flow-cut"
	// PromiseIdleKept: no agent resets an idle flow of a living server, whatever was lost.
	PromiseIdleKept Promise = "idle-flow-cut"
	// PromiseOwner: the packets of an open flow don't keep reaching a server that
	// doesn't hold it.
	PromiseOwner Promise = "flow-strayed"
	// PromiseAnswer: a caller receives the complete answer to its own request.
	PromiseAnswer Promise = "answer-wrong"
	// PromiseLeaving: a leaving server accepts no new flow after the drain time.
	PromiseLeaving Promise = "flow-at-leaving-server"
	// PromiseDocument: a document is in force within documentDeadline.
	PromiseDocument Promise = "document-late"
	// PromiseVersionRises: a process never returns to an earlier document.
	PromiseVersionRises Promise = "document-went-back"
	// PromiseRecovery: requests are served again after the faults.
	PromiseRecovery Promise = "not-recovered"
	// PromiseExit: no process exits by itself.
	PromiseExit Promise = "exited-by-itself"
	// PromiseResources: descriptors and memory stay within their limits.
	PromiseResources Promise = "resources"
)

// The limits of the promises, as the users specify them.
const (
	// settleTime is how long a machine must have been undisturbed before promises
	// that depend on timing are checked for it.
	settleTime = 4 * time.Second
	// documentDeadline is the time within which a document must be in force.
	documentDeadline = 3 * time.Second
	// drainTime is the time after which a leaving server accepts no new flow.
	drainTime = 3 * time.Second
	// minStrayTime and minStrayPackets distinguish a flow whose packets keep
	// reaching another server from one whose packets were only reordered.
	minStrayTime    = 2 * time.Second
	minStrayPackets = 3
	// maxFlowAge is the age from which a flow may be discarded.
	maxFlowAge = 60 * time.Second
	// maxFlowIdle is the time without a packet from which a flow may be discarded.
	maxFlowIdle = 45 * time.Second
	// minServedShare is the share of requests that must be served after recovery.
	minServedShare = 0.25
)

// storeName is the machine name under which disturbances of the store are
// recorded.
const storeName = "store"

// Violation is one observed breach of a promise.
type Violation struct {
	Promise Promise   `json:"promise"`
	At      time.Time `json:"at"`
	What    string    `json:"what"`
}

// Checker evaluates what callers and servers observe. It has no sockets and
// reads no clock. The zero value is ready to use.
type Checker struct {
	mu          sync.Mutex
	documents   []documentRecord
	everAllowed map[gooseberrymast.Endpoint][]string
	runs        map[string]int
	flows       map[gooseberrymast.FlowKey]*flowState
	disturbed   map[string][]*disturbance
	versions    map[string]uint64
	evacuations []*evacuation
	violations  []Violation
}

// documentRecord is a published document with its services by address.
type documentRecord struct {
	at     time.Time
	routes map[gooseberrymast.Endpoint][]string
}

// flowState is the observed state of a flow.
type flowState struct {
	// sent are the times at which the copies of the opening packet were sent.
	sent []time.Time
	// balancer is the one that the caller's latest packet was sent to.
	balancer string
	server   string
	agent    string
	opened   time.Time
	lastSent time.Time
	// ended is set once the caller or the server has ended the flow.
	ended bool
	// strayCount counts the packets that reached a server that doesn't hold the
	// flow since one last reached the flow's server.
	strayCount int
	firstStray time.Time
}

// RecordDocument records that a document is written to the store.
func (c *Checker) RecordDocument(routes map[gooseberrymast.Endpoint][]string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents = append(c.documents, documentRecord{at: at, routes: routes})
	if c.everAllowed == nil {
		c.everAllowed = map[gooseberrymast.Endpoint][]string{}
	}
	for address, services := range routes {
		for _, service := range services {
			if !slices.Contains(c.everAllowed[address], service) {
				c.everAllowed[address] = append(c.everAllowed[address], service)
			}
		}
	}
}

func (c *Checker) addViolation(promise Promise, at time.Time, format string, values ...any) {
	c.violations = append(c.violations, Violation{Promise: promise, At: at, What: fmt.Sprintf(format, values...)})
}

func (c *Checker) flow(key gooseberrymast.FlowKey) *flowState {
	if c.flows == nil {
		c.flows = map[gooseberrymast.FlowKey]*flowState{}
	}
	if c.flows[key] == nil {
		c.flows[key] = &flowState{}
	}
	return c.flows[key]
}

// RecordSent records that a caller sent a packet to a balancer.
func (c *Checker) RecordSent(key gooseberrymast.FlowKey, balancer string, opens bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	flow := c.flow(key)
	if opens && flow.ended {
		// The caller has drawn the port again.
		*flow = flowState{}
	}
	flow.balancer, flow.lastSent = balancer, at
	if opens {
		flow.sent = append(flow.sent, at)
	}
}

// Opening describes an opening packet received by a server.
type Opening struct {
	Key gooseberrymast.FlowKey
	// Copy is the number of earlier copies of the packet.
	Copy int
	// Server is the server's incarnation, Agent its machine.
	Server, Agent, Service string
	// Zone is the server's availability zone.
	Zone string
	// LeavingSince is when the agent acknowledged that the server is leaving. It
	// is zero while the server isn't leaving.
	LeavingSince time.Time
}

// CheckOpening checks an opening packet that a server accepted.
func (c *Checker) CheckOpening(opening Opening, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := opening.Key.Service
	if !slices.Contains(c.everAllowed[address], opening.Service) {
		c.addViolation(PromiseDelivery, at, "flow %s opened at %s of %s", opening.Key, opening.Server, opening.Service)
		return
	}
	c.checkEvacuated(opening, at)
	flow := c.flow(opening.Key)
	sent := at
	if opening.Copy < len(flow.sent) {
		sent = flow.sent[opening.Copy]
	}
	settled := c.undisturbed(at, true, flow.balancer, opening.Agent)
	if settled && c.undisturbed(at, true, storeName) && !slices.Contains(c.allowed(address, sent), opening.Service) {
		c.addViolation(PromiseDocument, at, "flow %s sent at %s by %s opened at %s of %s, which the document has not allowed since",
			opening.Key, sent.Format(time.TimeOnly), flow.balancer, opening.Server, opening.Service)
	}
	if settled && !opening.LeavingSince.IsZero() && sent.Sub(opening.LeavingSince) > drainTime {
		c.addViolation(PromiseLeaving, at, "flow %s opened at %s, leaving for %s", opening.Key, opening.Server, sent.Sub(opening.LeavingSince))
	}
}

// allowed returns the services that a flow sent at the given time may reach:
// those of the document that must be in force by then and of all later ones.
func (c *Checker) allowed(address gooseberrymast.Endpoint, sent time.Time) []string {
	var services []string
	for i, document := range c.documents {
		replaced := i+1 < len(c.documents) && sent.Sub(c.documents[i+1].at) > documentDeadline
		if !replaced {
			services = append(services, document.routes[address]...)
		}
	}
	return services
}

// RecordOpened records that a server completed a flow's handshake.
func (c *Checker) RecordOpened(key gooseberrymast.FlowKey, server, agent string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	flow := c.flow(key)
	flow.server, flow.agent, flow.opened = server, agent, at
}

// RecordDelivered records that a packet of a flow reached the flow's server.
func (c *Checker) RecordDelivered(key gooseberrymast.FlowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flow(key).strayCount = 0
}

// CheckStray checks a packet that reached a server that doesn't hold its flow.
func (c *Checker) CheckStray(key gooseberrymast.FlowKey, service, agent string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.everAllowed[key.Service], service) {
		c.addViolation(PromiseDelivery, at, "packet of flow %s at %s of %s", key, agent, service)
	}
	flow := c.flow(key)
	if flow.opened.IsZero() || flow.ended {
		return
	}
	if flow.strayCount == 0 {
		flow.firstStray = at
	}
	flow.strayCount++
	if flow.strayCount >= minStrayPackets && at.Sub(flow.firstStray) >= minStrayTime && c.mustBeKept(key, flow, at) &&
		c.undisturbed(at, false, flow.balancer, flow.agent, agent) {
		flow.strayCount = 0
		c.addViolation(PromiseOwner, at, "flow %s of %s: packets go to %s instead", key, flow.server, agent)
	}
}

// mustBeKept reports whether a flow may not be discarded at the given time.
func (c *Checker) mustBeKept(key gooseberrymast.FlowKey, flow *flowState, at time.Time) bool {
	routed := true
	for _, document := range c.documents {
		// A document without the route may have ended the flow if it was in force
		// at any time since the flow was opened.
		if _, ok := document.routes[key.Service]; !ok && document.at.After(flow.opened.Add(-documentDeadline)) {
			routed = false
		}
	}
	return routed && !flow.opened.IsZero() && !flow.ended && at.Sub(flow.opened) < maxFlowAge && at.Sub(flow.lastSent) < maxFlowIdle
}

// RecordFlowEnd records that the caller or the server has ended a flow.
func (c *Checker) RecordFlowEnd(key gooseberrymast.FlowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flow(key).ended = true
}

// RecordServerEnd records that a server stopped and lost its flows.
func (c *Checker) RecordServerEnd(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, flow := range c.flows {
		if flow.server == server {
			flow.ended = true
		}
	}
}

// CheckReset checks a reset that a caller received from a machine.
func (c *Checker) CheckReset(key gooseberrymast.FlowKey, sender string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	flow := c.flow(key)
	if c.mustBeKept(key, flow, at) && c.undisturbed(at, false, flow.balancer, flow.agent, sender) {
		c.addViolation(PromiseFlowKept, at, "flow %s of %s reset by %s after %s", key, flow.server, sender, at.Sub(flow.opened))
	}
	flow.ended = true
}

// CheckRun checks the start of a request's work at a server.
func (c *Checker) CheckRun(request string, once bool, server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[request]++
	if once && c.runs[request] > 1 {
		c.addViolation(PromiseRunOnce, at, "request %s ran %d times, last at %s", request, c.runs[request], server)
	}
}

// CheckAnswer checks the answer to a caller's request.
func (c *Checker) CheckAnswer(key gooseberrymast.FlowKey, want, got string, at time.Time) {
	if want == got {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(PromiseAnswer, at, "flow %s: asked %q, got %q", key, want, got)
}

// CheckVersion checks the document version reported by an incarnation of a
// process.
func (c *Checker) CheckVersion(incarnation string, version uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.versions == nil {
		c.versions = map[string]uint64{}
	}
	if version < c.versions[incarnation] {
		c.addViolation(PromiseVersionRises, at, "%s went from version %d to %d", incarnation, c.versions[incarnation], version)
	}
	c.versions[incarnation] = max(version, c.versions[incarnation])
}

// CheckRecovery checks the number of requests served at the end of a soak.
func (c *Checker) CheckRecovery(served, requests int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(served) < minServedShare*float64(requests) || requests == 0 {
		c.addViolation(PromiseRecovery, at, "%d of %d requests served after the last fault", served, requests)
	}
}

// RecordExit records that a process exited without having been stopped.
func (c *Checker) RecordExit(process, how string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(PromiseExit, at, "%s: %s", process, how)
}

// CheckResources checks a process's descriptors and resident memory.
func (c *Checker) CheckResources(process string, descriptors, mebibytes int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if descriptors > maxDescriptors || mebibytes > maxMebibytes {
		c.addViolation(PromiseResources, at, "%s: %d descriptors, %d MiB", process, descriptors, mebibytes)
	}
}

const (
	// maxDescriptors leaves room for the connections of queries from a few
	// hundred peers. A process needs about 20 otherwise.
	maxDescriptors = 400
	// maxMebibytes is the memory of the smallest machines that the users specify.
	maxMebibytes = 88
)

// Violations returns a copy of the violations so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}
