// Package opener decides, at an agent, who takes a new flow.
//
// Nearly every handshake begins with two or more datagrams that carry an id of
// the caller's choice, and each may come through another balancer with another
// table. They must meet at one agent. Each such packet names up to two takers
// and up to two homes. It is sent to the first home. A home that knows nothing
// of the flow passes the packet to the second home if there is one, or else to
// the first taker, and remembers to whom. What a home remembers goes before
// what the packet says. The taker takes the flow, or passes it to the second
// taker while it is leaving, cold or over its bound, and remembers that. A
// packet is passed on at most MaxHop times.
//
// The packets of one flow meet when any two balancers that handle them agree
// on the first home, or one balancer's first home is the other's second home,
// and that home lives. Balancers keep as the table before the one of at least
// a propagation time ago, so this covers tables whose age differs by less than
// that and between which the flow's home moved once. It does not cover a home
// that moved twice within that time, a home that one balancer holds for
// suspect while another still sends to it, or a home that died between two
// packets: there the caller's retransmissions start the handshake again.
package opener

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
)

// MaxHop is the number of times that a packet may be passed on.
const MaxHop = 2

// The bounds that stand in for zero fields of an Opener.
const (
	DefaultMaxFlows    = 1 << 15
	DefaultMaxHalfOpen = 4096
	DefaultLife        = 10 * time.Second
)

// Verdict tells what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	// VerdictTake gives the packet to the agent's own QUIC stack.
	VerdictTake Verdict = iota + 1
	// VerdictPass sends the packet to another agent.
	VerdictPass
	// VerdictDrop drops the packet for Decision.Reason.
	VerdictDrop
)

// Reason says why a packet is dropped.
type Reason string

// The reasons of a drop.
const (
	// ReasonNotNamed is a packet that names this agent nowhere.
	ReasonNotNamed Reason = "not-named"
	// ReasonHalfOpen is a flow above the bound of open handshakes.
	ReasonHalfOpen Reason = "half-open-limit"
	// ReasonHops is a packet that would have to be passed on once too often.
	ReasonHops Reason = "hop-limit"
)

// Packet is what the opener knows of one packet that may open a flow.
type Packet struct {
	// Key is the hash of the id that the caller chose.
	Key uint64
	// Hop counts how often the packet was passed on.
	Hop uint8
	// Takers and Homes are the balancer's candidates, zero ones last.
	Takers, Homes [2]gooseberrymast.Identity
}

// Decision is the opener's answer to one packet.
type Decision struct {
	Verdict Verdict
	// Peer is set for VerdictPass and is never the agent itself.
	Peer gooseberrymast.Identity
	// Reason is set for VerdictDrop.
	Reason Reason
}

// Opener is the state machine of one agent. Its fields may be set before the
// first event. It is not safe for concurrent use.
type Opener struct {
	// Self is the agent's identity.
	Self gooseberrymast.Identity
	// MaxFlows bounds the flows that are remembered; the oldest is forgotten
	// first. Zero takes DefaultMaxFlows.
	MaxFlows int
	// MaxHalfOpen bounds the flows taken whose handshake isn't known to be
	// complete. Zero takes DefaultMaxHalfOpen.
	MaxHalfOpen int
	// Life is how long a flow's opening is remembered. Zero takes DefaultLife.
	Life time.Duration

	flows    map[uint64]flow
	oldest   queue
	halfOpen int
}

// flow is what is remembered of one opening. The peer is the agent itself when
// it took the flow.
type flow struct {
	peer     gooseberrymast.Identity
	since    time.Time
	halfOpen bool
}

// FirstPacket decides about one packet. Busy says that the agent would rather
// not take a new flow: it is leaving, cold or over its bound.
func (o *Opener) FirstPacket(packet *Packet, busy bool, now time.Time) Decision {
	o.Expire(now)
	if known, ok := o.flows[packet.Key]; ok {
		return o.follow(known, packet, now)
	}
	next := o.next(packet, busy || o.halfOpen >= o.maxHalfOpen())
	if next.IsZero() {
		return Decision{Verdict: VerdictDrop, Reason: ReasonNotNamed}
	}
	if next != o.Self {
		return o.pass(packet, next, now)
	}
	return o.take(packet.Key, now)
}

