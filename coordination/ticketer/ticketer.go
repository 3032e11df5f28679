// Package ticketer issues tickets, which let a non-idempotent request run at most
// once, and remembers which requests of peers ran or must not run any more.
package ticketer

import (
	"gooseberrymast"
	"gooseberrymast/state/asserter"
)

// Window is the number of latest tickets whose use is remembered. An older ticket
// counts as used.
const Window = 1 << 17

const bitsPerWord = 64

// Issuer issues and spends the tickets of one agent. Self and Service must be set
// before the first call.
type Issuer struct {
	// Self is the identity of the issuing agent.
	Self gooseberrymast.Identity
	// Service is the tag of the agent's service.
	Service gooseberrymast.ServiceTag

	// lastSequence is the sequence number of the newest ticket.
	lastSequence uint64
	// used has one bit for each of the last Window sequence numbers.
	used []uint64
}

// Status is the state of a ticket at its issuer.
type Status uint8

// The statuses of a ticket.
const (
	// StatusForeign: another agent, or an earlier incarnation of this one, issued it.
	StatusForeign Status = iota
	// StatusNever: no such ticket was issued.
	StatusNever
	// StatusUsed: it was spent, or it is older than the window.
	StatusUsed
	// StatusUnused: it can be spent.
	StatusUnused
)

// Issue returns a new ticket.
func (i *Issuer) Issue() gooseberrymast.Ticket {
	if i.used == nil {
		i.used = make([]uint64, Window/bitsPerWord)
	}
	i.lastSequence++
	i.set(i.lastSequence, false)
	return gooseberrymast.Ticket{Issuer: i.Self, Service: i.Service, Sequence: i.lastSequence}
}

// Status returns the state of a ticket.
func (i *Issuer) Status(ticket gooseberrymast.Ticket) Status {
	if ticket.Issuer != i.Self || ticket.Service != i.Service {
		return StatusForeign
	}
	if ticket.Sequence == 0 || ticket.Sequence > i.lastSequence {
		return StatusNever
	}
	if !i.inWindow(ticket.Sequence) || i.isUsed(ticket.Sequence) {
		return StatusUsed
	}
	return StatusUnused
}

// Spend marks a ticket as used and reports whether it was unused.
func (i *Issuer) Spend(ticket gooseberrymast.Ticket) bool {
	if i.Status(ticket) != StatusUnused {
		return false
	}
	i.set(ticket.Sequence, true)
	return true
}

// Release makes a spent ticket usable again. The caller must ensure that the request
// for which it was spent did not run and can't run any more.
func (i *Issuer) Release(ticket gooseberrymast.Ticket) {
	if i.Status(ticket) != StatusUsed || !i.inWindow(ticket.Sequence) {
		return
	}
	asserter.Holds(i.isUsed(ticket.Sequence), "released-ticket-was-spent", "ticket %d", ticket.Sequence)
	i.set(ticket.Sequence, false)
}

func (i *Issuer) inWindow(sequence uint64) bool {
	return sequence+Window > i.lastSequence
}

func (i *Issuer) isUsed(sequence uint64) bool {
	bit := sequence % Window
	return i.used[bit/bitsPerWord]&(1<<(bit%bitsPerWord)) != 0
}

func (i *Issuer) set(sequence uint64, used bool) {
	index := sequence % Window
	mask := uint64(1) << (index % bitsPerWord)
	if used {
		i.used[index/bitsPerWord] |= mask
		return
	}
	i.used[index/bitsPerWord] &^= mask
}
