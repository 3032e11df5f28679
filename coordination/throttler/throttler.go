// Package throttler limits the requests that a cold backend server gets.
//
// Load pattern: a server that has just started, or whose zone was returned to service,
// works slowly for some seconds, while callers come back together and every balancer
// sends it flows. Only the agent sees all of its requests, so the agent enforces the
// limit: in any sliding second at most a stated number of requests, counted at the
// opening packet. Requests on open flows count, too, but can't be refused, so that room
// is kept for those that are expected.
//
// Load pattern: a server that crashes and starts again before anybody notices gets flows
// at the rate of a warm one until its first announcement. A packet of an open flow that
// the server returns is an earlier sign of its start.
package throttler

import (
	"math"
	"sync"
	"time"

	"gooseberrymast"
)

// ReasonWarmUp is the reason for which a flow is passed on.
const ReasonWarmUp = "server-warming-up"

const (
	// period is the time in which the limit counts.
	period = time.Second
	// margin is added to the period: packets that the agent has sent may wait in the
	// server's queue, so that they arrive closer together. Both share an instance.
	margin = 50 * time.Millisecond
	// reportInterval is the time between two reports of an agent. Room is reported for
	// that time, so that balancers spread the flows of a second over the second.
	reportInterval = 200 * time.Millisecond
	// expectedRate is the rate of requests on an open flow before any was measured, in
	// requests a second, and expectedWeight the seconds of flows that it counts for.
	expectedRate   = 1.0
	expectedWeight = 5.0
	// rateHalfLife is the time in which measured rates lose half of their weight: as long
	// as demand takes to change.
	rateHalfLife = 5 * time.Second
	// deviations is the number of standard deviations by which requests on open flows may
	// exceed what is expected without exceeding the limit: independent requests do so in
	// one of 700 seconds.
	deviations = 3.0
	// maxKeys bounds the flows whose retransmissions are recognised. Beyond it a
	// retransmission counts again.
	maxKeys = 1024
)

// Throttler is the gate of one agent's server. Its exported fields are set before use.
type Throttler struct {
	// Overage is the factor, and Slack the number of requests, by which the server may
	// get more than its service's rate in any second.
	Overage, Slack float64

	mu     sync.Mutex
	warmUp gooseberrymast.WarmUp
	// announced is until when the server is cold by its last announcement. presumed is
	// when it is presumed to have started, zero without a presumption. Only another
	// incarnation of the server ends a presumption with firm set.
	announced time.Time
	presumed  time.Time
	firm      bool
	// began is when the agent started, zero if it is not known.
	began  time.Time
	recent window
	// counted holds when the opening packets of the last period were counted.
	counted map[gooseberrymast.FlowKey]time.Time
	// flowSeconds and requests measure the rate of requests on open flows, as of
	// measuredAt.
	flowSeconds, requests float64
	measuredAt            time.Time
}

// SetWarmUp sets the warm-up of the server's service.
func (t *Throttler) SetWarmUp(warmUp gooseberrymast.WarmUp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUp = warmUp
}

// HandleAnnouncement processes how long the server says that it stays cold. restarted is
// set for the first announcement of an incarnation.
func (t *Throttler) HandleAnnouncement(left time.Duration, restarted bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced = now.Add(left)
	if restarted || !t.firm {
		t.presumed, t.firm = time.Time{}, false
	}
}

// HandleStart records a sign that the server has just started: it is cold for the
// warm-up of its service, whatever a late announcement of an earlier incarnation says.
func (t *Throttler) HandleStart(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firm && now.Sub(t.presumed) < t.warmUp.Duration {
		// The other flows of the earlier incarnation are further signs of the same start.
		return
	}
	t.presumed, t.firm = now, true
}

// Begin records that the agent starts: its server may be cold, until an announcement says
// more, and an earlier agent may have sent it requests.
func (t *Throttler) Begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.began, t.presumed = now, now
}

// HandleUnknown records that the server may be cold, until its next announcement says
// more: its zone was returned to service.
func (t *Throttler) HandleUnknown(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.presumed = now
}

// ColdLeft returns for how long the server stays cold.
func (t *Throttler) ColdLeft(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coldLeft(now)
}

