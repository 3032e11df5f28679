package trier

import (
	"strings"
	"time"
)

// The shape of the crest, as shares of the trial's length.
const (
	crestFactor   = 10
	crestBase     = 0.5
	crestRise     = 2 * time.Second
	crestBegin    = 0.3
	crestEnd      = 0.7
	crestWork     = 100 * time.Millisecond
	crestDeadline = 2 * time.Second
)

// crest raises the demand to ten times within two seconds, and lowers it again.
func crest(options Options) Plan {
	plan := steady(options)
	plan.Work = crestWork
	plan.Deadline = crestDeadline
	plan.LongEvery = 0
	begin, end := crestTimes(options)
	plan.Utilization = func(elapsed time.Duration) float64 {
		return crestBase * (1 + (crestFactor-1)*ramp(elapsed, begin, end))
	}
	return plan
}

// crestTimes gives the begin of the rise and of the fall.
func crestTimes(options Options) (begin, end time.Duration) {
	begin = time.Duration(float64(options.Length) * crestBegin)
	end = time.Duration(float64(options.Length) * crestEnd)
	return begin, end
}

// ramp goes from 0 to 1 in crestRise after begin, and back after end.
func ramp(elapsed, begin, end time.Duration) float64 {
	up := float64(elapsed-begin) / float64(crestRise)
	down := 1 - float64(elapsed-end)/float64(crestRise)
	return max(0, min(up, down, 1))
}

// crestShare is the share of what the slots could serve between the end of the
// rise and the begin of the fall that was answered within its deadline.
func (t *trial) crestShare() float64 {
	if !strings.HasPrefix(t.options.Scenario, "crest") {
		return 0
	}
	begin, end := crestTimes(t.options)
	from, to := t.begun.Add(begin+crestRise), t.begun.Add(end)
	if !from.Before(to) {
		return 0
	}
	return t.tally.useful(from, to) / (t.plan.capacity(t.options.Deployment) * to.Sub(from).Seconds())
}

// useful counts the whole answers in time that ended within a span.
func (t *tally) useful(from, to time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, o := range t.outcomes {
		if o.told == toldWhole && !o.late && !o.ended.Before(from) && o.ended.Before(to) {
			n++
		}
	}
	return float64(n)
}

// The stragglers of the scenarios with and without them.
const (
	stragglerEvery  = 200
	stragglerFactor = 100
	stragglerLoad   = 0.6
)

// stragglers makes one request in 200 run 100 times longer.
func stragglers(options Options) Plan {
	plan := steady(options)
	plan.LongEvery = stragglerEvery
	plan.LongFactor = stragglerFactor
	plan.Utilization = func(time.Duration) float64 { return stragglerLoad }
	return plan
}

// noStragglers sends the same number of requests, all of them short.
func noStragglers(options Options) Plan {
	plan := stragglers(options)
	plan.RateWork = plan.meanWork()
	plan.LongEvery = 0
	return plan
}

// movingFlows makes callers open a new flow after every second stream.
func movingFlows(options Options) Plan {
	plan := steady(options)
	plan.StreamsPerFlow = 2
	return plan
}
