// Package adopter holds the revision of the document that is in force at one
// process. The revision's number only rises.
package adopter

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/asserter"
)

// The errors of Unpack.
var (
	// ErrNoBase means that the text was compressed against a revision whose text
	// isn't held here. The whole text has to be requested from the sender.
	ErrNoBase = errors.New("the text is compressed against another revision")
	// ErrBadSum means that the text doesn't have the announced hash.
	ErrBadSum = errors.New("the text differs from its hash")
	// ErrEnvironment means that the revision belongs to another environment.
	ErrEnvironment = errors.New("the revision is of another environment")
)

// Adopter holds the revision in force.
type Adopter struct {
	// Environment is the environment whose revisions are accepted.
	Environment string
	// Parse decodes and validates a document. It must be set.
	Parse func(text []byte) (gooseberrymast.Document, error)
	// Current is the revision in force; its number is zero before the first.
	Current gooseberrymast.Revision
	// Document is the parsed text of Current.
	Document gooseberrymast.Document
	// TextNumber is the number of the revision that Current's text comes from.
	// It is below Current's number while an agent holds an older text whose
	// section for the agent's own service is the same.
	TextNumber uint64
	// Newest is the highest number that was offered, never below Current's.
	Newest uint64
	// Fault explains why Newest isn't in force, or is empty.
	Fault string

	previous gooseberrymast.Revision
	// highest is the last number in force; it serves to check the invariant.
	highest uint64
	// sections caches the results of Section, by service.
	sections map[gooseberrymast.ServiceTag]uint64
}

// Offer handles a revision from the store or a peer and reports whether it came
// into force. A lower one is ignored. One with Current's number provides the text
// if an older text is held.
func (a *Adopter) Offer(revision gooseberrymast.Revision) (bool, error) {
	if revision.Environment != a.Environment {
		return false, fmt.Errorf("Adopter.Offer revision %d of %q: %w", revision.Number, revision.Environment, ErrEnvironment)
	}
	if revision.Number <= a.Current.Number {
		return false, a.completeText(revision)
	}
	a.Newest = max(a.Newest, revision.Number)
	document, err := a.Parse(revision.Text)
	if err != nil {
		a.Fault = fmt.Sprintf("revision %d: %v", revision.Number, err)
		return false, fmt.Errorf("Adopter.Offer revision %d: %w", revision.Number, err)
	}
	a.previous = a.Current
	a.previous.Number = a.TextNumber
	a.adopt(revision, document)
	a.recordRise()
	return true, nil
}

// Advance puts a revision in force without its text. Its section for the
// process's own service must have the same hash as in the text that is held. It
// reports whether the revision came into force.
func (a *Adopter) Advance(number uint64, tag gooseberrymast.ServiceTag, section uint64) bool {
	if a.Current.Number == 0 || number <= a.Current.Number || section == 0 || section != a.Section(tag) {
		return false
	}
	a.Current.Number = number
	a.Newest = max(a.Newest, number)
	a.recordRise()
	return true
}

func (a *Adopter) adopt(revision gooseberrymast.Revision, document gooseberrymast.Document) {
	a.Current = revision
	a.Document = document
	a.TextNumber = revision.Number
	a.sections = nil
}

// recordRise asserts that the revision in force rose, and clears Fault once the
// newest is in force.
func (a *Adopter) recordRise() {
	number := a.Current.Number
	asserter.Holds(number > a.highest, "revision-only-rises", "revision %d came into force after %d", number, a.highest)
	a.highest = number
	if a.Newest == number {
		a.Fault = ""
	}
}

// completeText adopts the text of the revision in force if an older text is held.
func (a *Adopter) completeText(revision gooseberrymast.Revision) error {
	if revision.Number != a.Current.Number || a.TextNumber == a.Current.Number {
		a.checkSame(revision)
		return nil
	}
	document, err := a.Parse(revision.Text)
	if err != nil {
		return fmt.Errorf("Adopter.complete revision %d: %w", revision.Number, err)
	}
	a.adopt(revision, document)
	return nil
}

// checkSame asserts that a revision with Current's number has the same text.
func (a *Adopter) checkSame(revision gooseberrymast.Revision) {
	if revision.Number != a.Current.Number {
		return
	}
	asserter.Holds(string(revision.Text) == string(a.Current.Text), "one-text-for-each-revision",
		"revision %d of write %s differs from that of write %s", revision.Number, revision.WriteID, a.Current.WriteID)
}

// Pack encodes the revision in force for a peer at another revision: as a change
// against that revision if its text is held, else as the whole text. It returns
// nil when the text of the revision in force isn't held.
func (a *Adopter) Pack(peer uint64) *messenger.Revision {
	if a.Current.Number == 0 || a.TextNumber != a.Current.Number {
		return nil
	}
	message := &messenger.Revision{
		Number:      a.Current.Number,
		Environment: a.Current.Environment,
		WriteID:     a.Current.WriteID,
		Author:      a.Current.Author,
		Time:        a.Current.Time,
		TextHash:    xxhash.Sum64(a.Current.Text),
	}
	var base []byte
	if peer != 0 && peer == a.previous.Number {
		message.Base = peer
		base = a.previous.Text
	}
	message.Packed = compress(base, a.Current.Text)
	return message
}

// Unpack decodes a revision that a peer encoded with Pack.
func (a *Adopter) Unpack(message *messenger.Revision) (gooseberrymast.Revision, error) {
	base, found := a.textOf(message.Base)
	if !found {
		return gooseberrymast.Revision{}, fmt.Errorf("Adopter.Unpack revision %d on %d: %w", message.Number, message.Base, ErrNoBase)
	}
	text, err := expand(base, message.Packed)
	if err != nil {
		return gooseberrymast.Revision{}, fmt.Errorf("Adopter.Unpack revision %d: %w", message.Number, err)
	}
	if xxhash.Sum64(text) != message.TextHash {
		return gooseberrymast.Revision{}, fmt.Errorf("Adopter.Unpack revision %d: %w", message.Number, ErrBadSum)
	}
	return gooseberrymast.Revision{
		Number:      message.Number,
		Environment: message.Environment,
		WriteID:     message.WriteID,
		Author:      message.Author,
		Time:        message.Time,
		Text:        text,
	}, nil
}

func (a *Adopter) textOf(number uint64) ([]byte, bool) {
	switch number {
	case 0:
		return nil, true
	case a.TextNumber:
		return a.Current.Text, true
	case a.previous.Number:
		return a.previous.Text, true
	}
	return nil, false
}
