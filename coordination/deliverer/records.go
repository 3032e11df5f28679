package deliverer

import (
	"time"

	"gooseberrymast"
)

// LongFlows returns the open flows of non-idempotent routes that are at least minAge old
// and certainly belong to the incarnation of the server that announced itself last. A
// flow that another incarnation may have accepted is left out: the end of the one that
// it is recorded for would be no proof that it is lost.
func (d *Deliverer) LongFlows(routes *gooseberrymast.Routes, minAge time.Duration, now time.Time) []gooseberrymast.HeldFlow {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []gooseberrymast.HeldFlow
	for key, f := range d.flows {
		age := now.Sub(f.openedAt)
		attributed := f.answer != 0 && f.answer <= d.ownAnswers
		// Without an acknowledgement no reset would be accepted by the caller.
		if f.closed || f.ended || !f.opened || !attributed || f.lastAck == 0 || age < minAge {
			continue
		}
		if route, ok := routes.Lookup(key.Service); !ok || route.Idempotent {
			continue
		}
		found = append(found, gooseberrymast.HeldFlow{Key: key, Acknowledgement: f.lastAck, Age: age, Requests: f.requests})
	}
	return found
}

// Holds reports whether the agent holds a flow that the server has not closed.
func (d *Deliverer) Holds(key gooseberrymast.FlowKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.flows[key]
	return f != nil && !f.closed
}
