// Package evener keeps the open flows of a service even over its agents. The
// first agent that a new flow may be given to passes it to the second one when
// that one holds fewer flows, as far as is known.
//
// With two random candidates for each flow the fullest agent exceeds the mean
// by a few flows, where a single candidate exceeds it by a multiple of the
// mean's square root (M. Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001).
package evener

import (
	"math/rand/v2"
	"time"

	"gooseberrymast"
)

const (
	// Period is the time between two rounds of questions.
	Period = time.Second
	// Questions is the number of peers that are asked in a round.
	Questions = 2
	// MaxAge is the age up to which a peer's count of flows is believed.
	MaxAge = 10 * time.Second
	// IdleRounds is the number of periods between two rounds while no new
	// flows come.
	IdleRounds = 5
	// Tolerance is the share by which the own count may exceed the mean
	// before flows are asked to move.
	Tolerance = 0.1
	// MaxMoved is the share of the own flows that may be asked in one round.
	MaxMoved = 0.1
	// Margin is the number of flows by which the own count must exceed the
	// other's, so that two even agents pass nothing back and forth.
	Margin = 1
)

// Evener is one agent's knowledge of the flows at its peers. Random must be
// set. It is not safe for concurrent use.
type Evener struct {
	// Random chooses the peers to ask.
	Random *rand.Rand
	// Self is the own identity, which Update leaves out.
	Self gooseberrymast.Identity

	peers []*peer
	index map[gooseberrymast.Identity]*peer
	// stirred is set when a flow was offered since the last round.
	stirred bool
	// idle counts the periods without a round.
	idle int
}

// peer is another agent of the service.
type peer struct {
	identity gooseberrymast.Identity
	load     gooseberrymast.Load
	heard    time.Time
	// given counts the flows passed on since the load was heard.
	given int32
}

// Update replaces the peers by the members that take new flows, and keeps what
// is known of those that stay.
func (e *Evener) Update(members []gooseberrymast.Member) {
	index := make(map[gooseberrymast.Identity]*peer, len(members))
	e.peers = e.peers[:0]
	for _, member := range members {
		if !member.Routable() || member.Identity == e.Self {
			continue
		}
		known := e.index[member.Identity]
		if known == nil {
			known = &peer{identity: member.Identity}
		}
		index[member.Identity] = known
		e.peers = append(e.peers, known)
	}
	e.index = index
}

// Heard takes the load that a peer reported.
func (e *Evener) Heard(now time.Time, identity gooseberrymast.Identity, load gooseberrymast.Load) {
	known := e.index[identity]
	if known == nil {
		return
	}
	known.load = load
	known.heard = now
	known.given = 0
}

// Round is called once a Period and gives the peers to ask for their load.
// While no flows come it asks less often.
func (e *Evener) Round() []gooseberrymast.Identity {
	e.idle++
	if !e.stirred && e.idle < IdleRounds {
		return nil
	}
	e.stirred = false
	e.idle = 0
	asked := make([]gooseberrymast.Identity, 0, Questions)
	for _, i := range e.Random.Perm(len(e.peers)) {
		if len(asked) == Questions {
			break
		}
		asked = append(asked, e.peers[i].identity)
	}
	return asked
}

// Excess gives the number of the own flows that should be asked to move now,
// so that a server that joined gets its part of the flows that stay open.
func (e *Evener) Excess(now time.Time, own int32) int {
	total, known := float64(own), 1.0
	for _, one := range e.peers {
		if !one.believed(now) {
			continue
		}
		total += float64(one.load.Flows + one.given)
		known++
	}
	if known < float64(min(Questions, len(e.peers)))+1 {
		return 0
	}
	mean := total / known
	if float64(own) <= mean*(1+Tolerance)+Margin {
		return 0
	}
	return max(1, min(int(float64(own)-mean), int(float64(own)*MaxMoved)))
}

// believed reports whether the peer's count is fresh and the peer stays.
func (p *peer) believed(now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) <= MaxAge && !p.load.Leaving
}

// PassOn decides about a new flow that is offered to this agent first, whose
// second candidate is other. Own is the number of flows open here.
func (e *Evener) PassOn(now time.Time, own int32, other gooseberrymast.Identity) bool {
	e.stirred = true
	known := e.index[other]
	if known == nil || !known.believed(now) {
		return false
	}
	if own <= known.load.Flows+known.given+Margin {
		return false
	}
	known.given++
	return true
}
