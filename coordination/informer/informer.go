// Package informer decides at an agent which flows it tells the relay of its
// availability zone, and when.
//
// Load pattern: callers that keep flows open for many requests which may not run twice,
// with pauses between them, and a loss of all instances at once. What the relay knows
// has to be nearly complete at any time, at a few hundred bytes a second for each agent,
// while datagrams are lost and relays are killed, restarted and replaced. So an agent
// sends only changes, one update at a time, and repeats each until it is answered; a
// relay that lacks what a change builds on gets all flows again.
package informer

import (
	"cmp"
	"slices"
	"time"

	"gooseberrymast"
)

const (
	// TickInterval is the time between two calls of Tick: a quarter of the time between
	// two writes of the records, so that it adds little to their age.
	TickInterval = 500 * time.Millisecond
	// MinFlowAge is the age from which flows are recorded. Flows with one request have
	// closed by then, and the server has announced itself twice since it accepted the flow.
	MinFlowAge = 2 * time.Second
	// longFlowAge is the age at which a flow with several requests shows that records
	// are of use.
	longFlowAge = 5 * time.Second
	// MaxFlows is the number of flows that one agent records: ten times what an agent
	// has today, and a quarter of a server's connections.
	MaxFlows = 512
	// maxChanges is the number of changes in one update: 48 of at most 20 bytes fit
	// into a datagram of 1,200 bytes.
	maxChanges = 48
	// resetWindow is the distance in bytes from its last acknowledgement at which a
	// caller still accepts a reset.
	resetWindow = 76_800
	// maxDrift is the distance from which an acknowledgement is sent again. The other
	// half of the window is left for the bytes until the update is stored.
	maxDrift = resetWindow / 2
	// answerTimeout is the time after which an update is repeated. It doubles with each
	// repetition up to maxAnswerTimeout, since a relay of an earlier build never answers.
	answerTimeout    = time.Second
	maxAnswerTimeout = 8 * time.Second
	// maxUnanswered is the number of updates without an answer after which another
	// relay is tried.
	maxUnanswered = 3
	// avoidTime is how long a relay that did not answer is left out if there is another.
	avoidTime = 30 * time.Second
	// maxServerID is the length in bytes of the longest id of a server that is recorded.
	maxServerID = 128
)

// Informer holds the state of one agent's decisions. Its exported fields are set before
// use. It is not safe for concurrent use.
type Informer struct {
	Agent gooseberrymast.Endpoint
	Mode  gooseberrymast.FlowRecordsMode

	started bool
	active  bool
	// stored is set if a relay or the store may hold records of the agent.
	stored          bool
	epoch, sequence uint64
	relay           gooseberrymast.Endpoint
	// avoid is a relay that did not answer, until avoidUntil.
	avoid      gooseberrymast.Endpoint
	avoidUntil time.Time
	// server and confirmed are the incarnation and the flows that the relay holds since
	// the update base; a base of zero means that it holds nothing.
	server    gooseberrymast.ServerIncarnation
	confirmed map[gooseberrymast.FlowKey]uint32
	base      uint64
	// outstanding is the update that was sent last, until it is answered.
	outstanding *gooseberrymast.FlowUpdate
	repeatAt    time.Time
	unanswered  int
	leftOut     int
}

// Snapshot is the state of an agent's server and its flows.
type Snapshot struct {
	// Server is the incarnation that announced itself last; zero while it is unknown.
	Server gooseberrymast.ServerIncarnation
	// Flows are those of non-idempotent routes that are at least MinFlowAge old.
	Flows []gooseberrymast.HeldFlow
}

// Start lets the agent inform its relay: the records of an earlier run are no longer
// needed. The epoch is above that of these records; stored is set if there may be some.
func (i *Informer) Start(epoch uint64, stored bool) {
	i.started = true
	i.epoch = max(i.epoch, epoch)
	i.stored = i.stored || stored
	i.active = i.active || stored && i.Mode == gooseberrymast.FlowRecordsAuto
}

// Active reports whether the agent records flows.
func (i *Informer) Active() bool {
	switch i.Mode {
	case gooseberrymast.FlowRecordsOn:
		return true
	case gooseberrymast.FlowRecordsAuto:
		return i.active
	}
	return false
}

// Recorded returns the number of flows that the relay holds.
func (i *Informer) Recorded() int {
	return len(i.confirmed)
}

// LeftOut returns the number of flows that the last update left out, since they were
// more than MaxFlows.
func (i *Informer) LeftOut() int {
	return i.leftOut
}

