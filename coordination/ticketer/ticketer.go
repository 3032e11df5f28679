// Package ticketer issues tickets that let a non-idempotent request run at most
// once, and remembers which requests of peers ran or must not run any more.
package ticketer

import (
	"gooseberrymast"
	"gooseberrymast/state/asserter"
)

// Window is the number of the latest tickets whose use is remembered. An older
// ticket counts as used.
const Window = 1 << 17

const wordBits = 64

// Issuer issues and spends the tickets of one agent. Self and Service must be
// set before the first call.
type Issuer struct {
	// Self is the agent that issues.
	Self gooseberrymast.Identity
	// Service is the agent's service.
	Service gooseberrymast.ServiceTag

	// last is the sequence of the newest ticket.
	last uint64
	// used has one bit for each of the last Window sequences.
	used []uint64
}

// Status is what the issuer knows of a ticket.
type Status uint8

// The statuses of a ticket.
const (
	// StatusForeign: another agent, or an earlier incarnation of this one, issued it.
	StatusForeign Status = iota
	// StatusNever: no such ticket was issued.
	StatusNever
	// StatusUsed: it was spent, or it is older than the window.
	StatusUsed
	// StatusUnused: it may be spent.
	StatusUnused
)

// Issue makes a new ticket.
func (i *Issuer) Issue() gooseberrymast.Ticket {
	if i.used == nil {
		i.used = make([]uint64, Window/wordBits)
	}
	i.last++
	i.set(i.last, false)
	return gooseberrymast.Ticket{Issuer: i.Self, Service: i.Service, Sequence: i.last}
}

// Status tells whether a ticket may be spent.
func (i *Issuer) Status(ticket gooseberrymast.Ticket) Status {
	if ticket.Issuer != i.Self || ticket.Service != i.Service {
		return StatusForeign
	}
	if ticket.Sequence == 0 || ticket.Sequence > i.last {
		return StatusNever
	}
	if !i.remembered(ticket.Sequence) || i.isUsed(ticket.Sequence) {
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

// Release makes a spent ticket usable again. The caller has made sure that the
// request it was spent for did not run and can't run any more.
func (i *Issuer) Release(ticket gooseberrymast.Ticket) {
	if i.Status(ticket) != StatusUsed || !i.remembered(ticket.Sequence) {
		return
	}
	asserter.Holds(i.isUsed(ticket.Sequence), "released-ticket-was-spent", "ticket %d", ticket.Sequence)
	i.set(ticket.Sequence, false)
}

func (i *Issuer) remembered(sequence uint64) bool {
	return sequence+Window > i.last
}

func (i *Issuer) isUsed(sequence uint64) bool {
	at := sequence % Window
	return i.used[at/wordBits]&(1<<(at%wordBits)) != 0
}

func (i *Issuer) set(sequence uint64, used bool) {
	at := sequence % Window
	bit := uint64(1) << (at % wordBits)
	if used {
		i.used[at/wordBits] |= bit
		return
	}
	i.used[at/wordBits] &^= bit
}
