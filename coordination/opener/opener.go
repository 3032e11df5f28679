// Package opener decides, at an agent, who takes a new flow.
//
// Nearly every handshake begins with two or more datagrams that carry an id of
// the caller's choice. Each datagram may come through another balancer, in another
// zone and with another table, but they must reach the same agent. Each such
// packet names up to two takers, the agents that may take the flow, and up to two
// homes, the agents that decide between the takers. It is sent to the first home.
//
//   - A home that has no record of the flow passes the packet to the second
//     home, if there is one, which may have a record.
//   - The last home passes the packet to the first taker.
//   - A taker takes the flow. While it is leaving, warming up or over its limit it
//     passes the packet to the second taker instead, if a hop is left, and
//     notifies the homes.
//
// Each agent records, for the duration of a handshake, where it passed a flow,
// and this takes precedence over the candidates in a later packet. A packet is
// passed on at most MaxHop times.
//
// The packets of one flow reach the same agent if any two of the balancers that
// send them name the same first home, or the first home of one is the second home
// of the other, and that home runs. A home doesn't depend on the balancer's zone.
// Balancers determine the second home by a table that is at least a propagation
// time old, so this covers tables whose age differs by less than that and between
// which the flow's home moved once.
//
// It does not cover a home that moved twice within that time, one that some
// balancers consider suspect while others still send to it, or one that failed
// or dropped its record of the flow between two packets. In these cases the
// handshake may start at two agents; the caller continues with the one that
// answers first, or the handshake fails by its timeout.
package opener

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
)

// MaxHop is the number of times that a packet may be passed on.
const MaxHop = 2

// The defaults of the zero fields of an Opener.
const (
	DefaultMaxFlows    = 1 << 15
	DefaultMaxHalfOpen = 4096
	DefaultLifetime    = 10 * time.Second
)

// Opener is the state machine of one agent. Its fields may be set before the
// first event. It is not safe for concurrent use.
type Opener struct {
	// Self is the agent's identity.
	Self gooseberrymast.Identity
	// MaxFlows bounds the flows that are recorded; the oldest is dropped first.
	// Zero means DefaultMaxFlows.
	MaxFlows int
	// MaxHalfOpen bounds the flows taken whose handshake is not known to be
	// complete. Zero means DefaultMaxHalfOpen.
	MaxHalfOpen int
	// Lifetime is how long a flow is recorded. Zero means DefaultLifetime.
	Lifetime time.Duration

	suspects map[gooseberrymast.Identity]bool
	barred   map[gooseberrymast.Identity]bool
	// members are those of the last table; departed are those of earlier tables
	// only, with the time at which they were found missing.
	members  []gooseberrymast.Identity
	departed map[gooseberrymast.Identity]time.Time
	flows    map[uint64]flow
	byAge    queue
	halfOpen int
}

// flow records where a flow was passed, or that the agent took it.
type flow struct {
	// peer is the agent that the flow was passed to, or the agent itself if it
	// took the flow.
	peer  gooseberrymast.Identity
	since time.Time
	// pendingHome is set while peer is a second home, which may still pass the
	// flow to this agent.
	pendingHome bool
	// declined is set while peer is a second taker, which must take the flow.
	declined bool
	halfOpen bool
}

// decision returns the decision that passes a packet to the flow's peer.
func (f flow) decision() Decision {
	return Decision{Verdict: VerdictPass, Peer: f.peer, ToTaker: !f.pendingHome, Declined: f.declined}
}

// FirstPacket decides on one packet. busy is set when the agent should not take a
// new flow: it is leaving, warming up or over its limit.
func (o *Opener) FirstPacket(packet *Packet, busy bool, now time.Time) Decision {
	o.Expire(now)
	home := o.isHome(packet)
	f, ok := o.flows[packet.Key]
	ok = ok && !o.unavailable(f.peer)
	switch {
	case ok && f.peer == o.Self:
		return Decision{Verdict: VerdictTake}
	case packet.Declined:
		return o.take(packet.Key, now)
	case ok && (home || !f.pendingHome):
		return followFlow(f, packet)
	case home:
		return o.arbitrate(packet, busy, now)
	case packet.Hop == 0:
		return Decision{Verdict: VerdictDrop, Reason: ReasonNotNamed}
	}
	return o.takeOrDecline(packet, busy, now)
}

// HandleMoved records that oldPeer, to which a flow was passed, has passed it on to
// newPeer.
func (o *Opener) HandleMoved(key uint64, oldPeer, newPeer gooseberrymast.Identity) {
	f, ok := o.flows[key]
	if !ok || f.peer != oldPeer {
		return
	}
	f.peer = newPeer
	f.pendingHome = false
	f.declined = true
	o.flows[key] = f
}

// SetSuspects replaces the agents that are considered failed. No packet is passed
// to them, even if earlier packets of its flow were: the caller's retransmissions
// then begin the flow at another agent.
func (o *Opener) SetSuspects(ids []gooseberrymast.Identity) {
	o.suspects = make(map[gooseberrymast.Identity]bool, len(ids))
	for _, id := range ids {
		o.suspects[id] = id != o.Self
	}
}

