package main

import (
	"encoding/binary"
	"hash/fnv"
	"net"
	"net/netip"
)

// Byte offsets and flags of the platform's packet header.
const (
	offFlags  = 0
	offSeq    = 1
	offAck    = 5
	offEcho   = 9
	offLen    = 13
	offSum    = 15
	offDport  = 19
	offDst    = 21
	offSport  = 25
	offSrc    = 27
	headBytes = 31

	flagSyn      = 1
	flagReturned = 4
	flagAck      = 8
	flagRst      = 32
	flagFin      = 64
)

// packet is a decoded packet.
type packet struct {
	flags    byte
	seq, ack uint32
	echo     uint32
	sum      uint32
	src, dst netip.AddrPort
	data     []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// checksum is the keyed sum over all fields except echo and the mark of a returned packet.
func checksum(datagram []byte) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte("key of this run"))
	hash.Write([]byte{datagram[offFlags] &^ flagReturned})
	hash.Write(datagram[offSeq:offEcho])
	hash.Write(datagram[offLen:offSum])
	hash.Write(datagram[offDport:])
	return hash.Sum32()
}

// encode returns the packet as a datagram with its sum.
func (p packet) encode() []byte {
	datagram := make([]byte, headBytes, headBytes+len(p.data))
	datagram[offFlags] = p.flags
	binary.BigEndian.PutUint32(datagram[offSeq:], p.seq)
	binary.BigEndian.PutUint32(datagram[offAck:], p.ack)
	binary.BigEndian.PutUint16(datagram[offLen:], uint16(len(p.data)))
	put := func(address, port int, endpoint netip.AddrPort) {
		ip := endpoint.Addr().As4()
		copy(datagram[address:], ip[:])
		binary.BigEndian.PutUint16(datagram[port:], endpoint.Port())
	}
	put(offDst, offDport, p.dst)
	put(offSrc, offSport, p.src)
	datagram = append(datagram, p.data...)
	binary.BigEndian.PutUint32(datagram[offSum:], checksum(datagram))
	return datagram
}

// decode reads a datagram. valid says whether its sum is right.
func decode(datagram []byte) (p packet, valid bool) {
	if len(datagram) < headBytes || int(binary.BigEndian.Uint16(datagram[offLen:])) != len(datagram)-headBytes {
		return p, false
	}
	get := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(datagram[address:address+4])), binary.BigEndian.Uint16(datagram[port:]))
	}
	p = packet{
		flags: datagram[offFlags], seq: binary.BigEndian.Uint32(datagram[offSeq:]), ack: binary.BigEndian.Uint32(datagram[offAck:]),
		echo: binary.BigEndian.Uint32(datagram[offEcho:]), sum: binary.BigEndian.Uint32(datagram[offSum:]),
		src: get(offSrc, offSport), dst: get(offDst, offDport), data: append([]byte(nil), datagram[headBytes:]...),
	}
	return p, p.sum == checksum(datagram)
}

func listenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
}

// receive passes each datagram of a socket to handle until the socket is closed.
func receive(conn *net.UDPConn, handle func(datagram []byte)) {
	buffer := make([]byte, 4096)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		handle(append([]byte(nil), buffer[:n]...))
	}
}
