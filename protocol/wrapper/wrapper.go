// Package wrapper encodes the header in front of a packet that one process of
// the system forwards to another. The form is fixed and small, since every
// packet carries it:
//
//	kind 1 | mode 1 | flags 1 | candidates 1 | walk 4 | version 8 | service 8 |
//	origin 6 | initiator 6 | 6 for each candidate | packet
package wrapper

import (
	"encoding/binary"
	"errors"

	"gooseberrymast"
)

// The kinds of datagrams between processes.
const (
	// KindPacket is a header of this package with a packet behind it.
	KindPacket = 1
	// KindMessage is an encoded peer message.
	KindMessage = 2
)

const (
	fixed        = 36
	endpointSize = 6

	flagDefinite = 1 << 0
	flagPassed   = 1 << 1
)

// MaxHeader is the length of the longest header, in bytes.
const MaxHeader = fixed + gooseberrymast.MaxCandidates*endpointSize

// ErrMalformed means that a datagram is not a forwarded packet.
var ErrMalformed = errors.New("malformed header of a forwarded packet")

// Append appends the header of a hop.
func Append(datagram []byte, hop gooseberrymast.Hop) []byte {
	var flags byte
	if hop.Definite {
		flags |= flagDefinite
	}
	if hop.Passed {
		flags |= flagPassed
	}
	candidates := hop.Candidates[:min(len(hop.Candidates), gooseberrymast.MaxCandidates)]
	datagram = append(datagram, KindPacket, byte(hop.Mode), flags, byte(len(candidates)))
	datagram = binary.BigEndian.AppendUint32(datagram, hop.Walk)
	datagram = binary.BigEndian.AppendUint64(datagram, hop.Version)
	datagram = binary.BigEndian.AppendUint64(datagram, hop.Service)
	datagram = appendEndpoint(datagram, hop.Origin)
	datagram = appendEndpoint(datagram, hop.Initiator)
	for _, candidate := range candidates {
		datagram = appendEndpoint(datagram, candidate)
	}
	return datagram
}

// Split reads a header and gives the packet behind it, which shares the
// datagram's memory.
func Split(datagram []byte) (gooseberrymast.Hop, []byte, error) {
	if len(datagram) < fixed || datagram[0] != KindPacket {
		return gooseberrymast.Hop{}, nil, ErrMalformed
	}
	mode := gooseberrymast.HopMode(datagram[1])
	count := int(datagram[3])
	end := fixed + count*endpointSize
	if mode < gooseberrymast.HopPlace || mode > gooseberrymast.HopAbsent ||
		count > gooseberrymast.MaxCandidates || len(datagram) < end {
		return gooseberrymast.Hop{}, nil, ErrMalformed
	}
	hop := gooseberrymast.Hop{
		Mode:      mode,
		Definite:  datagram[2]&flagDefinite != 0,
		Passed:    datagram[2]&flagPassed != 0,
		Walk:      binary.BigEndian.Uint32(datagram[4:]),
		Version:   binary.BigEndian.Uint64(datagram[8:]),
		Service:   binary.BigEndian.Uint64(datagram[16:]),
		Origin:    endpoint(datagram[24:]),
		Initiator: endpoint(datagram[30:]),
	}
	if count > 0 {
		hop.Candidates = make([]gooseberrymast.Endpoint, count)
		for i := range hop.Candidates {
			hop.Candidates[i] = endpoint(datagram[fixed+i*endpointSize:])
		}
	}
	return hop, datagram[end:], nil
}

func appendEndpoint(datagram []byte, endpoint gooseberrymast.Endpoint) []byte {
	datagram = append(datagram, endpoint.IP[:]...)
	return binary.BigEndian.AppendUint16(datagram, endpoint.Port)
}

func endpoint(bytes []byte) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte(bytes[:4]), Port: binary.BigEndian.Uint16(bytes[4:])}
}
