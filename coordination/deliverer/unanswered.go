package deliverer

import (
	"time"

	"gooseberrymast"
)

const (
	// returnTicks is the number of ticks after which a server that has sent nothing since
	// it got a packet is taken for silent: 50 to 75 ms. A server returns a packet within
	// some milliseconds, and acknowledges one that it keeps within 50.
	returnTicks = 2
	// maxKept bounds the packets that are kept until the server must have returned them:
	// 320 KB. Others are left to the caller's retransmission.
	maxKept = 256
	// unansweredAfter is the time after which a server that has not answered an opening
	// packet may have failed: it answers within a few milliseconds.
	unansweredAfter = 100 * time.Millisecond
)

// handed is a packet that the server was given although it may not hold the flow.
type handed struct {
	header gooseberrymast.PacketHeader
	tag    uint32
	// origin is the balancer to notify if the server holds the flow; zero if it knows.
	origin gooseberrymast.Endpoint
	// heard is the number of the server's packets up to then.
	heard uint64
}

// Overdue is a packet that the server has left unanswered, with the step to take instead.
type Overdue struct {
	Step   Step
	Header gooseberrymast.PacketHeader
	Packet []byte
}

// Keep keeps a packet of a step that has Keep set, until the server must have returned it.
func (d *Deliverer) Keep(step Step, header gooseberrymast.PacketHeader, packet []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := d.pending[step.Tag%maxPending]
	if found.tag != step.Tag {
		return
	}
	value := handed{header: header, tag: step.Tag, heard: d.heard}
	if found.hop.NotifyOrigin {
		value.origin = found.hop.Origin
	}
	ticks := returnTicks
	if d.silent {
		ticks = 0
	}
	d.kept.Max = maxKept
	d.kept.Keep(value, packet, ticks)
}

// PassOnUnanswered counts a tick of the packets that are kept, and returns those that the
// server has left unanswered. They go where they would go if the server had returned them,
// but the silence proves nothing: none of them is a denial. more is set if others are kept.
//
// A server handles packets in their order. One that has sent anything since it got a packet,
// and has not returned that, holds the flow.
func (d *Deliverer) PassOnUnanswered() (overdue []Overdue, more bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, packet := range d.kept.Tick() {
		value := packet.Value
		found := d.pending[value.tag%maxPending]
		if found.tag != value.tag || value.heard != d.heard {
			continue
		}
		d.silent = true
		d.pending[value.tag%maxPending] = pendingPacket{}
		overdue = append(overdue, Overdue{
			Step:   d.answerNotHeld(value.header, found.hop, ReasonServerUnresponsive, false),
			Header: value.header, Packet: packet.Bytes,
		})
	}
	return overdue, d.kept.Len() > 0
}

// hear records that the server has sent something.
func (d *Deliverer) hear() {
	d.heard++
	d.silent = false
}

// HasUnansweredOpening reports whether the server has not answered an opening packet for
// longer than unansweredAfter.
func (d *Deliverer) HasUnansweredOpening(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	unanswered := false
	for _, f := range d.flows {
		if !f.answered && now.Sub(f.openedAt) > unansweredAfter {
			unanswered = true
			d.silent = d.silent || f.heard == d.heard
		}
	}
	return unanswered
}

// unresponsive reports whether an opening packet goes to the next candidate because the
// server has sent nothing since it got an earlier packet that it had to answer.
func (d *Deliverer) unresponsive(f *flow, header gooseberrymast.PacketHeader, hop gooseberrymast.Hop, now time.Time) bool {
	switch {
	case !header.Opens || len(hop.Candidates) == 0:
		return false
	case f == nil:
		return d.silent
	}
	return header.Copy > 0 && !f.answered && f.heard == d.heard && now.Sub(f.openedAt) > unansweredAfter
}