func (t *Throttler) coldLeft(now time.Time) time.Duration {
	left := max(0, t.announced.Sub(now))
	if !t.presumed.IsZero() {
		left = max(left, t.presumed.Add(t.warmUp.Duration).Sub(now))
	}
	return left
}

// Room returns how many new flows the server may get until the agent's next report;
// limited is false if there is no limit.
func (t *Throttler) Room(openFlows int, now time.Time) (room int, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.warmUp.PerSecond <= 0 || t.coldLeft(now) == 0 {
		return 0, false
	}
	share := math.Ceil(t.limit() * float64(reportInterval) / float64(period))
	return int(max(0, min(t.left(openFlows, now), share))), true
}

// Decide implements gooseberrymast.FlowGate.
func (t *Throttler) Decide(offer gooseberrymast.FlowOffer, now time.Time) gooseberrymast.GateDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.warmUp.PerSecond <= 0 || t.coldLeft(now) == 0 || t.isCounted(offer, now) || t.left(offer.OpenFlows, now) >= 1 {
		return gooseberrymast.GateDecision{}
	}
	return gooseberrymast.GateDecision{Verdict: gooseberrymast.GatePassOn, Reason: ReasonWarmUp, Definite: true}
}

// Taken implements gooseberrymast.FlowGate.
func (t *Throttler) Taken(offer gooseberrymast.FlowOffer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isCounted(offer, now) {
		return
	}
	t.recent.addOpening(now)
	for key, at := range t.counted {
		if len(t.counted) < maxKeys {
			break
		}
		if now.Sub(at) >= period {
			delete(t.counted, key)
		}
	}
	if len(t.counted) < maxKeys {
		if t.counted == nil {
			t.counted = map[gooseberrymast.FlowKey]time.Time{}
		}
		t.counted[offer.Key] = now
	}
}

// HandleRequest records a request on a flow that is open, other than its first.
func (t *Throttler) HandleRequest(openFlows int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.addRequest(now)
	t.measure(openFlows, now)
	t.requests++
}

// isCounted reports whether an offer is a retransmission of an opening packet that was
// counted before.
func (t *Throttler) isCounted(offer gooseberrymast.FlowOffer, now time.Time) bool {
	at, found := t.counted[offer.Key]
	return found && offer.Copy > 0 && now.Sub(at) < 2*period
}

func (t *Throttler) limit() float64 {
	return t.warmUp.PerSecond*t.Overage + t.Slack
}

// hasUnknownRequests reports whether an earlier agent may have sent the server requests in
// the last period: the server says that it is cold since before this agent started.
func (t *Throttler) hasUnknownRequests(now time.Time) bool {
	coldSince := t.announced.Add(-t.warmUp.Duration)
	return now.Sub(t.began) < period+margin && now.Before(t.announced) && coldSince.Before(t.began)
}

// left returns how many opening packets the limit leaves room for. Requests on open
// flows take what they have taken or, if that is more, what they are expected to take
// within the next period.
func (t *Throttler) left(openFlows int, now time.Time) float64 {
	if t.hasUnknownRequests(now) {
		return 0
	}
	openings, requests := t.recent.count(now)
	t.measure(openFlows, now)
	rate := (t.requests + expectedRate*expectedWeight) / (t.flowSeconds + expectedWeight)
	// The flow that may be taken has requests after its first, too.
	expected := rate * float64(openFlows+1)
	expected += deviations * math.Sqrt(expected)
	return t.limit() - float64(openings) - max(float64(requests), expected)
}

// measure advances the measured rate of requests on open flows.
func (t *Throttler) measure(openFlows int, now time.Time) {
	elapsed := now.Sub(t.measuredAt).Seconds()
	if !t.measuredAt.IsZero() && elapsed > 0 {
		kept := math.Exp2(-elapsed / rateHalfLife.Seconds())
		t.flowSeconds = t.flowSeconds*kept + float64(openFlows)*min(elapsed, rateHalfLife.Seconds())
		t.requests *= kept
	}
	if t.measuredAt.IsZero() || elapsed > 0 {
		t.measuredAt = now
	}
}
