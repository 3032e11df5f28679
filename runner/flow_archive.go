package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/archiver"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/protocol/messages/peer"
)

// flowArchive is the part of a balancer that writes its zone's flow records to the store.
type flowArchive struct {
	mu       sync.Mutex
	archiver archiver.Archiver
	// flows and bytes describe the object that was written last.
	flows, bytes int
	// failing is set while writes fail, and written once one has succeeded.
	failing, written bool
}

// setUpFlowArchive prepares for the records of agents unless they are off. It is called
// before messages are received.
func (b *Balancer) setUpFlowArchive() {
	if !b.recordsFlows() {
		return
	}
	b.archive.archiver.Self, b.archive.archiver.MaxAge = b.Settings.Peers, b.Settings.FlowMaxAge()
	b.onFlowUpdate = b.handleFlowUpdate
	b.countFlowRecords = func() recordedFlows {
		b.archive.mu.Lock()
		defer b.archive.mu.Unlock()
		return recordedFlows{flows: b.archive.flows, leftOut: b.archive.archiver.LeftOut(), bytes: b.archive.bytes}
	}
}

// startFlowArchive starts to write the records of agents unless they are off.
func (b *Balancer) startFlowArchive(ctx context.Context) (stop func()) {
	if !b.recordsFlows() {
		return func() {}
	}
	return b.Timer.Every(archiver.TickInterval, func(now time.Time) { b.storeFlowRecords(ctx, now) })
}

func (b *Balancer) handleFlowUpdate(message *peer.FlowRecords, now time.Time) {
	update, err := interpreter.ReadFlowUpdate(message)
	if err != nil {
		b.Log.Warn(gooseberrymast.EventMessageMalformed).Err(err).Msg("")
		return
	}
	b.archive.mu.Lock()
	answer, ok := b.archive.archiver.HandleUpdate(update, now)
	b.archive.mu.Unlock()
	b.metrics.countFlowUpdate("received")
	if ok {
		b.send(interpreter.FlowUpdateAnswer(answer), update.Agent)
	}
}

// storeFlowRecords writes the zone's flow records to the store when this is due. A relay
// that doesn't know the object's version reads it first.
func (b *Balancer) storeFlowRecords(ctx context.Context, now time.Time) {
	b.archive.mu.Lock()
	action := b.archive.archiver.Due(b.storeEra(), now)
	b.archive.mu.Unlock()
	if action == archiver.Read {
		if !b.loadFlowRecords(ctx) {
			return
		}
		b.archive.mu.Lock()
		action = b.archive.archiver.Due(b.storeEra(), now)
		b.archive.mu.Unlock()
	}
	if action == archiver.Write {
		b.writeFlowRecords(ctx)
	}
}

func (b *Balancer) loadFlowRecords(ctx context.Context) bool {
	var stored gooseberrymast.Object
	err := b.callStore(ctx, "read the flow records", func(ctx context.Context) (err error) {
		stored, err = b.Store.Get(ctx, flowRecordsKey(b.Settings.Zone))
		return err
	})
	now := b.Timer.Now()
	if err != nil && !errors.Is(err, gooseberrymast.ErrStoreNotFound) {
		b.archive.mu.Lock()
		b.archive.archiver.HandleFailedRead(now)
		b.archive.mu.Unlock()
		b.logFlowRecords(err, 0)
		return false
	}
	var records []gooseberrymast.AgentFlows
	if err == nil {
		records = b.decodeFlowRecords(stored)
	}
	b.archive.mu.Lock()
	b.archive.archiver.HandleRead(records, stored.Version, b.storeEra(), now)
	b.archive.mu.Unlock()
	return true
}

func (b *Balancer) writeFlowRecords(ctx context.Context) {
	b.archive.mu.Lock()
	records, version := b.archive.archiver.Contents()
	b.archive.mu.Unlock()
	value, err := interpreter.EncodeFlowRecords(records)
	if err != nil {
		b.Log.Error(gooseberrymast.EventEncodeFailed).Err(err).Msg("the flow records can't be encoded")
		return
	}
	written := version
	err = b.callStore(ctx, "write the flow records", func(ctx context.Context) (err error) {
		object := gooseberrymast.Object{Key: flowRecordsKey(b.Settings.Zone), Value: value}
		written, err = b.Store.Put(ctx, object, version)
		return err
	})
	flows := 0
	for _, agent := range records {
		flows += len(agent.Flows)
	}
	b.archive.mu.Lock()
	if err == nil {
		b.archive.archiver.HandleWritten(written)
		b.archive.flows, b.archive.bytes = flows, len(value)
	} else {
		// Only a store that was not reached, or refused the call, has the same version.
		b.archive.archiver.HandleFailedWrite(!errors.Is(err, gooseberrymast.ErrStoreUnavailable))
	}
	b.archive.mu.Unlock()
	b.logFlowRecords(err, flows)
	if err == nil {
		b.announceFlowRecords(ctx)
	}
}

// announceFlowRecords lets the balancer's own entry say that there are flow records.
// Agents that start read them only then.
func (b *Balancer) announceFlowRecords(ctx context.Context) {
	if b.hasFlowRecords.Load() && b.entryNamesFlowRecords || !b.registered.Load() {
		return
	}
	b.hasFlowRecords.Store(true)
	if err := b.callStore(ctx, "update the entry", b.updateEntry); err != nil {
		b.Log.Warn(gooseberrymast.EventEntryNotUpdated).Err(err).Msg("")
		return
	}
	b.entryNamesFlowRecords = true
}

// logFlowRecords logs the first write, and each change between success and failure.
func (b *Balancer) logFlowRecords(err error, flows int) {
	b.archive.mu.Lock()
	failed := err != nil
	changed := failed != b.archive.failing || !failed && !b.archive.written
	b.archive.failing = failed
	b.archive.written = b.archive.written || !failed
	bytes := b.archive.bytes
	b.archive.mu.Unlock()
	switch {
	case !changed:
	case failed:
		b.Log.Warn(gooseberrymast.EventFlowRecordsNotWritten).Err(err).Msg("")
	default:
		b.Log.Info(gooseberrymast.EventFlowRecordsWritten).Int("flows", flows).Int("bytes", bytes).Msg("")
	}
}
