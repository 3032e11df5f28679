// Package emulator simulates whole deployments in virtual time: callers with
// their flows and retries, balancers that place flows by delayed load reports,
// and servers with slots, a queue, cold starts and work of uneven length. It
// runs the product's own placement code, so that a policy is compared with a
// baseline in seconds.
package emulator

import (
	"fmt"
	"math"
	"time"

	"gooseberrymast"
)

// Pattern describes a deployment, its load and the changes during a run.
type Pattern struct {
	// Name identifies the pattern on the command line.
	Name string
	// Zones is the number of availability zones; callers, balancers and servers
	// are spread over them evenly.
	Zones int
	// Balancers and Servers are totals over all zones.
	Balancers, Servers int
	// Slots is the number of requests that a server runs at once, Queue the
	// number that may wait.
	Slots, Queue int
	// Callers is the number of callers; each reuses its own flows.
	Callers int
	// Rate is the mean number of requests a second. It varies as a sine wave by
	// the share Amplitude over Period.
	Rate, Amplitude float64
	Period          time.Duration
	// Phase is the share of the period by which each zone is ahead of the one
	// before it.
	Phase float64
	// ShiftShare is the share of the first zone's callers that move to the second
	// from ShiftAt for ShiftFor.
	ShiftShare        float64
	ShiftAt, ShiftFor time.Duration
	// Bursts raise the rate for a limited time.
	Bursts []Burst
	// ReplacedServers is the number of servers that are replaced by cold ones,
	// one a second from ReplaceAt on.
	ReplacedServers int
	ReplaceAt       time.Duration
	// SlowShare is the share of servers whose work takes SlowFactor times as long
	// from SlowAt for SlowFor.
	SlowShare       float64
	SlowFactor      float64
	SlowAt, SlowFor time.Duration
	// FailingShare is the share of servers that fail the share FailRate of their
	// requests, without running them, from FailAt for FailFor.
	FailingShare    float64
	FailRate        float64
	FailAt, FailFor time.Duration
	// SlowSpeedShare is the share of servers that run at SlowSpeed during the whole
	// run, the others run at Speed. Zero speeds are 1.
	SlowSpeedShare   float64
	SlowSpeed, Speed float64
	// TailShare of the requests take TailFactor times as long, which comes on top of
	// the mean. Zero values are defaultTailShare and defaultTailFactor.
	TailShare, TailFactor float64
	// OwnFlows is set if the requests of a class use flows of their own: each class is
	// a route with an address of its own.
	OwnFlows bool
	// The first zone's servers get no new flows from EvacuateAt for EvacuateFor. When it
	// returns they are cold, and its callers begin anew with new flows.
	EvacuateAt, EvacuateFor time.Duration
	// WarmUp limits the cold servers of a zone that returns.
	WarmUp gooseberrymast.WarmUp
	// Classes are the kinds of requests.
	Classes []Class
	// Length is the time for which requests are sent.
	Length time.Duration
}

// Burst multiplies the rate by Factor from At for the time For.
type Burst struct {
	At, For time.Duration
	Factor  float64
}

// Class is one kind of request.
type Class struct {
	Name string
	// Share is the class's share of the requests.
	Share float64
	// NewFlow opens a flow for each request; others use an idle flow of the
	// caller where it has one.
	NewFlow bool
	// Work is the mean service time.
	Work time.Duration
	// Objective and Deadline count from the first attempt.
	Objective, Deadline time.Duration
	// Worth is the worth of an answer within the objective, LateWorth that of a
	// later one within the deadline.
	Worth, LateWorth float64
	// Retries is the number of further attempts after a refusal or an error.
	Retries int
	// NonIdempotent is set for requests that may not run twice. Callers don't
	// retry them after a server's error.
	NonIdempotent bool
}

// The distribution of a request's work around its mean: log-normal with a tail.
const (
	// workSigma is the standard deviation of the work's logarithm.
	workSigma = 0.5
	// defaultTailShare and defaultTailFactor apply to patterns without their own.
	defaultTailShare  = 0.03
	defaultTailFactor = 7
	// maxWorkFactor bounds the work of one request as a multiple of the mean.
	maxWorkFactor = 10.6
)

// The network and the servers, as the users specified them.
const (
	callerDelay     = time.Millisecond
	zoneDelay       = 200 * time.Microsecond
	crossZoneDelay  = 3 * time.Millisecond
	coldPeriod      = 2 * time.Second
	coldFactor      = 1.6
	flowIdleTimeout = 12 * time.Second
	reportInterval  = 200 * time.Millisecond
	retryDelay      = 5 * time.Millisecond
	candidateAgents = 4
	// warmUpOverage and warmUpSlack allow a cold server more than its service's rate.
	warmUpOverage = 1.5
	warmUpSlack   = 5
)

