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
	rate  = 100.0
	burst = 20
	delay = 2 * time.Millisecond // one way to the home
	span  = 20 * time.Second
)

var caller = netip.MustParseAddr("192.0.2.1")

// scheme decides on a caller's requests at a number of agents.
type scheme interface {
	allow(clock *timer.Manual, agent int) bool
	messages() int
}

// alone counts at each agent with a share of the rate.
type alone struct{ agents []Local }

func newAlone(agents int, share float64) *alone {
	a := &alone{agents: make([]Local, agents)}
	for i := range a.agents {
		a.agents[i] = Local{Rate: rate * share, Burst: max(1, int(burst*share))}
	}
	return a
}

func (a *alone) allow(clock *timer.Manual, agent int) bool {
	return a.agents[agent].Allow(clock.Now(), caller)
}

func (a *alone) messages() int { return 0 }

// atHome counts at the first agent, to which the others report.
type atHome struct {
	home   Home
	agents []Remote
	sent   int
}

func newAtHome(agents int) *atHome {
	a := &atHome{home: Home{Rate: rate, Burst: burst}, agents: make([]Remote, agents)}
	for i := range a.agents {
		a.agents[i] = Remote{Rate: rate, Burst: burst}
	}
	return a
}

func (a *atHome) allow(clock *timer.Manual, agent int) bool {
	remote := &a.agents[agent]
	ok, report := remote.Allow(clock.Now(), caller)
	if report == 0 {
		return ok
	}
	a.sent += 2
	clock.After(delay, func(now time.Time) {
		granted, wait := a.home.Count(now, caller, report)
		clock.After(delay, func(now time.Time) { remote.Counted(now, caller, true, granted, wait) })
	})
	return ok
}

func (a *atHome) messages() int { return a.sent }

// outcome is how a scheme treated a caller.
type outcome struct {
	// overshoot is what was admitted over what one counter would have admitted.
	overshoot float64
	// untrue is the share of the requests that were refused although one
	// counter would have admitted them.
	untrue float64
	// messages is the number of messages a second.
	messages float64
}

// measure sends a caller's requests to random agents at a multiple of its rate.
func measure(seed uint64, agents int, offered float64, tried scheme) outcome {
	random := rand.New(rand.NewPCG(seed, 0))
	var clock timer.Manual
	clock.Advance(time.Hour)
	end := clock.Now().Add(span)
	single := Local{Rate: rate, Burst: burst}
	var sent, admitted, due, untrue float64
	for clock.Now().Before(end) {
		clock.Advance(time.Duration(random.ExpFloat64() / (rate * offered) * float64(time.Second)))
		sent++
		may := single.Allow(clock.Now(), caller)
		ok := tried.allow(&clock, random.IntN(agents))
		if may {
			due++
		}
		if ok {
			admitted++
		} else if may {
			untrue++
		}
	}
	return outcome{admitted / due, untrue / sent, float64(tried.messages()) / span.Seconds()}
}

// TestCounting compares the ways to count a caller that is spread over agents:
// go test ./coordination/limiter -run TestCounting -v
func TestCounting(t *testing.T) {
	for _, agents := range []int{1, 7, 50} {
		for _, offered := range []float64{0.5, 0.9, 4} {
			t.Run(fmt.Sprintf("%d-agents-at-%.1f", agents, offered), func(t *testing.T) {
				for seed := uint64(1); seed <= 3; seed++ {
					home := measure(seed, agents, offered, newAtHome(agents))
					t.Logf("seed %d: overshoot, untrue, messages/s: full rate each %.2f, share each %.2f, at home %.2f", seed,
						measure(seed, agents, offered, newAlone(agents, 1)),
						measure(seed, agents, offered, newAlone(agents, 1/float64(agents))), home)
					if home.overshoot > 1.15 {
						t.Errorf("seed %d: admitted %.2f times what one counter would", seed, home.overshoot)
					}
					if offered < 1 && home.untrue > 0.01 {
						t.Errorf("seed %d: %.3f refused untruly", seed, home.untrue)
					}
				}
			})
		}
	}
}

func TestHomeOfIsTheSameEverywhere(t *testing.T) {
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

func TestLostReportCountsAlone(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := Remote{Rate: rate, Burst: burst}
	admitted := 0
	for range 100 {
		if ok, _ := r.Allow(now, caller); ok {
			admitted++
		}
	}
	is.Equal(admitted, 2*Batch(burst)) // and no more before the reply
	now = now.Add(ReplyTimeout)
	for range 100 {
		if ok, _ := r.Allow(now, caller); ok {
			admitted++
		}
	}
	is.Equal(admitted, 2*Batch(burst)+burst)
}

func TestCallersAreForgotten(t *testing.T) {
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
