package trier

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
)

// The range of the latency histograms, in microseconds.
const (
	minLatencyMicros       = 1
	maxLatencyMicros       = int64(10 * time.Minute / time.Microsecond)
	latencySignificantBits = 3
)

// told is what a caller was told about one request.
type told uint8

const (
	toldWhole told = iota + 1
	toldWrong
	toldNotRun
	toldUnknown
	toldCut
)

// outcome is the end of one request at its caller.
type outcome struct {
	id         string
	told       told
	reason     gooseberrymast.Reason
	latency    time.Duration
	late       bool
	long       bool
	idempotent bool
	ended      time.Time
}

// tally gathers the callers' outcomes. The zero value works.
type tally struct {
	mu       sync.Mutex
	outcomes []outcome
	all      *hdrhistogram.Histogram
	short    *hdrhistogram.Histogram

	flowsOpened    int64
	streamsOpened  int64
	streamsCut     int64
	streamsRefused int64
	faults         []string
}

// maxFaults bounds the faults that are kept for the report.
const maxFaults = 20

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
	if o.told != toldWhole {
		return
	}
	if t.all == nil {
		t.all = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantBits)
		t.short = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantBits)
	}
	micros := min(max(o.latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	record(t.all, micros)
	if !o.long {
		record(t.short, micros)
	}
}

// record adds a value, which the caller keeps within the histogram's range.
func record(histogram *hdrhistogram.Histogram, micros int64) {
	err := histogram.RecordValue(micros)
	asserter.Holds(err == nil, "latency-in-range", "%d µs: %v", micros, err)
}

// note keeps a fault's description for the report.
func (t *tally) note(fault string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.faults) < maxFaults {
		t.faults = append(t.faults, fault)
	}
}

func (t *tally) count(counter *int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*counter++
}

// fill writes the callers' side of the report.
func (t *tally) fill(report *Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report.FlowsOpened = t.flowsOpened
	report.StreamsOpened = t.streamsOpened
	report.StreamsCut = t.streamsCut
	report.StreamsRefused = t.streamsRefused
	report.RefusalReasons = map[string]int64{}
	for _, o := range t.outcomes {
		report.RequestsSent++
		t.fillOutcome(report, o)
	}
	if t.all == nil {
		return
	}
	report.P50Milliseconds = milliseconds(t.all.ValueAtQuantile(50))
	report.P99Milliseconds = milliseconds(t.all.ValueAtQuantile(99))
	report.ShortP99Milliseconds = milliseconds(t.short.ValueAtQuantile(99))
}

func (t *tally) fillOutcome(report *Report, o outcome) {
	switch o.told {
	case toldWhole:
		report.AnswersWhole++
		if o.late {
			report.AnswersLate++
		}
	case toldWrong:
		report.AnswersWrong++
	case toldCut:
		report.RequestsCut++
	case toldNotRun, toldUnknown:
		report.Refusals++
		report.RefusalReasons[string(o.reason)]++
	}
}

func milliseconds(micros int64) float64 {
	return float64(micros) / 1000
}
