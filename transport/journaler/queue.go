package journaler

import (
	"fmt"
	"io"
	"sync"
	"time"

	"gooseberrymast"
)

// closeTimeout bounds the time that Close waits for a stalled output.
const closeTimeout = 200 * time.Millisecond

// queue is a writer that never blocks. A goroutine writes the pending lines to
// the output.
type queue struct {
	output io.Writer
	wake   chan struct{}
	done   chan struct{}

	mu              sync.Mutex
	pending         []byte
	spare           []byte
	closed          bool
	dropped         uint64
	reportedDropped uint64
}

func newQueue(output io.Writer) *queue {
	q := &queue{output: output, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a line. A line that exceeds the queue's size is dropped and
// counted.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending)+len(line) > maxQueuedBytes || q.closed {
		q.dropped++
		return len(line), nil
	}
	first := len(q.pending) == 0
	q.pending = append(q.pending, line...)
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
		// A failure to write the log can't be reported anywhere.
		_, _ = q.output.Write(lines)
		q.mu.Lock()
		q.spare = lines[:0]
		q.mu.Unlock()
		if last {
			return
		}
		time.Sleep(flushInterval)
		q.signalIfPending()
	}
}

// signalIfPending signals if lines were queued during the last write.
func (q *queue) signalIfPending() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) > 0 || q.closed {
		q.signal()
	}
}

// take removes and returns the pending lines, with a line that reports the number
// dropped since the last such report. last is set once the queue is closed.
func (q *queue) take() (lines []byte, last bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lines, q.pending = q.pending, q.spare
	q.spare = nil
	if q.dropped > q.reportedDropped {
		lines = fmt.Appendf(lines, `{"time":%q,"level":"warn","event":%q,"lines":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), gooseberrymast.EventLinesDropped, q.dropped-q.reportedDropped)
		q.reportedDropped = q.dropped
	}
	return lines, q.closed
}
