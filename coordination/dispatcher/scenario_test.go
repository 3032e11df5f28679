package dispatcher

import (
	"flag"
	"math"
	"slices"
	"testing"
	"time"

	"gooseberrymast"
)

// All results: go test ./coordination/dispatcher -run TestScenario -figures -v
var figures = flag.Bool("figures", false, "run the scenarios with three seeds and beside the baseline")

// baseline is a plain policy for comparison with the product's.
var baseline = Policy{NoHandOver: true, UnboundedQueue: true, UnbudgetedRetries: true, MixLong: true, NoEjection: true}

// deployment describes the agents of one service and the slots of each server.
type deployment struct {
	name  string
	zones []string
	slots int
}

var deployments = []deployment{
	{"ledger", []string{"cairo-a", "cairo-b", "cairo-c", "cairo-a", "cairo-b", "cairo-c", "cairo-a"}, 4},
	{"letter-desk", []string{"dixie-a", "dixie-b", "dixie-c", "dixie-d", "dixie-a", "dixie-b", "dixie-c"}, 5},
}

const (
	meanServiceTime = 20 * time.Millisecond
	flowCount       = 700
	stragglerPeriod = 200
	stragglerFactor = 100
)

// workload drives one scenario. Requests arrive in a Poisson process on the flows
// of many callers, which are spread over the agents at random. Under a policy
// without hand-over the requests go to the agents in turn.
type workload struct {
	*simulation
	deployment deployment
	nodeOfFlow []int
	calls      []*call
	// rate returns the requests per second; zero ends the scenario.
	rate func(since time.Duration) float64
	// stragglers makes one request in stragglerPeriod long. With hidden, stragglers
	// have the same path as the other requests.
	stragglers, hidden bool
	// Deadlines are uniform between minDeadline and minDeadline + deadlineRange.
	minDeadline, deadlineRange time.Duration
	start                      time.Time
}

func newWorkload(seed uint64, dep deployment, policy Policy) *workload {
	service := testService()
	service.Limits.Slots, service.Limits.Queue = dep.slots, gooseberrymast.DefaultQueue
	service.Limits.Connections = gooseberrymast.DefaultConnections
	l := &workload{simulation: newSimulation(seed, service, dep.zones, policy), deployment: dep}
	for range flowCount {
		l.nodeOfFlow = append(l.nodeOfFlow, l.random.IntN(len(l.nodes)))
	}
	l.serviceTimeOf = l.serviceTime
	l.minDeadline, l.deadlineRange = 200*time.Millisecond, 800*time.Millisecond
	return l
}

// serviceTime is half constant and half exponential. That of a straggler is
// stragglerFactor times the mean.
func (l *workload) serviceTime(c *call) time.Duration {
	if c.work.Caller.IsValid() {
		return stragglerFactor * meanServiceTime
	}
	return meanServiceTime/2 + time.Duration(l.random.ExpFloat64()*float64(meanServiceTime/2))
}

// capacity returns the requests per second that all slots together can serve.
func (l *workload) capacity() float64 {
	return float64(len(l.nodes)*l.deployment.slots) / meanServiceTime.Seconds()
}

func (l *workload) run(length time.Duration) {
	l.start = l.clock.Now()
	l.arrive(l.start)
	l.clock.Advance(length)
	l.rate = func(time.Duration) float64 { return 0 }
	l.clock.Advance(time.Minute)
}

func (l *workload) arrive(now time.Time) {
	rate := l.rate(now.Sub(l.start))
	if rate == 0 {
		return
	}
	l.clock.After(time.Duration(l.random.ExpFloat64()/rate*float64(time.Second)), l.arrive)
	n := l.nodes[l.nodeOfFlow[l.random.IntN(flowCount)]]
	if l.policy.NoHandOver {
		n = l.nodes[len(l.calls)%len(l.nodes)]
	}
	deadline := l.minDeadline + time.Duration(l.random.Int64N(int64(l.deadlineRange)))
	work := gooseberrymast.Work{Path: "/loans", Replayable: true, Idempotent: l.chance(0.5), Deadline: now.Add(deadline)}
	if l.stragglers && l.random.IntN(stragglerPeriod) == 0 {
		work.Caller, work.Deadline = callerAddress, now.Add(3*time.Second) // the caller's address marks a straggler
		if !l.hidden {
			work.Path = "/sync"
		}
	}
	l.calls = append(l.calls, l.send(n, work, &operation{}))
}

