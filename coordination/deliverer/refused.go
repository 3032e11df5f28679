package deliverer

import (
	"time"

	"gooseberrymast"
)

const (
	// refusedFor is how long a refusal lasts. A definite one lets the balancer reset the
	// flow until the caller retransmits, 200 ms after its first opening packet, so that a
	// duplicate of that must not open the flow meanwhile.
	refusedFor = 200 * time.Millisecond
	// maxRefused bounds the refusals that are remembered. Beyond it a refusal isn't
	// definite. A service with 5,000 refusals a second at one agent is lost.
	maxRefused = 1024
)

// refusals holds the new flows that were refused lately for a reason that may pass. The
// zero value is empty.
type refusals struct {
	at map[gooseberrymast.FlowKey]time.Time
	// queue holds the refusals in the order in which they end.
	queue []refusal
}

type refusal struct {
	key gooseberrymast.FlowKey
	at  time.Time
}

// add remembers a refusal. It reports false if there are too many.
func (r *refusals) add(key gooseberrymast.FlowKey, now time.Time) bool {
	for len(r.queue) > 0 && now.Sub(r.queue[0].at) >= refusedFor {
		if ended := r.queue[0]; r.at[ended.key].Equal(ended.at) {
			delete(r.at, ended.key)
		}
		r.queue = r.queue[1:]
	}
	if len(r.queue) >= maxRefused {
		return false
	}
	if r.at == nil {
		r.at = map[gooseberrymast.FlowKey]time.Time{}
	}
	r.at[key] = now
	r.queue = append(r.queue, refusal{key: key, at: now})
	return true
}

// has reports whether a flow was refused lately.
func (r *refusals) has(key gooseberrymast.FlowKey, now time.Time) bool {
	at, found := r.at[key]
	return found && now.Sub(at) < refusedFor
}

// full reports whether a new flow is passed on because of the requests in progress.
func (d *Deliverer) full(hop gooseberrymast.Hop, server Server) bool {
	return len(hop.Candidates) > 0 && Full(d.busyFlows, server.Slots)
}

// observeRequest tells the gates of a request on an open flow. The first one of a flow
// was counted with the opening packet.
func (d *Deliverer) observeRequest(f *flow, now time.Time) {
	if f.first {
		f.first = false
		return
	}
	for _, gate := range d.Gates {
		if observer, ok := gate.(gooseberrymast.RequestObserver); ok {
			observer.HandleRequest(d.openFlows, now)
		}
	}
}
