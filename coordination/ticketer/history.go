package ticketer

import (
	"net/netip"
	"time"

	"gooseberrymast"
)

// Limits of a History.
const (
	// MaxHistory is the number of requests from peers that are remembered.
	MaxHistory = 1 << 14
	// MaxHistoryAge is how long a request from a peer is remembered.
	MaxHistoryAge = 15 * time.Minute
)

// Outcome is what this agent can report about a request that a peer handed over.
type Outcome uint8

// The outcomes of a peer's request.
const (
	// OutcomeUnknown: the request never arrived here.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted: the request arrived and ran or may still run.
	OutcomeAccepted
	// OutcomeNotRun: the request did not run here and must not run any more.
	OutcomeNotRun
	// OutcomeForgotten: the request is so old that it may have been forgotten.
	// It must not run, and whether it ran is unknown.
	OutcomeForgotten
)

// History remembers the requests that peers handed over, limited by number and age.
// A forgotten request is treated as one that may have run and must not run again.
// The zero value is ready to use.
type History struct {
	origins map[netip.AddrPort]*origin
	// order lists the remembered requests, oldest first.
	order []historyEntry
}

// origin holds the remembered requests of one agent.
type origin struct {
	// incarnation never decreases. Requests of an earlier one are forgotten.
	incarnation gooseberrymast.Incarnation
	// highestForgotten is the highest ID of a forgotten request.
	highestForgotten gooseberrymast.WorkID
	outcomes         map[gooseberrymast.WorkID]Outcome
}

type historyEntry struct {
	agent gooseberrymast.Identity
	id    gooseberrymast.WorkID
	at    time.Time
}

// Outcome returns the outcome of a request.
func (h *History) Outcome(agent gooseberrymast.Identity, id gooseberrymast.WorkID) Outcome {
	from := h.origins[agent.Address]
	if from == nil || agent.Incarnation > from.incarnation {
		return OutcomeUnknown
	}
	if agent.Incarnation < from.incarnation {
		return OutcomeForgotten
	}
	if outcome, ok := from.outcomes[id]; ok {
		return outcome
	}
	if id <= from.highestForgotten {
		return OutcomeForgotten
	}
	return OutcomeUnknown
}

// Set records the outcome of a request. Callers must not replace OutcomeNotRun: a
// request that was reported as not run must never run later.
func (h *History) Set(now time.Time, agent gooseberrymast.Identity, id gooseberrymast.WorkID, outcome Outcome) {
	from := h.origin(agent)
	if agent.Incarnation < from.incarnation || id <= from.highestForgotten {
		return
	}
	if _, ok := from.outcomes[id]; !ok {
		h.order = append(h.order, historyEntry{agent, id, now})
	}
	from.outcomes[id] = outcome
	h.trim(now)
}

func (h *History) origin(agent gooseberrymast.Identity) *origin {
	if h.origins == nil {
		h.origins = map[netip.AddrPort]*origin{}
	}
	from := h.origins[agent.Address]
	if from == nil || agent.Incarnation > from.incarnation {
		from = &origin{incarnation: agent.Incarnation, outcomes: map[gooseberrymast.WorkID]Outcome{}}
		h.origins[agent.Address] = from
	}
	return from
}

func (h *History) trim(now time.Time) {
	for len(h.order) > 0 {
		oldest := h.order[0]
		if len(h.order) <= MaxHistory && now.Sub(oldest.at) < MaxHistoryAge {
			return
		}
		h.order = h.order[1:]
		h.forget(oldest)
	}
}

func (h *History) forget(oldest historyEntry) {
	from := h.origins[oldest.agent.Address]
	if from == nil || from.incarnation != oldest.agent.Incarnation {
		return
	}
	delete(from.outcomes, oldest.id)
	from.highestForgotten = max(from.highestForgotten, oldest.id)
}