// goodput returns the calls answered in time within a time span, as a share of
// the capacity in that span.
func (l *workload) goodput(from, to time.Duration) float64 {
	answered := 0
	for _, c := range l.calls {
		if endedAfter := c.endedAt.Sub(l.start); c.answered && endedAfter >= from && endedAfter < to && !c.endedAt.After(c.work.Deadline) {
			answered++
		}
	}
	return float64(answered) / (l.capacity() * (to - from).Seconds())
}

// answeredShare returns the share of the calls sent in a time span that were
// answered in time.
func (l *workload) answeredShare(from, to time.Duration) float64 {
	sent, answered := 0, 0
	for _, c := range l.calls {
		if sentAfter := c.sent.Sub(l.start); sentAfter < from || sentAfter >= to {
			continue
		}
		sent++
		if c.answered && !c.endedAt.After(c.work.Deadline) {
			answered++
		}
	}
	return float64(answered) / float64(sent)
}

// quantile returns a quantile of the response times of the calls sent after the
// first two seconds, without stragglers. A call without an answer counts as
// infinitely long.
func (l *workload) quantile(q float64) time.Duration {
	var times []time.Duration
	for _, c := range l.calls {
		switch {
		case c.work.Caller.IsValid() || c.sent.Sub(l.start) < 2*time.Second:
		case !c.answered:
			times = append(times, math.MaxInt64)
		default:
			times = append(times, c.endedAt.Sub(c.sent))
		}
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

func (l *workload) check(t *testing.T) {
	t.Helper()
	for _, c := range l.calls {
		if c.endCount != 1 {
			l.recordViolation("call %d ended %d times", c.work.ID, c.endCount)
		}
	}
	for _, wrong := range l.violations[:min(5, len(l.violations))] {
		t.Error(wrong)
	}
}

// forEachDeployment runs a scenario for all deployments and seeds.
func forEachDeployment(t *testing.T, scenario func(t *testing.T, where deployment, seed uint64)) {
	seeds := uint64(1)
	if *figures {
		seeds = 3
	}
	for _, where := range deployments {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(where.name, func(t *testing.T) { scenario(t, where, seed) })
		}
	}
}

func constantRate(l *workload, share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share * l.capacity() }
}

// peakRate rises to ten times the base within two seconds, stays there for three,
// and falls back within two.
func peakRate(base float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		up := (since - time.Second).Seconds() / 2
		down := (since - 6*time.Second).Seconds() / 2
		return base * (1 + 9*min(1, max(0, up)) - 9*min(1, max(0, down)))
	}
}

func TestScenarioPeakLoad(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, where deployment, seed uint64) {
		measure := func(policy Policy) (peak, after float64) {
			l := newWorkload(seed, where, policy)
			l.minDeadline, l.deadlineRange = 60*time.Millisecond, 440*time.Millisecond
			l.rate = peakRate(0.3 * l.capacity())
			l.run(12 * time.Second)
			l.check(t)
			return l.goodput(3*time.Second, 6*time.Second), l.answeredShare(10*time.Second, 12*time.Second)
		}
		peak, after := measure(Policy{})
		t.Logf("seed %d: goodput at peak load %.3f, answered after it %.3f", seed, peak, after)
		if *figures {
			peak, after := measure(baseline)
			t.Logf("seed %d: baseline: goodput at peak load %.3f, answered after it %.3f", seed, peak, after)
		}
		if peak < 0.9 {
			t.Errorf("goodput at peak load: %.3f, want 0.9", peak)
		}
		if after < 0.99 {
			t.Errorf("answered after peak load: %.3f, want 0.99", after)
		}
	})
}

func TestScenarioStragglers(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, where deployment, seed uint64) {
		measure := func(policy Policy, stragglers, hidden bool) time.Duration {
			l := newWorkload(seed, where, policy)
			l.stragglers, l.hidden = stragglers, hidden
			l.rate = constantRate(l, 0.4)
			l.run(15 * time.Second)
			l.check(t)
			return l.quantile(0.99)
		}
		without, with, hidden := measure(Policy{}, false, false), measure(Policy{}, true, false), measure(Policy{}, true, true)
		t.Logf("seed %d: p99 %v without, %v with, %v with hidden stragglers", seed, without, with, hidden)
		if *figures {
			t.Logf("seed %d: baseline: p99 %v without, %v with", seed, measure(baseline, false, false), measure(baseline, true, false))
		}
		for _, p99 := range []time.Duration{with, hidden} {
			if float64(p99) > 1.5*float64(without) {
				t.Errorf("p99 with stragglers %v, want at most 1.5 times %v", p99, without)
			}
		}
	})
}

