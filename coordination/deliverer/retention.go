package deliverer

import (
	"time"

	"gooseberrymast"
)

const (
	// defaultMaxFlows is the number of flows that an agent keeps: eight times the
	// connections that a server accepts, since closed flows and those that the server
	// has dropped unseen are among them. They take some 4 MB.
	defaultMaxFlows = 16384
	// minRetention is how long an unused flow is kept at least.
	minRetention = 30 * time.Second
	// documentDelay is the time in which a document is in force everywhere. An agent may
	// learn so much later than a server that flows may be idle for longer.
	documentDelay = 6 * time.Second
	// evictionSample is the number of flows of which one is evicted.
	evictionSample = 8
)

// HandleDocument processes routes that were put in force, at an agent of a service. It
// reports whether the agent's entry is to be written for them.
func (d *Deliverer) HandleDocument(service string, routes *gooseberrymast.Routes) (write bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setIdleTimeout(routes.IdleTimeout)
	if d.firstRoutes == nil {
		d.firstRoutes = routes
	}
	return d.lacksAllowed(service, routes)
}

// setIdleTimeout sets the time after which the document in force allows a server to
// discard an idle flow; zero if it names none.
func (d *Deliverer) setIdleTimeout(timeout time.Duration) {
	if timeout <= 0 {
		timeout = d.maxFlowAge()
	}
	d.idleTimeout = timeout
	for _, f := range d.flows {
		f.idleTimeout = max(f.idleTimeout, timeout)
	}
}

// Expire drops flows that both ends have closed, and those unused for so long that no
// document in force since their opening lets their server keep them.
func (d *Deliverer) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, f := range d.flows {
		if f.closed && f.ended && now.Sub(f.lastUsed) > closedFlowTimeout || now.Sub(f.lastUsed) > d.retention(f) {
			d.dropFlow(key, f)
		}
	}
}

// retention returns how long a flow is kept after its last use. The agent claims to hold
// all flows of its server, so that a flow must not be dropped before its server may
// discard it.
func (d *Deliverer) retention(f *flow) time.Duration {
	timeout := f.idleTimeout
	if timeout == 0 || timeout > d.maxFlowAge() {
		timeout = d.maxFlowAge()
	}
	return max(minRetention, timeout+documentDelay)
}

func (d *Deliverer) maxFlowAge() time.Duration {
	if d.MaxFlowAge == 0 {
		return gooseberrymast.DefaultMaxFlowAge
	}
	return d.MaxFlowAge
}

// makeRoom evicts a flow if there are as many as are kept: one that has ended or, if there
// is none in a small sample, the least recently used of the sample. The server may still
// hold the latter until it has reached its maximum age.
func (d *Deliverer) makeRoom(now time.Time) {
	maxFlows := d.MaxFlows
	if maxFlows == 0 {
		maxFlows = defaultMaxFlows
	}
	if len(d.flows) < maxFlows {
		return
	}
	var oldest gooseberrymast.FlowKey
	var evicted *flow
	sampled := 0
	for key, f := range d.flows {
		// Among flows used at the same time the choice doesn't depend on the map's order.
		if evicted == nil || f.closed && f.ended || f.lastUsed.Before(evicted.lastUsed) ||
			f.lastUsed.Equal(evicted.lastUsed) && key.Caller.Compare(oldest.Caller) < 0 {
			oldest, evicted = key, f
		}
		if sampled++; sampled == evictionSample || evicted.closed && evicted.ended {
			break
		}
	}
	if !evicted.closed || !evicted.ended {
		d.incompleteUntil = now.Add(d.maxFlowAge() + documentDelay)
	}
	d.dropFlow(oldest, evicted)
}
