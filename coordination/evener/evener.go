// Package evener balances the open flows of a service over its agents. The first
// agent that a new flow is offered to passes it to the second one if that one
// holds fewer flows by its last reported load.
//
// With two random candidates for each flow the agent with the most flows exceeds
// the mean by a few flows; with a single candidate it exceeds the mean by a
// multiple of the mean's square root (M. Mitzenmacher, "The Power of Two Choices
// in Randomized Load Balancing", 2001).
package evener

import (
	"math/rand/v2"
	"time"

	"gooseberrymast"
)

const (
	// Period is the time between two rounds of queries.
	Period = 2 * time.Second
	// QueriesPerRound is the number of peers that are queried in a round.
	QueriesPerRound = 1
	// MinReports is the number of peers with a usable count that a mean needs.
	MinReports = 2
	// MaxAge is the age up to which a peer's count of flows is used.
	MaxAge = 30 * time.Second
	// IdleRounds is the number of periods between two rounds while no new
	// flows arrive.
	IdleRounds = 3
	// Tolerance is the share by which the own count may exceed the mean before
	// flows are requested to move.
	Tolerance = 0.1
	// MaxMovedShare is the share of the own flows that may be moved in one round.
	MaxMovedShare = 0.1
	// Margin is the number of flows by which the own count must exceed the
	// other's, so that two balanced agents don't pass flows back and forth.
	Margin = 1
)

// Evener holds the loads of one agent's peers. Random must be set. It is not
// safe for concurrent use.
type Evener struct {
	// Random selects the peers to query.
	Random *rand.Rand
	// Self is the agent's identity, which Update leaves out.
	Self gooseberrymast.Identity

	peers []*peer
	index map[gooseberrymast.Identity]*peer
	// dirty is set when a flow was offered since the last round.
	dirty bool
	// idlePeriods counts the periods without a round.
	idlePeriods int
}

// peer is another agent of the service.
type peer struct {
	identity gooseberrymast.Identity
	load     gooseberrymast.Load
	received time.Time
	// passedOn counts the flows passed on to the peer since its load was received.
	passedOn int32
}

// Update replaces the peers by the members that take new flows, and keeps the
// loads of those that remain.
func (e *Evener) Update(members []gooseberrymast.Member) {
	index := make(map[gooseberrymast.Identity]*peer, len(members))
	e.peers = e.peers[:0]
	for _, member := range members {
		if !member.Routable() || member.Identity == e.Self {
			continue
		}
		p := e.index[member.Identity]
		if p == nil {
			p = &peer{identity: member.Identity}
		}
		index[member.Identity] = p
		e.peers = append(e.peers, p)
	}
	e.index = index
}

// HandleLoad records the load that a peer reported.
func (e *Evener) HandleLoad(now time.Time, identity gooseberrymast.Identity, load gooseberrymast.Load) {
	p := e.index[identity]
	if p == nil {
		return
	}
	p.load = load
	p.received = now
	p.passedOn = 0
}

// PeersToQuery is called once a Period and returns the peers to query for their load.
// While no flows arrive it returns none in most periods.
func (e *Evener) PeersToQuery() []gooseberrymast.Identity {
	e.idlePeriods++
	if !e.dirty && e.idlePeriods < IdleRounds {
		return nil
	}
	e.dirty = false
	e.idlePeriods = 0
	queried := make([]gooseberrymast.Identity, 0, QueriesPerRound)
	for _, i := range e.Random.Perm(len(e.peers)) {
		if len(queried) == QueriesPerRound {
			break
		}
		queried = append(queried, e.peers[i].identity)
	}
	return queried
}

// Excess returns the number of the own flows that should be moved now, so that a
// server that joined gets its share of the flows that stay open.
func (e *Evener) Excess(now time.Time, own int32) int {
	total, agents := float64(own), 1.0
	for _, p := range e.peers {
		if !p.usable(now) {
			continue
		}
		total += float64(p.load.Flows + p.passedOn)
		agents++
	}
	if agents < float64(min(MinReports, len(e.peers)))+1 {
		return 0
	}
	mean := total / agents
	if float64(own) <= mean*(1+Tolerance)+Margin {
		return 0
	}
	return max(1, min(int(float64(own)-mean), int(float64(own)*MaxMovedShare)))
}

// usable reports whether the peer's count is recent and the peer is not leaving.
func (p *peer) usable(now time.Time) bool {
	return !p.received.IsZero() && now.Sub(p.received) <= MaxAge && !p.load.Leaving
}

// PassOn reports whether to pass on a new flow that was offered to this agent
// first and whose second candidate is other. own is the number of flows open here.
func (e *Evener) PassOn(now time.Time, own int32, other gooseberrymast.Identity) bool {
	e.dirty = true
	p := e.index[other]
	if p == nil || !p.usable(now) {
		return false
	}
	if own <= p.load.Flows+p.passedOn+Margin {
		return false
	}
	p.passedOn++
	return true
}
