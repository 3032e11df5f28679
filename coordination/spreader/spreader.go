// Package spreader passes news on to peers: entries and revisions that changed
// are noted for each session and sent together, and lost news is repaired by
// comparing digests.
package spreader

import (
	"cmp"
	"slices"
	"time"

	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/directory"
)

// DefaultInterval is the least time between two deltas on one session. The
// first news after a pause is sent at once.
const DefaultInterval = 250 * time.Millisecond

// catchUpInterval takes the interval's place while more news waits than one
// delta holds, as for a newcomer.
const catchUpInterval = 50 * time.Millisecond

// MaxDeltaNews bounds the entries of one delta.
const MaxDeltaNews = 2000

// Batch is what is due on one session.
type Batch struct {
	Session messenger.Session
	// Keys are sorted and at most MaxDeltaNews.
	Keys []directory.Key
	// Revision is set when the session's peer needs the revision in force.
	Revision bool
}

// Spreader notes the news that each session still has to be sent. An entry
// that changes again before it was sent is sent once.
type Spreader struct {
	// Interval is the least time between two deltas on one session.
	Interval time.Duration

	queues map[messenger.Session]*queue
}

type queue struct {
	keys     map[directory.Key]struct{}
	revision bool
	flushed  time.Time
}

// NoteKey notes an entry for a session.
func (s *Spreader) NoteKey(session messenger.Session, key directory.Key) {
	q := s.queue(session)
	if q.keys == nil {
		q.keys = map[directory.Key]struct{}{}
	}
	q.keys[key] = struct{}{}
}

// NoteRevision notes the revision in force for a session.
func (s *Spreader) NoteRevision(session messenger.Session) {
	s.queue(session).revision = true
}

// Drop forgets a session that ended.
func (s *Spreader) Drop(session messenger.Session) {
	delete(s.queues, session)
}

// Due gives the batches whose time has come, by session.
func (s *Spreader) Due(now time.Time) []Batch {
	var batches []Batch
	for id, q := range s.queues {
		if q.empty() || now.Before(q.flushed.Add(s.wait(q))) {
			continue
		}
		q.flushed = now
		batches = append(batches, q.take(id))
	}
	slices.SortFunc(batches, func(a, b Batch) int { return cmp.Compare(a.Session, b.Session) })
	return batches
}

// Next gives the time of the next batch, or zero when there is no news.
func (s *Spreader) Next() time.Time {
	var next time.Time
	for _, q := range s.queues {
		if q.empty() {
			continue
		}
		at := q.flushed.Add(s.wait(q))
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (s *Spreader) queue(session messenger.Session) *queue {
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

func (s *Spreader) wait(q *queue) time.Duration {
	if len(q.keys) > MaxDeltaNews {
		return catchUpInterval
	}
	if s.Interval == 0 {
		return DefaultInterval
	}
	return s.Interval
}

func (q *queue) empty() bool {
	return len(q.keys) == 0 && !q.revision
}

func (q *queue) take(id messenger.Session) Batch {
	batch := Batch{Session: id, Revision: q.revision}
	q.revision = false
	for key := range q.keys {
		batch.Keys = append(batch.Keys, key)
	}
	slices.Sort(batch.Keys)
	if len(batch.Keys) > MaxDeltaNews {
		batch.Keys = batch.Keys[:MaxDeltaNews]
	}
	for _, key := range batch.Keys {
		delete(q.keys, key)
	}
	return batch
}
