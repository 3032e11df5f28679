package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/chooser"
	"gooseberrymast/coordination/throttler"
)

// emulation is the state of one run of a pattern under a policy.
type emulation struct {
	pattern   Pattern
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	serial    int
	servers   []*server
	placers   []placer
	reports   []chooser.Candidate
	idleFlows map[callerFlows][]*flow
	result    Result
	latencies []time.Duration
}

// Run emulates a pattern under a policy. Runs with the same seed return the
// same result.
func Run(pattern Pattern, policy Policy, seed uint64) (Result, error) {
	e := &emulation{
		pattern: pattern, random: rand.New(rand.NewPCG(seed, 1)), idleFlows: map[callerFlows][]*flow{},
		result: Result{Pattern: pattern.Name, Policy: policy, Seed: seed},
	}
	for i := range pattern.Servers {
		e.addServer(i%pattern.Zones, e.speedOf(i), 0)
	}
	for i := range pattern.Balancers {
		placer, err := newPlacer(policy, pattern, zoneName(i%pattern.Zones), func() time.Duration { return e.now })
		if err != nil {
			return Result{}, err
		}
		e.placers = append(e.placers, placer)
	}
	e.scheduleInitial()
	for len(e.events) > 0 {
		next := heap.Pop(&e.events).(*event)
		e.now = next.at
		next.do()
	}
	e.result.summarise(e.latencies)
	e.result.SlowArrivals = e.slowArrivals()
	return e.result, nil
}

// scheduleInitial starts the load reports and the requests, and sets up the
// pattern's replacements, slow servers and failing servers.
func (e *emulation) scheduleInitial() {
	e.takeReports()
	e.arrive()
	if e.pattern.EvacuateFor > 0 {
		e.schedule(e.pattern.EvacuateAt+e.pattern.EvacuateFor, e.returnZone)
	}
	for i := range e.pattern.ReplacedServers {
		index := i * len(e.servers) / e.pattern.ReplacedServers
		e.schedule(e.pattern.ReplaceAt+time.Duration(i)*time.Second, func() { e.replace(index) })
	}
	slowed := int(e.pattern.SlowShare * float64(len(e.servers)))
	for i := range slowed {
		server := e.servers[i*len(e.servers)/slowed]
		server.slowFactor, server.slowFrom = e.pattern.SlowFactor, e.pattern.SlowAt
		server.slowUntil = e.pattern.SlowAt + e.pattern.SlowFor
	}
	failing := int(e.pattern.FailingShare * float64(len(e.servers)))
	for i := range failing {
		server := e.servers[i*len(e.servers)/failing]
		server.failRate, server.failFrom = e.pattern.FailRate, e.pattern.FailAt
		server.failUntil = e.pattern.FailAt + e.pattern.FailFor
	}
}

// takeReports records the load of every server that isn't leaving. Balancers
// place flows by these reports until the next ones.
func (e *emulation) takeReports() {
	e.reports = e.reports[:0]
	for i, server := range e.servers {
		if server.leaving || e.pattern.evacuated(server.zone, e.now) {
			continue
		}
		room, limited := server.throttler.Room(server.flows, e.clock())
		e.reports = append(e.reports, chooser.Candidate{
			Endpoint: endpointOf(i), Zone: zoneName(server.zone), Reported: e.clock(),
			Load: gooseberrymast.FlowLoad{
				Slots: server.slots, InProgress: server.running + len(server.waiting), Flows: server.flows,
				WarmUpLeft: max(0, server.coldUntil-e.now),
				Failing:    server.assessor.FailingShare(e.clock()),
				Work:       server.predictor.Load(e.clock()),
				Limited:    limited, Room: room,
			},
		})
	}
	if e.now < e.pattern.Length {
		e.schedule(e.now+reportInterval, e.takeReports)
	}
}

// arrive sends a request and schedules the next arrival.
func (e *emulation) arrive() {
	if e.now >= e.pattern.Length {
		return
	}
	index := e.drawClass()
	class := &e.pattern.Classes[index]
	rate, zone := e.pattern.rateAndZone(e.now, e.random.Float64())
	caller := zone + e.pattern.Zones*e.random.IntN(e.pattern.Callers/e.pattern.Zones)
	e.attempt(&request{class: class, route: class.route(index), caller: caller, sent: e.now, work: e.drawWork(class.Work)})
	e.result.Requests++
	e.result.Owed += class.Worth
	gap := e.random.ExpFloat64() / rate
	e.schedule(e.now+time.Duration(gap*float64(time.Second)), e.arrive)
}

