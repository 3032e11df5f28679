package directory

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"gooseberrymast"
)

// MarkLoss adds a loss to the newest record of a key. It reports whether the
// loss is new.
func (d *Directory) MarkLoss(now time.Time, key Key, loss Loss) bool {
	existing, found := d.get(key)
	if !found || existing.loss|loss == existing.loss {
		return false
	}
	updated := existing
	updated.loss |= loss
	d.update(now, existing, updated)
	return true
}

// MarkUnreachable makes a process suspect in this directory only. A balancer
// that is cut off from the others marks them so without reporting it to peers.
func (d *Directory) MarkUnreachable(now time.Time, key Key) {
	if d.unreachable == nil {
		d.unreachable = map[Key]struct{}{}
	}
	d.unreachable[key] = struct{}{}
	d.evaluateSuspicion(now, key)
}

// ClearUnreachable reverts every MarkUnreachable. It evaluates the processes
// only after clearing all of them: they may name each other as registrars, and
// one that is still suspect would keep the others suspect.
func (d *Directory) ClearUnreachable(now time.Time) {
	keys := slices.Sorted(maps.Keys(d.unreachable))
	d.unreachable = nil
	for _, key := range keys {
		if p, found := d.get(key); found {
			d.setSuspect(now, p, false)
		}
	}
	for _, key := range keys {
		d.evaluateSuspicion(now, key)
	}
}

// SetReportedSuspicion sets whether a record is suspect, as reported by a
// registrar. It has no effect when the directory holds another version of the
// record.
func (d *Directory) SetReportedSuspicion(now time.Time, record gooseberrymast.Record, suspect bool) {
	existing, found := d.get(KeyOf(record.Identity.Address))
	if found && existing.incarnation == record.Identity.Incarnation && existing.sequence == record.Sequence {
		d.setSuspect(now, existing, suspect)
	}
}

// Expire makes the changes that are due by now: it evaluates entries whose
// registrars were lost and hides or removes entries that have long been suspect
// or gone.
func (d *Directory) Expire(now time.Time) {
	d.initialise(now)
	for _, key := range d.checks.due(now) {
		d.evaluateSuspicion(now, key)
		d.evaluateDependents(now, key)
	}
	for key := range d.aging {
		d.hideOrDrop(now, key)
	}
}

// Suspicions returns the keys that became suspect, or ceased to be, since the
// last call.
func (d *Directory) Suspicions() []Key {
	keys := d.suspicions
	d.suspicions = nil
	return keys
}

// evaluateSuspicion sets whether an entry is suspect: it is when every registrar
// that it names lost it or is itself lost, or when it was marked as unreachable.
// With SuspicionReported it keeps what was reported.
func (d *Directory) evaluateSuspicion(now time.Time, key Key) {
	p, found := d.get(key)
	if !found {
		return
	}
	if p.state == gooseberrymast.StateGone || d.SuspicionReported {
		d.setSuspect(now, p, p.suspect && d.SuspicionReported)
		return
	}
	d.setSuspect(now, p, d.unreachableOrLost(now, p))
}

func (d *Directory) unreachableOrLost(now time.Time, p packed) bool {
	if _, unreachable := d.unreachable[p.key]; unreachable || p.loss&LossUnreachable != 0 {
		return true
	}
	registrars := 0
	for i, registrar := range p.registrars {
		if registrar == 0 {
			continue
		}
		registrars++
		if p.loss&LossOf(i) == 0 && d.mayHoldSession(now, p, registrar) {
			return false
		}
	}
	return registrars > 0
}

// mayHoldSession reports whether a registrar may still have a session with an
// entry's writer. While ReattachTimeout runs for a lost registrar, it returns
// true and schedules another evaluation.
func (d *Directory) mayHoldSession(now time.Time, p packed, registrar Key) bool {
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
	d.evaluateDependents(now, p.key)
}

func (d *Directory) evaluateDependents(now time.Time, registrar Key) {
	for _, key := range slices.Clone(d.dependent[registrar]) {
		d.evaluateSuspicion(now, key)
	}
}

// hideOrDrop hides an entry that was suspect or gone for half of its timeout and
// removes it after the whole timeout.
func (d *Directory) hideOrDrop(now time.Time, key Key) {
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

// clock returns the time in whole seconds since the epoch plus one, so that zero
// is never a valid time.
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

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// checkSchedule holds the scheduled evaluations of entries, in order of time.
type checkSchedule struct {
	queue     checkQueue
	scheduled map[Key]time.Time
}

type check struct {
	at  time.Time
	key Key
}

func (c *checkSchedule) add(at time.Time, key Key) {
	if earlier, ok := c.scheduled[key]; ok && !at.Before(earlier) {
		return
	}
	if c.scheduled == nil {
		c.scheduled = map[Key]time.Time{}
	}
	c.scheduled[key] = at
	heap.Push(&c.queue, check{at, key})
}

func (c *checkSchedule) due(now time.Time) []Key {
	var keys []Key
	for len(c.queue) > 0 && !c.queue[0].at.After(now) {
		next := heap.Pop(&c.queue).(check)
		if c.scheduled[next.key].Equal(next.at) {
			delete(c.scheduled, next.key)
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