// Magnolia returns the load of Magnolia's grown deployment on its busiest day:
// about 0.7 of all slots on average, 1.1 at the peak of the wave.
func Magnolia() Pattern {
	return Pattern{
		Name: "magnolia", Zones: 5, Balancers: 23, Servers: 49, Slots: 2, Queue: 8, Callers: 3564,
		Rate: 1633, Amplitude: 0.55, Period: 13 * time.Second, Phase: 0.08, Length: 26 * time.Second,
		Classes: []Class{
			{Name: "bedtime-feed", Share: 0.78, Work: 34 * time.Millisecond, Objective: 300 * time.Millisecond,
				Deadline: 1500 * time.Millisecond, Worth: 1, LateWorth: 0.3, Retries: 2},
			{Name: "tooth-claim", Share: 0.22, NewFlow: true, Work: 44 * time.Millisecond, Objective: 400 * time.Millisecond,
				Deadline: 2 * time.Second, Worth: 2, LateWorth: 0.6, Retries: 2, NonIdempotent: true},
		},
	}
}

// Nilebridge returns the load of Nilebridge's grown deployment.
func Nilebridge() Pattern {
	return Pattern{
		Name: "nilebridge", Zones: 3, Balancers: 19, Servers: 40, Slots: 2, Queue: 8, Callers: 3500,
		Rate: 1485, Amplitude: 0.55, Period: 15 * time.Second, Phase: 0.08, Length: 30 * time.Second,
		Classes: []Class{
			{Name: "stock-watch", Share: 0.78, Work: 26 * time.Millisecond, Objective: 300 * time.Millisecond,
				Deadline: 2 * time.Second, Worth: 1, LateWorth: 0.3, Retries: 2},
			{Name: "reserve", Share: 0.22, Work: 33 * time.Millisecond, Objective: 300 * time.Millisecond,
				Deadline: 2500 * time.Millisecond, Worth: 2, LateWorth: 0.6, NonIdempotent: true},
		},
	}
}

// Metering returns the load of a service with few slots and tight objectives at 0.8 of
// its servers' capacity, three times the usual rate. Most requests come on long flows.
func Metering() Pattern {
	return Pattern{
		Name: "equal-servers", Zones: 3, Balancers: 20, Servers: 43, Slots: 2, Queue: 8, Callers: 3600, OwnFlows: true,
		Rate: 4700, Period: 15 * time.Second, Length: 16 * time.Second, Speed: meteringSpeed,
		Classes: []Class{
			{Name: "meter-stream", Share: 0.73, Work: 13 * time.Millisecond, Objective: 200 * time.Millisecond,
				Deadline: 1500 * time.Millisecond, Worth: 1, LateWorth: 0.5, Retries: 2},
			{Name: "valve-cmd", Share: 0.21, Work: 17 * time.Millisecond, Objective: 200 * time.Millisecond,
				Deadline: 1500 * time.Millisecond, Worth: 2, LateWorth: 1, Retries: 2, NonIdempotent: true},
			{Name: "statement-dl", Share: 0.06, NewFlow: true, Work: 4200 * time.Microsecond, Objective: 800 * time.Millisecond,
				Deadline: 6 * time.Second, Worth: 1, LateWorth: 0.5, Retries: 2},
		},
	}
}

// The speeds of uneven servers: a quarter runs at slowSpeed. meteringSpeed is their mean,
// at which equal servers have the same capacity.
const (
	slowSpeedShare = 0.25
	slowSpeed      = 0.55
	fastSpeed      = 1.2
	meteringSpeed  = slowSpeedShare*slowSpeed + (1-slowSpeedShare)*fastSpeed
)

// unevenPatterns returns the patterns with servers of uneven speed and requests of uneven
// cost, behind the one that they are compared with.
func unevenPatterns() []Pattern {
	uneven := Metering()
	uneven.Name = "uneven-servers"
	uneven.SlowSpeedShare, uneven.SlowSpeed, uneven.Speed = slowSpeedShare, slowSpeed, fastSpeed
	tail := Metering()
	tail.Name = "heavy-tail"
	// With this tail the requests take 1.15 times as long in all as with the usual one.
	tail.TailShare, tail.TailFactor, tail.Rate = 0.04, 10, 4100
	kinds := Metering()
	kinds.Name = "two-kinds"
	// Half of the work is of each class.
	kinds.Rate = 4300
	kinds.Classes = []Class{
		{Name: "reading", Share: 0.9, Work: 8 * time.Millisecond, Objective: 200 * time.Millisecond,
			Deadline: 1500 * time.Millisecond, Worth: 1, LateWorth: 0.5, Retries: 2},
		{Name: "bill-run", Share: 0.1, NewFlow: true, Work: 72 * time.Millisecond, Objective: 800 * time.Millisecond,
			Deadline: 6 * time.Second, Worth: 2, LateWorth: 1, Retries: 2},
	}
	return []Pattern{Metering(), uneven, tail, kinds}
}

