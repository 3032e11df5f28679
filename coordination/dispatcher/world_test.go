package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/timer"
)

// The one-way delays of the fake network.
const (
	nearDelay = 500 * time.Microsecond
	farDelay  = 4 * time.Millisecond
	// stopTime is the longest time that a cancelled attempt takes to end.
	stopTime = 8 * time.Millisecond
)

// world joins the dispatchers of one service to fake backend servers, a fake
// network and callers in virtual time, and keeps the truth of what ran.
type world struct {
	clock   timer.Manual
	random  *rand.Rand
	service gooseberrymast.Service
	policy  Policy
	faults  faults
	nodes   []*node
	// calls finds each call by the agent and number under which it arrived.
	calls  map[handedKey]*call
	nextID gooseberrymast.WorkID
	// retries counts second attempts, but for an own run after a peer refused.
	retries int
	asks    int
	// wrong lists what contradicts the truth.
	wrong []string
	// took gives the service time of a call.
	took func(*call) time.Duration
	// ended is told of each call's end; nil is nobody.
	ended func(*call)
}

// faults are the probabilities, 0 to 1, of what goes wrong.
type faults struct {
	notSent, lostBefore, lateCopy, answerLost float64
	replyLost                                 float64
	shed, fail, breakRun, torn                float64
}

// intent is what a caller wants done once; a resend is another call for it.
type intent struct {
	ticket gooseberrymast.Ticket
	runs   int
}

// call is one request as one agent received it from a caller.
type call struct {
	work    gooseberrymast.Work
	node    *node
	intent  *intent
	sent    time.Time
	at      time.Time
	runs    int
	ends    int
	answer  bool
	refusal gooseberrymast.Refusal
}

// job is one request at one agent.
type job struct {
	call *call
	work gooseberrymast.Work
	// back carries the outcome to the agent that handed the request over; nil
	// at the agent that holds the caller's flow.
	back *transfer
	// out is the present hand-over.
	out *transfer
	// run is the present run at the backend server.
	run       *execution
	attempts  int
	refused   bool
	cancelled bool
}

// transfer is one hand-over; its origin learns of its end exactly once.
type transfer struct {
	from, to  *node
	id        gooseberrymast.WorkID
	displaced bool
	over      bool
}

type execution struct{ over bool }

// node is one agent with its backend server.
type node struct {
	world    *world
	identity gooseberrymast.Identity
	zone     string
	d        *Dispatcher
	alive    bool
	leftAt   time.Time
	jobs     map[gooseberrymast.WorkID]*job
	busy     int
	streams  int
	runs     int
	tickAt   time.Time
	inbound  map[gooseberrymast.WorkID]*transfer
	// slow multiplies service times; sick makes every run fail.
	slow float64
	sick bool
}

func newWorld(seed uint64, service gooseberrymast.Service, zones []string, policy Policy) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), service: service, policy: policy, calls: map[handedKey]*call{}}
	w.took = func(*call) time.Duration { return 20 * time.Millisecond }
	w.clock.Advance(time.Hour) // away from the zero time
	for i, zone := range zones {
		identity := agentAt(byte(i + 1))
		w.nodes = append(w.nodes, w.start(identity, zone))
	}
	w.publish(0)
	return w
}

func (w *world) start(identity gooseberrymast.Identity, zone string) *node {
	n := &node{world: w, identity: identity, zone: zone, alive: true, slow: 1,
		jobs: map[gooseberrymast.WorkID]*job{}, inbound: map[gooseberrymast.WorkID]*transfer{}}
	n.d = New(Config{Self: identity, Service: "ledger", Zone: zone, Seed: w.random.Uint64(), Policy: w.policy, CountAtHome: true})
	n.d.Configure(w.clock.Now(), 1, w.service)
	return n
}

// replace starts the next life of a node's address.
func (w *world) replace(at int) {
	old := w.nodes[at]
	identity := old.identity
	identity.Incarnation++
	w.nodes[at] = w.start(identity, old.zone)
	w.nodes[at].d.Peers(w.clock.Now(), w.members())
}

// publish tells every agent of the others, each after a delay of its own.
func (w *world) publish(unevenness time.Duration) {
	members := w.members()
	for _, n := range w.nodes {
		delay := time.Duration(0)
		if unevenness > 0 {
			delay = time.Duration(w.random.Int64N(int64(unevenness)))
		}
		w.clock.After(delay, func(now time.Time) {
			if n.alive {
				n.d.Peers(now, members)
				n.wake()
			}
		})
	}
}

