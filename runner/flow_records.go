package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/informer"
	"gooseberrymast/coordination/resetter"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/protocol/messages/peer"
)

// flowRecordsPrefix is the key prefix of the availability zones' flow records in the
// store.
const flowRecordsPrefix = "flow-records/"

func flowRecordsKey(zone string) string {
	return flowRecordsPrefix + zone
}

// recordsFlows reports whether the settings allow flow records.
func (m *member) recordsFlows() bool {
	return m.FlowRecords == gooseberrymast.FlowRecordsOn || m.FlowRecords == gooseberrymast.FlowRecordsAuto
}

// recordedFlows is the size of a process's flow records.
type recordedFlows struct {
	flows, leftOut, bytes int
}

// flowRecords is the part of an agent that records its flows, and sends resets to the
// callers of those that an earlier agent recorded.
type flowRecords struct {
	mu       sync.Mutex
	informer informer.Informer
	resetter resetter.Resetter
	// active is what was last logged of the informer.
	active bool
}

// setUpFlowRecords prepares the recording of flows unless it is off. It is called before
// messages are received.
func (a *Agent) setUpFlowRecords() {
	if !a.recordsFlows() {
		return
	}
	a.records.informer.Agent, a.records.informer.Mode = a.Settings.Peers, a.FlowRecords
	a.records.resetter.MaxAge = a.Settings.FlowMaxAge()
	a.onFlowUpdateAnswer = a.handleFlowUpdateAnswer
	a.countFlowRecords = func() recordedFlows {
		a.records.mu.Lock()
		defer a.records.mu.Unlock()
		return recordedFlows{flows: a.records.informer.Recorded(), leftOut: a.records.informer.LeftOut()}
	}
}

// startFlowRecords starts the recording of flows unless it is off.
func (a *Agent) startFlowRecords(ctx context.Context) (stop func()) {
	if !a.recordsFlows() {
		return func() {}
	}
	stopUpdates := a.Timer.Every(informer.TickInterval, a.sendFlowUpdate)
	stopResets := a.Timer.Every(resetter.TickInterval, func(now time.Time) { a.resetRecorded(ctx, now) })
	return func() { stopUpdates(); stopResets() }
}

// serverIncarnationOf returns the incarnation of the server that sent an announcement.
func serverIncarnationOf(announcement gooseberrymast.Announcement) gooseberrymast.ServerIncarnation {
	return gooseberrymast.ServerIncarnation{
		Address: announcement.Address, ID: announcement.ID, StartUnixMs: announcement.StartUnixMs,
	}
}

// flowSnapshot returns the flows to record. They are read under the tracker's lock, so
// that no announcement comes between them and the server's incarnation.
func (a *Agent) flowSnapshot(now time.Time) informer.Snapshot {
	routes := a.currentRoutes()
	a.trackerMu.Lock()
	defer a.trackerMu.Unlock()
	if a.tracker.Incarnation() == "" {
		return informer.Snapshot{}
	}
	last, _ := a.tracker.Last()
	return informer.Snapshot{
		Server: serverIncarnationOf(last), Flows: a.deliverer.LongFlows(routes, informer.MinFlowAge, now),
	}
}

// sendFlowUpdate sends the relay of the zone what has changed of the flows.
func (a *Agent) sendFlowUpdate(now time.Time) {
	snapshot := a.flowSnapshot(now)
	a.relayerMu.Lock()
	relays := a.relayer.Relays(a.relayEntries(), now)
	a.relayerMu.Unlock()
	a.records.mu.Lock()
	if epoch, settled := a.records.resetter.Settled(now); settled {
		a.records.informer.Start(max(a.ownPeer().Incarnation, epoch+1), a.records.resetter.Recorded())
	}
	update, relay := a.records.informer.Tick(snapshot, relays, now)
	active := a.records.informer.Active()
	changed := active != a.records.active
	a.records.active = active
	a.records.mu.Unlock()
	if changed {
		a.Log.Info(gooseberrymast.EventFlowRecordsActive).Str("mode", string(a.FlowRecords)).Int("flows", len(snapshot.Flows)).Msg("")
	}
	if update != nil {
		a.metrics.countFlowUpdate("sent")
		a.send(interpreter.FlowUpdate(*update), relay)
	}
}

func (a *Agent) handleFlowUpdateAnswer(message *peer.FlowRecordsAnswer, now time.Time) {
	answer := interpreter.ReadFlowUpdateAnswer(message)
	a.records.mu.Lock()
	more := a.records.informer.HandleAnswer(answer)
	a.records.mu.Unlock()
	if answer.Resend {
		a.metrics.countFlowUpdate("resend")
	}
	if more {
		a.sendFlowUpdate(now)
	}
}

// handleServerIncarnation processes the incarnation that the server has announced.
func (a *Agent) handleServerIncarnation(announcement gooseberrymast.Announcement, now time.Time) {
	name := a.serverIncarnation()
	a.records.mu.Lock()
	defer a.records.mu.Unlock()
	a.records.resetter.HandleServer(serverIncarnationOf(announcement), name, now)
}

// resetRecorded reads the zone's records once if the server is another incarnation than
// the one before the agent's start, and resets the flows that it has lost.
func (a *Agent) resetRecorded(ctx context.Context, now time.Time) {
	a.records.mu.Lock()
	due := a.records.resetter.Due(now)
	a.records.mu.Unlock()
	if due {
		a.readFlowRecords(ctx)
	}
	routes := a.currentRoutes()
	a.records.mu.Lock()
	lost := a.records.resetter.Next(routes, a.deliverer.Holds, now)
	a.records.mu.Unlock()
	a.resetLost("recorded-flow-lost", lost)
}

func (a *Agent) readFlowRecords(ctx context.Context) {
	var stored gooseberrymast.Object
	err := a.callStore(ctx, "read the flow records", func(ctx context.Context) (err error) {
		stored, err = a.Store.Get(ctx, flowRecordsKey(a.Settings.Zone))
		return err
	})
	now := a.Timer.Now()
	absent := errors.Is(err, gooseberrymast.ErrStoreNotFound)
	if err != nil && !absent {
		a.records.mu.Lock()
		a.records.resetter.HandleFailedRead(now)
		a.records.mu.Unlock()
		a.Log.Warn(gooseberrymast.EventFlowRecordsNotRead).Err(err).Msg("")
		return
	}
	var own gooseberrymast.AgentFlows
	if !absent {
		for _, records := range a.decodeFlowRecords(stored) {
			if records.Agent == a.Settings.Peers {
				own = records
			}
		}
	}
	a.records.mu.Lock()
	a.records.resetter.HandleRead(own)
	a.records.mu.Unlock()
	a.Log.Info(gooseberrymast.EventFlowRecordsRead).Str("server", a.serverIncarnation()).
		Str("recorded-server", own.Server.ID).Int64("recorded-born", own.Server.StartUnixMs).
		Int64("age-ms", now.UnixMilli()-own.ConfirmedUnixMs).Int("flows", len(own.Flows)).Msg("")
}

// decodeFlowRecords decodes the records of the zone and logs what is unreadable.
func (m *member) decodeFlowRecords(stored gooseberrymast.Object) []gooseberrymast.AgentFlows {
	records, err := interpreter.DecodeFlowRecords(stored.Value)
	if err != nil {
		m.Log.Warn(gooseberrymast.EventStoreUnreadable).Str("key", stored.Key).Err(err).Msg("")
	}
	return records
}
