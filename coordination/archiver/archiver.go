// Package archiver merges, at a relay, the flows that the agents of its availability
// zone hold, and decides when they are written to the store.
//
// Load pattern: hundreds of flows a zone that open and close all the time, in a store
// whose calls cost money. One object holds the flows of the zone, and it is written at
// an interval if anything has changed. Two relays may write it at once, and a relay may
// be killed between two writes: each write names the version that it follows, and a
// relay that was overtaken reads the object and keeps the later records of each agent.
// Those of agents that it has not heard are kept, too, since after a loss of everything
// they are needed by agents that have not started yet.
package archiver

import (
	"slices"
	"time"

	"gooseberrymast"
)

const (
	// TickInterval is the time between two calls of Due.
	TickInterval = 100 * time.Millisecond
	// WriteInterval is the minimum time between two attempts to write. It bounds the
	// calls to the store; with the interval of updates it is the largest part of the age
	// of the records.
	WriteInterval = 2 * time.Second
	// MaxAgents bounds the agents of the object. An agent takes at most 270 bytes besides
	// its flows.
	MaxAgents = 600
	// MaxFlows bounds the flows of the object. A flow takes at most 28 bytes, so that all
	// fit into the store's limit of 1 MiB.
	MaxFlows = 24_000
	// maxFlowsPerAgent is a bound on what one agent may claim, above the number that
	// agents send.
	maxFlowsPerAgent = 1024
)

// Action is what a relay does with the object in the store.
type Action uint8

// The actions of a relay.
const (
	// None: there is nothing to do.
	None Action = iota
	// Read reads the object. Due is then called again.
	Read
	// Write writes Contents.
	Write
)

// Archiver holds the state of one relay's decisions. Its exported fields are set before
// use. It is not safe for concurrent use.
type Archiver struct {
	Self gooseberrymast.Endpoint
	// MaxAge is the time after which a flow may be discarded, so that records which were
	// last updated earlier are of no use.
	MaxAge time.Duration

	agents map[gooseberrymast.Endpoint]*agentState
	// updatedAt is when the last update came; zero if the process is no relay.
	updatedAt time.Time
	// loaded is set while version is the object's last known one; zero if there is none.
	loaded  bool
	version uint64
	// era is the store's era in which the object was read.
	era     uint64
	changed bool
	nextAt  time.Time
	leftOut int
}

// agentState holds the records of one agent.
type agentState struct {
	records   gooseberrymast.AgentFlows
	flows     map[gooseberrymast.FlowKey]uint32
	updatedAt time.Time
	// pending is what replaces the records once the last of several updates has come.
	pending *agentState
}

// HandleUpdate processes an agent's update and returns the answer. ok is unset if the
// update is ignored, since the relay holds as many agents as it may.
func (a *Archiver) HandleUpdate(update gooseberrymast.FlowUpdate, now time.Time) (answer gooseberrymast.FlowUpdateAnswer, ok bool) {
	a.updatedAt = now
	state := a.agents[update.Agent]
	if state == nil {
		if len(a.agents) >= MaxAgents {
			return answer, false
		}
		state = &agentState{}
	}
	answer = gooseberrymast.FlowUpdateAnswer{Relay: a.Self, Epoch: update.Epoch, Sequence: update.Sequence}
	latest := state
	if state.pending != nil {
		latest = state.pending
	}
	switch {
	case update.Epoch < state.records.Epoch:
		answer.Epoch = state.records.Epoch
		return answer, true
	case update.Epoch == latest.records.Epoch && update.Sequence <= latest.records.Sequence:
		// It came twice, or is overtaken.
		return answer, true
	case update.Base != 0 && (update.Epoch != latest.records.Epoch || update.Base != latest.records.Sequence):
		answer.Resend = true
		return answer, true
	}
	next := &agentState{flows: map[gooseberrymast.FlowKey]uint32{}}
	if update.Base != 0 {
		next.flows = latest.flows
	}
	next.records, next.updatedAt = update.AgentFlows, now
	next.records.Flows = nil
	for _, key := range update.Closed {
		delete(next.flows, key)
	}
	for _, flow := range update.Flows {
		if len(next.flows) < maxFlowsPerAgent {
			next.flows[flow.Key] = flow.Acknowledgement
		}
	}
	if a.agents == nil {
		a.agents = map[gooseberrymast.Endpoint]*agentState{}
	}
	replaces := update.Base == 0 || state.pending != nil
	if update.More && replaces {
		state.pending, state.updatedAt = next, now
		a.agents[update.Agent] = state
		return answer, true
	}
	a.agents[update.Agent] = next
	a.changed = true
	return answer, true
}

