package trier

import (
	"strings"
	"time"
)

// The peak load. peakBegin and peakEnd are shares of the trial's length.
const (
	peakFactor          = 10
	peakBaseUtilization = 0.5
	peakRampTime        = 2 * time.Second
	peakBegin           = 0.3
	peakEnd             = 0.7
	peakWork            = 100 * time.Millisecond
	peakDeadline        = 2 * time.Second
)

// peakLoad returns a plan that raises the load tenfold within two seconds and
// lowers it again.
func peakLoad(options Options) Plan {
	plan := steady(options)
	plan.Work = peakWork
	plan.Deadline = peakDeadline
	plan.LongEvery = 0
	begin, end := peakTimes(options)
	plan.Utilization = func(elapsed time.Duration) float64 {
		return peakBaseUtilization * (1 + (peakFactor-1)*ramp(elapsed, begin, end))
	}
	return plan
}

// peakTimes returns the starts of the rise and of the fall.
func peakTimes(options Options) (begin, end time.Duration) {
	begin = time.Duration(float64(options.Length) * peakBegin)
	end = time.Duration(float64(options.Length) * peakEnd)
	return begin, end
}

// ramp rises from 0 to 1 within peakRampTime after begin, and falls back after
// end.
func ramp(elapsed, begin, end time.Duration) float64 {
	up := float64(elapsed-begin) / float64(peakRampTime)
	down := 1 - float64(elapsed-end)/float64(peakRampTime)
	return max(0, min(up, down, 1))
}

// peakShare returns the number of requests that were answered within their
// deadline between the end of the rise and the start of the fall, as a share of
// the slots' capacity.
func (t *trial) peakShare() float64 {
	if !strings.HasPrefix(t.options.Scenario, "crest") {
		return 0
	}
	begin, end := peakTimes(t.options)
	from, to := t.started.Add(begin+peakRampTime), t.started.Add(end)
	if !from.Before(to) {
		return 0
	}
	return t.tally.answeredInTime(from, to) / (t.plan.capacity(t.options.Deployment) * to.Sub(from).Seconds())
}

// answeredInTime counts the complete answers within the deadline that ended in a
// span of time.
func (t *tally) answeredInTime(from, to time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, o := range t.outcomes {
		if o.result == resultComplete && !o.late && !o.ended.Before(from) && o.ended.Before(to) {
			n++
		}
	}
	return float64(n)
}

// The load of the scenarios with and without stragglers.
const (
	stragglerEvery  = 200
	stragglerFactor = 100
	stragglerLoad   = 0.6
)

// stragglers returns a plan in which one request in 200 takes 100 times as long.
func stragglers(options Options) Plan {
	plan := steady(options)
	plan.LongEvery = stragglerEvery
	plan.LongFactor = stragglerFactor
	plan.Utilization = func(time.Duration) float64 { return stragglerLoad }
	return plan
}

// noStragglers returns a plan with the same request rate as stragglers, but only
// short requests.
func noStragglers(options Options) Plan {
	plan := stragglers(options)
	plan.RateWork = plan.meanWork()
	plan.LongEvery = 0
	return plan
}

// reopeningFlows returns a plan in which callers open a new flow after every
// second stream.
func reopeningFlows(options Options) Plan {
	plan := steady(options)
	plan.StreamsPerFlow = 2
	return plan
}
