// Package spreader distributes updates to peers. Changed entries and revisions
// are queued per session and sent in batches; lost updates are repaired by
// comparing digests.
package spreader

import (
	"cmp"
	"slices"
	"time"

	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/directory"
)

// DefaultInterval is the default minimum time between two deltas on one
// session. The first update after a pause is sent immediately.
const DefaultInterval = 250 * time.Millisecond

// catchUpInterval replaces the interval while more entries are queued than one
// delta may hold, as for a new peer.
const catchUpInterval = 50 * time.Millisecond

// MaxDeltaEntries is the maximum number of entries in one delta.
const MaxDeltaEntries = 2000

// Batch lists what to send on one session.
type Batch struct {
	Session messenger.Session
	// Keys are sorted, and at most MaxDeltaEntries.
	Keys []directory.Key
	// Revision is set when the revision in force is to be sent.
	Revision bool
}

// Spreader holds the pending updates of each session. An entry that changes
// several times before it is sent is sent once.
type Spreader struct {
	// Interval is the minimum time between two deltas on one session.
	Interval time.Duration

	queues map[messenger.Session]*queue
}

type queue struct {
	keys     map[directory.Key]struct{}
	revision bool
	// gap is the minimum time between two revisions.
	gap time.Duration
	// revisionSent is when the last revision was sent, and lastSent the last
	// batch.
	revisionSent time.Time
	lastSent     time.Time
}

// QueueKey queues an entry for a session.
func (s *Spreader) QueueKey(session messenger.Session, key directory.Key) {
	q := s.queueOf(session)
	if q.keys == nil {
		q.keys = map[directory.Key]struct{}{}
	}
	q.keys[key] = struct{}{}
}

// QueueRevision queues the revision in force for a session. Revisions are sent
// at least gap apart; revisions that come into force in between are skipped.
func (s *Spreader) QueueRevision(session messenger.Session, gap time.Duration) {
	q := s.queueOf(session)
	q.revision = true
	q.gap = gap
}

// Drop removes the queue of a session that ended.
func (s *Spreader) Drop(session messenger.Session) {
	delete(s.queues, session)
}

// Due removes and returns the batches that are due, ordered by session.
func (s *Spreader) Due(now time.Time) []Batch {
	var batches []Batch
	for id, q := range s.queues {
		at, due := s.nextBatch(q)
		if !due || now.Before(at) {
			continue
		}
		batches = append(batches, q.takeBatch(id, now))
	}
	slices.SortFunc(batches, func(a, b Batch) int { return cmp.Compare(a.Session, b.Session) })
	return batches
}

// Next returns when the next batch is due, or zero if nothing is queued.
func (s *Spreader) Next() time.Time {
	var next time.Time
	for _, q := range s.queues {
		at, due := s.nextBatch(q)
		if due && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// nextBatch returns when a queue's next batch is due, and reports whether there
// is one.
func (s *Spreader) nextBatch(q *queue) (time.Time, bool) {
	at := q.lastSent.Add(s.intervalOf(q))
	if len(q.keys) > 0 {
		return at, true
	}
	if revision := q.revisionSent.Add(q.gap); revision.After(at) {
		at = revision
	}
	return at, q.revision
}

func (s *Spreader) queueOf(session messenger.Session) *queue {
	if s.queues == nil {
		s.queues = map[messenger.Session]*queue{}
	}
	q := s.queues[session]
	if q == nil {
		q = &queue{}
		s.queues[session] = q
	}
	return q
}

// intervalOf returns the minimum time between two batches of a queue.
func (s *Spreader) intervalOf(q *queue) time.Duration {
	if len(q.keys) > MaxDeltaEntries {
		return catchUpInterval
	}
	if s.Interval == 0 {
		return DefaultInterval
	}
	return s.Interval
}

func (q *queue) takeBatch(id messenger.Session, now time.Time) Batch {
	q.lastSent = now
	batch := Batch{Session: id}
	if q.revision && !now.Before(q.revisionSent.Add(q.gap)) {
		batch.Revision = true
		q.revision = false
		q.revisionSent = now
	}
	for key := range q.keys {
		batch.Keys = append(batch.Keys, key)
	}
	slices.Sort(batch.Keys)
	if len(batch.Keys) > MaxDeltaEntries {
		batch.Keys = batch.Keys[:MaxDeltaEntries]
	}
	for _, key := range batch.Keys {
		delete(q.keys, key)
	}
	return batch
}
