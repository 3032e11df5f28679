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
	c := &randomSimulation{simulation: newSimulation(seed, randomService(), zones, Policy{}), resends: map[*operation]int{}, incarnations: len(zones), refusalCounts: map[gooseberrymast.Reason]int{}}
	c.faults = faults{notSent: 0.01, requestLost: 0.02, lateCopy: 0.03, responseLost: 0.03,
		replyLost: 0.1, shed: 0.02, fail: 0.02, connectionBroken: 0.03, torn: 0.005}
	c.serviceTimeOf = func(c *call) time.Duration {
		if c.work.Stream {
			return time.Duration(c.work.ID%6) * time.Second
		}
		if c.work.Path == "/sync" {
			return 2 * time.Second
		}
		return time.Duration(5+c.work.ID%30) * time.Millisecond
	}
	c.onCallEnd = c.handleCallEnd
	return c
}

// handleCallEnd resends a request with a ticket if its caller got no answer.
func (c *randomSimulation) handleCallEnd(ended *call) {
	if ended.refusal.ID != "" {
		c.refusalCounts[ended.refusal.Reason]++
	}
	if ended.answered || ended.operation.ticket.IsZero() || c.resends[ended.operation] >= maxResends {
		return
	}
	c.clock.After(time.Duration(c.random.Int64N(int64(time.Second))), func(time.Time) { c.resend(ended) })
}

func (c *randomSimulation) resend(previous *call) {
	c.resends[previous.operation]++
	work := previous.work
	work.Deadline = c.clock.Now().Add(c.deadline())
	c.calls = append(c.calls, c.send(c.randomNode(), work, previous.operation))
}

func (c *randomSimulation) randomNode() *node { return c.nodes[c.random.IntN(len(c.nodes))] }

func (c *randomSimulation) deadline() time.Duration {
	return 20*time.Millisecond + time.Duration(c.random.Int64N(int64(500*time.Millisecond)))
}

// arrive sends one call and schedules the next. The request rate changes every
// second.
func (c *randomSimulation) arrive(now time.Time) {
	if c.stopped {
		return
	}
	meanIntervals := []time.Duration{10 * time.Millisecond, 3 * time.Millisecond, 2 * time.Millisecond, 500 * time.Microsecond}
	interval := meanIntervals[now.Second()%len(meanIntervals)]
	c.clock.After(time.Duration(c.random.Int64N(int64(2*interval))), c.arrive)
	n := c.randomNode()
	work := gooseberrymast.Work{Caller: callerAddress, Path: "/loans", Deadline: now.Add(c.deadline()), Replayable: !c.chance(0.1)}
	op := &operation{}
	switch kind := c.random.IntN(100); {
	case kind < 40:
		work.Idempotent = true
	case kind < 80 && n.running:
		op.ticket = n.d.Issue(now)
		work.Ticket = op.ticket
	}
	if c.chance(0.05) {
		work.Stream = true
	} else if c.chance(0.01) {
		work.Path, work.Deadline = "/sync", now.Add(5*time.Second)
	}
	sent := c.send(n, work, op)
	c.calls = append(c.calls, sent)
	if c.chance(0.1) {
		c.clock.After(time.Duration(c.random.Int64N(int64(40*time.Millisecond))), func(time.Time) { sent.cancelByCaller() })
	}
}

// injectFault causes one random event, such as a crash, a drain or a slow
// server, and schedules the next.
func (c *randomSimulation) injectFault(time.Time) {
	if c.stopped {
		return
	}
	c.clock.After(faultInterval, c.injectFault)
	for i, n := range c.nodes {
		if !n.running && c.chance(0.5) {
			c.incarnations++
			c.replace(i)
			c.publish(time.Second)
			return
		}
	}
	n := c.randomNode()
	if !n.running {
		return
	}
	switch c.random.IntN(6) {
	case 0:
		n.crash()
		c.publish(2 * time.Second)
	case 1:
		n.leave()
		c.clock.After(5*time.Second, func(time.Time) { n.crash() })
	case 2:
		n.failing = true
		c.clock.After(2*time.Second, func(time.Time) { n.failing = false })
	case 3:
		n.slowdown = 10
		c.clock.After(2*time.Second, func(time.Time) { n.slowdown = 1 })
	case 4:
		n.d.Observe(c.clock.Now(), c.chance(0.5), 100)
	case 5:
		c.publish(time.Second)
	}
}

func TestRandomRun(t *testing.T) {
	totals := map[string]int{}
	for run := range *randomRuns {
		seed := *randomSeed + uint64(run)
		c := newRandomSimulation(seed)
		c.arrive(c.clock.Now())
		c.injectFault(c.clock.Now())
		c.clock.Advance(trafficDuration)
		c.stopped = true
		c.clock.Advance(2 * time.Minute)
		c.check(t, seed)
		c.count(totals)
	}
	t.Log(totals)
	for _, outcome := range []string{"answered", "asks", "retries", "resends", "hand-overs",
		"ticket-used", "issuer-gone", "queue-full", "deadline-too-close", "server-leaving", "peer-broke", "server-broke", "retry-budget"} {
		if totals[outcome] == 0 {
			t.Errorf("no run had any %s", outcome)
		}
	}
}

func (c *randomSimulation) check(t *testing.T, seed uint64) {
	t.Helper()
	is := is.New(t)
	budget := float64(c.incarnations) * 10
	for _, sent := range c.calls {
		budget += c.service.Limits.RetryBudget
		if sent.endCount != 1 {
			c.recordViolation("call %d ended %d times", sent.work.ID, sent.endCount)
		}
		if sent.refusal.ID != "" && sent.refusal.Ran == gooseberrymast.RanNo && sent.runs > 0 {
			c.recordViolation("call %d was refused as not run and ran %d times", sent.work.ID, sent.runs)
		}
	}
	if float64(c.retries) > budget {
		c.recordViolation("%d retries, %.0f allowed", c.retries, budget)
	}
	for _, n := range c.nodes {
		if n.running && n.leavingSince.IsZero() && (len(n.d.requests) > 0 || len(n.jobs) > 0 || n.d.admitter.Running() > 0 || n.d.streams > 0) {
			c.recordViolation("%d requests, %d jobs and %d slots are left at %s", len(n.d.requests), len(n.jobs), n.d.admitter.Running(), n.identity)
		}
	}
	for _, violation := range c.violations[:min(10, len(c.violations))] {
		t.Errorf("seed %d: %s", seed, violation)
	}
	is.Equal(len(c.violations), 0)
}

func (c *randomSimulation) count(totals map[string]int) {
	totals["calls"] += len(c.calls)
	totals["retries"] += c.retries
	totals["asks"] += c.outcomeQueries
	for _, sends := range c.resends {
		totals["resends"] += sends
	}
	for _, sent := range c.calls {
		if sent.answered {
			totals["answered"]++
		}
	}
	for reason, n := range c.refusalCounts {
		totals[string(reason)] += n
	}
	for _, n := range c.nodes {
		totals["hand-overs"] += int(n.d.recorder.Refusals(gooseberrymast.ReasonInProgressLimit))
		totals["budget-spent"] += int(n.d.recorder.Retries(recorder.RetryUnbudget))
	}
}
