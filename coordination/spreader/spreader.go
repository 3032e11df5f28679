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
	// gap is the least time between two revisions, revised when the last
	// one was sent.
	gap     time.Duration
	revised time.Time
	flushed time.Time
}

// NoteKey notes an entry for a session.
func (s *Spreader) NoteKey(session messenger.Session, key directory.Key) {
	q := s.queue(session)
	if q.keys == nil {
		q.keys = map[directory.Key]struct{}{}
	}
	q.keys[key] = struct{}{}
}

// NoteRevision notes the revision in force for a session. Two revisions are
// sent at least the gap apart, so that the one between them is skipped.
func (s *Spreader) NoteRevision(session messenger.Session, gap time.Duration) {
	q := s.queue(session)
	q.revision = true
	q.gap = gap
}

// Drop forgets a session that ended.
func (s *Spreader) Drop(session messenger.Session) {
	delete(s.queues, session)
}

// Due gives the batches whose time has come, by session.
func (s *Spreader) Due(now time.Time) []Batch {
	var batches []Batch
	for id, q := range s.queues {
		at, due := s.at(q)
		if !due || now.Before(at) {
			continue
		}
		batches = append(batches, q.take(id, now))
	}
	slices.SortFunc(batches, func(a, b Batch) int { return cmp.Compare(a.Session, b.Session) })
	return batches
}

// Next gives the time of the next batch, or zero when there is no news.
func (s *Spreader) Next() time.Time {
	var next time.Time
	for _, q := range s.queues {
		at, due := s.at(q)
		if due && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// at gives the time of a queue's next batch, if it has any news.
func (s *Spreader) at(q *queue) (time.Time, bool) {
	at := q.flushed.Add(s.wait(q))
	if len(q.keys) > 0 {
		return at, true
	}
	if revision := q.revised.Add(q.gap); revision.After(at) {
		at = revision
	}
	return at, q.revision
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

func (q *queue) take(id messenger.Session, now time.Time) Batch {
	q.flushed = now
	batch := Batch{Session: id}
	if q.revision && !now.Before(q.revised.Add(q.gap)) {
		batch.Revision = true
		q.revision = false
		q.revised = now
	}
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
