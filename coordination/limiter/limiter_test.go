package limiter

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/state/timer"
)

const (
	rate         = 100.0
	burst        = 20
	oneWayDelay  = 2 * time.Millisecond // to the home
	testDuration = 20 * time.Second
)

var caller = netip.MustParseAddr("192.0.2.1")

// scheme is a way of counting a caller's requests that arrive at several agents.
type scheme interface {
	allow(clock *timer.Manual, agent int) bool
	messages() int
}

// localScheme counts at each agent separately, with a share of the rate.
type localScheme struct{ agents []Local }

func newLocalScheme(agents int, share float64) *localScheme {
	a := &localScheme{agents: make([]Local, agents)}
	for i := range a.agents {
		a.agents[i] = Local{Rate: rate * share, Burst: max(1, int(burst*share))}
	}
	return a
}

func (a *localScheme) allow(clock *timer.Manual, agent int) bool {
	return a.agents[agent].Allow(clock.Now(), caller)
}

func (a *localScheme) messages() int { return 0 }

// homeScheme counts at a home agent, to which the other agents report.
type homeScheme struct {
	home   Home
	agents []Remote
	sent   int
}

func newHomeScheme(agents int) *homeScheme {
	a := &homeScheme{home: Home{Rate: rate, Burst: burst}, agents: make([]Remote, agents)}
	for i := range a.agents {
		a.agents[i] = Remote{Rate: rate, Burst: burst}
	}
	return a
}

func (a *homeScheme) allow(clock *timer.Manual, agent int) bool {
	remote := &a.agents[agent]
	ok, report := remote.Allow(clock.Now(), caller)
	if report == 0 {
		return ok
	}
	a.sent += 2
	clock.After(oneWayDelay, func(now time.Time) {
		granted, wait := a.home.Count(now, caller, report)
		clock.After(oneWayDelay, func(now time.Time) { remote.HandleCountReply(now, caller, true, granted, wait) })
	})
	return ok
}

func (a *homeScheme) messages() int { return a.sent }

// outcome is the result of one measurement.
type outcome struct {
	// overshoot is the number of admitted requests divided by the number that a
	// single counter would have admitted.
	overshoot float64
	// wrongRefusals is the share of requests that were refused although a single
	// counter would have admitted them.
	wrongRefusals float64
	// messages is the number of messages per second.
	messages float64
}

// measure sends a caller's requests to random agents at a multiple of its rate.
func measure(seed uint64, agents int, offered float64, tested scheme) outcome {
	random := rand.New(rand.NewPCG(seed, 0))
	var clock timer.Manual
	clock.Advance(time.Hour)
	end := clock.Now().Add(testDuration)
	single := Local{Rate: rate, Burst: burst}
	var sent, admitted, expected, wronglyRefused float64
	for clock.Now().Before(end) {
		clock.Advance(time.Duration(random.ExpFloat64() / (rate * offered) * float64(time.Second)))
		sent++
		allowed := single.Allow(clock.Now(), caller)
		ok := tested.allow(&clock, random.IntN(agents))
		if allowed {
			expected++
		}
		if ok {
			admitted++
		} else if allowed {
			wronglyRefused++
		}
	}
	return outcome{admitted / expected, wronglyRefused / sent, float64(tested.messages()) / testDuration.Seconds()}
}

// TestCountingAccuracy compares ways of counting a caller whose requests are spread
// over several agents. All results: go test ./coordination/limiter -run TestCountingAccuracy -v
func TestCountingAccuracy(t *testing.T) {
	for _, agents := range []int{1, 7, 50} {
		for _, offered := range []float64{0.5, 0.9, 4} {
			t.Run(fmt.Sprintf("%d-agents-at-%.1f", agents, offered), func(t *testing.T) {
				for seed := uint64(1); seed <= 3; seed++ {
					home := measure(seed, agents, offered, newHomeScheme(agents))
					t.Logf("seed %d: overshoot, wrongly refused, messages/s: full rate each %.2f, share each %.2f, at home %.2f", seed,
						measure(seed, agents, offered, newLocalScheme(agents, 1)),
						measure(seed, agents, offered, newLocalScheme(agents, 1/float64(agents))), home)
					if home.overshoot > 1.15 {
						t.Errorf("seed %d: admitted %.2f times what one counter would", seed, home.overshoot)
					}
					if offered < 1 && home.wrongRefusals > 0.01 {
						t.Errorf("seed %d: %.3f refused wrongly", seed, home.wrongRefusals)
					}
				}
			})
		}
	}
}

func TestHomeOfIgnoresOrderOfAgents(t *testing.T) {
	is := is.New(t)
	var agents []gooseberrymast.Identity
	for n := byte(1); n <= 5; n++ {
		agents = append(agents, gooseberrymast.Identity{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000), Incarnation: 1})
	}
	home := HomeOf(caller, agents)
	agents[0], agents[4] = agents[4], agents[0]
	is.Equal(HomeOf(caller, agents), home)
	var without []gooseberrymast.Identity
	for _, agent := range agents {
		if agent != home {
			without = append(without, agent)
		}
	}
	is.True(HomeOf(caller, without) != home)
}

func TestLostReportFallsBackToLocalCounting(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := Remote{Rate: rate, Burst: burst}
	admitted := 0
	for range 100 {
		if ok, _ := r.Allow(now, caller); ok {
			admitted++
		}
	}
	is.Equal(admitted, 2*Batch(burst)) // no more until the reply
	now = now.Add(ReplyTimeout)
	for range 100 {
		if ok, _ := r.Allow(now, caller); ok {
			admitted++
		}
	}
	is.Equal(admitted, 2*Batch(burst)+burst)
}

func TestNumberOfCallersIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := Local{Rate: rate, Burst: burst}
	for n := range MaxCallers + 100 {
		l.Allow(now, netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}))
	}
	is.Equal(l.Callers(), MaxCallers)
	l.Allow(now.Add(time.Minute), caller)
	is.Equal(l.Callers(), 1)
}