// Complete notes that the flow's handshake is complete or holds no memory, so
// that it no longer counts as half open.
func (o *Opener) Complete(key uint64) {
	known, ok := o.flows[key]
	if !ok || !known.halfOpen {
		return
	}
	known.halfOpen = false
	o.flows[key] = known
	o.halfOpen--
}

// HalfOpen gives the number of flows taken whose handshake isn't complete.
func (o *Opener) HalfOpen() int {
	return o.halfOpen
}

// Flows gives the number of flows that are remembered.
func (o *Opener) Flows() int {
	return len(o.flows)
}

// Expire forgets the flows that are older than the handshake's life.
func (o *Opener) Expire(now time.Time) {
	for o.oldest.len() > 0 {
		first := o.oldest.first()
		if now.Sub(first.since) < o.life() {
			return
		}
		o.forget()
	}
}

// follow sends a packet where the flow's earlier packets went. A packet that
// comes back after its last hop has nobody else to take it.
func (o *Opener) follow(known flow, packet *Packet, now time.Time) Decision {
	if known.peer == o.Self {
		return Decision{Verdict: VerdictTake}
	}
	if packet.Hop < MaxHop {
		return Decision{Verdict: VerdictPass, Peer: known.peer}
	}
	if o.isTaker(packet) {
		return o.take(packet.Key, now)
	}
	return Decision{Verdict: VerdictDrop, Reason: ReasonHops}
}

// next names who should get a packet of an unknown flow.
func (o *Opener) next(packet *Packet, busy bool) gooseberrymast.Identity {
	if packet.Hop >= MaxHop {
		return o.Self
	}
	if packet.Hop == 0 && packet.Homes[0] == o.Self && !packet.Homes[1].IsZero() {
		return packet.Homes[1]
	}
	if packet.Takers[0] == o.Self {
		return o.first(packet, busy)
	}
	if packet.Takers[1] == o.Self && packet.Hop > 0 {
		return o.Self
	}
	if packet.Hop == 0 && packet.Homes[0] != o.Self {
		return gooseberrymast.Identity{}
	}
	return packet.Takers[0]
}

// first names who should get a packet that came to its first taker.
func (o *Opener) first(packet *Packet, busy bool) gooseberrymast.Identity {
	if busy && !packet.Takers[1].IsZero() {
		return packet.Takers[1]
	}
	return o.Self
}

func (o *Opener) isTaker(packet *Packet) bool {
	return packet.Takers[0] == o.Self || packet.Takers[1] == o.Self
}

func (o *Opener) pass(packet *Packet, peer gooseberrymast.Identity, now time.Time) Decision {
	asserter.Holds(packet.Hop < MaxHop, "opener-hop-limit", "flow %x passed on at hop %d", packet.Key, packet.Hop)
	o.remember(packet.Key, flow{peer: peer, since: now})
	return Decision{Verdict: VerdictPass, Peer: peer}
}

func (o *Opener) take(key uint64, now time.Time) Decision {
	if o.halfOpen >= o.maxHalfOpen() {
		return Decision{Verdict: VerdictDrop, Reason: ReasonHalfOpen}
	}
	o.halfOpen++
	o.remember(key, flow{peer: o.Self, since: now, halfOpen: true})
	return Decision{Verdict: VerdictTake}
}

func (o *Opener) life() time.Duration {
	if o.Life == 0 {
		return DefaultLife
	}
	return o.Life
}

func (o *Opener) maxHalfOpen() int {
	if o.MaxHalfOpen == 0 {
		return DefaultMaxHalfOpen
	}
	return o.MaxHalfOpen
}

func (o *Opener) maxFlows() int {
	if o.MaxFlows == 0 {
		return DefaultMaxFlows
	}
	return o.MaxFlows
}
