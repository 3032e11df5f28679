// Package framer puts an authenticated header before the datagrams that
// balancers and agents send one another.
//
// The header is MinBytes long, and IdentityBytes longer for each listed agent
// (a taker, which may own the flow, or a home, which chooses between takers; see
// package opener), at most MaxBytes:
//
//	 0 MAC (16): AES-128-GMAC over the rest of the frame, payload included
//	16 version (1)
//	17 kind (1)
//	18 key epoch (1)
//	19 hop (2 bits), to taker, declined, number of takers (2 bits), of homes (2 bits)
//	20 service tag (2)
//	22 index of the service address (2)
//	24 sender (8), stripe (2), counter (6): the MAC's nonce
//	40 target (10): IPv4 address, port, incarnation
//	50 caller (6): IPv4 address and port
//	56 balancer (6)
//	62 id of the balancer's sender (8)
//	70 takers, then homes (10 each): laid out as the target
//
// With QUIC datagrams of 1,200 bytes the largest UDP payload is 1,310 bytes,
// well under what an Ethernet frame holds. IPv6 would add 12 bytes to each of
// the three addresses and to each listed agent, 84 bytes at most; the version
// byte permits such a layout later.
package framer

import (
	"encoding/binary"
	"net/netip"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
)

// Version is the version of the header's layout, the only one so far.
const Version = 1

// Sizes of a header and of the datagrams that follow it.
const (
	macBytes     = 16
	addressBytes = 6
	// IdentityBytes is the size of one listed agent.
	IdentityBytes = 10
	// MinBytes is the size of a header that lists no agents.
	MinBytes = 70
	// MaxBytes is the size of a header that lists as many agents as it can.
	MaxBytes = MinBytes + (MaxTakers+MaxHomes)*IdentityBytes
	// MaxPayload is the size of the largest QUIC datagram that is carried:
	// with the largest header, and 28 bytes of IPv4 and UDP headers, it fills
	// a packet of 1,500 bytes.
	MaxPayload = 1500 - 28 - MaxBytes
	// MaxFrame is the size of the largest frame.
	MaxFrame = MaxPayload + MaxBytes
)

// The numbers of agents that a header can list.
const (
	MaxTakers = 2
	MaxHomes  = 2
)

// Offsets in the header.
const (
	versionAt        = 16
	kindAt           = 17
	epochAt          = 18
	countsAt         = 19
	serviceAt        = 20
	indexAt          = 22
	nonceAt          = 24
	stripeAt         = 32
	counterAt        = 34
	nonceEnd         = 40
	toAt             = 40
	callerAt         = 50
	balancerAt       = 56
	balancerSenderAt = 62
)

// Bits of the byte at countsAt.
const (
	hopShift    = 6
	toTakerBit  = 1 << 5
	declinedBit = 1 << 4
)

// Kind is the type of a frame.
type Kind uint8

// The kinds of frames.
const (
	// KindFlow carries a packet of an established flow to its agent.
	KindFlow Kind = iota + 1
	// KindOpening carries a packet that may open a flow.
	KindOpening
	// KindAnswer carries an agent's packet to the balancer.
	KindAnswer
	// KindMoved notifies a home that Takers[1] passed the flow, whose key
	// is the payload, on to Takers[0].
	KindMoved
)

// AnyIndex in an answer selects the first address of the service. An agent
// uses it when it has no index from the balancer.
const AnyIndex = 1<<16 - 1

// KeyBytes is the size of the payload of KindMoved.
const KeyBytes = 8

// Fault is the reason for which a frame is dropped.
type Fault string

// The faults of a frame.
const (
	FaultTruncated    Fault = "truncated"
	FaultOversized    Fault = "oversized"
	FaultBadVersion   Fault = "bad-version"
	FaultBadKind      Fault = "bad-kind"
	FaultUnknownEpoch Fault = "unknown-epoch"
	FaultForged       Fault = "forged"
	FaultReplayed     Fault = "replayed"
	FaultWrongService Fault = "wrong-service"
	FaultWrongTarget  Fault = "wrong-target"
)

// Error implements the error interface.
func (f Fault) Error() string {
	return "frame: " + string(f)
}

// Header is the content of a frame's header.
type Header struct {
	// Kind is one of the four kinds.
	Kind Kind
	// Epoch is the epoch of the key that the header is sealed with. Seal sets
	// it.
	Epoch keyer.Epoch
	// Hop counts the agents that passed the packet on. Its two bits hold at
	// most 3.
	Hop uint8
	// ToTaker is set when the packet was passed on to the agent that is to own
	// the flow, and clear when it was passed on to a home.
	ToTaker bool
	// Declined is set when the first taker passed the packet on to the
	// second, which must accept the flow.
	Declined bool
	// Service is the service that the caller addressed.
	Service gooseberrymast.ServiceTag
	// Index is the index of the balancer's service address; the agent's
	// answers repeat it, or have AnyIndex.
	Index uint16
	// Origin identifies the sender and the frame's position in its sequence.
	Origin Origin
	// To is the process that the frame is sent to. Answers to a balancer have
	// no incarnation: BalancerSender is checked instead.
	To gooseberrymast.Identity
	// Caller is the caller's address.
	Caller netip.AddrPort
	// Balancer is the address that answers are sent to.
	Balancer netip.AddrPort
	// BalancerSender is the Sender.ID of the balancer. Answers must repeat it,
	// so that a balancer restarted at the same address refuses the answers
	// meant for its previous incarnation. It is zero in an answer through a
	// balancer that hasn't delivered any packet yet.
	BalancerSender uint64
	// Takers lists the agents that may own the flow, in order. Unused elements
	// are zero and come last.
	Takers [MaxTakers]gooseberrymast.Identity
	// Homes lists the agents that record which taker owns the flow: the one by
	// the current table, then the one by the previous table if it is another
	// agent.
	Homes [MaxHomes]gooseberrymast.Identity
}

