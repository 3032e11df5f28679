package main

import (
	"encoding/binary"
	"hash/crc32"
	"net"
	"net/netip"
)

// The bits of a packet's flags.
const (
	flagSyn     = 1
	flagBounced = 4
	flagAck     = 8
	flagRst     = 32
	flagFin     = 64
)

const headerBytes = 31

// packet is one datagram of a flow, as PROTOCOL.md lays it out.
type packet struct {
	flags    byte
	seq, ack uint32
	echo     uint32
	sum      uint32
	dst, src netip.AddrPort
	data     []byte
}

// sumKey is known to callers and hosts only.
const sumKey = "review stand-ins"

func (p packet) checksum() uint32 {
	copied := p
	copied.echo, copied.sum = 0, 0
	copied.flags &^= flagBounced
	return crc32.ChecksumIEEE(append([]byte(sumKey), copied.encode()...))
}

// seal sets the sum and returns the datagram.
func (p packet) seal() []byte {
	p.sum = p.checksum()
	return p.encode()
}

func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint32(b[1:], p.seq)
	binary.BigEndian.PutUint32(b[5:], p.ack)
	binary.BigEndian.PutUint32(b[9:], p.echo)
	binary.BigEndian.PutUint16(b[13:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[15:], p.sum)
	binary.BigEndian.PutUint16(b[19:], p.dst.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[21:], dst[:])
	binary.BigEndian.PutUint16(b[25:], p.src.Port())
	copy(b[27:], src[:])
	return append(b, p.data...)
}

func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[13:])) != len(b)-headerBytes {
		return p, false
	}
	return packet{
		flags: b[0],
		seq:   binary.BigEndian.Uint32(b[1:]),
		ack:   binary.BigEndian.Uint32(b[5:]),
		echo:  binary.BigEndian.Uint32(b[9:]),
		sum:   binary.BigEndian.Uint32(b[15:]),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[21:25])), binary.BigEndian.Uint16(b[19:])),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[27:31])), binary.BigEndian.Uint16(b[25:])),
		data:  append([]byte(nil), b[headerBytes:]...),
	}, true
}

func listenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
}
