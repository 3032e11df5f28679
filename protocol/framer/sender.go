package framer

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync/atomic"
)

// Stripes is the number of sequences of one sender. A sender spreads its
// targets over the stripes, so that a target receives a sequence with small
// gaps and its replay window covers a long time.
const Stripes = 1024

// maxCounter is the highest counter that the header holds.
const maxCounter = 1<<48 - 1

// Sender numbers the frames that a process sends. It is safe for concurrent
// use.
type Sender struct {
	// ID is chosen at random.
	ID       uint64
	counters [Stripes]atomic.Uint64
}

// NewSender returns a sender with a random id.
func NewSender() *Sender {
	var id [8]byte
	rand.Read(id[:])
	return &Sender{ID: binary.BigEndian.Uint64(id[:])}
}

// Next returns the origin of the next frame to a target.
func (s *Sender) Next(target netip.AddrPort) Origin {
	stripe := stripeOf(target)
	return Origin{Sender: s.ID, Stripe: stripe, Counter: s.counters[stripe].Add(1)}
}

func stripeOf(target netip.AddrPort) uint16 {
	ip := target.Addr().As4()
	mixed := (uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(target.Port())) * 0x9e3779b97f4a7c15
	return uint16(mixed >> 54)
}
