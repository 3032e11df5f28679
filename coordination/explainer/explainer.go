// Package explainer reconstructs the timeline of one request or flow from the log
// lines of several processes.
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"gooseberrymast"
)

// Line is one log line.
type Line struct {
	// Time is by the clock of the instance that wrote the line.
	Time     time.Time
	Instance string
	Event    gooseberrymast.LogEvent
	// Flow and Request are empty if the line has none.
	Flow    string
	Request string
	// Text is the line as it was written.
	Text string
	// Details are the other fields, in the order in which they were written.
	Details []Detail
}

// Detail is one field of a line.
type Detail struct {
	Key, Value string
}

// Timeline holds the lines of one request or flow.
type Timeline struct {
	// Lines are sorted by time.
	Lines []Line
	// ClockDifferences are the clock differences between instances that the lines
	// prove.
	ClockDifferences []ClockDifference
}

// ClockDifference records that an instance acted, by its own clock, before the
// event of another instance that it acted on, by the other's clock.
type ClockDifference struct {
	// Behind is the instance whose clock is at least By behind that of Ahead.
	Behind, Ahead string
	By            time.Duration
}

// contextEvents are the events of an instance that explain how it handled a flow.
var contextEvents = []gooseberrymast.LogEvent{
	gooseberrymast.EventStarted, gooseberrymast.EventStopping, gooseberrymast.EventStopped, gooseberrymast.EventStoreLost,
	gooseberrymast.EventStoreRegained, gooseberrymast.EventDocumentInForce, gooseberrymast.EventServerChanged,
	gooseberrymast.EventServerRestarted, gooseberrymast.EventServerDeparted, gooseberrymast.EventServerDead,
	gooseberrymast.EventStateChanged, gooseberrymast.EventReadinessChanged, gooseberrymast.EventLinesDropped,
}

// contextSpan is the time around a flow's lines in which an instance's own
// events are included: the longest deadline of a request with its retries.
const contextSpan = 5 * time.Second

// Read reads log lines. Lines in another format than that of the processes are
// counted and left out.
func Read(reader io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(reader)
	const maxLine = 1 << 20
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		// A log collector may put its own timestamp before the line.
		if start := strings.IndexByte(text, '{'); start > 0 {
			text = text[start:]
		}
		line, ok := parse(text)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, fmt.Errorf("read log lines: %w", err)
	}
	return lines, skipped, nil
}

// BuildTimeline returns the timeline of a request or a flow.
func BuildTimeline(lines []Line, id string) Timeline {
	flows := map[string]bool{}
	for _, line := range lines {
		if line.Flow != "" && (line.Request == id || line.Flow == id) {
			flows[line.Flow] = true
		}
	}
	var timeline Timeline
	spans := map[string][]time.Time{}
	for _, line := range lines {
		if line.Request == id || flows[line.Flow] {
			timeline.Lines = append(timeline.Lines, line)
			spans[line.Instance] = append(spans[line.Instance], line.Time)
		}
	}
	for _, line := range lines {
		if line.Flow == "" && slices.Contains(contextEvents, line.Event) && isNear(line.Time, spans[line.Instance]) {
			timeline.Lines = append(timeline.Lines, line)
		}
	}
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	timeline.ClockDifferences = clockDifferences(timeline.Lines)
	return timeline
}

func isNear(at time.Time, times []time.Time) bool {
	return slices.ContainsFunc(times, func(t time.Time) bool { return at.Sub(t).Abs() <= contextSpan })
}

// clockDifferences finds flows that an agent took, by its clock, before a balancer
// placed them by the balancer's clock.
func clockDifferences(lines []Line) []ClockDifference {
	placed := map[string]Line{}
	for _, line := range lines {
		if _, known := placed[line.Flow]; line.Event == gooseberrymast.EventFlowPlaced && !known {
			placed[line.Flow] = line
		}
	}
	var differences []ClockDifference
	for _, line := range lines {
		placement, known := placed[line.Flow]
		if line.Event == gooseberrymast.EventFlowTaken && known && line.Time.Before(placement.Time) {
			differences = append(differences, ClockDifference{
				Behind: line.Instance, Ahead: placement.Instance, By: placement.Time.Sub(line.Time),
			})
		}
	}
	return differences
}

func parse(text string) (Line, bool) {
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return Line{}, false
	}
	line := Line{Text: text}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return Line{}, false
		}
		var value any
		if err := decoder.Decode(&value); err != nil {
			return Line{}, false
		}
		line.set(fmt.Sprint(key), fmt.Sprint(value))
	}
	return line, line.Event != "" && !line.Time.IsZero()
}

func (l *Line) set(key, value string) {
	switch key {
	case "time":
		// A line with an invalid time is left out.
		l.Time, _ = time.Parse(time.RFC3339Nano, value)
	case "instance":
		l.Instance = value
	case "event":
		l.Event = gooseberrymast.LogEvent(value)
	case "flow":
		l.Flow = value
	case "request":
		l.Request = value
	case "level", "message":
	default:
		l.Details = append(l.Details, Detail{Key: key, Value: value})
	}
}