// Tick returns the update to send and its relay, or nil if there is nothing to send. It
// is called every TickInterval and after each answer. relays are the relays of the
// zone, in the order in which they are used.
func (i *Informer) Tick(snapshot Snapshot, relays []gooseberrymast.Endpoint, now time.Time) (*gooseberrymast.FlowUpdate, gooseberrymast.Endpoint) {
	i.active = i.active || slices.ContainsFunc(snapshot.Flows, func(flow gooseberrymast.HeldFlow) bool {
		return flow.Age >= longFlowAge && flow.Requests > 1
	})
	server := snapshot.Server
	if !i.started || !i.Active() || server.StartUnixMs == 0 || len(server.ID) > maxServerID {
		return nil, gooseberrymast.Endpoint{}
	}
	if i.outstanding != nil && !now.Before(i.repeatAt) {
		i.unanswered++
		if i.unanswered >= maxUnanswered {
			i.avoid, i.avoidUntil = i.relay, now.Add(avoidTime)
		}
	}
	i.choose(relays, now)
	if i.relay.IsZero() {
		return nil, gooseberrymast.Endpoint{}
	}
	if server != i.server {
		i.server = server
		i.restart()
	}
	if i.outstanding != nil {
		if now.Before(i.repeatAt) {
			return nil, gooseberrymast.Endpoint{}
		}
		i.repeatAt = now.Add(i.timeout())
		return i.outstanding, i.relay
	}
	update := i.changes(snapshot, now)
	if update == nil {
		return nil, gooseberrymast.Endpoint{}
	}
	i.outstanding, i.stored = update, true
	i.repeatAt = now.Add(i.timeout())
	return update, i.relay
}

func (i *Informer) timeout() time.Duration {
	return min(answerTimeout<<min(i.unanswered, 8), maxAnswerTimeout)
}

// choose selects the relay: the first one unless it did not answer.
func (i *Informer) choose(relays []gooseberrymast.Endpoint, now time.Time) {
	var chosen gooseberrymast.Endpoint
	for _, relay := range relays {
		if chosen.IsZero() || chosen == i.avoid && now.Before(i.avoidUntil) {
			chosen = relay
		}
	}
	if chosen != i.relay {
		i.relay, i.unanswered = chosen, 0
		i.restart()
	}
}

// restart makes the next update contain all flows.
func (i *Informer) restart() {
	i.confirmed, i.base, i.outstanding = nil, 0, nil
}

// changes returns the update that brings the relay up to date, or nil.
func (i *Informer) changes(snapshot Snapshot, now time.Time) *gooseberrymast.FlowUpdate {
	update := &gooseberrymast.FlowUpdate{
		AgentFlows: gooseberrymast.AgentFlows{
			Agent: i.Agent, Epoch: i.epoch, Sequence: i.sequence + 1, Server: i.server, ConfirmedUnixMs: now.UnixMilli(),
		},
		Base: i.base,
	}
	open := make(map[gooseberrymast.FlowKey]struct{}, len(snapshot.Flows))
	var added []gooseberrymast.HeldFlow
	kept := 0
	for _, flow := range snapshot.Flows {
		open[flow.Key] = struct{}{}
		sent, known := i.confirmed[flow.Key]
		switch drift := int32(flow.Acknowledgement - sent); {
		case !known:
			added = append(added, flow)
		case drift >= maxDrift || drift <= -maxDrift:
			update.Flows = append(update.Flows, gooseberrymast.FlowRecord{Key: flow.Key, Acknowledgement: flow.Acknowledgement})
			kept++
		default:
			kept++
		}
	}
	for key := range i.confirmed {
		if _, found := open[key]; !found {
			update.Closed = append(update.Closed, key)
		}
	}
	// The oldest flows are the likeliest to lie idle.
	slices.SortFunc(added, func(a, b gooseberrymast.HeldFlow) int {
		return cmp.Or(-cmp.Compare(a.Age, b.Age), a.Key.Caller.Compare(b.Key.Caller), a.Key.Service.Compare(b.Key.Service))
	})
	fitting := min(len(added), max(0, MaxFlows-kept))
	i.leftOut = len(added) - fitting
	for _, flow := range added[:fitting] {
		update.Flows = append(update.Flows, gooseberrymast.FlowRecord{Key: flow.Key, Acknowledgement: flow.Acknowledgement})
	}
	changed := len(update.Flows) + len(update.Closed)
	if changed == 0 && (i.base != 0 || !i.stored) {
		return nil
	}
	// Flows that have closed come first, since the records must not claim them.
	closed := min(len(update.Closed), maxChanges)
	update.Closed = update.Closed[:closed]
	update.Flows = update.Flows[:min(len(update.Flows), maxChanges-closed)]
	update.More = changed > len(update.Closed)+len(update.Flows)
	i.sequence++
	return update
}

// HandleAnswer processes a relay's answer. It reports whether the update was accepted and
// more are to follow at once.
func (i *Informer) HandleAnswer(answer gooseberrymast.FlowUpdateAnswer) (more bool) {
	if answer.Relay != i.relay {
		return false
	}
	if answer.Epoch > i.epoch {
		// The clock went back since an earlier run of the agent.
		i.epoch = answer.Epoch + 1
		i.restart()
		return false
	}
	if i.outstanding == nil || answer.Sequence != i.outstanding.Sequence || answer.Epoch != i.outstanding.Epoch {
		return false
	}
	i.unanswered = 0
	if answer.Resend {
		i.restart()
		return false
	}
	accepted := i.outstanding
	i.outstanding, i.base = nil, accepted.Sequence
	if i.confirmed == nil {
		i.confirmed = map[gooseberrymast.FlowKey]uint32{}
	}
	for _, key := range accepted.Closed {
		delete(i.confirmed, key)
	}
	for _, flow := range accepted.Flows {
		i.confirmed[flow.Key] = flow.Acknowledgement
	}
	return accepted.More
}