// Origin identifies a frame. No two frames of the fleet have equal origins.
type Origin struct {
	// Sender is the Sender.ID of the process, chosen at random when it starts.
	Sender uint64
	// Stripe is the number of one of the sender's sequences.
	Stripe uint16
	// Counter rises by one with each frame of the stripe; 48 bits are used.
	Counter uint64
}

// Bytes returns the size of the encoded header.
func (h *Header) Bytes() int {
	return MinBytes + IdentityBytes*(countIdentities(&h.Takers)+countIdentities(&h.Homes))
}

func countIdentities(ids *[2]gooseberrymast.Identity) int {
	switch {
	case ids[0].IsZero():
		return 0
	case ids[1].IsZero():
		return 1
	}
	return 2
}

// validateLayout finds the faults that can be found without a key.
func validateLayout(frame []byte) error {
	if len(frame) < MinBytes {
		return FaultTruncated
	}
	if len(frame) > MaxFrame {
		return FaultOversized
	}
	if frame[versionAt] != Version {
		return FaultBadVersion
	}
	kind := Kind(frame[kindAt])
	if kind < KindFlow || kind > KindMoved {
		return FaultBadKind
	}
	takers, homes := splitCounts(frame[countsAt])
	if takers > MaxTakers || homes > MaxHomes {
		return FaultOversized
	}
	if len(frame) < MinBytes+IdentityBytes*(takers+homes) {
		return FaultTruncated
	}
	return nil
}

func splitCounts(counts byte) (takers, homes int) {
	return int(counts >> 2 & 3), int(counts & 3)
}

func (h *Header) encode(frame []byte) {
	takers, homes := countIdentities(&h.Takers), countIdentities(&h.Homes)
	frame[versionAt] = Version
	frame[kindAt] = byte(h.Kind)
	frame[epochAt] = byte(h.Epoch)
	frame[countsAt] = h.Hop<<hopShift | byte(takers<<2) | byte(homes)
	if h.ToTaker {
		frame[countsAt] |= toTakerBit
	}
	if h.Declined {
		frame[countsAt] |= declinedBit
	}
	binary.BigEndian.PutUint16(frame[serviceAt:], uint16(h.Service))
	binary.BigEndian.PutUint16(frame[indexAt:], h.Index)
	binary.BigEndian.PutUint64(frame[nonceAt:], h.Origin.Sender)
	binary.BigEndian.PutUint64(frame[stripeAt:], uint64(h.Origin.Stripe)<<48|h.Origin.Counter)
	putIdentity(frame[toAt:], h.To)
	putAddress(frame[callerAt:], h.Caller)
	putAddress(frame[balancerAt:], h.Balancer)
	binary.BigEndian.PutUint64(frame[balancerSenderAt:], h.BalancerSender)
	rest := frame[MinBytes:]
	for i := range takers {
		rest = putIdentity(rest, h.Takers[i])
	}
	for i := range homes {
		rest = putIdentity(rest, h.Homes[i])
	}
}

func (h *Header) decode(frame []byte) {
	takers, homes := splitCounts(frame[countsAt])
	sequence := binary.BigEndian.Uint64(frame[stripeAt:])
	to, _ := getIdentity(frame[toAt:])
	*h = Header{
		Kind:     Kind(frame[kindAt]),
		Epoch:    keyer.Epoch(frame[epochAt]),
		Hop:      frame[countsAt] >> hopShift,
		ToTaker:  frame[countsAt]&toTakerBit != 0,
		Declined: frame[countsAt]&declinedBit != 0,
		Service:  gooseberrymast.ServiceTag(binary.BigEndian.Uint16(frame[serviceAt:])),
		Index:    binary.BigEndian.Uint16(frame[indexAt:]),
		Origin: Origin{
			Sender:  binary.BigEndian.Uint64(frame[nonceAt:]),
			Stripe:  uint16(sequence >> 48),
			Counter: sequence & maxCounter,
		},
		To:             to,
		Caller:         getAddress(frame[callerAt:]),
		Balancer:       getAddress(frame[balancerAt:]),
		BalancerSender: binary.BigEndian.Uint64(frame[balancerSenderAt:]),
	}
	rest := frame[MinBytes:]
	for i := range takers {
		h.Takers[i], rest = getIdentity(rest)
	}
	for i := range homes {
		h.Homes[i], rest = getIdentity(rest)
	}
}

func putAddress(buffer []byte, address netip.AddrPort) {
	if !address.IsValid() {
		clear(buffer[:addressBytes])
		return
	}
	ip := address.Addr().Unmap().As4()
	copy(buffer, ip[:])
	binary.BigEndian.PutUint16(buffer[4:], address.Port())
}

func getAddress(buffer []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(buffer)), binary.BigEndian.Uint16(buffer[4:]))
}

func putIdentity(buffer []byte, id gooseberrymast.Identity) []byte {
	putAddress(buffer, id.Address)
	binary.BigEndian.PutUint32(buffer[addressBytes:], uint32(id.Incarnation))
	return buffer[IdentityBytes:]
}

func getIdentity(buffer []byte) (gooseberrymast.Identity, []byte) {
	id := gooseberrymast.Identity{
		Address:     getAddress(buffer),
		Incarnation: gooseberrymast.Incarnation(binary.BigEndian.Uint32(buffer[addressBytes:])),
	}
	return id, buffer[IdentityBytes:]
}
