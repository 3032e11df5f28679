package framer

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync/atomic"
)

// Stripes is the number of sequences of one sender. A sender counts the frames
// to different targets separately, as far as there are stripes, so that a
// target sees small gaps and its window covers a long time.
const Stripes = 1024

// maxCounter is the highest counter that the header holds.
const maxCounter = 1<<48 - 1

// Sender numbers the frames that a process sends from its start to its end. It
// may be used from any goroutine.
type Sender struct {
	// ID is drawn at random.
	ID       uint64
	counters [Stripes]atomic.Uint64
}

// NewSender draws the sender's id.
func NewSender() *Sender {
	var id [8]byte
	rand.Read(id[:])
	return &Sender{ID: binary.BigEndian.Uint64(id[:])}
}

// Next gives the origin of the next frame to a target.
func (s *Sender) Next(target netip.AddrPort) Origin {
	stripe := stripeOf(target)
	return Origin{Sender: s.ID, Stripe: stripe, Counter: s.counters[stripe].Add(1)}
}

func stripeOf(target netip.AddrPort) uint16 {
	ip := target.Addr().As4()
	mixed := (uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(target.Port())) * 0x9e3779b97f4a7c15
	return uint16(mixed >> 54)
}