func (w *world) members() []gooseberrymast.Member {
	var members []gooseberrymast.Member
	for _, n := range w.nodes {
		state := gooseberrymast.StateReady
		if !n.leftAt.IsZero() {
			state = gooseberrymast.StateLeaving
		}
		if n.alive {
			members = append(members, gooseberrymast.Member{Record: gooseberrymast.Record{Identity: n.identity, Zone: n.zone, State: state}})
		}
	}
	return members
}

func (w *world) chance(p float64) bool { return p > 0 && w.random.Float64() < p }

func (w *world) fault(format string, args ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

func (w *world) delay(from, to *node) time.Duration {
	delay := nearDelay
	if from.zone != to.zone {
		delay = farDelay
	}
	return delay + time.Duration(w.random.Int64N(int64(delay/4)))
}

// send gives a caller's request to an agent.
func (w *world) send(n *node, work gooseberrymast.Work, aim *intent) *call {
	now := w.clock.Now()
	w.nextID++
	work.ID, work.OriginID, work.Origin = w.nextID, w.nextID, n.identity
	c := &call{work: work, node: n, intent: aim, sent: now}
	if !n.alive {
		w.finish(c, false, gooseberrymast.Refusal{})
		return c
	}
	w.calls[handedKey{n.identity, work.ID}] = c
	n.jobs[work.ID] = &job{call: c, work: work}
	n.do(n.d.Arrive(now, work))
	return c
}

func (w *world) finish(c *call, answered bool, refusal gooseberrymast.Refusal) {
	c.ends++
	c.answer, c.refusal, c.at = answered, refusal, w.clock.Now()
	if c.ends > 1 {
		w.fault("call %d ended %d times", c.work.ID, c.ends)
	}
	if refusal.ID != "" && refusal.Ran == gooseberrymast.RanNo && !c.work.Idempotent && c.intent.runs > 0 {
		w.fault("call %d: told not run (%s), ran %d times", c.work.ID, refusal.Reason, c.intent.runs)
	}
	if w.ended != nil {
		w.ended(c)
	}
}

// do performs the actions of a node's dispatcher.
func (n *node) do(actions []gooseberrymast.Action) {
	for _, action := range actions {
		if action.Kind == gooseberrymast.ActionCount {
			n.report(action)
			continue
		}
		j := n.jobs[action.Work]
		if j == nil {
			n.world.fault("action %d for unknown work %d", action.Kind, action.Work)
			continue
		}
		switch action.Kind {
		case gooseberrymast.ActionRun:
			n.attempt(j, j.refused)
			n.run(j)
		case gooseberrymast.ActionHandOver:
			n.attempt(j, false)
			n.handOver(j, action.Peer, action.Displaced)
		case gooseberrymast.ActionAsk:
			n.ask(j, action.Peer)
		case gooseberrymast.ActionSpend:
			n.spend(j, action.Peer)
		case gooseberrymast.ActionCancel:
			j.cancelled = true
			n.stop(j)
		case gooseberrymast.ActionRefuse:
			delete(n.jobs, j.work.ID)
			n.conclude(j, gooseberrymast.ResultRefused, action.Refusal)
		}
	}
	n.wake()
}

func (n *node) attempt(j *job, free bool) {
	if j.back == nil && j.attempts > 0 && !free {
		n.world.retries++
	}
	j.attempts++
}

// wake arranges for the dispatcher's next Tick.
func (n *node) wake() {
	next := n.d.NextTick()
	now := n.world.clock.Now()
	if next.IsZero() || (n.tickAt.After(now) && !next.Before(n.tickAt)) {
		return
	}
	n.tickAt = next
	n.world.clock.After(max(0, next.Sub(now)), func(now time.Time) {
		if n.alive {
			n.do(n.d.Tick(now))
		}
	})
}

// conclude gives the outcome to the caller or to the agent that handed over.
func (n *node) conclude(j *job, result gooseberrymast.Result, refusal gooseberrymast.Refusal) {
	w := n.world
	if j.back == nil {
		w.finish(j.call, result == gooseberrymast.ResultAnswered, refusal)
		return
	}
	if w.chance(w.faults.answerLost) {
		w.clock.After(w.delay(n, j.back.from), func(time.Time) { j.back.end(gooseberrymast.ResultBroken, gooseberrymast.Refusal{}) })
		return
	}
	load := n.d.Load()
	w.clock.After(w.delay(n, j.back.from), func(now time.Time) {
		if j.back.from.alive {
			j.back.from.d.PeerLoad(now, n.identity, load)
		}
		j.back.end(result, refusal)
	})
}

// finished reports the end of an attempt to the dispatcher and concludes the
// request when the dispatcher has nothing more to do for it.
func (n *node) finished(j *job, result gooseberrymast.Result, refusal gooseberrymast.Refusal) {
	actions := n.d.Finish(n.world.clock.Now(), j.work.ID, result, refusal)
	j.refused = result == gooseberrymast.ResultRefused
	further := false
	for _, action := range actions {
		further = further || action.Work == j.work.ID
	}
	final := result == gooseberrymast.ResultAnswered || result == gooseberrymast.ResultFailed ||
		result == gooseberrymast.ResultTorn || j.cancelled
	if final && !further {
		delete(n.jobs, j.work.ID)
		n.conclude(j, result, gooseberrymast.Refusal{})
	}
	n.do(actions)
}

// run is the backend server's part. Whatever it began counts as run.
func (n *node) run(j *job) {
	w := n.world
	e := &execution{}
	j.run = e
	n.checkRun(j)
	switch {
	case w.chance(w.faults.notSent):
		n.endRun(j, e, time.Millisecond, gooseberrymast.ResultNotSent)
		return
	case w.chance(w.faults.shed):
		n.endRun(j, e, time.Millisecond, gooseberrymast.ResultShed)
		return
	}
	j.call.runs++
	j.call.intent.runs++
	n.runs++
	if !j.work.Idempotent && j.call.intent.runs > 1 {
		w.fault("call %d ran %d times (ticket %v)", j.call.work.ID, j.call.intent.runs, j.call.intent.ticket.Sequence)
	}
	result, share := gooseberrymast.ResultAnswered, 1.0
	switch {
	case n.sick || w.chance(w.faults.fail):
		result, share = gooseberrymast.ResultFailed, 0.1
	case w.chance(w.faults.breakRun):
		result, share = gooseberrymast.ResultBroken, w.random.Float64()
	case w.chance(w.faults.torn):
		result, share = gooseberrymast.ResultTorn, w.random.Float64()
	}
	took := time.Duration(float64(w.took(j.call)) * n.slow * share)
	if left := j.work.Deadline.Sub(w.clock.Now()); !j.work.Stream && took > left {
		took, result = left, gooseberrymast.ResultTimedOut
	}
	n.endRun(j, e, took, result)
}

// checkRun compares the dispatch with what the server may be given.
func (n *node) checkRun(j *job) {
	if j.work.Stream {
		n.streams++
	} else {
		n.busy++
	}
	if n.streams > n.world.service.Limits.Connections {
		n.world.fault("%d streams", n.streams)
	}
	if n.busy > n.world.service.Limits.Slots {
		n.world.fault("%d requests in %d slots", n.busy, n.world.service.Limits.Slots)
	}
	grace := n.world.service.Drain.Grace.Std()
	if !n.leftAt.IsZero() && n.world.clock.Now().Sub(n.leftAt) >= grace {
		n.world.fault("call %d started after the grace", j.call.work.ID)
	}
	if j.call.ends > 0 && j.call.refusal.Ran == gooseberrymast.RanNo && j.call.refusal.ID != "" {
		n.world.fault("call %d started after it was told not run", j.call.work.ID)
	}
}

func (n *node) endRun(j *job, e *execution, after time.Duration, result gooseberrymast.Result) {
	n.world.clock.After(after, func(time.Time) {
		if e.over || !n.alive {
			return
		}
		n.freed(j, e)
		n.finished(j, result, gooseberrymast.Refusal{})
	})
}

func (n *node) freed(j *job, e *execution) {
	e.over = true
	if j.work.Stream {
		n.streams--
		return
	}
	n.busy--
}

// stop ends the present attempt after a cancellation.
func (n *node) stop(j *job) {
	delay := time.Duration(n.world.random.Int64N(int64(stopTime)))
	n.world.clock.After(delay, func(time.Time) {
		if !n.alive || n.jobs[j.work.ID] != j {
			return
		}
		if e := j.run; e != nil && !e.over {
			n.freed(j, e)
			n.finished(j, gooseberrymast.ResultCancelled, gooseberrymast.Refusal{})
			return
		}
		if j.out != nil && !j.out.over {
			j.out.cancel()
			j.out.end(gooseberrymast.ResultCancelled, gooseberrymast.Refusal{})
		}
	})
}

// nodeOf finds the living node of an identity.
func (w *world) nodeOf(identity gooseberrymast.Identity) *node {
	for _, n := range w.nodes {
		if n.identity == identity && n.alive {
			return n
		}
	}
	return nil
}
