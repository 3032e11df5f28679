package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/timer"
)

// Delays of the simulated network and of the simulated servers.
const (
	// One-way network delays.
	sameZoneDelay  = 500 * time.Microsecond
	crossZoneDelay = 4 * time.Millisecond
	// maxCancelDelay is the longest time until a cancelled attempt ends.
	maxCancelDelay = 8 * time.Millisecond
)

// simulation connects the dispatchers of one service to simulated backend
// servers, a simulated network and callers in virtual time. It records which
// requests ran and compares that with the refusals that callers receive.
type simulation struct {
	clock   timer.Manual
	random  *rand.Rand
	service gooseberrymast.Service
	policy  Policy
	faults  faults
	nodes   []*node
	// calls finds each call by the agent that received it and its number there.
	calls  map[handOverKey]*call
	nextID gooseberrymast.WorkID
	// retries counts all attempts after a request's first, except an own run
	// after a peer's refusal, which takes no retry from the budget.
	retries        int
	outcomeQueries int
	// violations describes each violation of an expected property.
	violations []string
	// serviceTimeOf returns the service time of a call.
	serviceTimeOf func(*call) time.Duration
	// onCallEnd, if not nil, is called at each call's end.
	onCallEnd func(*call)
}

// faults holds the probability of each kind of fault, 0 to 1.
type faults struct {
	notSent, requestLost, lateCopy, responseLost float64
	replyLost                                    float64
	shed, fail, connectionBroken, torn           float64
}

// operation is what a caller wants done once. Several calls may be sent for it.
type operation struct {
	ticket gooseberrymast.Ticket
	runs   int
}

// call is one request as an agent received it from a caller.
type call struct {
	work      gooseberrymast.Work
	node      *node
	operation *operation
	sent      time.Time
	endedAt   time.Time
	runs      int
	endCount  int
	answered  bool
	refusal   gooseberrymast.Refusal
}

// job is one request at one agent.
type job struct {
	call *call
	work gooseberrymast.Work
	// incoming is the hand-over by which the request arrived, or nil at the agent
	// that holds the caller's flow.
	incoming *transfer
	// outgoing is the current hand-over to a peer.
	outgoing *transfer
	// run is the current run at the backend server.
	run       *execution
	attempts  int
	refused   bool
	cancelled bool
}

// transfer is one hand-over. Its end is reported to the origin exactly once.
type transfer struct {
	from, to  *node
	id        gooseberrymast.WorkID
	displaced bool
	ended     bool
}

type execution struct{ ended bool }

// node is one agent with its backend server.
type node struct {
	simulation   *simulation
	identity     gooseberrymast.Identity
	zone         string
	d            *Dispatcher
	running      bool
	leavingSince time.Time
	jobs         map[gooseberrymast.WorkID]*job
	busySlots    int
	streams      int
	runs         int
	nextTick     time.Time
	inbound      map[gooseberrymast.WorkID]*transfer
	// slowdown multiplies service times; failing makes every run fail.
	slowdown float64
	failing  bool
}

func newSimulation(seed uint64, service gooseberrymast.Service, zones []string, policy Policy) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), service: service, policy: policy, calls: map[handOverKey]*call{}}
	s.serviceTimeOf = func(*call) time.Duration { return 20 * time.Millisecond }
	s.clock.Advance(time.Hour) // so that no event is at the zero time
	for i, zone := range zones {
		identity := agentAt(byte(i + 1))
		s.nodes = append(s.nodes, s.start(identity, zone))
	}
	s.publish(0)
	return s
}

func (s *simulation) start(identity gooseberrymast.Identity, zone string) *node {
	n := &node{simulation: s, identity: identity, zone: zone, running: true, slowdown: 1,
		jobs: map[gooseberrymast.WorkID]*job{}, inbound: map[gooseberrymast.WorkID]*transfer{}}
	n.d = New(Config{Self: identity, Service: "ledger", Zone: zone, Seed: s.random.Uint64(), Policy: s.policy, CountAtHome: true})
	n.d.Configure(s.clock.Now(), 1, s.service)
	return n
}

// replace starts the next incarnation of a node.
func (s *simulation) replace(i int) {
	old := s.nodes[i]
	identity := old.identity
	identity.Incarnation++
	s.nodes[i] = s.start(identity, old.zone)
	s.nodes[i].d.SetPeers(s.clock.Now(), s.members())
}

// publish sends the current members to every agent, each after its own random
// delay.
func (s *simulation) publish(maxDelay time.Duration) {
	members := s.members()
	for _, n := range s.nodes {
		delay := time.Duration(0)
		if maxDelay > 0 {
			delay = time.Duration(s.random.Int64N(int64(maxDelay)))
		}
		s.clock.After(delay, func(now time.Time) {
			if n.running {
				n.d.SetPeers(now, members)
				n.scheduleTick()
			}
		})
	}
}

