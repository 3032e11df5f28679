package emulator

import (
	"math/rand/v2"
	"time"

	"gooseberrymast/coordination/assessor"
)

// server is a backend server with the agent beside it.
type server struct {
	zone    int
	slots   int
	room    int
	running int
	waiting []*request
	flows   int
	// leaving servers take no new flows.
	leaving   bool
	coldUntil time.Duration
	slowFrom  time.Duration
	slowUntil time.Duration
	slowBy    float64
	failFrom  time.Duration
	failUntil time.Duration
	failShare float64
	assessor  assessor.Assessor
}

// fails draws whether the server fails a request.
func (s *server) fails(now time.Duration, random *rand.Rand) bool {
	return now >= s.failFrom && now < s.failUntil && random.Float64() < s.failShare
}

// factor is how much longer the server works at a time.
func (s *server) factor(now time.Duration) float64 {
	factor := 1.0
	if now < s.coldUntil {
		factor = coldTimes
	}
	if now >= s.slowFrom && now < s.slowUntil {
		factor *= s.slowBy
	}
	return factor
}

// expected is the work that a new flow would find, as a share of the slots.
func (s *server) expected() float64 {
	const idleFlow = 0.05
	return (float64(s.running+len(s.waiting)) + idleFlow*float64(s.flows)) / float64(s.slots)
}

// flow is an open flow of a caller.
type flow struct {
	server int
	idle   time.Duration
}

// request is one request with its tries.
type request struct {
	class  *Class
	caller int
	sent   time.Duration
	work   time.Duration
	tries  int
	flow   *flow
	server int
}