// Due returns what to do with the object in the store, whose present era is given.
func (a *Archiver) Due(era uint64, now time.Time) Action {
	if a.updatedAt.IsZero() {
		return None
	}
	if now.Sub(a.updatedAt) > a.MaxAge {
		// No agent uses this relay any more.
		*a = Archiver{Self: a.Self, MaxAge: a.MaxAge, nextAt: a.nextAt}
		return None
	}
	for agent, state := range a.agents {
		if now.Sub(state.updatedAt) > a.MaxAge {
			delete(a.agents, agent)
			a.changed = true
		}
	}
	if a.loaded && a.era != era {
		// The store was restored and holds an earlier version, or none.
		a.loaded, a.changed = false, true
	}
	if !a.changed || now.Before(a.nextAt) {
		return None
	}
	if !a.loaded {
		return Read
	}
	a.nextAt = now.Add(WriteInterval)
	return Write
}

// HandleRead processes the object's records and its version, zero if there is none, as
// read in an era.
func (a *Archiver) HandleRead(stored []gooseberrymast.AgentFlows, version, era uint64, now time.Time) {
	a.loaded, a.version, a.era = true, version, era
	found := map[gooseberrymast.Endpoint]bool{}
	differs := false
	for _, records := range stored {
		found[records.Agent] = true
		own := a.agents[records.Agent]
		switch {
		case own != nil && own.records.Newer(records):
			differs = true
		case own == nil && len(a.agents) >= MaxAgents:
		case own == nil || records.Newer(own.records):
			a.adopt(records, now)
		}
	}
	for agent, own := range a.agents {
		differs = differs || !found[agent] && own.records.Epoch != 0
	}
	a.changed = differs
}

// adopt keeps records that another relay has written. Its clock may differ, so their age
// counts from now.
func (a *Archiver) adopt(records gooseberrymast.AgentFlows, now time.Time) {
	state := &agentState{records: records, flows: map[gooseberrymast.FlowKey]uint32{}, updatedAt: now}
	state.records.Flows = nil
	for _, flow := range records.Flows[:min(len(records.Flows), maxFlowsPerAgent)] {
		state.flows[flow.Key] = flow.Acknowledgement
	}
	if earlier := a.agents[records.Agent]; earlier != nil {
		state.pending = earlier.pending
	}
	a.agents[records.Agent] = state
}

// HandleFailedRead processes a read that failed.
func (a *Archiver) HandleFailedRead(now time.Time) {
	a.nextAt = now.Add(WriteInterval)
}

// Contents returns the records to write and the version that they follow, zero to create
// the object. Changes from then on are left to the next write.
func (a *Archiver) Contents() (records []gooseberrymast.AgentFlows, version uint64) {
	a.changed, a.leftOut = false, 0
	total := 0
	for _, state := range a.agents {
		total += len(state.flows)
	}
	share := maxFlowsPerAgent
	if total > MaxFlows {
		share = MaxFlows / len(a.agents)
	}
	for _, state := range a.agents {
		if state.records.Epoch == 0 {
			continue
		}
		copied := state.records
		for key, acknowledgement := range state.flows {
			if len(copied.Flows) == share {
				a.leftOut++
				continue
			}
			copied.Flows = append(copied.Flows, gooseberrymast.FlowRecord{Key: key, Acknowledgement: acknowledgement})
		}
		slices.SortFunc(copied.Flows, func(x, y gooseberrymast.FlowRecord) int { return x.Key.Caller.Compare(y.Key.Caller) })
		records = append(records, copied)
	}
	slices.SortFunc(records, func(x, y gooseberrymast.AgentFlows) int { return x.Agent.Compare(y.Agent) })
	return records, a.version
}

// LeftOut returns the number of flows that the last contents left out, since there are
// more than MaxFlows.
func (a *Archiver) LeftOut() int {
	return a.leftOut
}

// HandleWritten processes the version of a write that succeeded.
func (a *Archiver) HandleWritten(version uint64) {
	a.version = version
}

// HandleFailedWrite processes a write that failed. stale is set if the object has, or
// may have, another version than the one that the write followed.
func (a *Archiver) HandleFailedWrite(stale bool) {
	a.changed = true
	if stale {
		a.loaded = false
	}
}
