package throttler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var epoch = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// newThrottler returns a gate whose server may get 35 requests in a second while it is
// cold, 2 s.
func newThrottler() *Throttler {
	t := &Throttler{Overage: 1.5, Slack: 5}
	t.SetWarmUp(gooseberrymast.WarmUp{Duration: 2 * time.Second, PerSecond: 20})
	return t
}

const (
	limit = 35
	// queueDelay is the longest wait of a packet between an agent and its server.
	queueDelay = 49 * time.Millisecond
)

func offer(port int) gooseberrymast.FlowOffer {
	return gooseberrymast.FlowOffer{Key: gooseberrymast.FlowKey{
		Caller: gooseberrymast.Endpoint{IP: [4]byte{100, 64, byte(port >> 16), 1}, Port: uint16(port)},
	}, Last: true}
}

// take offers a flow and reports whether it is taken.
func take(t *Throttler, port int, now time.Time) bool {
	if t.Decide(offer(port), now).Verdict != gooseberrymast.GateAdmit {
		return false
	}
	t.Taken(offer(port), now)
	return true
}

// mostInASecond returns the largest number of times within any second.
func mostInASecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// A cold server must never get more than the limit in any sliding second, whichever way
// callers come back, also if packets wait on their way to it; and it must get work.
func TestColdServerGetsAtMostTheLimit(t *testing.T) {
	for _, perSecond := range []float64{40, 200, 3000} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, uint64(perSecond)))
		throttler := newThrottler()
		throttler.HandleStart(at(0))
		var arrivals []time.Time
		port := 0
		for now := at(0); now.Before(at(2)); now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
			port++
			if take(throttler, port, now) {
				arrivals = append(arrivals, now.Add(time.Duration(random.Float64()*float64(queueDelay))))
			}
		}
		is.True(mostInASecond(arrivals) <= limit)
		t.Logf("%.0f offered a second: %d in 2 s, at most %d in a second", perSecond, len(arrivals), mostInASecond(arrivals))
		is.True(len(arrivals) >= limit*3/2)
	}
}

// Packets that wait between agent and server arrive closer together than they were sent.
func TestBatchesThatAreDelayedStayBelowTheLimit(t *testing.T) {
	is := is.New(t)
	throttler := newThrottler()
	// Open flows without requests, so that no room is kept for these.
	for seconds := -99.0; seconds <= 0; seconds++ {
		throttler.measure(1000, at(seconds))
	}
	throttler.HandleStart(at(0))
	var arrivals []time.Time
	port := 0
	for now := at(0); now.Before(at(2)); now = now.Add(5 * time.Millisecond) {
		for port++; take(throttler, port, now); port++ {
			delay := time.Duration(0)
			if now.Before(at(0.5)) {
				delay = queueDelay
			}
			arrivals = append(arrivals, now.Add(delay))
		}
	}
	is.True(mostInASecond(arrivals) <= limit)
	is.True(mostInASecond(arrivals) >= limit-2)
}

// Requests on open flows can't be refused, so that new flows must leave room for them.
func TestRequestsOnOpenFlowsCount(t *testing.T) {
	for _, flows := range []int{5, 12} {
		is := is.New(t)
		const runs = 50
		exceeded, most := 0, 0
		for seed := range uint64(runs) {
			inASecond := mostInASecond(returnCold(flows, seed))
			most = max(most, inASecond)
			if inASecond > limit {
				exceeded++
			}
		}
		t.Logf("%d open flows: above the limit in %d of %d runs, at most %d in a second", flows, exceeded, runs, most)
		is.True(exceeded <= runs/50)
		is.True(most > limit-5) // the room is not wasted either
	}
}

// Requests that come faster than expected have used up their part of the limit.
func TestUnexpectedRequestsCount(t *testing.T) {
	is := is.New(t)
	throttler := newThrottler()
	throttler.HandleStart(at(0))
	for range 30 {
		throttler.HandleRequest(1, at(0))
	}
	throttler.measure(1000, at(1)) // measured rates fall, what arrived stays
	taken := 0
	for take(throttler, taken, at(1)) {
		taken++
	}
	is.True(taken > 0 && taken <= limit-30)
}

