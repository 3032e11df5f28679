// Package wrapper encodes the header in front of a packet that one process of
// the system forwards to another. The layout is fixed and small, since every
// packet carries it. With lengths in bytes:
//
//	kind 1 | mode 1 | flags 1 | number of candidates 1 | walk 4 | revision 8 |
//	service 8 | origin 6 | initiator 6 | 6 for each candidate | packet
//
// The revision is the store's revision of the sender's document. In HopPlace the
// initiator is the origin, if a flag is set, and the bytes of initiator are the
// document's number; it is zero from earlier builds and if it doesn't fit.
package wrapper

import (
	"encoding/binary"
	"errors"

	"gooseberrymast"
)

// The kinds of datagrams between processes.
const (
	// KindPacket is a header of this package followed by a packet.
	KindPacket = 1
	// KindMessage is an encoded peer message.
	KindMessage = 2
)

const (
	fixedHeaderBytes = 36
	endpointBytes    = 6

	flagDefinite = 1 << 0
	flagPassed   = 1 << 1
	// flagInitiator is set in HopPlace if the hop has an initiator.
	flagInitiator = 1 << 2
	// maxNumber is the highest number of a document that a header contains.
	maxNumber = 1<<48 - 1
)

// MaxHeader is the length of the longest header, in bytes.
const MaxHeader = fixedHeaderBytes + gooseberrymast.MaxCandidates*endpointBytes

// ErrMalformed means that a datagram is not a forwarded packet.
var ErrMalformed = errors.New("malformed header of a forwarded packet")

// Append appends the header for a hop to datagram and returns the result.
func Append(datagram []byte, hop gooseberrymast.Hop) []byte {
	var flags byte
	if hop.Definite {
		flags |= flagDefinite
	}
	if hop.NotifyOrigin {
		flags |= flagPassed
	}
	initiator := hop.Initiator
	if hop.Mode == gooseberrymast.HopPlace {
		if !initiator.IsZero() {
			flags |= flagInitiator
		}
		initiator = encodeNumber(hop.Version.Number)
	}
	candidates := hop.Candidates[:min(len(hop.Candidates), gooseberrymast.MaxCandidates)]
	datagram = append(datagram, KindPacket, byte(hop.Mode), flags, byte(len(candidates)))
	datagram = binary.BigEndian.AppendUint32(datagram, hop.Walk)
	datagram = binary.BigEndian.AppendUint64(datagram, hop.Version.Revision)
	datagram = binary.BigEndian.AppendUint64(datagram, hop.Service)
	datagram = appendEndpoint(datagram, hop.Origin)
	datagram = appendEndpoint(datagram, initiator)
	for _, candidate := range candidates {
		datagram = appendEndpoint(datagram, candidate)
	}
	return datagram
}

// Split decodes the header of a datagram and returns the packet after it, which
// shares the datagram's memory.
func Split(datagram []byte) (gooseberrymast.Hop, []byte, error) {
	if len(datagram) < fixedHeaderBytes || datagram[0] != KindPacket {
		return gooseberrymast.Hop{}, nil, ErrMalformed
	}
	mode := gooseberrymast.HopMode(datagram[1])
	count := int(datagram[3])
	end := fixedHeaderBytes + count*endpointBytes
	if mode < gooseberrymast.HopPlace || mode > gooseberrymast.HopAbsent ||
		count > gooseberrymast.MaxCandidates || len(datagram) < end {
		return gooseberrymast.Hop{}, nil, ErrMalformed
	}
	hop := gooseberrymast.Hop{
		Mode:         mode,
		Definite:     datagram[2]&flagDefinite != 0,
		NotifyOrigin: datagram[2]&flagPassed != 0,
		Walk:         binary.BigEndian.Uint32(datagram[4:]),
		Version:      gooseberrymast.DocumentVersion{Revision: binary.BigEndian.Uint64(datagram[8:])},
		Service:      binary.BigEndian.Uint64(datagram[16:]),
		Origin:       decodeEndpoint(datagram[24:]),
		Initiator:    decodeEndpoint(datagram[30:]),
	}
	if mode == gooseberrymast.HopPlace {
		hop.Version.Number = decodeNumber(hop.Initiator)
		hop.Initiator = gooseberrymast.Endpoint{}
		if datagram[2]&flagInitiator != 0 {
			hop.Initiator = hop.Origin
		}
	}
	if count > 0 {
		hop.Candidates = make([]gooseberrymast.Endpoint, count)
		for i := range hop.Candidates {
			hop.Candidates[i] = decodeEndpoint(datagram[fixedHeaderBytes+i*endpointBytes:])
		}
	}
	return hop, datagram[end:], nil
}

func appendEndpoint(datagram []byte, endpoint gooseberrymast.Endpoint) []byte {
	datagram = append(datagram, endpoint.IP[:]...)
	return binary.BigEndian.AppendUint16(datagram, endpoint.Port)
}

func decodeEndpoint(data []byte) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte(data[:4]), Port: binary.BigEndian.Uint16(data[4:])}
}

// encodeNumber returns the endpoint whose bytes are a document's number.
func encodeNumber(number uint64) gooseberrymast.Endpoint {
	if number > maxNumber {
		return gooseberrymast.Endpoint{}
	}
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], number)
	return decodeEndpoint(data[2:])
}

func decodeNumber(endpoint gooseberrymast.Endpoint) uint64 {
	return uint64(binary.BigEndian.Uint32(endpoint.IP[:]))<<16 | uint64(endpoint.Port)
}
