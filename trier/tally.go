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
	minLatencyMicros         = 1
	maxLatencyMicros         = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// result classifies the end of a request or stream as its caller observes it.
type result uint8

const (
	// resultComplete is the expected answer.
	resultComplete result = iota + 1
	// resultWrong is an answer that differs from the expected one.
	resultWrong
	// resultNotRun is a refusal or an error that guarantees that the request
	// didn't run.
	resultNotRun
	// resultUnknown is a refusal, an error status or a timeout after which the
	// request may have run.
	resultUnknown
	// resultCut is an answer or a connection that ended early.
	resultCut
)

// outcome describes how a request ended at its caller.
type outcome struct {
	id         string
	result     result
	reason     gooseberrymast.Reason
	latency    time.Duration
	late       bool
	long       bool
	idempotent bool
	ended      time.Time
}

// tally collects the callers' outcomes. The zero value is ready to use.
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

// maxFaults bounds the fault descriptions that are kept.
const maxFaults = 20

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
	if o.result != resultComplete {
		return
	}
	if t.all == nil {
		t.all = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
		t.short = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	}
	micros := min(max(o.latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	record(t.all, micros)
	if !o.long {
		record(t.short, micros)
	}
}

// record adds a value, which must be within the histogram's range.
func record(histogram *hdrhistogram.Histogram, micros int64) {
	err := histogram.RecordValue(micros)
	asserter.Holds(err == nil, "latency-in-range", "%d µs: %v", micros, err)
}

// recordFault keeps the description of a fault, up to maxFaults.
func (t *tally) recordFault(fault string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.faults) < maxFaults {
		t.faults = append(t.faults, fault)
	}
}

func (t *tally) increment(counter *int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*counter++
}

// fillReport fills in the part of the report that the callers observe.
func (t *tally) fillReport(report *Report) {
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
	switch o.result {
	case resultComplete:
		report.AnswersWhole++
		if o.late {
			report.AnswersLate++
		}
	case resultWrong:
		report.AnswersWrong++
	case resultCut:
		report.RequestsCut++
	case resultNotRun, resultUnknown:
		report.Refusals++
		report.RefusalReasons[string(o.reason)]++
	}
}

func milliseconds(micros int64) float64 {
	return float64(micros) / 1000
}