func (s *simulation) members() []gooseberrymast.Member {
	var members []gooseberrymast.Member
	for _, n := range s.nodes {
		state := gooseberrymast.StateReady
		if !n.leavingSince.IsZero() {
			state = gooseberrymast.StateLeaving
		}
		if n.running {
			members = append(members, gooseberrymast.Member{Record: gooseberrymast.Record{Identity: n.identity, Zone: n.zone, State: state}})
		}
	}
	return members
}

// chance returns true with probability p.
func (s *simulation) chance(p float64) bool { return p > 0 && s.random.Float64() < p }

func (s *simulation) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *simulation) delay(from, to *node) time.Duration {
	delay := sameZoneDelay
	if from.zone != to.zone {
		delay = crossZoneDelay
	}
	return delay + time.Duration(s.random.Int64N(int64(delay/4)))
}

// send passes a caller's request to an agent.
func (s *simulation) send(n *node, work gooseberrymast.Work, op *operation) *call {
	now := s.clock.Now()
	s.nextID++
	work.ID, work.OriginID, work.Origin = s.nextID, s.nextID, n.identity
	c := &call{work: work, node: n, operation: op, sent: now}
	if !n.running {
		s.finish(c, false, gooseberrymast.Refusal{})
		return c
	}
	s.calls[handOverKey{n.identity, work.ID}] = c
	n.jobs[work.ID] = &job{call: c, work: work}
	n.perform(n.d.HandleRequest(now, work))
	return c
}

func (s *simulation) finish(c *call, answered bool, refusal gooseberrymast.Refusal) {
	c.endCount++
	c.answered, c.refusal, c.endedAt = answered, refusal, s.clock.Now()
	if c.endCount > 1 {
		s.recordViolation("call %d ended %d times", c.work.ID, c.endCount)
	}
	if refusal.ID != "" && refusal.Ran == gooseberrymast.RanNo && !c.work.Idempotent && c.operation.runs > 0 {
		s.recordViolation("call %d: refused as not run (%s), ran %d times", c.work.ID, refusal.Reason, c.operation.runs)
	}
	if s.onCallEnd != nil {
		s.onCallEnd(c)
	}
}

// perform carries out the actions of a node's dispatcher.
func (n *node) perform(actions []gooseberrymast.Action) {
	for _, action := range actions {
		if action.Kind == gooseberrymast.ActionCount {
			n.reportCount(action)
			continue
		}
		j := n.jobs[action.Work]
		if j == nil {
			n.simulation.recordViolation("action %d for unknown work %d", action.Kind, action.Work)
			continue
		}
		switch action.Kind {
		case gooseberrymast.ActionRun:
			n.countAttempt(j, j.refused)
			n.run(j)
		case gooseberrymast.ActionHandOver:
			n.countAttempt(j, false)
			n.handOver(j, action.Peer, action.Displaced)
		case gooseberrymast.ActionQueryOutcome:
			n.queryOutcome(j, action.Peer)
		case gooseberrymast.ActionSpend:
			n.spend(j, action.Peer)
		case gooseberrymast.ActionCancel:
			j.cancelled = true
			n.cancelAttempt(j)
		case gooseberrymast.ActionRefuse:
			delete(n.jobs, j.work.ID)
			n.deliver(j, gooseberrymast.ResultRefused, action.Refusal)
		}
	}
	n.scheduleTick()
}

// countAttempt counts an attempt, as a retry if it is one.
func (n *node) countAttempt(j *job, notRetry bool) {
	if j.incoming == nil && j.attempts > 0 && !notRetry {
		n.simulation.retries++
	}
	j.attempts++
}

// scheduleTick schedules the dispatcher's next Tick.
func (n *node) scheduleTick() {
	next := n.d.NextTick()
	now := n.simulation.clock.Now()
	if next.IsZero() || (n.nextTick.After(now) && !next.Before(n.nextTick)) {
		return
	}
	n.nextTick = next
	n.simulation.clock.After(max(0, next.Sub(now)), func(now time.Time) {
		if n.running {
			n.perform(n.d.Tick(now))
		}
	})
}

// deliver sends the outcome to the caller or to the agent that handed the
// request over.
func (n *node) deliver(j *job, result gooseberrymast.Result, refusal gooseberrymast.Refusal) {
	s := n.simulation
	if j.incoming == nil {
		s.finish(j.call, result == gooseberrymast.ResultAnswered, refusal)
		return
	}
	if s.chance(s.faults.responseLost) {
		s.clock.After(s.delay(n, j.incoming.from), func(time.Time) { j.incoming.end(gooseberrymast.ResultBroken, gooseberrymast.Refusal{}) })
		return
	}
	load := n.d.Load()
	s.clock.After(s.delay(n, j.incoming.from), func(now time.Time) {
		if j.incoming.from.running {
			j.incoming.from.d.HandlePeerLoad(now, n.identity, load)
		}
		j.incoming.end(result, refusal)
	})
}