// Patterns returns every pattern that the command line accepts.
func Patterns() []Pattern {
	burst := Magnolia()
	burst.Name = "burst"
	burst.Bursts = []Burst{{At: 8 * time.Second, For: 3 * time.Second, Factor: 1.6}}
	release := Magnolia()
	release.Name = "release"
	release.ReplacedServers, release.ReplaceAt = 15, 4*time.Second
	slow := Magnolia()
	slow.Name = "slow-servers"
	slow.SlowShare, slow.SlowFactor, slow.SlowAt, slow.SlowFor = 0.15, 4, 6*time.Second, 6*time.Second
	shift := Magnolia()
	shift.Name = "shift"
	shift.ShiftShare, shift.ShiftAt, shift.ShiftFor = 0.6, 5*time.Second, 8*time.Second
	failing := Magnolia()
	failing.Name = "failing-servers"
	failing.FailingShare, failing.FailRate, failing.FailAt, failing.FailFor = 0.15, 0.5, 6*time.Second, 10*time.Second
	return append([]Pattern{Magnolia(), Nilebridge(), burst, release, slow, shift, failing, zoneReturns()}, unevenPatterns()...)
}

// zoneReturns returns the load of Magnolia's grown deployment, reduced so that four zones
// carry it, with a rush of callers when the first zone is back from an evacuation.
func zoneReturns() Pattern {
	pattern := Magnolia()
	pattern.Name = "zone-returns"
	pattern.Rate *= 0.6
	pattern.EvacuateAt, pattern.EvacuateFor = 2*time.Second, 8*time.Second
	pattern.Bursts = []Burst{{At: pattern.EvacuateAt + pattern.EvacuateFor, For: 2 * time.Second, Factor: 1.6}}
	// A cold server's two slots run 34 requests a second of the mean work. The limit lies
	// below what least work alone sends it in the rush.
	pattern.WarmUp = gooseberrymast.WarmUp{Duration: coldPeriod, PerSecond: 15}
	return pattern
}

// evacuated reports whether a zone gets no new flows at a time.
func (p Pattern) evacuated(zone int, at time.Duration) bool {
	return zone == 0 && at >= p.EvacuateAt && at < p.EvacuateAt+p.EvacuateFor
}

// PatternByName returns the pattern with the given name.
func PatternByName(name string) (Pattern, error) {
	var names []string
	for _, pattern := range Patterns() {
		if pattern.Name == name {
			return pattern, nil
		}
		names = append(names, pattern.Name)
	}
	return Pattern{}, fmt.Errorf("no pattern %q: want one of %v", name, names)
}

// routes returns the routes of the pattern's service, one for each class.
func (p Pattern) routes() *gooseberrymast.Routes {
	routes := &gooseberrymast.Routes{ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{}}
	for i := range p.Classes {
		route := p.Classes[i].route(i)
		routes.ByAddress[route.Address] = route
	}
	return routes
}

// route returns the route of the class with an index.
func (c Class) route(index int) gooseberrymast.Route {
	return gooseberrymast.Route{
		Address:  gooseberrymast.Endpoint{IP: [4]byte{10, 1, 0, byte(index)}, Port: 80},
		Backends: []gooseberrymast.WeightedService{{Service: service, Weight: 1}}, Objective: c.Objective, Idempotent: !c.NonIdempotent,
	}
}

// service is the name of the only service of a pattern.
const service = "service"

// zoneRate returns the requests a second from one zone's callers at the given
// time.
func (p Pattern) zoneRate(zone int, at time.Duration) float64 {
	cycles := at.Seconds()/p.Period.Seconds() + p.Phase*float64(zone)
	rate := p.Rate / float64(p.Zones) * (1 + p.Amplitude*math.Sin(2*math.Pi*cycles))
	for _, burst := range p.Bursts {
		if at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Factor
		}
	}
	return rate
}

// rateAndZone returns the total rate of all zones and the zone of the next
// caller. The zone follows from drawn, a random number from 0 to 1, in
// proportion to the zones' rates.
func (p Pattern) rateAndZone(at time.Duration, drawn float64) (total float64, zone int) {
	rates := make([]float64, p.Zones)
	for i := range rates {
		rates[i] = p.zoneRate(i, at)
		total += rates[i]
	}
	if at >= p.ShiftAt && at < p.ShiftAt+p.ShiftFor && p.Zones > 1 {
		moved := p.ShiftShare * rates[0]
		rates[0] -= moved
		rates[1] += moved
	}
	remaining := drawn * total
	for i, rate := range rates {
		if remaining -= rate; remaining < 0 {
			return total, i
		}
	}
	return total, p.Zones - 1
}
