// Package journaler writes structured log lines without ever blocking their
// writer: each event has a limit of lines a second, and the lines wait in a
// queue of bounded size for the output.
//
// Load pattern: a restart of the whole fleet, in which every packet takes a
// decision that is worth a line, before an output that may stall.
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
	// follow single flows on a calm day.
	DefaultRate = 10
	// DefaultBurst is the number of lines that one event may write at once.
	DefaultBurst = 40
	// maxQueued is the number of bytes that may wait for the output.
	maxQueued = 256 << 10
	// flushInterval is the longest time that a line waits for others, so that
	// a burst costs few writes.
	flushInterval = 100 * time.Millisecond
)

// Journaler hands out log entries. The zero value discards everything.
type Journaler struct {
	logger *log.Logger
	queue  *queue
	limit  rate.Limit
	burst  int

	mu     sync.Mutex
	events map[gooseberrymast.LogEvent]*limited
}

// limited is the limit of one event.
type limited struct {
	limiter    *rate.Limiter
	suppressed int
}

// New makes a journaler that writes to output until Close. Its lines carry the
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
		events: map[gooseberrymast.LogEvent]*limited{},
	}
}

// Info begins a line about an ordinary event. It gives nil, which takes all
// further calls, when the event is over its limit.
func (j *Journaler) Info(event gooseberrymast.LogEvent) *log.Entry {
	return j.begin(log.InfoLevel, event)
}

// Warn begins a line about something that an operator may have to look at.
func (j *Journaler) Warn(event gooseberrymast.LogEvent) *log.Entry {
	return j.begin(log.WarnLevel, event)
}

// Error begins a line about something that the process can't do.
func (j *Journaler) Error(event gooseberrymast.LogEvent) *log.Entry {
	return j.begin(log.ErrorLevel, event)
}

// Dropped gives the number of lines that were lost since the output was slow.
func (j *Journaler) Dropped() uint64 {
	if j == nil || j.queue == nil {
		return 0
	}
	return j.queue.droppedLines()
}

// Close writes what waits and ends. A stalled output is given up after a
// moment.
func (j *Journaler) Close() {
	if j != nil && j.queue != nil {
		j.queue.close()
	}
}

func (j *Journaler) begin(level log.Level, event gooseberrymast.LogEvent) *log.Entry {
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
		state = &limited{limiter: rate.NewLimiter(j.limit, j.burst)}
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