// TestScenarioDrain drains and restarts every backend server in turn under load.
func TestScenarioDrain(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, where deployment, seed uint64) {
		measure := func(policy Policy) (refused, cut int) {
			l := newWorkload(seed, where, policy)
			l.service.Limits.SlowStart = gooseberrymast.Duration(2 * time.Second)
			l.rate = constantRate(l, 0.5)
			for at := range l.nodes {
				l.clock.After(time.Duration(1+3*at)*time.Second, func(time.Time) { l.rollingRestart(at) })
			}
			l.run(time.Duration(4+3*len(l.nodes)) * time.Second)
			l.check(t)
			for _, c := range l.calls {
				if c.refusal.ID != "" {
					refused++
				} else if !c.answered {
					cut++
				}
			}
			return refused, cut
		}
		refused, cut := measure(Policy{})
		t.Logf("seed %d: %d refused, %d cut", seed, refused, cut)
		if *figures {
			refused, cut := measure(baseline)
			t.Logf("seed %d: baseline: %d refused, %d cut", seed, refused, cut)
		}
		if refused > 0 || cut > 0 {
			t.Errorf("%d refused and %d cut, want none", refused, cut)
		}
	})
}

// TestScenarioDrainOfSmallDeployment drains and restarts two servers of three in
// turn while the third holds all flows: one server is leaving while another is in
// slow start, and no request may be refused.
func TestScenarioDrainOfSmallDeployment(t *testing.T) {
	receipts := deployment{"receipts", []string{"cairo-a", "cairo-b", "cairo-c"}, 4}
	for seed := uint64(1); seed <= 3; seed++ {
		l := newWorkload(seed, receipts, Policy{})
		l.service.Limits.SlowStart = gooseberrymast.Duration(gooseberrymast.DefaultSlowStart)
		l.rate = constantRate(l, 0.4)
		for i := range l.nodeOfFlow {
			l.nodeOfFlow[i] = 2
		}
		for at := range 2 {
			l.clock.After(time.Duration(1+4*at)*time.Second, func(time.Time) { l.rollingRestart(at) })
		}
		l.run(10 * time.Second)
		l.check(t)
		for _, c := range l.calls {
			if !c.answered {
				t.Errorf("seed %d: at %v after %v: %s", seed, c.sent.Sub(l.start), c.endedAt.Sub(c.sent), c.refusal.Reason)
			}
		}
	}
}

// rollingRestart drains an agent and starts its next incarnation once the drain
// is done. The flows' next requests go to the new incarnation.
func (l *workload) rollingRestart(i int) {
	n := l.nodes[i]
	n.leave()
	var awaitDrain func(time.Time)
	awaitDrain = func(now time.Time) {
		if now.Sub(n.leavingSince) < 2*time.Second || !n.d.Drain(now).Done {
			l.clock.After(10*time.Millisecond, awaitDrain)
			return
		}
		n.running = false
		l.replace(i)
		l.publish(time.Second)
	}
	l.clock.After(time.Second, awaitDrain)
}

// TestScenarioFaults has one backend server that fails fast, one that crashes and
// one that is ten times slower, with each network fault at one per cent.
func TestScenarioFaults(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, where deployment, seed uint64) {
		measure := func(policy Policy) float64 {
			l := newWorkload(seed, where, policy)
			l.faults = faults{notSent: 0.01, requestLost: 0.01, lateCopy: 0.01, responseLost: 0.01, replyLost: 0.01}
			l.rate = constantRate(l, 0.5)
			l.clock.After(2*time.Second, func(now time.Time) {
				l.nodes[0].failing = true
				l.nodes[0].d.Observe(now, true, 0) // the server still reports that it is healthy
				l.nodes[1].slowdown = 10
			})
			l.clock.After(4*time.Second, func(time.Time) { l.nodes[2].crash(); l.publish(time.Second) })
			l.clock.After(6*time.Second, func(time.Time) { l.replace(2); l.publish(time.Second) })
			l.run(10 * time.Second)
			l.check(t)
			return l.answeredShare(0, 10*time.Second)
		}
		share, base := measure(Policy{}), measure(baseline)
		t.Logf("seed %d: answered in time %.3f; baseline %.3f", seed, share, base)
		if share <= base {
			t.Errorf("answered in time %.3f, baseline %.3f", share, base)
		}
	})
}
