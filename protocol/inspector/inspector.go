// Package inspector parses the parts of a QUIC datagram that a balancer needs:
// the destination connection id and whether the packet may open a flow. It uses
// the version-independent properties (RFC 8999) and the packet types of versions
// 1 and 2.
package inspector

import "encoding/binary"

// Versions whose packet types are known.
const (
	version1 = 0x00000001
	version2 = 0x6b3343cf
)

// Lengths in bytes, from RFC 9000.
const (
	// MinInitialDatagram is the smallest size of a datagram with an Initial
	// packet. Callers pad smaller ones.
	MinInitialDatagram = 1200
	// MinOpeningID and MaxID limit the length of the id that a caller chooses
	// for a new flow.
	MinOpeningID = 8
	MaxID        = 20

	// longHeaderBytes is the length of a long header up to the destination
	// connection id.
	longHeaderBytes = 6
)

// Bits of the first byte.
const (
	longBit   = 0x80
	fixedBit  = 0x40
	typeShift = 4
	typeMask  = 3
)

// Fault is the reason for which a datagram isn't forwarded.
type Fault string

// The faults of a datagram.
const (
	FaultTruncated Fault = "truncated"
	// FaultNotQUIC is a datagram that can't be a caller's QUIC packet.
	FaultNotQUIC Fault = "not-quic"
	// FaultTooSmall is an Initial packet in a datagram that isn't padded.
	FaultTooSmall Fault = "too-small"
)

// Error implements the error interface.
func (f Fault) Error() string {
	return "datagram: " + string(f)
}

// Packet holds the parsed parts of a datagram's first packet.
type Packet struct {
	// ID is the destination connection id, a part of the datagram. It is
	// idBytes long in a packet with a short header.
	ID []byte
	// MayOpenFlow is set when the packet may open a flow: its id may be one that the
	// caller chose, as no agent has issued an id for the flow yet.
	MayOpenFlow bool
	// Long is set for a packet with a long header.
	Long bool
}

// Parse parses the first packet of a datagram. A short header doesn't contain
// the length of its id; idBytes is that length. The error is a Fault.
func Parse(datagram []byte, idBytes int) (Packet, error) {
	if len(datagram) == 0 {
		return Packet{}, FaultTruncated
	}
	if datagram[0]&longBit != 0 {
		return parseLong(datagram)
	}
	if datagram[0]&fixedBit == 0 {
		return Packet{}, FaultNotQUIC
	}
	if len(datagram) < 1+idBytes {
		return Packet{}, FaultTruncated
	}
	return Packet{ID: datagram[1 : 1+idBytes]}, nil
}

func parseLong(datagram []byte) (Packet, error) {
	if len(datagram) < longHeaderBytes {
		return Packet{}, FaultTruncated
	}
	version := binary.BigEndian.Uint32(datagram[1:])
	length := int(datagram[longHeaderBytes-1])
	if version == 0 || length > MaxID {
		return Packet{}, FaultNotQUIC
	}
	if len(datagram) < longHeaderBytes+length {
		return Packet{}, FaultTruncated
	}
	packet := Packet{ID: datagram[longHeaderBytes : longHeaderBytes+length], Long: true}
	kind := classify(version, datagram[0])
	if kind == typeInitial && len(datagram) < MinInitialDatagram {
		return Packet{}, FaultTooSmall
	}
	packet.MayOpenFlow = kind != typeOther && length >= MinOpeningID
	return packet, nil
}

// packetType is the type of a packet with a long header.
type packetType uint8

const (
	typeOther packetType = iota
	typeInitial
	typeZeroRTT
)

// classify returns the type of a packet from its version and first byte. A
// packet of an unknown version is classified as an Initial: the agent answers it
// with the versions that it supports.
func classify(version uint32, first byte) packetType {
	bits := first >> typeShift & typeMask
	switch version {
	case version1:
	case version2:
		bits--
	default:
		return typeInitial
	}
	switch bits {
	case 0:
		return typeInitial
	case 1:
		return typeZeroRTT
	}
	return typeOther
}
