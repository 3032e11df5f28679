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

// Round gives the peers to ask for their load, none while no flows come.
func (e *Evener) Round() []gooseberrymast.Identity {
	if !e.stirred {
		return nil
	}
	e.stirred = false
	asked := make([]gooseberrymast.Identity, 0, Questions)
	for _, i := range e.Random.Perm(len(e.peers)) {
		if len(asked) == Questions {
			break
		}
		asked = append(asked, e.peers[i].identity)
	}
	return asked
}

// PassOn decides about a new flow that is offered to this agent first, whose
// second candidate is other. Own is the number of flows open here.
func (e *Evener) PassOn(now time.Time, own int32, other gooseberrymast.Identity) bool {
	e.stirred = true
	known := e.index[other]
	if known == nil || known.heard.IsZero() || now.Sub(known.heard) > MaxAge || known.load.Leaving {
		return false
	}
	if own <= known.load.Flows+known.given+Margin {
		return false
	}
	known.given++
	return true
}
