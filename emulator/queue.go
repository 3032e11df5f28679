package emulator

import "time"

// event is an action at a point in virtual time. Events of the same time run in
// the order in which they were scheduled.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []*event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(*event)) }

func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
