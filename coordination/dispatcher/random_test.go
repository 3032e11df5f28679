package dispatcher

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/state/recorder"
)

// Longer runs: go test ./coordination/dispatcher -run TestRandomRun -random-runs 200 -random-seed 1000
var (
	randomRuns = flag.Int("random-runs", 3, "number of seeded random runs")
	randomSeed = flag.Uint64("random-seed", 1, "seed of the first random run")
)

const (
	trafficDuration = 10 * time.Second
	faultInterval   = 300 * time.Millisecond
	maxResends      = 2
)

// randomSimulation sends random calls into a simulation and injects random faults.
type randomSimulation struct {
	*simulation
	calls        []*call
	resends      map[*operation]int
	incarnations int
	stopped      bool
	// refusalCounts counts the refusals that callers received, by reason.
	refusalCounts map[gooseberrymast.Reason]int
}

func randomService() gooseberrymast.Service {
	service := testService()
	service.Limits.Slots, service.Limits.Queue, service.Limits.Connections = 4, 8, 20
	service.Limits.SlowStart = gooseberrymast.Duration(time.Second)
	service.Drain.Grace = gooseberrymast.Duration(50 * time.Millisecond)
	service.Limits.CallerRate, service.Limits.CallerBurst = 2500, 100
	return service
}

func newRandomSimulation(seed uint64) *randomSimulation {
	zones := []string{"cairo-a", "cairo-b", "cairo-c", "cairo-a", "cairo-b", "cairo-c", "cairo-a"}
	r := &randomSimulation{simulation: newSimulation(seed, randomService(), zones, Policy{}), resends: map[*operation]int{}, incarnations: len(zones), refusalCounts: map[gooseberrymast.Reason]int{}}
	r.faults = faults{notSent: 0.01, requestLost: 0.02, lateCopy: 0.03, responseLost: 0.03,
		replyLost: 0.1, shed: 0.02, fail: 0.02, connectionBroken: 0.03, torn: 0.005}
	r.serviceTimeOf = func(c *call) time.Duration {
		if c.work.Stream {
			return time.Duration(c.work.ID%6) * time.Second
		}
		if c.work.Path == "/sync" {
			return 2 * time.Second
		}
		return time.Duration(5+c.work.ID%30) * time.Millisecond
	}
	r.onCallEnd = r.handleCallEnd
	return r
}

// handleCallEnd resends a request with a ticket if its caller got no answer.
func (r *randomSimulation) handleCallEnd(ended *call) {
	if ended.refusal.ID != "" {
		r.refusalCounts[ended.refusal.Reason]++
	}
	if ended.answered || ended.operation.ticket.IsZero() || r.resends[ended.operation] >= maxResends {
		return
	}
	r.clock.After(time.Duration(r.random.Int64N(int64(time.Second))), func(time.Time) { r.resend(ended) })
}

func (r *randomSimulation) resend(previous *call) {
	r.resends[previous.operation]++
	work := previous.work
	work.Deadline = r.clock.Now().Add(r.deadline())
	r.calls = append(r.calls, r.send(r.randomNode(), work, previous.operation))
}

func (r *randomSimulation) randomNode() *node { return r.nodes[r.random.IntN(len(r.nodes))] }

func (r *randomSimulation) deadline() time.Duration {
	return 20*time.Millisecond + time.Duration(r.random.Int64N(int64(500*time.Millisecond)))
}

// arrive sends one call and schedules the next. The request rate changes every
// second.
func (r *randomSimulation) arrive(now time.Time) {
	if r.stopped {
		return
	}
	meanIntervals := []time.Duration{10 * time.Millisecond, 3 * time.Millisecond, 2 * time.Millisecond, 500 * time.Microsecond}
	interval := meanIntervals[now.Second()%len(meanIntervals)]
	r.clock.After(time.Duration(r.random.Int64N(int64(2*interval))), r.arrive)
	n := r.randomNode()
	work := gooseberrymast.Work{Caller: callerAddress, Path: "/loans", Deadline: now.Add(r.deadline()), Replayable: !r.chance(0.1)}
	op := &operation{}
	switch kind := r.random.IntN(100); {
	case kind < 40:
		work.Idempotent = true
	case kind < 80 && n.running:
		op.ticket = n.d.Issue(now)
		work.Ticket = op.ticket
	}
	if r.chance(0.05) {
		work.Stream = true
	} else if r.chance(0.01) {
		work.Path, work.Deadline = "/sync", now.Add(5*time.Second)
	}
	sent := r.send(n, work, op)
	r.calls = append(r.calls, sent)
	if r.chance(0.1) {
		r.clock.After(time.Duration(r.random.Int64N(int64(40*time.Millisecond))), func(time.Time) { sent.cancelByCaller() })
	}
}