// drawClass draws the index of a class by the shares of the classes.
func (e *emulation) drawClass() int {
	drawn := e.random.Float64()
	for i := range e.pattern.Classes {
		if drawn -= e.pattern.Classes[i].Share; drawn < 0 {
			return i
		}
	}
	return len(e.pattern.Classes) - 1
}

// drawWork draws a request's work from a log-normal distribution with a long
// tail.
func (e *emulation) drawWork(mean time.Duration) time.Duration {
	work := float64(mean) * math.Exp(workSigma*e.random.NormFloat64()-workSigma*workSigma/2)
	share, factor := e.pattern.TailShare, e.pattern.TailFactor
	if share == 0 {
		share, factor = defaultTailShare, defaultTailFactor
	}
	if e.random.Float64() < share {
		work *= factor
	}
	return time.Duration(min(work, maxWorkFactor*float64(mean)))
}

// attempt sends a request on an idle flow of its caller or on a new one.
func (e *emulation) attempt(r *request) {
	r.attempts++
	delay := callerDelay
	if r.flow = e.takeIdleFlow(r); r.flow == nil {
		zone := r.caller % e.pattern.Zones
		balancer := e.drawBalancer(zone)
		candidates := append([]chooser.Candidate(nil), e.reports...)
		var passes int
		chooser.ShareRoom(candidates, zoneName(zone), e.pattern.Balancers, e.countBalancers(zone))
		r.flow = &flow{}
		r.flow.server, passes = e.placers[balancer].place(candidates, e.servers, r.route, e.random)
		e.result.Passed += passes
		if r.flow.server == noServer {
			e.result.Refused++
			e.schedule(e.now+2*callerDelay+retryDelay, func() { e.retry(r) })
			return
		}
		e.servers[r.flow.server].throttler.Taken(e.servers[r.flow.server].offer(), e.clock())
		e.servers[r.flow.server].flows++
		r.flow.work = e.servers[r.flow.server].predictor.Open(r.route.Address, e.clock())
		// Opening a flow takes a round trip before the request is sent.
		delay += 2*callerDelay + e.serverDelay(zone, r.flow.server)
	} else {
		server := e.servers[r.flow.server]
		server.throttler.HandleRequest(server.flows, e.clock())
	}
	r.server = r.flow.server
	if e.servers[r.server].zone != r.caller%e.pattern.Zones {
		e.result.Crossed++
	}
	delay += e.serverDelay(r.caller%e.pattern.Zones, r.server)
	e.schedule(e.now+delay, func() { e.receive(r) })
}

// takeIdleFlow removes and returns the caller's most recently used idle flow,
// or returns nil if a new flow is needed. A retry always opens a new flow.
func (e *emulation) takeIdleFlow(r *request) *flow {
	key := e.flowsOf(r)
	flows := e.idleFlows[key]
	if r.class.NewFlow || r.attempts > 1 || len(flows) == 0 {
		return nil
	}
	last := flows[len(flows)-1]
	e.idleFlows[key] = flows[:len(flows)-1]
	if e.now-last.idleSince > flowIdleTimeout || e.servers[last.server].leaving {
		e.closeFlow(last)
		return nil
	}
	return last
}

// callerFlows identifies a caller's flows; route is zero if its classes share them.
type callerFlows struct {
	caller int
	route  gooseberrymast.Endpoint
}

func (e *emulation) flowsOf(r *request) callerFlows {
	if e.pattern.OwnFlows {
		return callerFlows{r.caller, r.route.Address}
	}
	return callerFlows{caller: r.caller}
}

func (e *emulation) closeFlow(f *flow) {
	e.servers[f.server].flows--
	e.servers[f.server].predictor.Close(&f.work, e.clock())
}

// drawBalancer draws one of the balancers of a zone.
func (e *emulation) drawBalancer(zone int) int {
	return zone + e.random.IntN(e.countBalancers(zone))*e.pattern.Zones
}

func (e *emulation) countBalancers(zone int) int {
	return (e.pattern.Balancers - zone + e.pattern.Zones - 1) / e.pattern.Zones
}

// serverDelay returns the one-way delay between a zone and a server.
func (e *emulation) serverDelay(zone, server int) time.Duration {
	if e.servers[server].zone == zone {
		return zoneDelay
	}
	return crossZoneDelay
}

// receive handles the arrival of a request at its server: the server fails it,
// runs it, queues it, or refuses it if the queue is full.
func (e *emulation) receive(r *request) {
	server := e.servers[r.server]
	server.arrivals++
	server.predictor.Begin(&r.flow.work, e.clock())
	e.result.ColdPeak = max(e.result.ColdPeak, server.countArrival(e.now))
	switch {
	case server.fails(e.now, e.random):
		e.fail(r)
	case server.running < server.slots:
		e.start(r)
	case len(server.waiting) < server.queueLimit:
		server.waiting = append(server.waiting, r)
	default:
		e.result.Shed++
		server.predictor.End(&r.flow.work, true, e.clock())
		e.release(r)
		e.schedule(e.now+callerDelay+retryDelay, func() { e.retry(r) })
	}
}

