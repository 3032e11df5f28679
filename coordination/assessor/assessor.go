// Package assessor judges from the answers that pass whether an agent's backend
// server fails its requests.
//
// Load pattern: servers that call themselves healthy and fail requests, at once
// or after a hang. One that fails at once is the least loaded of its service
// and would draw the most new flows. The judgment fades without answers, so a
// server that was left out is tried again by itself, with few flows at first.
package assessor

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which what was seen loses half of its weight: some
	// tens of requests at a busy server, so that a server is judged within a
	// second and tried again a few seconds after it was left out.
	halfLife = 2 * time.Second
	// prior is the number of good answers that a server is credited with, so
	// that few answers are no judgment.
	prior = 5.0
	// chance is the weight of failures up to which they count as chance: one
	// alone does at any time, two within a second don't.
	chance = 1.5
	// serverErrors is the first status that stands for a failure of the server.
	serverErrors = 500
	// statusUnavailable and statusTooManyRequests are how servers refuse work.
	statusUnavailable     = 503
	statusTooManyRequests = 429
)

// Assessor holds the judgment of one server. The zero value trusts it.
type Assessor struct {
	answers, failures float64
	at                time.Time
}

// Answered takes the status of an answer. A refusal by a server whose slots
// are all taken shows load and no failure.
func (a *Assessor) Answered(status int, full bool, now time.Time) {
	a.fade(now)
	a.answers++
	refusal := status == statusUnavailable || status == statusTooManyRequests
	if refusal && !full || !refusal && status >= serverErrors {
		a.failures++
	}
}

// Unanswered takes a request that the server cut, or that its caller gave up
// while the server had free slots.
func (a *Assessor) Unanswered(now time.Time) {
	a.fade(now)
	a.answers++
	a.failures++
}

// Failing gives the share of the latest answers that were failures, 0 to 1.
func (a *Assessor) Failing(now time.Time) float64 {
	a.fade(now)
	if a.failures < chance {
		return 0
	}
	return a.failures / (a.answers + prior)
}

// Reset trusts the server again: it is a new incarnation.
func (a *Assessor) Reset() {
	*a = Assessor{}
}

func (a *Assessor) fade(now time.Time) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		left := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		a.answers *= left
		a.failures *= left
		a.at = now
	}
}
