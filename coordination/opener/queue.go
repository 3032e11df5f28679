package opener

import "time"

// record stores a flow and drops the oldest ones beyond MaxFlows. A flow that is
// stored again keeps its first time, so that its position in the queue stays
// correct.
func (o *Opener) record(key uint64, f flow) {
	if o.flows == nil {
		o.flows = map[uint64]flow{}
	}
	if old, ok := o.flows[key]; ok {
		f.since = old.since
		o.flows[key] = f
		return
	}
	for len(o.flows) >= o.maxFlows() {
		o.dropOldest()
	}
	o.flows[key] = f
	o.byAge.push(entry{key: key, since: f.since})
}

// dropOldest drops the oldest flow.
func (o *Opener) dropOldest() {
	key := o.byAge.pop().key
	if o.flows[key].halfOpen {
		o.halfOpen--
	}
	delete(o.flows, key)
}

type entry struct {
	key   uint64
	since time.Time
}

// queue is a first-in first-out list that reuses its space.
type queue struct {
	entries []entry
	head    int
}

func (q *queue) len() int {
	return len(q.entries) - q.head
}

func (q *queue) first() entry {
	return q.entries[q.head]
}

func (q *queue) push(e entry) {
	if q.head > len(q.entries)/2 && len(q.entries) == cap(q.entries) {
		n := copy(q.entries, q.entries[q.head:])
		q.entries = q.entries[:n]
		q.head = 0
	}
	q.entries = append(q.entries, e)
}

func (q *queue) pop() entry {
	e := q.entries[q.head]
	q.head++
	if q.head == len(q.entries) {
		q.entries = q.entries[:0]
		q.head = 0
	}
	return e
}
