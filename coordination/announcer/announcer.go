// Package announcer builds the record that a process announces about itself
// and chooses the balancers that it announces it to.
package announcer

import (
	"net/netip"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
	"gooseberrymast/state/directory"
)

// Announcer is the only writer of one process's record.
type Announcer struct {
	// Entry is the newest own entry. Its sequence rises with each change.
	Entry directory.Entry
}

// Begin sets the record of a new incarnation. A zero incarnation counts as one.
func (a *Announcer) Begin(record gooseberrymast.Record) {
	record.Identity.Incarnation = max(record.Identity.Incarnation, 1)
	record.Sequence = 1
	record.State = gooseberrymast.StateStarting
	a.Entry = directory.Entry{Record: record}
}

// Move announces the next state of the process. It reports whether the
// record changed; a state that was passed before is ignored.
func (a *Announcer) Move(state gooseberrymast.State) bool {
	if state <= a.Entry.Record.State {
		return false
	}
	a.Entry.Record.State = state
	a.raise()
	return true
}

// Attach announces the registrars that the process has sessions with. It
// reports whether the record changed.
func (a *Announcer) Attach(registrars [directory.RegistrarCount]netip.AddrPort) bool {
	if registrars == a.Entry.Registrars {
		return false
	}
	a.Entry.Registrars = registrars
	a.raise()
	return true
}

// Renew raises the sequence, which refutes what others say of the record.
func (a *Announcer) Renew() {
	a.raise()
}

// Heard takes an entry of the process's own address that came from a peer. It
// reports whether the own entry changed, and whether its identity did: an
// entry that this incarnation didn't write is an earlier one's, which the new one
// must rise above.
func (a *Announcer) Heard(entry directory.Entry) (changed, reborn bool) {
	own := a.Entry.Record
	switch {
	case own.Newer(entry.Record):
		return false, false
	case !a.wrote(entry):
		a.Entry.Record.Identity.Incarnation = entry.Record.Identity.Incarnation + 1
		a.Entry.Record.Sequence = 0
		a.raise()
		return true, true
	case entry.Loss != 0:
		a.raise()
		return true, false
	}
	return false, false
}

func (a *Announcer) wrote(entry directory.Entry) bool {
	own := a.Entry
	own.Loss = entry.Loss
	return own == entry
}

func (a *Announcer) raise() {
	before := a.Entry.Record.Sequence
	a.Entry.Record.Sequence++
	a.Entry.Loss = 0
	asserter.Holds(a.Entry.Record.Sequence > before, "sequence-only-rises", "sequence of %s wrapped around", a.Entry.Record.Identity)
}
