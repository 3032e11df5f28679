package runner

import (
	"context"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/verifier"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/state/roster"
)

// eraCheckInterval is the time between two checks whether the process's entry must be
// verified because the store was restored.
const eraCheckInterval = 100 * time.Millisecond

// handleEra processes the era of the store that the store itself or a peer has named.
func (m *member) handleEra(era uint64, source string) {
	m.mu.Lock()
	previous := m.verifier.Era()
	m.mu.Unlock()
	if era <= previous {
		return
	}
	instances := m.countInstances()
	m.mu.Lock()
	restored := m.verifier.HandleEra(era, instances, m.Timer.Now())
	m.mu.Unlock()
	if restored {
		m.Log.Warn(gooseberrymast.EventStoreRestored).Uint64("era", era).Uint64("previous", previous).Str("source", source).Msg("")
	}
}

// countInstances returns the number of instances that the process knows of, itself
// included.
func (m *member) countInstances() int {
	count := 1
	m.roster.Each(func(roster.Entry) { count++ })
	return count
}

// eraState is what a process knows of the store's latest era.
type eraState struct {
	era uint64
	// settled is set if every running instance has had the time to verify its entry.
	settled bool
}

func (m *member) eraState() eraState {
	instances := m.countInstances()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.registered.Load() {
		// Before it has read the list, the process doesn't know how many instances
		// there are.
		return eraState{era: m.verifier.Era(), settled: m.verifier.SettledEra() >= m.verifier.Era()}
	}
	return eraState{era: m.verifier.Era(), settled: m.verifier.Settled(instances, m.Timer.Now())}
}

// handleList processes a list of all entries, one of which says that an era has
// settled. It returns the present era, and whether the list is sure to have the
// entries of all running instances: the era had settled when it was read.
func (m *member) handleList(before eraState, settled uint64) (era uint64, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.verifier.HandleSettled(settled)
	era = m.verifier.Era()
	return era, settled >= era || before.settled && before.era == era
}

// predecessor is what the store says of an earlier agent of the instance.
type predecessor struct {
	// found is set if an earlier agent has left an entry; served is what that names.
	found  bool
	served interpreter.Served
	// proven is set if the store has lost neither a later version of the entry nor, if
	// none was found, the entry.
	proven bool
	// server is the incarnation of the server that the entry names, whatever its service.
	server string
	// flowRecords is set if a balancer of the zone has written flow records.
	flowRecords bool
}

// documentStatus returns the update for the peers about the store. The caller must
// hold mu.
func (m *member) documentStatus(now time.Time) gooseberrymast.DocumentStatus {
	status := m.confirmer.Status(now)
	status.StoreEra, status.SettledEra = m.verifier.Era(), m.verifier.SettledEra()
	return status
}

// verifyAfterRestore verifies the process's entry if the store was restored since it
// was last written.
func (m *member) verifyAfterRestore(ctx context.Context) {
	m.mu.Lock()
	due, era := m.verifier.Due(m.Timer.Now()), m.verifier.Era()
	m.mu.Unlock()
	if !due || !m.registered.Load() {
		return
	}
	err := m.verifyEntry(ctx)
	m.mu.Lock()
	m.verifier.HandleVerified(era, err != nil, m.Timer.Now())
	m.mu.Unlock()
}

// handleSettledEra makes use of a settled era. Lists that were read before are no proof
// of which instances exist, so the balancer reads one if it has none else. A balancer
// of each zone records the era as settled, so that processes which start after the
// loss of all others needn't wait.
func (b *Balancer) handleSettledEra(ctx context.Context, now time.Time) {
	if now.Before(b.settledRetryAt) || !b.registered.Load() || !b.eraState().settled {
		return
	}
	if !b.roster.IsComplete() {
		err := b.callStore(ctx, "load the peers", func(ctx context.Context) error {
			_, err := b.loadPeers(ctx, false)
			return err
		})
		if err != nil {
			b.Log.Warn(gooseberrymast.EventPeersNotLoaded).Err(err).Msg("")
			b.settledRetryAt = now.Add(verifier.RetryAfter)
			return
		}
		if !b.roster.IsComplete() {
			b.settledRetryAt = now.Add(verifier.RetryAfter)
		}
		b.Log.Info(gooseberrymast.EventPeersLoaded).Int("peers", b.countInstances()-1).Bool("complete", b.roster.IsComplete()).Msg("")
	}
	b.mu.Lock()
	settled := b.verifier.SettledEra()
	b.mu.Unlock()
	if settled == b.recordedEra || b.rank(now) > 0 {
		return
	}
	if err := b.callStore(ctx, "update the entry", b.updateEntry); err != nil {
		b.Log.Warn(gooseberrymast.EventEntryNotUpdated).Err(err).Msg("")
		b.settledRetryAt = now.Add(verifier.RetryAfter)
		return
	}
	b.recordedEra = settled
}

// settledEra returns what the balancer's entry in the store should say.
func (b *Balancer) settledEra() interpreter.Served {
	b.mu.Lock()
	defer b.mu.Unlock()
	return interpreter.Served{SettledEra: b.verifier.SettledEra(), FlowRecords: b.recordsFlows() && b.hasFlowRecords.Load()}
}