// fail answers a request with an error. The caller retries only requests that
// are idempotent.
func (e *emulation) fail(r *request) {
	e.result.Errors++
	e.servers[r.server].predictor.End(&r.flow.work, true, e.clock())
	e.servers[r.server].assessor.AddAnswer(http.StatusInternalServerError, false, e.clock())
	e.release(r)
	if r.class.NonIdempotent {
		e.result.Lost++
		e.result.Failed++
		return
	}
	e.schedule(e.now+callerDelay+retryDelay, func() { e.retry(r) })
}

// retry sends a refused or failed request again, unless its retries are used up
// or its deadline has passed.
func (e *emulation) retry(r *request) {
	if r.attempts > r.class.Retries || e.now-r.sent >= r.class.Deadline {
		e.result.Failed++
		return
	}
	e.attempt(r)
}

func (e *emulation) start(r *request) {
	server := e.servers[r.server]
	server.running++
	took := time.Duration(float64(r.work) * server.workFactor(e.now))
	e.schedule(e.now+took, func() { e.finish(r) })
}

func (e *emulation) finish(r *request) {
	server := e.servers[r.server]
	server.running--
	server.assessor.AddAnswer(http.StatusOK, false, e.clock())
	server.predictor.AddSample(r.route.Address, server.predictor.End(&r.flow.work, true, e.clock()), e.clock())
	for len(server.waiting) > 0 && server.running < server.slots {
		next := server.waiting[0]
		server.waiting = server.waiting[1:]
		e.start(next)
	}
	latency := e.now + callerDelay - r.sent
	switch {
	case latency <= r.class.Objective:
		e.result.InTime++
		e.result.Earned += r.class.Worth
	case latency <= r.class.Deadline:
		e.result.Late++
		e.result.Earned += r.class.LateWorth
	default:
		e.result.Failed++
	}
	e.latencies = append(e.latencies, latency)
	e.release(r)
}

// release returns a flow to its caller's idle flows, or closes it.
func (e *emulation) release(r *request) {
	if r.class.NewFlow || e.servers[r.server].leaving {
		e.closeFlow(r.flow)
		return
	}
	r.flow.idleSince = e.now
	e.idleFlows[e.flowsOf(r)] = append(e.idleFlows[e.flowsOf(r)], r.flow)
}

// replace makes a server leave and adds a cold server in its place.
func (e *emulation) replace(index int) {
	old := e.servers[index]
	old.leaving = true
	e.addServer(old.zone, old.speed, coldPeriod)
}

func (e *emulation) addServer(zone int, speed float64, cold time.Duration) {
	added := &server{
		zone: zone, slots: e.pattern.Slots, queueLimit: e.pattern.Queue, speed: speed, coldUntil: e.now + cold,
		throttler: throttler.Throttler{Overage: warmUpOverage, Slack: warmUpSlack},
	}
	added.predictor.HandleServer(added.slots, cold, false, e.clock())
	e.servers = append(e.servers, added)
}

// speedOf returns the speed of a server. The slow ones are spread over the zones.
func (e *emulation) speedOf(index int) float64 {
	speed := e.pattern.Speed
	slow := e.pattern.SlowSpeedShare
	if int(float64(index+1)*slow) > int(float64(index)*slow) {
		speed = e.pattern.SlowSpeed
	}
	if speed == 0 {
		return 1
	}
	return speed
}

// slowArrivals returns the mean number of arrivals at the servers with SlowSpeed as a
// multiple of that at the others, or zero if all are alike.
func (e *emulation) slowArrivals() float64 {
	var arrivals, servers [2]float64
	for _, s := range e.servers {
		kind := 0
		if s.speed == e.pattern.SlowSpeed {
			kind = 1
		}
		arrivals[kind] += float64(s.arrivals)
		servers[kind]++
	}
	if servers[0] == 0 || servers[1] == 0 || arrivals[0] == 0 {
		return 0
	}
	return arrivals[1] / servers[1] / (arrivals[0] / servers[0])
}

// clock returns the virtual time as a time.Time, as the product's code expects it.
func (e *emulation) clock() time.Time {
	return clockOf(e.now)
}

func (e *emulation) schedule(when time.Duration, do func()) {
	e.serial++
	heap.Push(&e.events, &event{at: when, serial: e.serial, do: do})
}

func zoneName(zone int) string {
	return fmt.Sprint("zone-", zone)
}
