// Package journaler writes structured log lines without ever blocking the
// caller: each event has a rate limit, and lines are buffered in a queue of
// bounded size until they are written to the output.
//
// Load pattern: a restart of the whole fleet, in which every packet can cause a
// log line, with an output that may stall.
package journaler

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"gooseberrymast"
)

const (
	// DefaultRate is the number of lines a second of one event: enough to
	// follow single flows under low load.
	DefaultRate = 10
	// DefaultBurst is the number of lines of one event that may be written at
	// once.
	DefaultBurst = 40
	// maxQueuedBytes bounds the lines that wait for the output.
	maxQueuedBytes = 256 << 10
	// flushInterval is the minimum time between two writes, so that a burst of
	// lines costs few writes.
	flushInterval = 100 * time.Millisecond
)

// Journaler creates log entries. The zero value and nil discard everything.
type Journaler struct {
	logger *log.Logger
	queue  *queue
	limit  rate.Limit
	burst  int

	mu     sync.Mutex
	events map[gooseberrymast.LogEvent]*eventLimit
}

// eventLimit is the rate limit of one event and the number of lines suppressed
// since its last line.
type eventLimit struct {
	limiter    *rate.Limiter
	suppressed int
}

// New creates a journaler that writes to output until Close. Its lines carry the
// instance's name.
func New(output io.Writer, instance string, linesPerSecond float64, burst int) *Journaler {
	queue := newQueue(output)
	return &Journaler{
		logger: &log.Logger{
			Level:   log.InfoLevel,
			Writer:  log.IOWriter{Writer: queue},
			Context: log.NewContext(nil).Str("instance", instance).Value(),
		},
		queue:  queue,
		limit:  rate.Limit(linesPerSecond),
		burst:  burst,
		events: map[gooseberrymast.LogEvent]*eventLimit{},
	}
}

// Info begins a line about an ordinary event. It returns nil, on which all
// further calls do nothing, if the event is over its limit.
func (j *Journaler) Info(event gooseberrymast.LogEvent) *log.Entry {
	return j.newEntry(log.InfoLevel, event)
}

// Warn begins a line about an event that may need an operator's attention.
func (j *Journaler) Warn(event gooseberrymast.LogEvent) *log.Entry {
	return j.newEntry(log.WarnLevel, event)
}

// Error begins a line about an operation that failed.
func (j *Journaler) Error(event gooseberrymast.LogEvent) *log.Entry {
	return j.newEntry(log.ErrorLevel, event)
}

// Dropped returns the number of lines that were dropped because the output was
// too slow.
func (j *Journaler) Dropped() uint64 {
	if j == nil || j.queue == nil {
		return 0
	}
	return j.queue.droppedLines()
}

// Close writes the queued lines and stops. It waits for a stalled output only
// for closeTimeout.
func (j *Journaler) Close() {
	if j != nil && j.queue != nil {
		j.queue.close()
	}
}

func (j *Journaler) newEntry(level log.Level, event gooseberrymast.LogEvent) *log.Entry {
	if j == nil || j.logger == nil {
		return nil
	}
	suppressed, allowed := j.allow(event, time.Now())
	if !allowed {
		return nil
	}
	entry := j.logger.WithLevel(level).Str("event", string(event))
	if suppressed > 0 {
		entry = entry.Int("suppressed-before", suppressed)
	}
	return entry
}

func (j *Journaler) allow(event gooseberrymast.LogEvent, now time.Time) (suppressed int, allowed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	state := j.events[event]
	if state == nil {
		state = &eventLimit{limiter: rate.NewLimiter(j.limit, j.burst)}
		j.events[event] = state
	}
	if !state.limiter.AllowN(now, 1) {
		state.suppressed++
		return 0, false
	}
	suppressed = state.suppressed
	state.suppressed = 0
	return suppressed, true
}
