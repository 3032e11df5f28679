package directory

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"gooseberrymast"
)

// MarkLoss adds a statement on the newest record of a key. It reports whether
// the statement is new.
func (d *Directory) MarkLoss(now time.Time, key Key, loss Loss) bool {
	known, found := d.get(key)
	if !found || known.loss|loss == known.loss {
		return false
	}
	updated := known
	updated.loss |= loss
	d.update(now, known, updated)
	return true
}

// MarkUnreachable makes a process suspect in this directory alone. A balancer
// that is cut off judges the others so without telling anyone.
func (d *Directory) MarkUnreachable(now time.Time, key Key) {
	if d.unreachable == nil {
		d.unreachable = map[Key]struct{}{}
	}
	d.unreachable[key] = struct{}{}
	d.judge(now, key)
}

// ClearUnreachable takes back all that MarkUnreachable set. The processes are
// judged only after all of them were cleared: they may name each other as
// registrars, and one that still looks lost would keep the others so.
func (d *Directory) ClearUnreachable(now time.Time) {
	keys := slices.Sorted(maps.Keys(d.unreachable))
	d.unreachable = nil
	for _, key := range keys {
		if p, found := d.get(key); found {
			d.setSuspect(now, p, false)
		}
	}
	for _, key := range keys {
		d.judge(now, key)
	}
}

// Tell sets the suspicion of a record as a registrar told it. What is told of
// another version of the record has no effect.
func (d *Directory) Tell(now time.Time, record gooseberrymast.Record, suspect bool) {
	known, found := d.get(KeyOf(record.Identity.Address))
	if found && known.incarnation == record.Identity.Incarnation && known.sequence == record.Sequence {
		d.setSuspect(now, known, suspect)
	}
}

// Expire lets time pass: it judges entries whose registrars were lost, hides
// and drops those that were suspect or gone for long.
func (d *Directory) Expire(now time.Time) {
	d.start(now)
	for _, key := range d.checks.due(now) {
		d.judge(now, key)
		d.judgeDependents(now, key)
	}
	for key := range d.aging {
		d.age(now, key)
	}
}

// Suspicions gives the keys whose suspicion changed since the last call.
func (d *Directory) Suspicions() []Key {
	keys := d.suspicions
	d.suspicions = nil
	return keys
}

// judge decides whether an entry is suspect: when every registrar it names
// lost it or is itself lost, or when a balancer can't be connected to.
func (d *Directory) judge(now time.Time, key Key) {
	p, found := d.get(key)
	if !found {
		return
	}
	if p.state == gooseberrymast.StateGone || d.Told {
		d.setSuspect(now, p, p.suspect && d.Told)
		return
	}
	d.setSuspect(now, p, d.abandoned(now, p))
}

func (d *Directory) abandoned(now time.Time, p packed) bool {
	if _, unreachable := d.unreachable[p.key]; unreachable || p.loss&LossUnreachable != 0 {
		return true
	}
	named := 0
	for i, registrar := range p.registrars {
		if registrar == 0 {
			continue
		}
		named++
		if p.loss&LossOf(i) == 0 && d.holds(now, p, registrar) {
			return false
		}
	}
	return named > 0
}

// holds reports whether a registrar may still have a session with an entry's
// writer. It schedules another look where time will tell.
func (d *Directory) holds(now time.Time, p packed, registrar Key) bool {
	r, found := d.get(registrar)
	if found && !r.suspect && r.state != gooseberrymast.StateGone {
		return true
	}
	if p.suspect {
		return false
	}
	at := d.timeOf(max(p.since, r.since)).Add(d.reattachTimeout())
	if !now.Before(at) {
		return false
	}
	d.checks.add(at, p.key)
	return true
}

func (d *Directory) setSuspect(now time.Time, p packed, suspect bool) {
	if suspect || p.state == gooseberrymast.StateGone {
		d.aging[p.key] = struct{}{}
	} else {
		delete(d.aging, p.key)
	}
	if p.suspect == suspect {
		return
	}
	updated := p
	updated.suspect = suspect
	updated.since = d.clock(now)
	updated.hidden = false
	d.update(now, p, updated)
	d.suspicions = append(d.suspicions, p.key)
	d.judgeDependents(now, p.key)
}

func (d *Directory) judgeDependents(now time.Time, registrar Key) {
	for _, key := range slices.Clone(d.dependent[registrar]) {
		d.judge(now, key)
	}
}

// age hides an entry that was suspect for half of its time and drops it after.
func (d *Directory) age(now time.Time, key Key) {
	p, found := d.get(key)
	if !found {
		return
	}
	limit := d.forgetTimeout()
	if p.state == gooseberrymast.StateGone {
		limit = d.tombstoneTTL()
	}
	age := now.Sub(d.timeOf(p.since))
	switch {
	case age >= limit:
		d.remove(p)
	case age >= limit/2 && !p.hidden:
		updated := p
		updated.hidden = true
		d.update(now, p, updated)
	}
}

func (d *Directory) addDependent(registrar, key Key) {
	if registrar == 0 {
		return
	}
	d.dependent[registrar] = append(d.dependent[registrar], key)
}

func (d *Directory) removeDependent(registrar, key Key) {
	keys := d.dependent[registrar]
	i := slices.Index(keys, key)
	if i < 0 {
		return
	}
	keys[i] = keys[len(keys)-1]
	keys = keys[:len(keys)-1]
	if len(keys) == 0 {
		delete(d.dependent, registrar)
		return
	}
	d.dependent[registrar] = keys
}

// clock gives the time in whole seconds since just before the epoch, so that
// zero is never a time.
func (d *Directory) clock(now time.Time) uint32 {
	return uint32(now.Sub(d.epoch)/time.Second) + 1
}

func (d *Directory) timeOf(since uint32) time.Time {
	return d.epoch.Add(time.Duration(since) * time.Second)
}

func (d *Directory) reattachTimeout() time.Duration {
	return orDefault(d.ReattachTimeout, DefaultReattachTimeout)
}

func (d *Directory) forgetTimeout() time.Duration {
	return orDefault(d.ForgetTimeout, DefaultForgetTimeout)
}

func (d *Directory) tombstoneTTL() time.Duration {
	return orDefault(d.TombstoneTTL, DefaultTombstoneTTL)
}

func orDefault(value, standard time.Duration) time.Duration {
	if value == 0 {
		return standard
	}
	return value
}

// checks orders the looks that were scheduled.
type checks struct {
	queue   checkQueue
	waiting map[Key]time.Time
}

type check struct {
	at  time.Time
	key Key
}

func (c *checks) add(at time.Time, key Key) {
	if earlier, ok := c.waiting[key]; ok && !at.Before(earlier) {
		return
	}
	if c.waiting == nil {
		c.waiting = map[Key]time.Time{}
	}
	c.waiting[key] = at
	heap.Push(&c.queue, check{at, key})
}

func (c *checks) due(now time.Time) []Key {
	var keys []Key
	for len(c.queue) > 0 && !c.queue[0].at.After(now) {
		next := heap.Pop(&c.queue).(check)
		if c.waiting[next.key].Equal(next.at) {
			delete(c.waiting, next.key)
			keys = append(keys, next.key)
		}
	}
	return keys
}

type checkQueue []check

func (q checkQueue) Len() int           { return len(q) }
func (q checkQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q checkQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *checkQueue) Push(x any)        { *q = append(*q, x.(check)) }
func (q *checkQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Dependents lists the entries that name a registrar.
func (d *Directory) Dependents(registrar Key) []Key {
	return slices.Clone(d.dependent[registrar])
}
