// Package announcer maintains the record that a process announces about itself
// and selects the balancers that it announces the record to.
package announcer

import (
	"net/netip"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
	"gooseberrymast/state/directory"
)

// Announcer is the only writer of a process's own record.
type Announcer struct {
	// Entry is the current own entry. Its sequence increases with each change.
	Entry directory.Entry
}

// Begin initialises the record of a new incarnation. A zero incarnation is
// replaced by one.
func (a *Announcer) Begin(record gooseberrymast.Record) {
	record.Identity.Incarnation = max(record.Identity.Incarnation, 1)
	record.Sequence = 1
	record.State = gooseberrymast.StateStarting
	a.Entry = directory.Entry{Record: record}
}

// SetState announces a state of the process and reports whether the record
// changed. A state that isn't later than the current one is ignored.
func (a *Announcer) SetState(state gooseberrymast.State) bool {
	if state <= a.Entry.Record.State {
		return false
	}
	a.Entry.Record.State = state
	a.raiseSequence()
	return true
}

// SetRegistrars announces the registrars that the process has sessions with and
// reports whether the record changed.
func (a *Announcer) SetRegistrars(registrars [directory.RegistrarCount]netip.AddrPort) bool {
	if registrars == a.Entry.Registrars {
		return false
	}
	a.Entry.Registrars = registrars
	a.raiseSequence()
	return true
}

// Renew raises the sequence, which supersedes a loss reported for the previous
// one.
func (a *Announcer) Renew() {
	a.raiseSequence()
}

// ReceiveOwnEntry handles an entry of the process's own address that came from
// a peer. It reports whether the own entry changed and whether its incarnation
// was raised. An entry that isn't older than the own one, and that this
// incarnation didn't write, is of an earlier incarnation, and the own
// incarnation is raised above it.
func (a *Announcer) ReceiveOwnEntry(entry directory.Entry) (changed, incarnationRaised bool) {
	own := a.Entry.Record
	switch {
	case own.Newer(entry.Record):
		return false, false
	case !a.isCurrent(entry):
		a.Entry.Record.Identity.Incarnation = entry.Record.Identity.Incarnation + 1
		a.Entry.Record.Sequence = 0
		a.raiseSequence()
		return true, true
	case entry.Loss != 0:
		a.raiseSequence()
		return true, false
	}
	return false, false
}

// isCurrent reports whether an entry is the own one, apart from the loss.
func (a *Announcer) isCurrent(entry directory.Entry) bool {
	own := a.Entry
	own.Loss = entry.Loss
	return own == entry
}

func (a *Announcer) raiseSequence() {
	before := a.Entry.Record.Sequence
	a.Entry.Record.Sequence++
	a.Entry.Loss = 0
	asserter.Holds(a.Entry.Record.Sequence > before, "sequence-only-rises", "sequence of %s wrapped around", a.Entry.Record.Identity)
}
