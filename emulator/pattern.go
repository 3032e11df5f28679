// Package emulator models the systems that are served, in virtual time: callers
// with their flows and retries, balancers that place flows by late reports, and
// servers with slots, a queue, cold starts and work of uneven length. It drives
// the deciding code of the product, so that a policy is compared with a baseline
// in seconds.
package emulator

import (
	"fmt"
	"math"
	"time"
)

// Pattern is a load and what happens during it.
type Pattern struct {
	// Name is how the command line names the pattern.
	Name string
	// Zones is the number of availability zones; callers, balancers and servers
	// are spread over them evenly.
	Zones int
	// Balancers and Servers are those of all zones together.
	Balancers, Servers int
	// Slots and Queue are what one server runs and holds at once.
	Slots, Queue int
	// Callers is the number of callers; each keeps its open flows.
	Callers int
	// Rate is the number of requests a second on average; it swings by the
	// share Swing over Period.
	Rate, Swing float64
	Period      time.Duration
	// Phase is the share of the period by which each zone is ahead of the one
	// before it.
	Phase float64
	// Shifted is the share of the first zone's callers that move to the second
	// from ShiftAt for ShiftFor.
	Shifted           float64
	ShiftAt, ShiftFor time.Duration
	// Bursts multiply the rate for a while.
	Bursts []Burst
	// Replaced is the number of servers that are replaced by cold ones, one a
	// second from ReplaceAt on.
	Replaced  int
	ReplaceAt time.Duration
	// Slowed is the share of servers that work SlowBy times as long from SlowAt
	// for SlowFor.
	Slowed          float64
	SlowBy          float64
	SlowAt, SlowFor time.Duration
	// Failing is the share of servers that fail FailShare of their requests at
	// once from FailAt for FailFor.
	Failing         float64
	FailShare       float64
	FailAt, FailFor time.Duration
	// Classes are the kinds of requests.
	Classes []Class
	// Length is how long requests are sent.
	Length time.Duration
}

// Burst multiplies the rate by Times from At for For.
type Burst struct {
	At, For time.Duration
	Times   float64
}

// Class is one kind of request.
type Class struct {
	Name string
	// Share is the class's share of the requests.
	Share float64
	// Fresh opens a flow for each request; others use an idle flow of the
	// caller where it has one.
	Fresh bool
	// Work is the mean time that a server takes.
	Work time.Duration
	// Objective and Deadline count from the first try.
	Objective, Deadline time.Duration
	// Worth is that of an answer in time, Late that of a later one.
	Worth, Late float64
	// Retries is the number of further tries after a refusal.
	Retries int
	// Once is set for requests that may not run twice: the caller doesn't try
	// again what a server has failed.
	Once bool
}

// The distribution of a request's work about its mean.
const (
	// spread is the standard deviation of the logarithm.
	spread = 0.5
	// tailShare of the requests take tailTimes as long, beyond the mean.
	tailShare = 0.03
	tailTimes = 7
	// maxTimes bounds the work of one request.
	maxTimes = 10.6
)

// The network and the servers, as the users' sheets give them.
const (
	callerDelay   = time.Millisecond
	zoneDelay     = 200 * time.Microsecond
	betweenZones  = 3 * time.Millisecond
	coldFor       = 2 * time.Second
	coldTimes     = 1.6
	flowIdle      = 12 * time.Second
	reportEvery   = 200 * time.Millisecond
	retryAfter    = 5 * time.Millisecond
	offeredAgents = 4
)

// Magnolia is the load of Magnolia's grown deployment on its fullest day: about
// 0.7 of all slots on average, 1.1 at the top of the wave.
func Magnolia() Pattern {
	return Pattern{
		Name: "magnolia", Zones: 5, Balancers: 23, Servers: 49, Slots: 2, Queue: 8, Callers: 3564,
		Rate: 1633, Swing: 0.55, Period: 13 * time.Second, Phase: 0.08, Length: 26 * time.Second,
		Classes: []Class{
			{Name: "bedtime-feed", Share: 0.78, Work: 34 * time.Millisecond, Objective: 300 * time.Millisecond,
				Deadline: 1500 * time.Millisecond, Worth: 1, Late: 0.3, Retries: 2},
			{Name: "tooth-claim", Share: 0.22, Fresh: true, Work: 44 * time.Millisecond, Objective: 400 * time.Millisecond,
				Deadline: 2 * time.Second, Worth: 2, Late: 0.6, Retries: 2, Once: true},
		},
	}
}

