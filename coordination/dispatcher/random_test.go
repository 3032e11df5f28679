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
	randomTime  = 10 * time.Second
	randomEvery = 300 * time.Millisecond
	maxSends    = 2
)

// chaos sends random calls into a world and lets random things go wrong.
type chaos struct {
	*world
	calls []*call
	sends map[*intent]int
	lives int
	quiet bool
	// seen counts the refusals that callers got.
	seen map[gooseberrymast.Reason]int
}

func randomService() gooseberrymast.Service {
	service := limits()
	service.Limits.Slots, service.Limits.Queue, service.Limits.Connections = 4, 8, 20
	service.Limits.SlowStart = gooseberrymast.Duration(time.Second)
	service.Drain.Grace = gooseberrymast.Duration(50 * time.Millisecond)
	service.Limits.CallerRate, service.Limits.CallerBurst = 2500, 100
	return service
}

func newChaos(seed uint64) *chaos {
	zones := []string{"cairo-a", "cairo-b", "cairo-c", "cairo-a", "cairo-b", "cairo-c", "cairo-a"}
	c := &chaos{world: newWorld(seed, randomService(), zones, Policy{}), sends: map[*intent]int{}, lives: len(zones), seen: map[gooseberrymast.Reason]int{}}
	c.faults = faults{notSent: 0.01, lostBefore: 0.02, lateCopy: 0.03, answerLost: 0.03,
		replyLost: 0.1, shed: 0.02, fail: 0.02, breakRun: 0.03, torn: 0.005}
	c.took = func(c *call) time.Duration {
		if c.work.Stream {
			return time.Duration(c.work.ID%6) * time.Second
		}
		if c.work.Path == "/sync" {
			return 2 * time.Second
		}
		return time.Duration(5+c.work.ID%30) * time.Millisecond
	}
	c.ended = c.end
	return c
}

// end sends a ticketed request again whose outcome the caller doesn't know.
func (c *chaos) end(one *call) {
	if one.refusal.ID != "" {
		c.seen[one.refusal.Reason]++
	}
	if one.answer || one.intent.ticket.IsZero() || c.sends[one.intent] >= maxSends {
		return
	}
	c.clock.After(time.Duration(c.random.Int64N(int64(time.Second))), func(time.Time) { c.resend(one) })
}

func (c *chaos) resend(one *call) {
	c.sends[one.intent]++
	work := one.work
	work.Deadline = c.clock.Now().Add(c.deadline())
	c.calls = append(c.calls, c.send(c.anyNode(), work, one.intent))
}

func (c *chaos) anyNode() *node { return c.nodes[c.random.IntN(len(c.nodes))] }

func (c *chaos) deadline() time.Duration {
	return 20*time.Millisecond + time.Duration(c.random.Int64N(int64(500*time.Millisecond)))
}

// arrive sends one call and arranges for the next. Demand changes every second.
func (c *chaos) arrive(now time.Time) {
	if c.quiet {
		return
	}
	gaps := []time.Duration{10 * time.Millisecond, 3 * time.Millisecond, 2 * time.Millisecond, 500 * time.Microsecond}
	gap := gaps[now.Second()%len(gaps)]
	c.clock.After(time.Duration(c.random.Int64N(int64(2*gap))), c.arrive)
	n := c.anyNode()
	work := gooseberrymast.Work{Caller: callerAddress, Path: "/loans", Deadline: now.Add(c.deadline()), Replayable: !c.chance(0.1)}
	aim := &intent{}
	switch kind := c.random.IntN(100); {
	case kind < 40:
		work.Idempotent = true
	case kind < 80 && n.alive:
		aim.ticket = n.d.Issue(now)
		work.Ticket = aim.ticket
	}
	if c.chance(0.05) {
		work.Stream = true
	} else if c.chance(0.01) {
		work.Path, work.Deadline = "/sync", now.Add(5*time.Second)
	}
	one := c.send(n, work, aim)
	c.calls = append(c.calls, one)
	if c.chance(0.1) {
		c.clock.After(time.Duration(c.random.Int64N(int64(40*time.Millisecond))), func(time.Time) { one.cancel() })
	}
}

// strike lets one thing go wrong and arranges for the next.
func (c *chaos) strike(time.Time) {
	if c.quiet {
		return
	}
	c.clock.After(randomEvery, c.strike)
	for at, n := range c.nodes {
		if !n.alive && c.chance(0.5) {
			c.lives++
			c.replace(at)
			c.publish(time.Second)
			return
		}
	}
	n := c.anyNode()
	if !n.alive {
		return
	}
	switch c.random.IntN(6) {
	case 0:
		n.kill()
		c.publish(2 * time.Second)
	case 1:
		n.leave()
		c.clock.After(5*time.Second, func(time.Time) { n.kill() })
	case 2:
		n.sick = true
		c.clock.After(2*time.Second, func(time.Time) { n.sick = false })
	case 3:
		n.slow = 10
		c.clock.After(2*time.Second, func(time.Time) { n.slow = 1 })
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
		c := newChaos(seed)
		c.arrive(c.clock.Now())
		c.strike(c.clock.Now())
		c.clock.Advance(randomTime)
		c.quiet = true
		c.clock.Advance(2 * time.Minute)
		c.check(t, seed)
		c.count(totals)
	}
	t.Log(totals)
	for _, happened := range []string{"answered", "asks", "retries", "resends", "hand-overs",
		"ticket-used", "issuer-gone", "queue-full", "deadline-too-close", "server-leaving", "peer-broke", "server-broke", "retry-budget"} {
		if totals[happened] == 0 {
			t.Errorf("no run had any %s", happened)
		}
	}
}

func (c *chaos) check(t *testing.T, seed uint64) {
	t.Helper()
	is := is.New(t)
	budget := float64(c.lives) * 10
	for _, one := range c.calls {
		budget += c.service.Limits.RetryBudget
		if one.ends != 1 {
			c.fault("call %d ended %d times", one.work.ID, one.ends)
		}
		if one.refusal.ID != "" && one.refusal.Ran == gooseberrymast.RanNo && one.runs > 0 {
			c.fault("call %d was told not run and ran %d times", one.work.ID, one.runs)
		}
	}
	if float64(c.retries) > budget {
		c.fault("%d retries, %.0f allowed", c.retries, budget)
	}
	for _, n := range c.nodes {
		if n.alive && n.leftAt.IsZero() && (len(n.d.requests) > 0 || len(n.jobs) > 0 || n.d.admitter.Running() > 0 || n.d.streams > 0) {
			c.fault("%d requests, %d jobs and %d slots are left at %s", len(n.d.requests), len(n.jobs), n.d.admitter.Running(), n.identity)
		}
	}
	for _, wrong := range c.wrong[:min(10, len(c.wrong))] {
		t.Errorf("seed %d: %s", seed, wrong)
	}
	is.Equal(len(c.wrong), 0)
}

func (c *chaos) count(totals map[string]int) {
	totals["calls"] += len(c.calls)
	totals["retries"] += c.retries
	totals["asks"] += c.asks
	for _, sends := range c.sends {
		totals["resends"] += sends
	}
	for _, one := range c.calls {
		if one.answer {
			totals["answered"]++
		}
	}
	for reason, n := range c.seen {
		totals[string(reason)] += n
	}
	for _, n := range c.nodes {
		totals["hand-overs"] += int(n.d.recorder.Refusals(gooseberrymast.ReasonInProgressLimit))
		totals["budget-spent"] += int(n.d.recorder.Retries(recorder.RetryUnbudget))
	}
}
