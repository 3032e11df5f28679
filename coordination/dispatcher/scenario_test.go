package dispatcher

import (
	"flag"
	"math"
	"slices"
	"testing"
	"time"

	"gooseberrymast"
)

// All figures: go test ./coordination/dispatcher -run TestScenario -figures -v
var figures = flag.Bool("figures", false, "run the scenarios with three seeds and beside the baseline")

// baseline is the plain policy that the product's is compared with.
var baseline = Policy{NoHandOver: true, UnboundedQueue: true, UnbudgetedRetries: true, MixLong: true, NoEjection: true}

// deployment is a service of the brief.
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
	meanTime     = 20 * time.Millisecond
	flows        = 700
	stragglersIn = 200
	longFactor   = 100
)

// load drives one scenario: Poisson arrivals on the flows of many callers,
// which are spread over the agents at random, or by round robin.
type load struct {
	*world
	deployment deployment
	flowAt     []int
	calls      []*call
	// rate gives the requests a second, zero at the end.
	rate func(since time.Duration) float64
	// stragglers makes one request in stragglersIn long; hidden gives it the
	// path of the others.
	stragglers, hidden bool
	// shortest and spread are the bounds of the deadlines.
	shortest, spread time.Duration
	began            time.Time
}

func newLoad(seed uint64, where deployment, policy Policy) *load {
	service := limits()
	service.Limits.Slots, service.Limits.Queue = where.slots, gooseberrymast.DefaultQueue
	service.Limits.Connections = gooseberrymast.DefaultConnections
	l := &load{world: newWorld(seed, service, where.zones, policy), deployment: where}
	for range flows {
		l.flowAt = append(l.flowAt, l.random.IntN(len(l.nodes)))
	}
	l.took = l.serviceTime
	l.shortest, l.spread = 200*time.Millisecond, 800*time.Millisecond
	return l
}

// serviceTime is half constant and half exponential; a straggler's is longFactor times the mean.
func (l *load) serviceTime(c *call) time.Duration {
	if c.work.Caller.IsValid() {
		return longFactor * meanTime
	}
	return meanTime/2 + time.Duration(l.random.ExpFloat64()*float64(meanTime/2))
}

// capacity is the number of requests a second that all slots can serve.
func (l *load) capacity() float64 {
	return float64(len(l.nodes)*l.deployment.slots) / meanTime.Seconds()
}

func (l *load) run(length time.Duration) {
	l.began = l.clock.Now()
	l.arrive(l.began)
	l.clock.Advance(length)
	l.rate = func(time.Duration) float64 { return 0 }
	l.clock.Advance(time.Minute)
}

func (l *load) arrive(now time.Time) {
	rate := l.rate(now.Sub(l.began))
	if rate == 0 {
		return
	}
	l.clock.After(time.Duration(l.random.ExpFloat64()/rate*float64(time.Second)), l.arrive)
	n := l.nodes[l.flowAt[l.random.IntN(flows)]]
	if l.policy.NoHandOver {
		n = l.nodes[len(l.calls)%len(l.nodes)]
	}
	deadline := l.shortest + time.Duration(l.random.Int64N(int64(l.spread)))
	work := gooseberrymast.Work{Path: "/loans", Replayable: true, Idempotent: l.chance(0.5), Deadline: now.Add(deadline)}
	if l.stragglers && l.random.IntN(stragglersIn) == 0 {
		work.Caller, work.Deadline = callerAddress, now.Add(3*time.Second) // marks a straggler
		if !l.hidden {
			work.Path = "/sync"
		}
	}
	l.calls = append(l.calls, l.send(n, work, &intent{}))
}

// useful gives the answers of calls sent in a time span as a share of what the
// slots could serve in it.
func (l *load) useful(from, to time.Duration) float64 {
	answered := 0
	for _, one := range l.calls {
		if at := one.at.Sub(l.began); one.answer && at >= from && at < to && !one.at.After(one.work.Deadline) {
			answered++
		}
	}
	return float64(answered) / (l.capacity() * (to - from).Seconds())
}

// answeredShare gives the share of the calls of a time span that were answered in time.
func (l *load) answeredShare(from, to time.Duration) float64 {
	sent, answered := 0, 0
	for _, one := range l.calls {
		if at := one.sent.Sub(l.began); at < from || at >= to {
			continue
		}
		sent++
		if one.answer && !one.at.After(one.work.Deadline) {
			answered++
		}
	}
	return float64(answered) / float64(sent)
}

