//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// Offsets of the header fields that this program reads or writes itself.
const (
	offsetFlags  = 0
	offsetEcho   = 9
	offsetSum    = 15
	flagReturned = 4
)

var codec platform.Codec

// sumOf returns the keyed sum over a packet, without the tag and the returned flag. Only callers and
// hosts know the key.
func sumOf(packet []byte) uint32 {
	copied := append([]byte("review key"), packet...)
	header := copied[len("review key"):]
	header[offsetFlags] &^= flagReturned
	clear(header[offsetEcho : offsetEcho+4])
	clear(header[offsetSum : offsetSum+4])
	return crc32.ChecksumIEEE(copied) | 1
}

// newPacket encodes a packet with its sum.
func newPacket(header gooseberrymast.PacketHeader, payload []byte) []byte {
	packet := codec.AppendPacket(nil, header, payload)
	binary.BigEndian.PutUint32(packet[offsetSum:], sumOf(packet))
	return packet
}

// genuine reports whether a caller or a host has written the packet.
func genuine(packet []byte) bool {
	return binary.BigEndian.Uint32(packet[offsetSum:]) == sumOf(packet)
}

// isSystemReset reports whether a packet is a reset that the load balancer has written.
func isSystemReset(header gooseberrymast.PacketHeader, packet []byte) bool {
	return header.Resets && binary.BigEndian.Uint32(packet[offsetSum:]) == 0
}
