package emulator

import (
	"math/rand/v2"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/assessor"
	"gooseberrymast/coordination/predictor"
)

// server is a backend server with its agent.
type server struct {
	zone       int
	slots      int
	queueLimit int
	running    int
	waiting    []*request
	flows      int
	// leaving is set once the server takes no new flows.
	leaving bool
	// speed divides the time that work takes.
	speed      float64
	arrivals   int
	coldUntil  time.Duration
	slowFrom   time.Duration
	slowUntil  time.Duration
	slowFactor float64
	failFrom   time.Duration
	failUntil  time.Duration
	failRate   float64
	assessor   assessor.Assessor
	predictor  predictor.Predictor
}

// fails reports whether the server fails a request. While the server is failing,
// this is drawn with the probability failRate.
func (s *server) fails(now time.Duration, random *rand.Rand) bool {
	return now >= s.failFrom && now < s.failUntil && random.Float64() < s.failRate
}

// workFactor returns the factor by which work takes longer at the given time.
func (s *server) workFactor(now time.Duration) float64 {
	factor := 1 / s.speed
	if now < s.coldUntil {
		factor = coldFactor
	}
	if now >= s.slowFrom && now < s.slowUntil {
		factor *= s.slowFactor
	}
	return factor
}

// expectedLoad returns the requests in progress and queued, with a small weight
// for each open flow, as a share of the slots.
func (s *server) expectedLoad() float64 {
	const idleFlowWeight = 0.05
	return (float64(s.running+len(s.waiting)) + idleFlowWeight*float64(s.flows)) / float64(s.slots)
}

// flow is an open flow of a caller.
type flow struct {
	server    int
	work      predictor.Flow
	idleSince time.Duration
}

// request is a caller's request over all of its attempts.
type request struct {
	class    *Class
	route    gooseberrymast.Route
	caller   int
	sent     time.Duration
	work     time.Duration
	attempts int
	flow     *flow
	server   int
}
