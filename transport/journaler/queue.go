package journaler

import (
	"fmt"
	"io"
	"sync"
	"time"

	"gooseberrymast"
)

// closeTimeout bounds the wait for a stalled output at the end.
const closeTimeout = 200 * time.Millisecond

// queue is a writer that never blocks. A goroutine writes what waits.
type queue struct {
	output io.Writer
	wake   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	closed  bool
	dropped uint64
	told    uint64
}

func newQueue(output io.Writer) *queue {
	q := &queue{output: output, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes a line. A line for which there is no room is counted and lost.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting)+len(line) > maxQueued || q.closed {
		q.dropped++
		return len(line), nil
	}
	first := len(q.waiting) == 0
	q.waiting = append(q.waiting, line...)
	if first {
		q.signal()
	}
	return len(line), nil
}

func (q *queue) droppedLines() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) run() {
	defer close(q.done)
	for range q.wake {
		lines, last := q.take()
		// Standard output that can't be written has nowhere to be reported to.
		_, _ = q.output.Write(lines)
		q.mu.Lock()
		q.spare = lines[:0]
		q.mu.Unlock()
		if last {
			return
		}
		time.Sleep(flushInterval)
		q.again()
	}
}

// again signals if lines came while the last ones were written.
func (q *queue) again() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) > 0 || q.closed {
		q.signal()
	}
}

// take gives what waits, with a line about those that were dropped.
func (q *queue) take() (lines []byte, last bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lines, q.waiting = q.waiting, q.spare
	q.spare = nil
	if q.dropped > q.told {
		lines = fmt.Appendf(lines, `{"time":%q,"level":"warn","event":%q,"lines":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), gooseberrymast.EventLinesDropped, q.dropped-q.told)
		q.told = q.dropped
	}
	return lines, q.closed
}