// Nilebridge is the load of Nilebridge's grown deployment.
func Nilebridge() Pattern {
	return Pattern{
		Name: "nilebridge", Zones: 3, Balancers: 19, Servers: 40, Slots: 2, Queue: 8, Callers: 3500,
		Rate: 1485, Swing: 0.55, Period: 15 * time.Second, Phase: 0.08, Length: 30 * time.Second,
		Classes: []Class{
			{Name: "stock-watch", Share: 0.78, Work: 26 * time.Millisecond, Objective: 300 * time.Millisecond,
				Deadline: 2 * time.Second, Worth: 1, Late: 0.3, Retries: 2},
			{Name: "reserve", Share: 0.22, Work: 33 * time.Millisecond, Objective: 300 * time.Millisecond,
				Deadline: 2500 * time.Millisecond, Worth: 2, Late: 0.6, Once: true},
		},
	}
}

// Patterns gives every pattern that the command line knows.
func Patterns() []Pattern {
	burst := Magnolia()
	burst.Name = "burst"
	burst.Bursts = []Burst{{At: 8 * time.Second, For: 3 * time.Second, Times: 1.6}}
	release := Magnolia()
	release.Name = "release"
	release.Replaced, release.ReplaceAt = 15, 4*time.Second
	slow := Magnolia()
	slow.Name = "slow-servers"
	slow.Slowed, slow.SlowBy, slow.SlowAt, slow.SlowFor = 0.15, 4, 6*time.Second, 6*time.Second
	shift := Magnolia()
	shift.Name = "shift"
	shift.Shifted, shift.ShiftAt, shift.ShiftFor = 0.6, 5*time.Second, 8*time.Second
	failing := Magnolia()
	failing.Name = "failing-servers"
	failing.Failing, failing.FailShare, failing.FailAt, failing.FailFor = 0.15, 0.5, 6*time.Second, 10*time.Second
	return []Pattern{Magnolia(), Nilebridge(), burst, release, slow, shift, failing}
}

// PatternOf finds a pattern by its name.
func PatternOf(name string) (Pattern, error) {
	var names []string
	for _, pattern := range Patterns() {
		if pattern.Name == name {
			return pattern, nil
		}
		names = append(names, pattern.Name)
	}
	return Pattern{}, fmt.Errorf("no pattern %q: want one of %v", name, names)
}

// zoneRate is the number of requests a second of one zone's callers at a time.
func (p Pattern) zoneRate(zone int, at time.Duration) float64 {
	turns := at.Seconds()/p.Period.Seconds() + p.Phase*float64(zone)
	rate := p.Rate / float64(p.Zones) * (1 + p.Swing*math.Sin(2*math.Pi*turns))
	for _, burst := range p.Bursts {
		if at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Times
		}
	}
	return rate
}

// callers gives the rate of all zones together, and the zone of a caller that
// is drawn from them by a number from 0 to 1.
func (p Pattern) callers(at time.Duration, drawn float64) (total float64, zone int) {
	rates := make([]float64, p.Zones)
	for i := range rates {
		rates[i] = p.zoneRate(i, at)
		total += rates[i]
	}
	if at >= p.ShiftAt && at < p.ShiftAt+p.ShiftFor && p.Zones > 1 {
		moved := p.Shifted * rates[0]
		rates[0] -= moved
		rates[1] += moved
	}
	left := drawn * total
	for i, rate := range rates {
		if left -= rate; left < 0 {
			return total, i
		}
	}
	return total, p.Zones - 1
}
