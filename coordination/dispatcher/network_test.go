package dispatcher

import (
	"maps"
	"slices"
	"time"

	"gooseberrymast"
)

// replyTimeout is how long an agent waits for a peer's reply.
const replyTimeout = 50 * time.Millisecond

// handOver sends a request to a peer, subject to the network's faults.
func (n *node) handOver(j *job, peer gooseberrymast.Identity, displaced bool) {
	s := n.simulation
	if j.incoming != nil {
		s.recordViolation("call %d was handed over twice", j.call.work.ID)
	}
	t := &transfer{from: n, id: j.work.ID, displaced: displaced}
	j.outgoing = t
	target := s.runningNode(peer)
	if target == nil || s.chance(s.faults.notSent) {
		t.endAfter(2*time.Millisecond, gooseberrymast.ResultNotSent)
		return
	}
	t.to = target
	target.inbound[t.id] = t
	if !j.work.Stream {
		t.endAfter(j.work.Deadline.Sub(s.clock.Now()), gooseberrymast.ResultTimedOut)
	}
	delay := s.delay(n, target)
	switch {
	case s.chance(s.faults.requestLost):
		t.endAfter(2*delay, gooseberrymast.ResultBroken)
		return
	case s.chance(s.faults.lateCopy):
		t.endAfter(2*delay, gooseberrymast.ResultBroken)
		lateDelay := delay + time.Duration(s.random.Int64N(int64(time.Second)))
		s.clock.After(lateDelay, func(time.Time) { target.receive(t, j) })
		if s.chance(0.5) {
			return
		}
	}
	s.clock.After(delay, func(time.Time) { target.receive(t, j) })
}

// receive delivers a handed-over request to its dispatcher. A copy of it may have
// arrived before.
func (n *node) receive(t *transfer, from *job) {
	if !n.running {
		return
	}
	s := n.simulation
	s.nextID++
	work := from.work
	work.ID, work.Replayable, work.Displaced = s.nextID, false, t.displaced
	n.jobs[work.ID] = &job{call: from.call, work: work, incoming: t}
	n.perform(n.d.HandleRequest(s.clock.Now(), work))
}

// end reports the end of the hand-over to its origin, once.
func (t *transfer) end(result gooseberrymast.Result, refusal gooseberrymast.Refusal) {
	if t.ended {
		return
	}
	t.ended = true
	if t.to != nil {
		delete(t.to.inbound, t.id)
	}
	if j := t.from.jobs[t.id]; t.from.running && j != nil && j.outgoing == t {
		t.from.finishAttempt(j, result, refusal)
	}
}

func (t *transfer) endAfter(delay time.Duration, result gooseberrymast.Result) {
	t.from.simulation.clock.After(delay, func(time.Time) { t.end(result, gooseberrymast.Refusal{}) })
}

// cancel sends a cancellation to the receiver.
func (t *transfer) cancel() {
	if t.to == nil {
		return
	}
	t.from.simulation.clock.After(t.from.simulation.delay(t.from, t.to), func(time.Time) {
		for _, id := range slices.Sorted(maps.Keys(t.to.jobs)) {
			if j := t.to.jobs[id]; j.incoming == t && t.to.running {
				t.to.cancel(j)
			}
		}
	})
}

// cancel reports the loss of the caller to the dispatcher. If there is no attempt
// to stop, the request ends at once.
func (n *node) cancel(j *job) {
	actions := n.d.Cancel(n.simulation.clock.Now(), j.work.ID)
	stops := j.cancelled
	for _, action := range actions {
		stops = stops || (action.Work == j.work.ID && action.Kind == gooseberrymast.ActionCancel)
	}
	if !stops {
		delete(n.jobs, j.work.ID)
		n.deliver(j, gooseberrymast.ResultCancelled, gooseberrymast.Refusal{})
	}
	n.perform(actions)
}

// cancelByCaller simulates a caller that goes away.
func (c *call) cancelByCaller() {
	if j := c.node.jobs[c.work.ID]; j != nil && c.node.running && c.endCount == 0 {
		c.node.cancel(j)
	}
}

// queryOutcome queries a peer about whether a request ran. The query or the reply
// may be lost.
func (n *node) queryOutcome(j *job, peer gooseberrymast.Identity) {
	s := n.simulation
	s.outcomeQueries++
	n.exchange(peer, func(target *node, now time.Time) bool {
		ran := target.d.HandleOutcomeQuery(now, n.identity, j.work.ID)
		target.scheduleTick()
		return ran
	}, func(known, ran bool) { n.perform(n.d.HandleOutcomeReply(s.clock.Now(), j.work.ID, known, ran)) })
}

// spend requests that a ticket's issuer grant the run.
func (n *node) spend(j *job, issuer gooseberrymast.Identity) {
	s := n.simulation
	n.exchange(issuer, func(target *node, now time.Time) bool {
		return target.d.Spend(now, j.work.Ticket)
	}, func(known, granted bool) { n.perform(n.d.HandleSpendReply(s.clock.Now(), j.work.ID, known, granted)) })
}

// exchange sends a query to a peer. Exactly one reply or timeout is delivered.
func (n *node) exchange(peer gooseberrymast.Identity, handle func(*node, time.Time) bool, reply func(known, yes bool)) {
	s := n.simulation
	replied := false
	replyOnce := func(known, yes bool) {
		if !replied && n.running {
			replied = true
			reply(known, yes)
		}
	}
	s.clock.After(replyTimeout, func(time.Time) { replyOnce(false, false) })
	target := s.runningNode(peer)
	if target == nil || s.chance(s.faults.replyLost) {
		return
	}
	s.clock.After(s.delay(n, target), func(now time.Time) {
		if !target.running {
			return
		}
		yes := handle(target, now)
		if !s.chance(s.faults.replyLost) {
			s.clock.After(s.delay(target, n), func(time.Time) { replyOnce(true, yes) })
		}
	})
}

// crash stops an agent and its backend server without a drain.
func (n *node) crash() {
	n.running = false
	for _, id := range slices.Sorted(maps.Keys(n.jobs)) {
		if j := n.jobs[id]; j.incoming == nil && j.call.endCount == 0 {
			n.simulation.finish(j.call, false, gooseberrymast.Refusal{})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.inbound)) {
		n.inbound[id].endAfter(time.Millisecond, gooseberrymast.ResultBroken)
	}
}

// leave starts a drain. The caller stops the node later.
func (n *node) leave() {
	now := n.simulation.clock.Now()
	n.leavingSince = now
	n.perform(n.d.Leave(now))
	n.simulation.publish(time.Second)
}

// reportCount sends the count of a caller's requests to its home agent and
// returns the reply.
func (n *node) reportCount(action gooseberrymast.Action) {
	var granted int
	var wait time.Duration
	n.exchange(action.Peer, func(target *node, now time.Time) bool {
		granted, wait = target.d.HandleCount(now, action.Caller, action.Count)
		return true
	}, func(ok, _ bool) { n.d.HandleCountReply(n.simulation.clock.Now(), action.Caller, ok, granted, wait) })
}
