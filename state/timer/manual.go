package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a timer service for tests whose time changes only in Advance. The
// zero value starts at the zero time.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	serial uint64
	queue  entries
}

// Now returns the time to which Advance has moved the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every calls notify once per interval, from within Advance.
func (m *Manual) Every(interval time.Duration, notify func(now time.Time)) (cancel func()) {
	return m.add(&entry{interval: interval, notify: notify}, interval)
}

// After calls notify once, from within Advance.
func (m *Manual) After(delay time.Duration, notify func(now time.Time)) (cancel func()) {
	return m.add(&entry{notify: notify}, delay)
}

// Advance moves the clock forward and makes the calls that become due, in order
// of time.
func (m *Manual) Advance(by time.Duration) {
	end := m.Now().Add(by)
	for {
		due := m.next(end)
		if due == nil {
			return
		}
		due.notify(due.at)
	}
}

func (m *Manual) add(e *entry, delay time.Duration) (cancel func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.push(e, m.now.Add(delay))
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		e.cancelled = true
	}
}

func (m *Manual) push(e *entry, at time.Time) {
	m.serial++
	e.at = at
	e.serial = m.serial
	heap.Push(&m.queue, e)
}

// next removes and returns the first entry that is due by end. Without one it
// moves the clock to end and returns nil.
func (m *Manual) next(end time.Time) *entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.queue) > 0 && !m.queue[0].at.After(end) {
		e := heap.Pop(&m.queue).(*entry)
		if e.cancelled {
			continue
		}
		m.now = e.at
		due := *e
		if e.interval > 0 {
			m.push(e, e.at.Add(e.interval))
		}
		return &due
	}
	m.now = end
	return nil
}

// entry is one scheduled call. Entries due at the same time run in the order in
// which they were scheduled.
type entry struct {
	at        time.Time
	serial    uint64
	interval  time.Duration
	notify    func(now time.Time)
	cancelled bool
}

type entries []*entry

func (e entries) Len() int { return len(e) }

func (e entries) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}

func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *entries) Push(x any) { *e = append(*e, x.(*entry)) }

func (e *entries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
