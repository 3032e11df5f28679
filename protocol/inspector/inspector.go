// Package inspector reads from a QUIC datagram what a balancer needs: the
// destination connection id and whether the packet can open a flow. It relies
// on the version-independent properties of RFC 8999, and on the packet types of
// versions 1 and 2.
package inspector

import "encoding/binary"

// Versions whose packet types are known.
const (
	version1 = 0x00000001
	version2 = 0x6b3343cf
)

// Lengths in bytes, from RFC 9000.
const (
	// MinInitialDatagram is the size to which a caller pads a datagram that
	// holds an Initial packet.
	MinInitialDatagram = 1200
	// MinOpeningID and MaxID bound the id that a caller chooses for a flow.
	MinOpeningID = 8
	MaxID        = 20

	longHeaderBytes = 6
)

// Bits of the first byte.
const (
	longBit   = 0x80
	fixedBit  = 0x40
	typeShift = 4
	typeMask  = 3
)

// Fault says why a datagram isn't carried.
type Fault string

// The faults of a datagram.
const (
	FaultTruncated Fault = "truncated"
	// FaultNotQUIC is a datagram that can't be a caller's QUIC packet.
	FaultNotQUIC Fault = "not-quic"
	// FaultTooSmall is an Initial packet in a datagram that isn't padded.
	FaultTooSmall Fault = "too-small"
)

// Error makes a fault an error.
func (f Fault) Error() string {
	return "datagram: " + string(f)
}

// Packet is what was read of a datagram's first packet.
type Packet struct {
	// ID is the destination connection id, a part of the datagram. It is
	// idBytes long in a packet with a short header.
	ID []byte
	// Opens is set when the packet can belong to a flow that has no id of an
	// agent's making yet.
	Opens bool
	// Long is set for a packet with a long header.
	Long bool
}

// Parse reads a datagram. A short header doesn't carry the length of its id, so
// the caller gives it as idBytes. The error is a Fault.
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
	if kind == kindInitial && len(datagram) < MinInitialDatagram {
		return Packet{}, FaultTooSmall
	}
	packet.Opens = kind != kindOther && length >= MinOpeningID
	return packet, nil
}

// kind classifies packets with a long header.
type kind uint8

const (
	kindOther kind = iota
	kindInitial
	kindZeroRTT
)

// classify takes a packet of an unknown version for an Initial: the agent
// answers it with the versions that it supports.
func classify(version uint32, first byte) kind {
	bits := first >> typeShift & typeMask
	switch version {
	case version1:
	case version2:
		bits--
	default:
		return kindInitial
	}
	switch bits {
	case 0:
		return kindInitial
	case 1:
		return kindZeroRTT
	}
	return kindOther
}