// injectFault causes one random event, such as a crash, a drain or a slow
// server, and schedules the next.
func (r *randomSimulation) injectFault(time.Time) {
	if r.stopped {
		return
	}
	r.clock.After(faultInterval, r.injectFault)
	for i, n := range r.nodes {
		if !n.running && r.chance(0.5) {
			r.incarnations++
			r.replace(i)
			r.publish(time.Second)
			return
		}
	}
	n := r.randomNode()
	if !n.running {
		return
	}
	switch r.random.IntN(6) {
	case 0:
		n.crash()
		r.publish(2 * time.Second)
	case 1:
		n.leave()
		r.clock.After(5*time.Second, func(time.Time) { n.crash() })
	case 2:
		n.failing = true
		r.clock.After(2*time.Second, func(time.Time) { n.failing = false })
	case 3:
		n.slowdown = 10
		r.clock.After(2*time.Second, func(time.Time) { n.slowdown = 1 })
	case 4:
		n.d.HandleServerStatus(r.clock.Now(), r.chance(0.5), 100)
	case 5:
		r.publish(time.Second)
	}
}

func TestRandomRun(t *testing.T) {
	totals := map[string]int{}
	for run := range *randomRuns {
		seed := *randomSeed + uint64(run)
		r := newRandomSimulation(seed)
		r.arrive(r.clock.Now())
		r.injectFault(r.clock.Now())
		r.clock.Advance(trafficDuration)
		r.stopped = true
		r.clock.Advance(2 * time.Minute)
		r.check(t, seed)
		r.count(totals)
	}
	t.Log(totals)
	for _, outcome := range []string{"answered", "asks", "retries", "resends", "hand-overs",
		"ticket-used", "issuer-gone", "queue-full", "deadline-too-close", "server-leaving", "peer-broke", "server-broke", "retry-budget"} {
		if totals[outcome] == 0 {
			t.Errorf("no run had any %s", outcome)
		}
	}
}

func (r *randomSimulation) check(t *testing.T, seed uint64) {
	t.Helper()
	is := is.New(t)
	budget := float64(r.incarnations) * 10
	for _, sent := range r.calls {
		budget += r.service.Limits.RetryBudget
		if sent.endCount != 1 {
			r.recordViolation("call %d ended %d times", sent.work.ID, sent.endCount)
		}
		if sent.refusal.ID != "" && sent.refusal.Ran == gooseberrymast.RanNo && sent.runs > 0 {
			r.recordViolation("call %d was refused as not run and ran %d times", sent.work.ID, sent.runs)
		}
	}
	if float64(r.retries) > budget {
		r.recordViolation("%d retries, %.0f allowed", r.retries, budget)
	}
	for _, n := range r.nodes {
		if n.running && n.leavingSince.IsZero() && (len(n.d.requests) > 0 || len(n.jobs) > 0 || n.d.admitter.Running() > 0 || n.d.streams > 0) {
			r.recordViolation("%d requests, %d jobs and %d slots are left at %s", len(n.d.requests), len(n.jobs), n.d.admitter.Running(), n.identity)
		}
	}
	for _, violation := range r.violations[:min(10, len(r.violations))] {
		t.Errorf("seed %d: %s", seed, violation)
	}
	is.Equal(len(r.violations), 0)
}

func (r *randomSimulation) count(totals map[string]int) {
	totals["calls"] += len(r.calls)
	totals["retries"] += r.retries
	totals["asks"] += r.outcomeQueries
	for _, sends := range r.resends {
		totals["resends"] += sends
	}
	for _, sent := range r.calls {
		if sent.answered {
			totals["answered"]++
		}
	}
	for reason, n := range r.refusalCounts {
		totals[string(reason)] += n
	}
	for _, n := range r.nodes {
		totals["hand-overs"] += int(n.d.recorder.Refusals(gooseberrymast.ReasonInProgressLimit))
		totals["budget-spent"] += int(n.d.recorder.Retries(recorder.RetryBudgetSpent))
	}
}
