package dispatcher

import (
	"maps"
	"slices"
	"time"

	"gooseberrymast"
)

// askTimeout is how long an agent waits for a peer's word.
const askTimeout = 50 * time.Millisecond

// handOver sends a request to a peer, with every fault that the way allows.
func (n *node) handOver(j *job, peer gooseberrymast.Identity, displaced bool) {
	w := n.world
	if j.back != nil {
		w.fault("call %d was handed over twice", j.call.work.ID)
	}
	t := &transfer{from: n, id: j.work.ID, displaced: displaced}
	j.out = t
	target := w.nodeOf(peer)
	if target == nil || w.chance(w.faults.notSent) {
		t.endAfter(2*time.Millisecond, gooseberrymast.ResultNotSent)
		return
	}
	t.to = target
	target.inbound[t.id] = t
	if !j.work.Stream {
		t.endAfter(j.work.Deadline.Sub(w.clock.Now()), gooseberrymast.ResultTimedOut)
	}
	delay := w.delay(n, target)
	switch {
	case w.chance(w.faults.lostBefore):
		t.endAfter(2*delay, gooseberrymast.ResultBroken)
		return
	case w.chance(w.faults.lateCopy):
		t.endAfter(2*delay, gooseberrymast.ResultBroken)
		late := delay + time.Duration(w.random.Int64N(int64(time.Second)))
		w.clock.After(late, func(time.Time) { target.receive(t, j) })
		if w.chance(0.5) {
			return
		}
	}
	w.clock.After(delay, func(time.Time) { target.receive(t, j) })
}

// receive takes a handed-over request, of which a copy may have come before.
func (n *node) receive(t *transfer, from *job) {
	if !n.alive {
		return
	}
	w := n.world
	w.nextID++
	work := from.work
	work.ID, work.Replayable, work.Displaced = w.nextID, false, t.displaced
	n.jobs[work.ID] = &job{call: from.call, work: work, back: t}
	n.do(n.d.Arrive(w.clock.Now(), work))
}

// end tells the origin how the hand-over ended, once.
func (t *transfer) end(result gooseberrymast.Result, refusal gooseberrymast.Refusal) {
	if t.over {
		return
	}
	t.over = true
	if t.to != nil {
		delete(t.to.inbound, t.id)
	}
	if j := t.from.jobs[t.id]; t.from.alive && j != nil && j.out == t {
		t.from.finished(j, result, refusal)
	}
}

func (t *transfer) endAfter(delay time.Duration, result gooseberrymast.Result) {
	t.from.world.clock.After(delay, func(time.Time) { t.end(result, gooseberrymast.Refusal{}) })
}

// cancel passes a cancellation on.
func (t *transfer) cancel() {
	if t.to == nil {
		return
	}
	t.from.world.clock.After(t.from.world.delay(t.from, t.to), func(time.Time) {
		for _, id := range slices.Sorted(maps.Keys(t.to.jobs)) {
			if j := t.to.jobs[id]; j.back == t && t.to.alive {
				t.to.cancel(j)
			}
		}
	})
}

// cancel tells the dispatcher that the caller went away. Without an attempt to
// stop the request is over at once.
func (n *node) cancel(j *job) {
	actions := n.d.Cancel(n.world.clock.Now(), j.work.ID)
	stops := j.cancelled
	for _, action := range actions {
		stops = stops || (action.Work == j.work.ID && action.Kind == gooseberrymast.ActionCancel)
	}
	if !stops {
		delete(n.jobs, j.work.ID)
		n.conclude(j, gooseberrymast.ResultCancelled, gooseberrymast.Refusal{})
	}
	n.do(actions)
}

// cancel is the caller going away.
func (c *call) cancel() {
	if j := c.node.jobs[c.work.ID]; j != nil && c.node.alive && c.ends == 0 {
		c.node.cancel(j)
	}
}

// ask asks a peer what became of a request; question or reply may be lost.
func (n *node) ask(j *job, peer gooseberrymast.Identity) {
	w := n.world
	w.asks++
	n.exchange(peer, func(target *node, now time.Time) bool {
		ran := target.d.Ask(now, n.identity, j.work.ID)
		target.wake()
		return ran
	}, func(known, ran bool) { n.do(n.d.Answered(w.clock.Now(), j.work.ID, known, ran)) })
}

// spend asks a ticket's issuer for leave.
func (n *node) spend(j *job, issuer gooseberrymast.Identity) {
	w := n.world
	n.exchange(issuer, func(target *node, now time.Time) bool {
		return target.d.Spend(now, j.work.Ticket)
	}, func(known, granted bool) { n.do(n.d.Spent(w.clock.Now(), j.work.ID, known, granted)) })
}

// exchange asks a question of a peer. Exactly one reply is delivered.
func (n *node) exchange(peer gooseberrymast.Identity, question func(*node, time.Time) bool, reply func(known, yes bool)) {
	w := n.world
	replied := false
	once := func(known, yes bool) {
		if !replied && n.alive {
			replied = true
			reply(known, yes)
		}
	}
	w.clock.After(askTimeout, func(time.Time) { once(false, false) })
	target := w.nodeOf(peer)
	if target == nil || w.chance(w.faults.replyLost) {
		return
	}
	w.clock.After(w.delay(n, target), func(now time.Time) {
		if !target.alive {
			return
		}
		yes := question(target, now)
		if !w.chance(w.faults.replyLost) {
			w.clock.After(w.delay(target, n), func(time.Time) { once(true, yes) })
		}
	})
}

// kill ends an agent and its backend server at once.
func (n *node) kill() {
	n.alive = false
	for _, id := range slices.Sorted(maps.Keys(n.jobs)) {
		if j := n.jobs[id]; j.back == nil && j.call.ends == 0 {
			n.world.finish(j.call, false, gooseberrymast.Refusal{})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.inbound)) {
		n.inbound[id].endAfter(time.Millisecond, gooseberrymast.ResultBroken)
	}
}

// leave starts a drain; the node goes once nothing remains.
func (n *node) leave() {
	now := n.world.clock.Now()
	n.leftAt = now
	n.do(n.d.Leave(now))
	n.world.publish(time.Second)
}

// report carries a caller's count to its home and the reply back.
func (n *node) report(action gooseberrymast.Action) {
	var granted int
	var wait time.Duration
	n.exchange(action.Peer, func(target *node, now time.Time) bool {
		granted, wait = target.d.Count(now, action.Caller, action.Count)
		return true
	}, func(known, _ bool) { n.d.Counted(n.world.clock.Now(), action.Caller, known, granted, wait) })
}
