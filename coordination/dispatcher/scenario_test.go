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
var baseline = Policy{NoHandOver: true, UnboundedQueue: true, UnlimitedRetries: true, NoSlotReserve: true, NoEjection: true}

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
	startedAt                  time.Time
}

func newWorkload(seed uint64, dep deployment, policy Policy) *workload {
	service := testService()
	service.Limits.Slots, service.Limits.Queue = dep.slots, gooseberrymast.DefaultQueue
	service.Limits.Connections = gooseberrymast.DefaultConnections
	w := &workload{simulation: newSimulation(seed, service, dep.zones, policy), deployment: dep}
	for range flowCount {
		w.nodeOfFlow = append(w.nodeOfFlow, w.random.IntN(len(w.nodes)))
	}
	w.serviceTimeOf = w.serviceTime
	w.minDeadline, w.deadlineRange = 200*time.Millisecond, 800*time.Millisecond
	return w
}

// serviceTime is half constant and half exponential. That of a straggler is
// stragglerFactor times the mean.
func (w *workload) serviceTime(c *call) time.Duration {
	if c.work.Caller.IsValid() {
		return stragglerFactor * meanServiceTime
	}
	return meanServiceTime/2 + time.Duration(w.random.ExpFloat64()*float64(meanServiceTime/2))
}

// capacity returns the requests per second that all slots together can serve.
func (w *workload) capacity() float64 {
	return float64(len(w.nodes)*w.deployment.slots) / meanServiceTime.Seconds()
}

func (w *workload) run(length time.Duration) {
	w.startedAt = w.clock.Now()
	w.arrive(w.startedAt)
	w.clock.Advance(length)
	w.rate = func(time.Duration) float64 { return 0 }
	w.clock.Advance(time.Minute)
}

func (w *workload) arrive(now time.Time) {
	rate := w.rate(now.Sub(w.startedAt))
	if rate == 0 {
		return
	}
	w.clock.After(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), w.arrive)
	n := w.nodes[w.nodeOfFlow[w.random.IntN(flowCount)]]
	if w.policy.NoHandOver {
		n = w.nodes[len(w.calls)%len(w.nodes)]
	}
	deadline := w.minDeadline + time.Duration(w.random.Int64N(int64(w.deadlineRange)))
	work := gooseberrymast.Work{Path: "/loans", Replayable: true, Idempotent: w.chance(0.5), Deadline: now.Add(deadline)}
	if w.stragglers && w.random.IntN(stragglerPeriod) == 0 {
		work.Caller, work.Deadline = callerAddress, now.Add(3*time.Second) // the caller's address marks a straggler
		if !w.hidden {
			work.Path = "/sync"
		}
	}
	w.calls = append(w.calls, w.send(n, work, &operation{}))
}

// goodput returns the calls answered in time within a time span, as a share of
// the capacity in that span.
func (w *workload) goodput(from, to time.Duration) float64 {
	answered := 0
	for _, c := range w.calls {
		if endedAfter := c.endedAt.Sub(w.startedAt); c.answered && endedAfter >= from && endedAfter < to && !c.endedAt.After(c.work.Deadline) {
			answered++
		}
	}
	return float64(answered) / (w.capacity() * (to - from).Seconds())
}