// returnCold lets a server with open flows, each of which has a request a second, turn
// cold while new flows come as fast as they are taken. It returns the arrivals.
func returnCold(flows int, seed uint64) (arrivals []time.Time) {
	random := rand.New(rand.NewPCG(7, seed))
	throttler := newThrottler()
	port, next := 0, at(-10)
	for now := at(-10); now.Before(at(2)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			throttler.HandleRequest(flows, now)
			if !now.Before(at(0)) {
				arrivals = append(arrivals, now)
			}
			next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(flows)))
		}
		if now.Before(at(0)) {
			continue
		}
		if now.Equal(at(0)) {
			throttler.HandleUnknown(now) // the zone returns to service
		}
		port++
		offered := offer(port)
		offered.OpenFlows = flows
		if throttler.Decide(offered, now).Verdict == gooseberrymast.GateAdmit {
			throttler.Taken(offered, now)
			arrivals = append(arrivals, now)
		}
	}
	return arrivals
}

// A retransmission must not use up the limit again, nor be refused after the first copy
// was sent to the server.
func TestRetransmissionCountsOnce(t *testing.T) {
	is := is.New(t)
	throttler := newThrottler()
	throttler.HandleStart(at(0))
	port := 0
	for take(throttler, port, at(0)) {
		port++
	}
	first := offer(0)
	first.Copy = 1
	is.Equal(throttler.Decide(first, at(0.2)).Verdict, gooseberrymast.GateAdmit)
	throttler.Taken(first, at(0.2))
	again := 0
	for take(throttler, 1000+again, at(1.1)) {
		again++
	}
	is.Equal(again, port)                    // the copy at 0.2 s takes no room at 1.1 s
	is.True(!take(throttler, 1000, at(1.1))) // a new flow of the same port is no retransmission
	decision := throttler.Decide(offer(5000), at(1.1))
	is.Equal(decision, gooseberrymast.GateDecision{Verdict: gooseberrymast.GatePassOn, Reason: ReasonWarmUp, Definite: true})
}

// A service without a figure must not be limited, and neither must a warm server.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	for _, throttler := range []*Throttler{{Overage: 1.5, Slack: 5}, newThrottler()} {
		if throttler.limit() <= throttler.Slack {
			throttler.HandleStart(at(0))
		}
		for port := range 10_000 {
			is.True(take(throttler, port, at(0)))
		}
		_, limited := throttler.Room(3, at(0))
		is.True(!limited)
	}
}

func TestCold(t *testing.T) {
	is := is.New(t)
	throttler := newThrottler()
	throttler.HandleAnnouncement(1500*time.Millisecond, true, at(0))
	is.Equal(throttler.ColdLeft(at(0.5)), time.Second) // as the server says
	is.Equal(throttler.ColdLeft(at(1.5)), time.Duration(0))

	throttler.HandleUnknown(at(10)) // the zone has returned
	is.Equal(throttler.ColdLeft(at(10)), 2*time.Second)
	throttler.HandleAnnouncement(0, false, at(10.5))
	is.Equal(throttler.ColdLeft(at(10.5)), time.Duration(0))

	throttler.HandleStart(at(20))
	throttler.HandleStart(at(21)) // another flow of the incarnation before
	throttler.HandleAnnouncement(0, false, at(21))
	is.Equal(throttler.ColdLeft(at(21)), time.Second) // a late announcement of the one before proves nothing
	throttler.HandleAnnouncement(300*time.Millisecond, true, at(21))
	is.Equal(throttler.ColdLeft(at(21)), 300*time.Millisecond)
}

// An agent that restarts beside a cold server must not give it the limit a second time
// within a second. A server that started after its agent had no other.
func TestRestartedAgentCountsWhatItDoesNotKnow(t *testing.T) {
	for _, test := range []struct {
		name string
		left time.Duration
		want bool
	}{
		{"the server is cold for longer than the agent runs", time.Second, false},
		{"the server started after the agent", 1900 * time.Millisecond, true},
		{"the server is warm", 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			throttler := newThrottler()
			throttler.Begin(at(0))
			is.True(take(throttler, 1, at(0.1))) // nothing is known; all agents may have restarted
			throttler.HandleAnnouncement(test.left, false, at(0.2))
			is.Equal(take(throttler, 2, at(0.3)), test.want)
			is.True(take(throttler, 3, at(1.1)))
		})
	}
}

// The rooms that are reported must add up to what is taken, or balancers send too much or
// too little.
func TestRoomIsSpreadOverReports(t *testing.T) {
	is := is.New(t)
	throttler := newThrottler()
	throttler.HandleStart(at(0))
	taken, port := 0, 0
	for report := at(0); report.Before(at(1)); report = report.Add(reportInterval) {
		room, limited := throttler.Room(0, report)
		is.True(limited)
		is.True(room <= 7)
		for range room {
			port++
			is.True(take(throttler, port, report))
			taken++
		}
	}
	is.True(taken >= limit-5 && taken <= limit)
}
