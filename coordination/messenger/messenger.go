// Package messenger defines the messages that balancers and agents exchange
// over control sessions, and the calls to the platform's store, as plain data.
package messenger

import (
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/directory"
)

// Session identifies a control session within one process. Zero means none.
type Session uint64

// Message is a message on a control session. Exactly one field is set.
type Message struct {
	Hello     *Hello
	Heartbeat *Heartbeat
	Delta     *Delta
	Cells     *Cells
	Buckets   *Buckets
	Versions  *Versions
	Want      *Want
	Report    *Report
	Advice    *Advice
	Query     *Query
	Answer    *Answer
}

// Hello is the first message of each peer on a session.
type Hello struct {
	// Environment must equal the receiver's.
	Environment string
	// Entry is the sender's own entry.
	Entry directory.Entry
	// Revision is the sender's revision in force, or zero.
	Revision uint64
	// Digest is the digest of the sender's directory; zero for an agent.
	Digest uint64
}

// Heartbeat keeps a session open and reports the sender's revision in force.
type Heartbeat struct {
	Revision uint64
	// Primary is set when the sender has chosen the receiver as its primary
	// peer, the source of its updates.
	Primary bool
	// RequestText requests the receiver's revision with its whole text.
	RequestText bool
	// Digest is the digest of the sender's directory; zero between a balancer
	// and an agent.
	Digest uint64
	// SectionHash is the hash of the part of the document in force that concerns
	// the agent's service, on sessions between a balancer and an agent. An
	// agent whose own hash is equal adopts the sender's revision without its
	// text.
	SectionHash uint64
	// TextRevision is the revision whose text the sender holds; zero means Revision.
	TextRevision uint64
}

// Update is one entry sent to a peer.
type Update struct {
	Entry directory.Entry
	// Suspect is set when the sender suspects that the entry's process has
	// failed. Only agents use it.
	Suspect bool
}

// Delta contains changed entries and possibly a new revision.
type Delta struct {
	Updates []Update
	// Complete is set when Updates contains all entries of the agent's service.
	Complete bool
	// Revision is nil if the delta contains no revision.
	Revision *Revision
}

// Revision is an accepted revision sent to a peer.
type Revision struct {
	Number      uint64
	Environment string
	WriteID     string
	Author      string
	Time        time.Time
	// Base is the revision whose text Packed was compressed against; zero means
	// none.
	Base uint64
	// TextHash is the hash of the text.
	TextHash uint64
	// Packed is the compressed text.
	Packed []byte
}

// Cells starts a repair. It contains the digests of all cells of the sender.
type Cells struct {
	Digests []directory.CellDigest
}

// Buckets is the reply to Cells for one cell whose digests differ.
type Buckets struct {
	Cell    directory.CellID
	Digests [directory.BucketCount]uint64
}

// Versions is the reply to Buckets. It contains the sender's versions in the
// buckets that differ.
type Versions struct {
	Cell directory.CellID
	// Mask has a bit set for each bucket whose versions are listed.
	Mask     uint16
	Versions []directory.Version
}

// Want requests entries that are newer at the receiver.
type Want struct {
	// Cells are the cells of which all entries are requested.
	Cells []directory.CellID
	Keys  []directory.Key
}

// Report counts the revisions in force in the sender's subtree, including the
// sender.
type Report struct {
	Counts []RevisionCount
}

// RevisionCount is the number of instances that have a revision in force.
type RevisionCount struct {
	Number    uint64
	Instances int
	// Identities lists some of the instances, or all if there are few.
	Identities []gooseberrymast.Identity
}

// Advice lists the balancers that an agent should hold sessions with, in order
// of preference.
type Advice struct {
	Controls []netip.AddrPort
}

// Query requests the report of the root of the tree. It is forwarded towards
// the root.
type Query struct {
	ID uint64
	// Hops is how many more times the query may be forwarded.
	Hops int
}

// Answer contains the report of the process that answered a query.
type Answer struct {
	ID     uint64
	Report Report
	// Root is the process that answered.
	Root gooseberrymast.Identity
}
