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
)

// emulation is one run.
type emulation struct {
	pattern   Pattern
	random    *rand.Rand
	now       time.Duration
	events    events
	serial    int
	servers   []*server
	placers   []placer
	reports   []chooser.Candidate
	idle      map[int][]*flow
	result    Result
	latencies []time.Duration
}

// Run plays a pattern under a policy.
func Run(pattern Pattern, policy Policy, seed uint64) (Result, error) {
	e := &emulation{
		pattern: pattern, random: rand.New(rand.NewPCG(seed, 1)), idle: map[int][]*flow{},
		result: Result{Pattern: pattern.Name, Policy: policy, Seed: seed},
	}
	for i := range pattern.Servers {
		e.servers = append(e.servers, &server{zone: i % pattern.Zones, slots: pattern.Slots, room: pattern.Queue})
	}
	for i := range pattern.Balancers {
		placer, err := newPlacer(policy, zoneName(i%pattern.Zones), func() time.Duration { return e.now })
		if err != nil {
			return Result{}, err
		}
		e.placers = append(e.placers, placer)
	}
	e.schedule()
	for len(e.events) > 0 {
		next := heap.Pop(&e.events).(*event)
		e.now = next.at
		next.do()
	}
	e.result.finish(e.latencies)
	return e.result, nil
}

// schedule enters what the pattern brings by itself.
func (e *emulation) schedule() {
	e.report()
	e.arrive()
	for i := range e.pattern.Replaced {
		index := i * len(e.servers) / e.pattern.Replaced
		e.at(e.pattern.ReplaceAt+time.Duration(i)*time.Second, func() { e.replace(index) })
	}
	slowed := int(e.pattern.Slowed * float64(len(e.servers)))
	for i := range slowed {
		server := e.servers[i*len(e.servers)/slowed]
		server.slowBy, server.slowFrom = e.pattern.SlowBy, e.pattern.SlowAt
		server.slowUntil = e.pattern.SlowAt + e.pattern.SlowFor
	}
	failing := int(e.pattern.Failing * float64(len(e.servers)))
	for i := range failing {
		server := e.servers[i*len(e.servers)/failing]
		server.failShare, server.failFrom = e.pattern.FailShare, e.pattern.FailAt
		server.failUntil = e.pattern.FailAt + e.pattern.FailFor
	}
}

// report takes the load of every server as the balancers will see it.
func (e *emulation) report() {
	e.reports = e.reports[:0]
	for i, server := range e.servers {
		if server.leaving {
			continue
		}
		e.reports = append(e.reports, chooser.Candidate{
			Endpoint: endpointOf(i), Zone: zoneName(server.zone), Reported: e.clock(),
			Load: gooseberrymast.FlowLoad{
				Slots: server.slots, InProgress: server.running + len(server.waiting), Flows: server.flows,
				WarmUpLeft: max(0, server.coldUntil-e.now),
				Failing:    server.assessor.FailingShare(e.clock()),
			},
		})
	}
	if e.now < e.pattern.Length {
		e.at(e.now+reportEvery, e.report)
	}
}

// arrive lets a request begin and enters the next one.
func (e *emulation) arrive() {
	if e.now >= e.pattern.Length {
		return
	}
	class := e.class()
	rate, zone := e.pattern.callers(e.now, e.random.Float64())
	caller := zone + e.pattern.Zones*e.random.IntN(e.pattern.Callers/e.pattern.Zones)
	e.try(&request{class: class, caller: caller, sent: e.now, work: e.work(class.Work)})
	e.result.Requests++
	e.result.Owed += class.Worth
	gap := e.random.ExpFloat64() / rate
	e.at(e.now+time.Duration(gap*float64(time.Second)), e.arrive)
}

func (e *emulation) class() *Class {
	drawn := e.random.Float64()
	for i := range e.pattern.Classes {
		if drawn -= e.pattern.Classes[i].Share; drawn < 0 {
			return &e.pattern.Classes[i]
		}
	}
	return &e.pattern.Classes[len(e.pattern.Classes)-1]
}

func (e *emulation) work(mean time.Duration) time.Duration {
	work := float64(mean) * math.Exp(spread*e.random.NormFloat64()-spread*spread/2)
	if e.random.Float64() < tailShare {
		work *= tailTimes
	}
	return time.Duration(min(work, maxTimes*float64(mean)))
}