// SetMembers replaces the agents of the service in the table. Those that were in
// it and no longer are have ended: no packet is passed to them, as if they were
// suspect. An agent that was never in the table may be newer than the table.
func (o *Opener) SetMembers(ids []gooseberrymast.Identity, now time.Time) {
	if o.departed == nil {
		o.departed = map[gooseberrymast.Identity]time.Time{}
	}
	for _, id := range o.members {
		o.departed[id] = now
	}
	for _, id := range ids {
		delete(o.departed, id)
	}
	for id, since := range o.departed {
		if now.Sub(since) >= o.lifetime() {
			delete(o.departed, id)
		}
	}
	o.members = append(o.members[:0], ids...)
}

// unavailable reports whether an agent has ended or is suspect.
func (o *Opener) unavailable(id gooseberrymast.Identity) bool {
	_, departed := o.departed[id]
	return departed || o.suspects[id]
}

// SetBarred replaces the agents that run but may take no new flows. They still
// receive packets as homes, and keep the flows that were passed to them.
func (o *Opener) SetBarred(ids []gooseberrymast.Identity) {
	o.barred = make(map[gooseberrymast.Identity]bool, len(ids))
	for _, id := range ids {
		o.barred[id] = id != o.Self
	}
}

// ineligible reports whether a new flow must not be passed to an agent.
func (o *Opener) ineligible(id gooseberrymast.Identity) bool {
	return id.IsZero() || o.unavailable(id) || o.barred[id]
}

// Complete records that the flow's handshake is complete or holds no memory, so
// that the flow no longer counts as half open.
func (o *Opener) Complete(key uint64) {
	f, ok := o.flows[key]
	if !ok || !f.halfOpen {
		return
	}
	f.halfOpen = false
	o.flows[key] = f
	o.halfOpen--
}

// Has reports whether the flow is recorded.
func (o *Opener) Has(key uint64) bool {
	_, ok := o.flows[key]
	return ok
}

// HalfOpen returns the number of flows taken whose handshake isn't complete.
func (o *Opener) HalfOpen() int {
	return o.halfOpen
}

// Flows returns the number of recorded flows.
func (o *Opener) Flows() int {
	return len(o.flows)
}

// Expire drops the flows that are older than Lifetime.
func (o *Opener) Expire(now time.Time) {
	for o.byAge.len() > 0 {
		first := o.byAge.first()
		if now.Sub(first.since) < o.lifetime() {
			return
		}
		o.dropOldest()
	}
}

// isHome reports whether the agent decides, as a home, who takes the flow.
func (o *Opener) isHome(packet *Packet) bool {
	if packet.Hop == 0 {
		return packet.Homes[0] == o.Self
	}
	return !packet.ToTaker
}

// followFlow sends a packet where the flow's earlier packets went.
func followFlow(f flow, packet *Packet) Decision {
	if packet.Hop >= MaxHop {
		return Decision{Verdict: VerdictDrop, Reason: ReasonHops}
	}
	return f.decision()
}

// arbitrate returns a home's decision on a flow that it has no record of.
func (o *Opener) arbitrate(packet *Packet, busy bool, now time.Time) Decision {
	if packet.Hop == 0 && !packet.Homes[1].IsZero() && !o.unavailable(packet.Homes[1]) {
		return o.pass(packet, flow{peer: packet.Homes[1], since: now, pendingHome: true})
	}
	first, second := packet.Takers[0], packet.Takers[1]
	if o.ineligible(first) && !o.ineligible(second) {
		first = second
	}
	if first == o.Self || packet.Hop >= MaxHop {
		return o.takeOrDecline(packet, busy, now)
	}
	return o.pass(packet, flow{peer: first, since: now})
}

// takeOrDecline returns the decision of an agent that a flow was given to. Only the
// first taker may decline, and only to an eligible second one.
func (o *Opener) takeOrDecline(packet *Packet, busy bool, now time.Time) Decision {
	full := o.halfOpen >= o.maxHalfOpen()
	other := packet.Takers[1]
	mayDecline := packet.Takers[0] == o.Self && !o.ineligible(other)
	if (busy || full) && packet.Hop < MaxHop && mayDecline {
		decision := o.pass(packet, flow{peer: other, since: now, declined: true})
		decision.Notify = o.otherHomes(packet)
		return decision
	}
	return o.take(packet.Key, now)
}

func (o *Opener) take(key uint64, now time.Time) Decision {
	if o.halfOpen >= o.maxHalfOpen() {
		return Decision{Verdict: VerdictDrop, Reason: ReasonHalfOpen}
	}
	o.halfOpen++
	o.record(key, flow{peer: o.Self, since: now, halfOpen: true})
	return Decision{Verdict: VerdictTake, New: true}
}

// otherHomes returns the homes of a packet except the agent itself.
func (o *Opener) otherHomes(packet *Packet) [2]gooseberrymast.Identity {
	homes := packet.Homes
	for i := range homes {
		if homes[i] == o.Self {
			homes[i] = gooseberrymast.Identity{}
		}
	}
	return homes
}

func (o *Opener) pass(packet *Packet, to flow) Decision {
	asserter.Holds(packet.Hop < MaxHop, "opener-hop-limit", "flow %x passed on at hop %d", packet.Key, packet.Hop)
	asserter.Holds(to.peer != o.Self, "opener-passes-to-others", "flow %x passed by %s to itself", packet.Key, o.Self)
	o.record(packet.Key, to)
	return to.decision()
}

func (o *Opener) lifetime() time.Duration {
	if o.Lifetime == 0 {
		return DefaultLifetime
	}
	return o.Lifetime
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
