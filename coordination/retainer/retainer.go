// Package retainer keeps packets that were handed to another party, until it must have
// answered.
//
// Load pattern: servers, agents and balancers that fall silent while packets are passed
// from one to the next. A packet whose taker doesn't answer is passed on by who kept it.
package retainer

import (
	"slices"
	"time"
)

// TickInterval is the time between two ticks while packets are kept: an eighth of a caller's
// first retransmission interval.
const TickInterval = 25 * time.Millisecond

// Retainer keeps packets. Time is counted in ticks of the process itself, so that one that
// was paused doesn't take for silence what waits in its receive queue. The zero value keeps
// none.
type Retainer[T any] struct {
	// Max bounds the packets that are kept. It is set before use.
	Max int

	kept []Packet[T]
}

// Packet is a packet that is kept.
type Packet[T any] struct {
	// Value says to whom the packet was handed.
	Value T
	// Bytes is the packet as it was received.
	Bytes []byte
	ticks int
}

// Keep keeps a copy of a packet for a number of ticks. It reports false if as many packets
// as are allowed are kept.
func (r *Retainer[T]) Keep(value T, packet []byte, ticks int) bool {
	if len(r.kept) >= r.Max {
		return false
	}
	r.kept = append(r.kept, Packet[T]{Value: value, Bytes: slices.Clone(packet), ticks: ticks})
	return true
}

// Tick counts a tick. It removes and returns the packets that have been kept for their
// number of ticks, in the order in which they came.
func (r *Retainer[T]) Tick() (due []Packet[T]) {
	remaining := r.kept[:0]
	for _, packet := range r.kept {
		packet.ticks--
		if packet.ticks < 0 {
			due = append(due, packet)
		} else {
			remaining = append(remaining, packet)
		}
	}
	// The bytes of the packets that were removed are released.
	clear(r.kept[len(remaining):])
	r.kept = remaining
	return due
}

// Find returns the first value that matches.
func (r *Retainer[T]) Find(matches func(T) bool) (value T, found bool) {
	for _, packet := range r.kept {
		if matches(packet.Value) {
			return packet.Value, true
		}
	}
	return value, false
}

// Len returns the number of packets that are kept.
func (r *Retainer[T]) Len() int {
	return len(r.kept)
}
