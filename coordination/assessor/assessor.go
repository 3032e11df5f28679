// Package assessor estimates, from the answers that pass the agent, whether the
// agent's backend server fails its requests.
//
// Load pattern: servers that report themselves healthy and fail requests,
// immediately or after a hang. A server that fails immediately is the least loaded
// of its service and would attract the most new flows. The estimate decays without
// answers, so a server that was excluded is tried again automatically, with few
// flows at first.
package assessor

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which answers lose half of their weight: some tens
	// of requests at a busy server, so that a failing server is detected within a
	// second and tried again a few seconds after it was excluded.
	halfLife = 2 * time.Second
	// priorAnswers is the number of good answers that a server is credited with, so
	// that a few answers are not significant.
	priorAnswers = 5.0
	// ignoredFailures is the weight below which failures are ignored as chance: one
	// failure alone always is, two within a second aren't.
	ignoredFailures = 1.5
	// minServerError is the lowest status that counts as a failure of the server.
	minServerError = 500
	// statusUnavailable and statusTooManyRequests are the statuses with which
	// servers refuse work.
	statusUnavailable     = 503
	statusTooManyRequests = 429
)

// Assessor holds the estimate for one server. The zero value has no failures.
type Assessor struct {
	answers, failures float64
	updated           time.Time
}

// AddAnswer counts an answer by its status. A refusal by a server whose slots are
// all taken shows load and is not a failure.
func (a *Assessor) AddAnswer(status int, full bool, now time.Time) {
	a.decay(now)
	a.answers++
	refusal := status == statusUnavailable || status == statusTooManyRequests
	if refusal && !full || !refusal && status >= minServerError {
		a.failures++
	}
}

// AddUnanswered counts a request that the server cut, or that its caller abandoned
// while the server had free slots.
func (a *Assessor) AddUnanswered(now time.Time) {
	a.decay(now)
	a.answers++
	a.failures++
}

// FailingShare returns the share of the latest answers that were failures, 0 to 1.
func (a *Assessor) FailingShare(now time.Time) float64 {
	a.decay(now)
	if a.failures < ignoredFailures {
		return 0
	}
	return a.failures / (a.answers + priorAnswers)
}

// Reset clears the estimate, since the server is a new incarnation.
func (a *Assessor) Reset() {
	*a = Assessor{}
}

func (a *Assessor) decay(now time.Time) {
	if elapsed := now.Sub(a.updated); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		a.answers *= factor
		a.failures *= factor
		a.updated = now
	}
}
