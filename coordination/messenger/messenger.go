// Package messenger holds the messages that balancers and agents exchange over
// control sessions, as plain data.
package messenger

import (
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/directory"
)

// Session numbers the control sessions of one process. Zero is no session.
type Session uint64

// Message is one message on a control session. Exactly one field is set.
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

// Hello is the first message in both directions of a session.
type Hello struct {
	// Environment must be that of the receiver.
	Environment string
	// Entry is the sender's own.
	Entry directory.Entry
	// Revision is the revision that the sender has in force, or zero.
	Revision uint64
	// Digest is the digest of the sender's directory; zero for an agent.
	Digest uint64
}

// Heartbeat keeps a session alive and acknowledges a revision.
type Heartbeat struct {
	Revision uint64
	// Primary is set when the sender takes its news from the receiver.
	Primary bool
	// Full asks for the receiver's revision with its whole text.
	Full bool
	// Digest is the digest of the sender's directory; zero between a balancer
	// and an agent.
	Digest uint64
	// Section is the hash of what the document in force says of the agent's
	// service, on sessions between a balancer and an agent. An agent whose
	// own is equal has the sender's revision in force without its text.
	Section uint64
	// Text is the revision whose text the sender holds; zero is Revision.
	Text uint64
}

// News is one entry on its way to a peer.
type News struct {
	Entry directory.Entry
	// Suspect is the sender's judgement. Only agents heed it.
	Suspect bool
}

// Delta carries changed entries and a new revision.
type Delta struct {
	News []News
	// Complete is set when News lists all entries of the agent's service.
	Complete bool
	// Revision is nil when the delta carries none.
	Revision *Revision
}

// Revision is an accepted document on its way to a peer.
type Revision struct {
	Number      uint64
	Environment string
	WriteID     string
	Author      string
	Time        time.Time
	// Base is the revision whose text Packed was compressed against, or
	// zero for none.
	Base uint64
	// Sum is the hash of the text.
	Sum uint64
	// Packed is the compressed text.
	Packed []byte
}

// Cells starts a repair: the digests of all cells of the sender.
type Cells struct {
	Digests []directory.CellDigest
}

// Buckets answers Cells for one cell whose digests differ.
type Buckets struct {
	Cell    directory.CellID
	Digests [directory.BucketCount]uint64
}

// Versions answers Buckets: the sender's versions in the buckets that differ.
type Versions struct {
	Cell directory.CellID
	// Mask has one bit for each bucket whose versions are listed.
	Mask     uint16
	Versions []directory.Version
}

// Want asks for entries that the receiver has in a newer version.
type Want struct {
	// Cells are wanted whole.
	Cells []directory.CellID
	Keys  []directory.Key
}

// Report counts the revisions in force in the part of the tree below the
// sender, the sender included.
type Report struct {
	Counts []RevisionCount
}

// RevisionCount counts the instances that have one revision in force.
type RevisionCount struct {
	Number    uint64
	Instances int
	// Identities names some of the instances, or all of a small number.
	Identities []gooseberrymast.Identity
}

// Advice names the balancers that an agent should hold sessions with, the best
// first.
type Advice struct {
	Controls []netip.AddrPort
}

// Query asks the root of the tree for its report. It is passed on towards it.
type Query struct {
	ID uint64
	// Hops is the number of times the query may still be passed on.
	Hops int
}

// Answer carries the report of the process that answered a query.
type Answer struct {
	ID     uint64
	Report Report
	// Root is the process that answered.
	Root gooseberrymast.Identity
}