// quantile gives a quantile of the short calls' answer times, where a call
// without an answer counts as infinite.
func (l *load) quantile(q float64) time.Duration {
	var times []time.Duration
	for _, one := range l.calls {
		switch {
		case one.work.Caller.IsValid() || one.sent.Sub(l.began) < 2*time.Second:
		case !one.answer:
			times = append(times, math.MaxInt64)
		default:
			times = append(times, one.at.Sub(one.sent))
		}
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

func (l *load) check(t *testing.T) {
	t.Helper()
	for _, one := range l.calls {
		if one.ends != 1 {
			l.fault("call %d ended %d times", one.work.ID, one.ends)
		}
	}
	for _, wrong := range l.wrong[:min(5, len(l.wrong))] {
		t.Error(wrong)
	}
}

// each runs a scenario for both deployments and all seeds.
func each(t *testing.T, scenario func(t *testing.T, where deployment, seed uint64)) {
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

func steady(l *load, share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share * l.capacity() }
}

// crestRate rises to ten times within two seconds, stays for three, and goes back.
func crestRate(base float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		up := (since - time.Second).Seconds() / 2
		down := (since - 6*time.Second).Seconds() / 2
		return base * (1 + 9*min(1, max(0, up)) - 9*min(1, max(0, down)))
	}
}

func TestScenarioCrest(t *testing.T) {
	each(t, func(t *testing.T, where deployment, seed uint64) {
		measure := func(policy Policy) (crest, after float64) {
			l := newLoad(seed, where, policy)
			l.shortest, l.spread = 60*time.Millisecond, 440*time.Millisecond
			l.rate = crestRate(0.3 * l.capacity())
			l.run(12 * time.Second)
			l.check(t)
			return l.useful(3*time.Second, 6*time.Second), l.answeredShare(10*time.Second, 12*time.Second)
		}
		crest, after := measure(Policy{})
		t.Logf("seed %d: useful at the crest %.3f, answered after it %.3f", seed, crest, after)
		if *figures {
			crest, after := measure(baseline)
			t.Logf("seed %d: baseline: useful at the crest %.3f, answered after it %.3f", seed, crest, after)
		}
		if crest < 0.9 {
			t.Errorf("useful answers at the crest: %.3f, want 0.9", crest)
		}
		if after < 0.99 {
			t.Errorf("answered after the crest: %.3f, want 0.99", after)
		}
	})
}

func TestScenarioStragglers(t *testing.T) {
	each(t, func(t *testing.T, where deployment, seed uint64) {
		measure := func(policy Policy, stragglers, hidden bool) time.Duration {
			l := newLoad(seed, where, policy)
			l.stragglers, l.hidden = stragglers, hidden
			l.rate = steady(l, 0.4)
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

// TestScenarioDrain replaces every backend server in turn under load.
func TestScenarioDrain(t *testing.T) {
	each(t, func(t *testing.T, where deployment, seed uint64) {
		measure := func(policy Policy) (refused, cut int) {
			l := newLoad(seed, where, policy)
			l.service.Limits.SlowStart = gooseberrymast.Duration(2 * time.Second)
			l.rate = steady(l, 0.5)
			for at := range l.nodes {
				l.clock.After(time.Duration(1+3*at)*time.Second, func(time.Time) { l.roll(at) })
			}
			l.run(time.Duration(4+3*len(l.nodes)) * time.Second)
			l.check(t)
			for _, one := range l.calls {
				if one.refusal.ID != "" {
					refused++
				} else if !one.answer {
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

// TestScenarioSmallDrain replaces two servers of three in turn while the third
// has all the flows: one is leaving while another is cold, and nothing is refused.
func TestScenarioSmallDrain(t *testing.T) {
	receipts := deployment{"receipts", []string{"cairo-a", "cairo-b", "cairo-c"}, 4}
	for seed := uint64(1); seed <= 3; seed++ {
		l := newLoad(seed, receipts, Policy{})
		l.service.Limits.SlowStart = gooseberrymast.Duration(gooseberrymast.DefaultSlowStart)
		l.rate = steady(l, 0.4)
		for i := range l.flowAt {
			l.flowAt[i] = 2
		}
		for at := range 2 {
			l.clock.After(time.Duration(1+4*at)*time.Second, func(time.Time) { l.roll(at) })
		}
		l.run(10 * time.Second)
		l.check(t)
		for _, one := range l.calls {
			if !one.answer {
				t.Errorf("seed %d: at %v after %v: %s", seed, one.sent.Sub(l.began), one.at.Sub(one.sent), one.refusal.Reason)
			}
		}
	}
}

// roll drains an agent and starts its next life once nothing remains. The
// flows' next requests come to the new life.
func (l *load) roll(at int) {
	n := l.nodes[at]
	n.leave()
	var wait func(time.Time)
	wait = func(now time.Time) {
		if now.Sub(n.leftAt) < 2*time.Second || !n.d.Drain(now).Done {
			l.clock.After(10*time.Millisecond, wait)
			return
		}
		n.alive = false
		l.replace(at)
		l.publish(time.Second)
	}
	l.clock.After(time.Second, wait)
}

// TestScenarioFaults has a backend server that fails fast, one that dies and
// one that is ten times slower, with every fault of the network at one percent.
func TestScenarioFaults(t *testing.T) {
	each(t, func(t *testing.T, where deployment, seed uint64) {
		measure := func(policy Policy) float64 {
			l := newLoad(seed, where, policy)
			l.faults = faults{notSent: 0.01, lostBefore: 0.01, lateCopy: 0.01, answerLost: 0.01, replyLost: 0.01}
			l.rate = steady(l, 0.5)
			l.clock.After(2*time.Second, func(now time.Time) {
				l.nodes[0].sick = true
				l.nodes[0].d.Observe(now, true, 0) // and says that it is well
				l.nodes[1].slow = 10
			})
			l.clock.After(4*time.Second, func(time.Time) { l.nodes[2].kill(); l.publish(time.Second) })
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