// answeredShare returns the share of the calls sent in a time span that were
// answered in time.
func (w *workload) answeredShare(from, to time.Duration) float64 {
	sent, answered := 0, 0
	for _, c := range w.calls {
		if sentAfter := c.sent.Sub(w.startedAt); sentAfter < from || sentAfter >= to {
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
func (w *workload) quantile(q float64) time.Duration {
	var times []time.Duration
	for _, c := range w.calls {
		switch {
		case c.work.Caller.IsValid() || c.sent.Sub(w.startedAt) < 2*time.Second:
		case !c.answered:
			times = append(times, math.MaxInt64)
		default:
			times = append(times, c.endedAt.Sub(c.sent))
		}
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

func (w *workload) check(t *testing.T) {
	t.Helper()
	for _, c := range w.calls {
		if c.endCount != 1 {
			w.recordViolation("call %d ended %d times", c.work.ID, c.endCount)
		}
	}
	for _, violation := range w.violations[:min(5, len(w.violations))] {
		t.Error(violation)
	}
}

// forEachDeployment runs a scenario for all deployments and seeds.
func forEachDeployment(t *testing.T, scenario func(t *testing.T, dep deployment, seed uint64)) {
	seeds := uint64(1)
	if *figures {
		seeds = 3
	}
	for _, dep := range deployments {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(dep.name, func(t *testing.T) { scenario(t, dep, seed) })
		}
	}
}

func constantRate(w *workload, share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share * w.capacity() }
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
	forEachDeployment(t, func(t *testing.T, dep deployment, seed uint64) {
		measure := func(policy Policy) (peak, after float64) {
			w := newWorkload(seed, dep, policy)
			w.minDeadline, w.deadlineRange = 60*time.Millisecond, 440*time.Millisecond
			w.rate = peakRate(0.3 * w.capacity())
			w.run(12 * time.Second)
			w.check(t)
			return w.goodput(3*time.Second, 6*time.Second), w.answeredShare(10*time.Second, 12*time.Second)
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
	forEachDeployment(t, func(t *testing.T, dep deployment, seed uint64) {
		measure := func(policy Policy, stragglers, hidden bool) time.Duration {
			w := newWorkload(seed, dep, policy)
			w.stragglers, w.hidden = stragglers, hidden
			w.rate = constantRate(w, 0.4)
			w.run(15 * time.Second)
			w.check(t)
			return w.quantile(0.99)
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
	forEachDeployment(t, func(t *testing.T, dep deployment, seed uint64) {
		measure := func(policy Policy) (refused, cut int) {
			w := newWorkload(seed, dep, policy)
			w.service.Limits.SlowStart = gooseberrymast.Duration(2 * time.Second)
			w.rate = constantRate(w, 0.5)
			for i := range w.nodes {
				w.clock.After(time.Duration(1+3*i)*time.Second, func(time.Time) { w.rollingRestart(i) })
			}
			w.run(time.Duration(4+3*len(w.nodes)) * time.Second)
			w.check(t)
			for _, c := range w.calls {
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
		w := newWorkload(seed, receipts, Policy{})
		w.service.Limits.SlowStart = gooseberrymast.Duration(gooseberrymast.DefaultSlowStart)
		w.rate = constantRate(w, 0.4)
		for i := range w.nodeOfFlow {
			w.nodeOfFlow[i] = 2
		}
		for i := range 2 {
			w.clock.After(time.Duration(1+4*i)*time.Second, func(time.Time) { w.rollingRestart(i) })
		}
		w.run(10 * time.Second)
		w.check(t)
		for _, c := range w.calls {
			if !c.answered {
				t.Errorf("seed %d: at %v after %v: %s", seed, c.sent.Sub(w.startedAt), c.endedAt.Sub(c.sent), c.refusal.Reason)
			}
		}
	}
}

// rollingRestart drains an agent and starts its next incarnation once the drain
// is done. The flows' next requests go to the new incarnation.
func (w *workload) rollingRestart(i int) {
	n := w.nodes[i]
	n.leave()
	var awaitDrain func(time.Time)
	awaitDrain = func(now time.Time) {
		if now.Sub(n.leavingSince) < 2*time.Second || !n.d.Drain(now).Done {
			w.clock.After(10*time.Millisecond, awaitDrain)
			return
		}
		n.running = false
		w.replace(i)
		w.publish(time.Second)
	}
	w.clock.After(time.Second, awaitDrain)
}

// TestScenarioFaults has one backend server that fails fast, one that crashes and
// one that is ten times slower, with each network fault at one per cent.
func TestScenarioFaults(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, dep deployment, seed uint64) {
		measure := func(policy Policy) float64 {
			w := newWorkload(seed, dep, policy)
			w.faults = faults{notSent: 0.01, requestLost: 0.01, lateCopy: 0.01, responseLost: 0.01, replyLost: 0.01}
			w.rate = constantRate(w, 0.5)
			w.clock.After(2*time.Second, func(now time.Time) {
				w.nodes[0].failing = true
				w.nodes[0].d.HandleServerStatus(now, true, 0) // the server still reports that it is healthy
				w.nodes[1].slowdown = 10
			})
			w.clock.After(4*time.Second, func(time.Time) { w.nodes[2].crash(); w.publish(time.Second) })
			w.clock.After(6*time.Second, func(time.Time) { w.replace(2); w.publish(time.Second) })
			w.run(10 * time.Second)
			w.check(t)
			return w.answeredShare(0, 10*time.Second)
		}
		share, base := measure(Policy{}), measure(baseline)
		t.Logf("seed %d: answered in time %.3f; baseline %.3f", seed, share, base)
		if share <= base {
			t.Errorf("answered in time %.3f, baseline %.3f", share, base)
		}
	})
}
