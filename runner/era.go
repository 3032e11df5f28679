package runner

import (
	"context"
	"time"

	"gooseberrymast"
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