// try sends a request on an idle flow of its caller or on a new one.
func (e *emulation) try(r *request) {
	r.tries++
	delay := callerDelay
	if r.flow = e.idleFlow(r); r.flow == nil {
		zone := r.caller % e.pattern.Zones
		balancer := e.balancerOf(zone)
		candidates := append([]chooser.Candidate(nil), e.reports...)
		var passes int
		r.flow = &flow{}
		r.flow.server, passes = e.placers[balancer].place(candidates, e.servers, r.class.Once, e.random)
		e.result.Passed += passes
		e.servers[r.flow.server].flows++
		// Opening takes a round trip before the request is sent.
		delay += 2*callerDelay + e.between(zone, r.flow.server)
	}
	r.server = r.flow.server
	if e.servers[r.server].zone != r.caller%e.pattern.Zones {
		e.result.Crossed++
	}
	delay += e.between(r.caller%e.pattern.Zones, r.server)
	e.at(e.now+delay, func() { e.reach(r) })
}

// idleFlow takes the caller's flow that was used last. A further try of a
// request opens a flow of its own.
func (e *emulation) idleFlow(r *request) *flow {
	flows := e.idle[r.caller]
	if r.class.Fresh || r.tries > 1 || len(flows) == 0 {
		return nil
	}
	last := flows[len(flows)-1]
	e.idle[r.caller] = flows[:len(flows)-1]
	if e.now-last.idle > flowIdle || e.servers[last.server].leaving {
		e.servers[last.server].flows--
		return nil
	}
	return last
}

func (e *emulation) balancerOf(zone int) int {
	count := (e.pattern.Balancers - zone + e.pattern.Zones - 1) / e.pattern.Zones
	return zone + e.random.IntN(count)*e.pattern.Zones
}

func (e *emulation) between(zone, server int) time.Duration {
	if e.servers[server].zone == zone {
		return zoneDelay
	}
	return betweenZones
}

// reach lets a request arrive at its server.
func (e *emulation) reach(r *request) {
	server := e.servers[r.server]
	switch {
	case server.fails(e.now, e.random):
		e.fail(r)
	case server.running < server.slots:
		e.start(r)
	case len(server.waiting) < server.room:
		server.waiting = append(server.waiting, r)
	default:
		e.result.Shed++
		e.release(r)
		e.at(e.now+callerDelay+retryAfter, func() { e.again(r) })
	}
}

// fail lets a server answer a request with an error. The caller tries again
// only what may run twice.
func (e *emulation) fail(r *request) {
	e.result.Errors++
	e.servers[r.server].assessor.AddAnswer(http.StatusInternalServerError, false, e.clock())
	e.release(r)
	if r.class.Once {
		e.result.Lost++
		e.result.Failed++
		return
	}
	e.at(e.now+callerDelay+retryAfter, func() { e.again(r) })
}

// again tries a refused request another time, if it may.
func (e *emulation) again(r *request) {
	if r.tries > r.class.Retries || e.now-r.sent >= r.class.Deadline {
		e.result.Failed++
		return
	}
	e.try(r)
}

func (e *emulation) start(r *request) {
	server := e.servers[r.server]
	server.running++
	took := time.Duration(float64(r.work) * server.factor(e.now))
	e.at(e.now+took, func() { e.finish(r) })
}

func (e *emulation) finish(r *request) {
	server := e.servers[r.server]
	server.running--
	server.assessor.AddAnswer(http.StatusOK, false, e.clock())
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
		e.result.Earned += r.class.Late
	default:
		e.result.Failed++
	}
	e.latencies = append(e.latencies, latency)
	e.release(r)
}

// release gives a flow back to its caller, or closes it.
func (e *emulation) release(r *request) {
	if r.class.Fresh || e.servers[r.server].leaving {
		e.servers[r.server].flows--
		return
	}
	r.flow.idle = e.now
	e.idle[r.caller] = append(e.idle[r.caller], r.flow)
}

// replace lets a server leave and a cold one take its place.
func (e *emulation) replace(index int) {
	old := e.servers[index]
	old.leaving = true
	e.servers = append(e.servers, &server{
		zone: old.zone, slots: old.slots, room: old.room, coldUntil: e.now + coldFor,
	})
}

// clock gives the time of the emulation as the deciding code takes it.
func (e *emulation) clock() time.Time {
	return time.Unix(0, int64(e.now))
}

func (e *emulation) at(when time.Duration, do func()) {
	e.serial++
	heap.Push(&e.events, &event{at: when, serial: e.serial, do: do})
}

func zoneName(zone int) string {
	return fmt.Sprint("zone-", zone)
}

// event is something that happens at a time. Events of one time keep their
// order.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

type events []*event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