// finishAttempt reports the end of an attempt to the dispatcher and delivers the
// outcome if the dispatcher takes no further action for the request.
func (n *node) finishAttempt(j *job, result gooseberrymast.Result, refusal gooseberrymast.Refusal) {
	actions := n.d.Finish(n.simulation.clock.Now(), j.work.ID, result, refusal)
	j.refused = result == gooseberrymast.ResultRefused
	continues := false
	for _, action := range actions {
		continues = continues || action.Work == j.work.ID
	}
	final := result == gooseberrymast.ResultAnswered || result == gooseberrymast.ResultFailed ||
		result == gooseberrymast.ResultTruncated || j.cancelled
	if final && !continues {
		delete(n.jobs, j.work.ID)
		n.deliver(j, result, gooseberrymast.Refusal{})
	}
	n.perform(actions)
}

// run simulates the backend server. A run counts as soon as it has begun,
// however it ends.
func (n *node) run(j *job) {
	s := n.simulation
	e := &execution{}
	j.run = e
	n.checkRun(j)
	switch {
	case s.chance(s.faults.notSent):
		n.endRun(j, e, time.Millisecond, gooseberrymast.ResultNotSent)
		return
	case s.chance(s.faults.shed):
		n.endRun(j, e, time.Millisecond, gooseberrymast.ResultShed)
		return
	}
	j.call.runs++
	j.call.operation.runs++
	n.runs++
	if !j.work.Idempotent && j.call.operation.runs > 1 {
		s.recordViolation("call %d ran %d times (ticket %v)", j.call.work.ID, j.call.operation.runs, j.call.operation.ticket.Sequence)
	}
	result, share := gooseberrymast.ResultAnswered, 1.0
	switch {
	case n.failing || s.chance(s.faults.fail):
		result, share = gooseberrymast.ResultFailed, 0.1
	case s.chance(s.faults.connectionBroken):
		result, share = gooseberrymast.ResultBroken, s.random.Float64()
	case s.chance(s.faults.torn):
		result, share = gooseberrymast.ResultTruncated, s.random.Float64()
	}
	took := time.Duration(float64(s.serviceTimeOf(j.call)) * n.slowdown * share)
	if left := j.work.Deadline.Sub(s.clock.Now()); !j.work.Stream && took > left {
		took, result = left, gooseberrymast.ResultTimedOut
	}
	n.endRun(j, e, took, result)
}

// checkRun checks the limits, the grace and earlier refusals at the start of a run.
func (n *node) checkRun(j *job) {
	if j.work.Stream {
		n.streams++
	} else {
		n.busySlots++
	}
	if n.streams > n.simulation.service.Limits.Connections {
		n.simulation.recordViolation("%d streams", n.streams)
	}
	if n.busySlots > n.simulation.service.Limits.Slots {
		n.simulation.recordViolation("%d requests in %d slots", n.busySlots, n.simulation.service.Limits.Slots)
	}
	grace := n.simulation.service.Drain.Grace.Std()
	if !n.leavingSince.IsZero() && n.simulation.clock.Now().Sub(n.leavingSince) >= grace {
		n.simulation.recordViolation("call %d started after the grace", j.call.work.ID)
	}
	if j.call.endCount > 0 && j.call.refusal.Ran == gooseberrymast.RanNo && j.call.refusal.ID != "" {
		n.simulation.recordViolation("call %d started after it was refused as not run", j.call.work.ID)
	}
}

func (n *node) endRun(j *job, e *execution, after time.Duration, result gooseberrymast.Result) {
	n.simulation.clock.After(after, func(time.Time) {
		if e.ended || !n.running {
			return
		}
		n.release(j, e)
		n.finishAttempt(j, result, gooseberrymast.Refusal{})
	})
}

// release frees the slot or stream of a run.
func (n *node) release(j *job, e *execution) {
	e.ended = true
	if j.work.Stream {
		n.streams--
		return
	}
	n.busySlots--
}

// cancelAttempt ends the current attempt some time after a cancellation.
func (n *node) cancelAttempt(j *job) {
	delay := time.Duration(n.simulation.random.Int64N(int64(maxCancelDelay)))
	n.simulation.clock.After(delay, func(time.Time) {
		if !n.running || n.jobs[j.work.ID] != j {
			return
		}
		if e := j.run; e != nil && !e.ended {
			n.release(j, e)
			n.finishAttempt(j, gooseberrymast.ResultCancelled, gooseberrymast.Refusal{})
			return
		}
		if j.outgoing != nil && !j.outgoing.ended {
			j.outgoing.cancel()
			j.outgoing.end(gooseberrymast.ResultCancelled, gooseberrymast.Refusal{})
		}
	})
}

// runningNode returns the running node with the identity, or nil.
func (s *simulation) runningNode(identity gooseberrymast.Identity) *node {
	for _, n := range s.nodes {
		if n.identity == identity && n.running {
			return n
		}
	}
	return nil
}
