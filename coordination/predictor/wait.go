package predictor

import (
	"slices"
	"time"
)

// Wait implements gooseberrymast.WorkEstimator.
func (p *Predictor) Wait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slots == 0 || p.running < p.slots {
		return 0
	}
	free := make([]float64, 0, p.running)
	for _, r := range p.requests {
		if !r.startedAt.IsZero() {
			free = append(free, p.remainingTime(r, now))
		}
	}
	slices.Sort(free)
	// A server that has lowered its slots starts the next request once it is below them.
	free = free[len(free)-p.slots:]
	inSlots := 0.0
	for _, remaining := range free {
		inSlots += remaining
	}
	waiting, queued := 0, 0.0
	for _, r := range p.requests {
		if !r.startedAt.IsZero() {
			continue
		}
		if waiting++; waiting > maxSimulated {
			break
		}
		queued += p.costOf(r.route)
		free[0] += p.costOf(r.route)
		slices.Sort(free)
	}
	slots := float64(p.slots)
	// The first of several requests ends sooner than any of them is expected to: when a
	// slot becomes free, each of the others holds what is left of a request in progress.
	even := (inSlots/slots + queued) / slots
	beyond := float64(max(0, len(p.requests)-p.running-maxSimulated)) * p.typical() / slots
	return time.Duration(min(free[0], even) + beyond)
}

// learnRemaining adds a time in a slot, as a multiple of the expected one, to the
// remaining times of the ages that it has passed.
func (p *Predictor) learnRemaining(factor float64) {
	for i, age := range ages {
		if factor > age {
			p.remaining[i].Add(factor-age, paceWeight)
		}
	}
}

// remainingTime returns the expected time in nanoseconds for which a request still has
// its slot. It doesn't fall to zero for a request that takes longer than expected: with
// a long tail, such a request has more left than one that has just begun.
func (p *Predictor) remainingTime(r request, now time.Time) float64 {
	expected := p.costOf(r.route)
	age := float64(now.Sub(r.startedAt)) / expected
	i := 0
	for i+1 < len(ages) && ages[i+1] <= age {
		i++
	}
	left := p.remainingAt(i)
	if i+1 < len(ages) {
		part := (age - ages[i]) / (ages[i+1] - ages[i])
		left += part * (p.remainingAt(i+1) - left)
	}
	return left * expected
}

// remainingAt returns the learned remaining time at one of ages, or that at the age
// before it until there are enough samples.
func (p *Predictor) remainingAt(i int) float64 {
	for ; i > 0; i-- {
		if p.remaining[i].Samples >= minRouteSamples {
			return p.remaining[i].Mean
		}
	}
	return 1
}
