package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"strings"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/state/roster"
)

const (
	// registerBackoff is the delay between the first two attempts to register.
	registerBackoff = 100 * time.Millisecond
	// maxRegisterBackoff bounds the delay, which doubles with each attempt.
	// Entries must be back about 2 s after the store becomes available again.
	maxRegisterBackoff = 800 * time.Millisecond
)

// register writes the process's entry to the store and loads the entries of
// its peers. It retries until both succeed.
func (m *member) register(ctx context.Context) {
	if m.awaitServer != nil {
		m.awaitServer(ctx)
	}
	introduce := m.hidden.Load()
	backoff := registerBackoff
	for ctx.Err() == nil {
		err := m.callStore(ctx, "register", m.registerOnce)
		if err == nil {
			m.registered.Store(true)
			if introduce && m.onReveal != nil {
				// Its peers learn of it only now that it has read the list.
				m.onReveal(m.Timer.Now())
			}
			m.Log.Info(gooseberrymast.EventRegistered).Int("peers", len(m.roster.Entries(nil))).
				Bool("complete", m.roster.IsComplete()).Uint64("store-era", m.storeEra()).Msg("")
			m.triggerReport()
			if m.onEntry != nil {
				m.Timer.After(lateCallTime, func(time.Time) {
					if ctx.Err() == nil {
						_ = m.verifyEntry(ctx)
					}
				})
			}
			return
		}
		m.Log.Warn(gooseberrymast.EventRegisterFailed).Err(err).Msg("")
		sleep(ctx, m.Timer, backoff)
		backoff = min(2*backoff, maxRegisterBackoff)
	}
}

// registerOnce writes the process's entry and then reads the entries of all
// others. With this order, when two instances start at the same time, the one
// that reads last finds the other and reports to it. If an entry of an earlier process is
// in its place, the process is found by that one, and replaces it after it has read the
// others. One that can't be decoded hides the process, so that they are read again.
func (m *member) registerOnce(ctx context.Context) error {
	value, err := m.encodeEntry()
	if err != nil {
		return err
	}
	m.mu.Lock()
	entry := m.entry
	m.mu.Unlock()
	known := entry.Key != ""
	if !known {
		entry = gooseberrymast.Object{Key: entryKey(m.Settings.Peers), Value: value}
		entry.Version, err = m.Store.Put(ctx, entry, 0)
		m.setOwnVersion(entry.Version, err)
	}
	created := !known && err == nil
	// On a conflict the entry of an earlier process or attempt is there; updateEntry
	// replaces it.
	if err != nil && !errors.Is(err, gooseberrymast.ErrStoreConflict) {
		return err
	}
	m.reveal()
	found, err := m.loadPeers(ctx, created)
	if err != nil {
		return err
	}
	switch {
	case found.own.Key != "":
		entry = canonicalEntry(found.own)
	case known:
		// It was removed after it was read; the next attempt writes it anew.
		m.mu.Lock()
		m.entry = gooseberrymast.Object{}
		m.mu.Unlock()
		return fmt.Errorf("register %s: the entry was removed meanwhile: %w", entry.Key, gooseberrymast.ErrStoreConflict)
	}
	m.setEntry(entry)
	if err := m.updateEntry(ctx); err != nil || created || found.readable {
		return err
	}
	found, err = m.readEntries(ctx)
	if err == nil && found.complete {
		m.roster.MarkComplete()
	}
	return err
}

// setOwnVersion records the outcome of a write of the entry.
func (m *member) setOwnVersion(version uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.ownVersion = version
	case errors.Is(err, gooseberrymast.ErrStoreUnknown):
		m.ownVersion = 0
	}
}

// setEntry records the process's entry as it was read from the store or written to it.
func (m *member) setEntry(entry gooseberrymast.Object) {
	m.mu.Lock()
	m.entry = entry
	m.mu.Unlock()
	if m.onEntry != nil {
		m.onEntry(entry)
	}
}

// reveal lets peers know a process that was hidden.
func (m *member) reveal() {
	if !m.hidden.Load() {
		return
	}
	now := m.Timer.Now()
	if m.onReveal != nil {
		m.onReveal(now)
	}
	// Its zone's balancers couldn't report to it before.
	m.relayerMu.Lock()
	m.relayer.Started = now
	m.relayerMu.Unlock()
	m.hidden.Store(false)
}

// entryList is what a list of all entries says.
type entryList struct {
	// own is the process's own entry, and ownServed what it says; readable is set if it
	// could be decoded, and then it is of an instance of ownService.
	own        gooseberrymast.Object
	ownServed  interpreter.Served
	ownService string
	readable   bool
	// flowRecords is set if a balancer of the own zone has written flow records.
	flowRecords bool
	// era is the store's, and complete is set if the list is sure to have the entries of
	// all running instances.
	era      uint64
	complete bool
}

// readEntries reads the entries of all instances into the roster. An entry that can't be
// decoded costs nothing that stands beside it.
func (m *member) readEntries(ctx context.Context) (found entryList, err error) {
	before := m.eraState()
	objects, err := m.Store.List(ctx, peersPrefix)
	if err != nil && objects == nil {
		return found, err
	}
	whole := !errors.Is(err, gooseberrymast.ErrStoreListCut)
	if err != nil {
		m.Log.Warn(gooseberrymast.EventStoreUnreadable).Bool("list-cut", !whole).Err(err).Msg("")
	}
	m.handleEra(m.storeEra(), "store")
	self := m.ownPeer()
	now := m.Timer.Now()
	var settled uint64
	var stored []roster.Stored
	for _, object := range objects {
		decoded := m.decodeEntry(object)
		entry, served := decoded.stored, decoded.served
		settled = max(settled, served.SettledEra)
		found.flowRecords = found.flowRecords || served.FlowRecords && entry.Zone == self.Zone
		switch {
		case object.Key == entryKey(self.Endpoint):
			found.own, found.ownServed, found.ownService, found.readable = object, served, entry.Service, !entry.Unreadable
		case !entry.Endpoint.IsZero():
			stored = append(stored, entry)
		}
	}
	m.forgetEntries(objects)
	m.roster.HandleStored(stored, now)
	found.era, found.complete = m.handleList(before, settled)
	found.complete = found.complete && whole
	if found.ownServed.FlowRecords {
		m.hasFlowRecords.Store(true)
	}
	return found, nil
}

// decodedEntry is an instance's entry.
type decodedEntry struct {
	stored roster.Stored
	served interpreter.Served
}

// decodeEntry decodes an instance's entry, unless this version of it was decoded before: a
// small instance would need a tenth of a second for those of a hundred others.
func (m *member) decodeEntry(object gooseberrymast.Object) decodedEntry {
	m.mu.Lock()
	decoded, known := m.decodedEntries[object.Key]
	m.mu.Unlock()
	if known && decoded.stored.Version == object.Version && object.Version != 0 {
		return decoded
	}
	peer, served, err := interpreter.DecodeRecord(object.Value)
	if err == nil && entryKey(peer.Endpoint) != object.Key {
		err = fmt.Errorf("the entry names %s: %w", peer.Endpoint, interpreter.ErrMalformed)
	}
	if err == nil {
		stored := roster.Stored{Peer: peer, Incarnation: served.Incarnation, Served: served.Addresses, Version: object.Version}
		decoded = decodedEntry{stored: stored, served: served}
	} else {
		m.Log.Warn(gooseberrymast.EventStoreUnreadable).Str("key", object.Key).Err(err).Msg("")
		decoded = decodedEntry{stored: unreadableEntry(object, m.Settings.Peers.Port)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.decodedEntries == nil {
		m.decodedEntries = map[string]decodedEntry{}
	}
	m.decodedEntries[object.Key] = decoded
	return decoded
}

// unreadableEntry returns what the key of an entry says that can't be decoded: the
// instance's address, or nothing if the key is none of an instance.
func unreadableEntry(object gooseberrymast.Object, peersPort uint16) roster.Stored {
	stored := roster.Stored{Version: object.Version, Unreadable: true}
	if at, err := netip.ParseAddr(strings.TrimPrefix(object.Key, peersPrefix)); err == nil && at.Is4() {
		stored.Endpoint = gooseberrymast.Endpoint{IP: at.As4(), Port: peersPort}
	}
	return stored
}

// forgetEntries forgets the decoded entries that a list of all no longer has.
func (m *member) forgetEntries(objects []gooseberrymast.Object) {
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Key] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.decodedEntries, func(key string, _ decodedEntry) bool { return !listed[key] })
}

// loadPeers reads the entries of all instances into the roster, restores what an earlier
// agent of this instance and service stored, and returns the list. created is set if the
// process has just created its own entry.
func (m *member) loadPeers(ctx context.Context, created bool) (found entryList, err error) {
	found, err = m.readEntries(ctx)
	if err != nil {
		return found, err
	}
	if found.complete {
		m.roster.MarkComplete()
	}
	var served interpreter.Served
	if found.readable && found.ownService == m.ownPeer().Service {
		served = found.ownServed
	}
	switch {
	case m.restore == nil:
	case created:
		m.restore(predecessor{proven: found.complete})
	case found.own.Key != "":
		m.restore(predecessor{
			found: true, served: served, proven: found.readable && (found.era == 0 || found.ownServed.VerifiedEra == found.era),
			server: found.ownServed.Server, flowRecords: found.flowRecords,
		})
	}
	return found, nil
}

// updateEntry writes the process's entry if it differs from the stored one.
func (m *member) updateEntry(ctx context.Context) error {
	value, err := m.encodeEntry()
	if err != nil {
		return err
	}
	m.mu.Lock()
	entry, own := m.entry, m.ownVersion
	m.mu.Unlock()
	// An agent writes an entry that it hasn't written itself again, though it says the
	// same: a late call of an earlier process, or of this one, must not match its version.
	if bytes.Equal(value, entry.Value) && (m.onEntry == nil || entry.Version == own) {
		return nil
	}
	entry.Value = value
	entry.Version, err = m.Store.Put(ctx, entry, entry.Version)
	m.setOwnVersion(entry.Version, err)
	switch {
	case errors.Is(err, gooseberrymast.ErrStoreNotFound):
		return m.handleLostEntry(err)
	case errors.Is(err, gooseberrymast.ErrStoreConflict), errors.Is(err, gooseberrymast.ErrStoreUnknown):
		// An earlier write took effect although its response was lost. No other
		// process writes this entry, so the next attempt continues from the stored
		// version.
		latest, readErr := m.Store.Get(ctx, entry.Key)
		if errors.Is(readErr, gooseberrymast.ErrStoreNotFound) {
			return m.handleLostEntry(err)
		}
		if readErr != nil {
			return errors.Join(err, readErr)
		}
		m.setEntry(canonicalEntry(latest))
		return err
	}
	if err != nil {
		return err
	}
	m.setEntry(entry)
	return nil
}

// handleLostEntry records that the process's entry is no longer in the store, so that
// the next attempt creates it, and returns the error of the attempt that found this.
func (m *member) handleLostEntry(err error) error {
	m.mu.Lock()
	m.entry = gooseberrymast.Object{Key: entryKey(m.Settings.Peers)}
	m.mu.Unlock()
	m.Log.Warn(gooseberrymast.EventEntryLost).Msg("")
	return err
}

// removeEntry removes the process's entry. A call without a response may be executed
// seconds later, when the address is another process's, so that it names the version.
func (m *member) removeEntry(ctx context.Context) error {
	// It isn't written again from now on.
	m.registered.Store(false)
	m.mu.Lock()
	version := m.ownVersion
	m.mu.Unlock()
	key := entryKey(m.Settings.Peers)
	err := gooseberrymast.ErrStoreConflict
	if version != 0 {
		err = m.Store.Delete(ctx, key, version)
	}
	if errors.Is(err, gooseberrymast.ErrStoreConflict) {
		// An earlier process, or a write without a response, has written it.
		found, readErr := m.Store.Get(ctx, key)
		if errors.Is(readErr, gooseberrymast.ErrStoreNotFound) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		err = m.Store.Delete(ctx, key, found.Version)
	}
	return err
}

// lateCallTime is the time in which a call of an earlier process of the instance takes
// effect, if ever: up to 6 s after it got no response. Earlier builds remove entries
// whatever their version.
const lateCallTime = 8 * time.Second

// verifyInterval is the time between two checks that the process's entry is
// still in the store. At the required fleet size this causes 310 reads per
// second; the store handles 2,000.
const verifyInterval = 10 * time.Minute

// verifyEntry reads the process's entry from the store and writes it again if
// it was removed or changed.
func (m *member) verifyEntry(ctx context.Context) error {
	if !m.registered.Load() {
		return nil
	}
	err := m.callStore(ctx, "verify the entry", func(ctx context.Context) error {
		found, err := m.Store.Get(ctx, entryKey(m.Settings.Peers))
		switch {
		case errors.Is(err, gooseberrymast.ErrStoreNotFound):
			found = gooseberrymast.Object{Key: entryKey(m.Settings.Peers)}
			m.Log.Warn(gooseberrymast.EventEntryLost).Msg("")
		case err != nil:
			return err
		default:
			found = canonicalEntry(found)
		}
		m.setEntry(found)
		return m.updateEntry(ctx)
	})
	if err != nil {
		m.Log.Warn(gooseberrymast.EventEntryNotUpdated).Err(err).Msg("")
	}
	return err
}

// removeInterval is the time between two removals by one balancer, so that the
// loss of many instances doesn't overload the store.
const removeInterval = 50 * time.Millisecond

// removeStaleEntries removes the entries of dropped instances that were in the
// store when the balancer started and have sent no report since. An entry that
// has been rewritten in the meantime stays; an instance that is running after
// all writes its entry again.
func (b *Balancer) removeStaleEntries(ctx context.Context, dropped []roster.Entry) {
	for _, entry := range dropped {
		if entry.StoreVersion == 0 || !entry.ReportedAt.IsZero() || ctx.Err() != nil {
			continue
		}
		err := b.callStore(ctx, "remove an old entry", func(ctx context.Context) error {
			return b.Store.Delete(ctx, entryKey(entry.Endpoint), entry.StoreVersion)
		})
		switch {
		case errors.Is(err, gooseberrymast.ErrStoreNotFound), errors.Is(err, gooseberrymast.ErrStoreConflict):
			// Another balancer removed it first, or the instance has come back.
		case err != nil:
			b.Log.Warn(gooseberrymast.EventEntryNotRemoved).Stringer("peer", entry.Endpoint.AddrPort()).Err(err).Msg("")
		default:
			b.Log.Info(gooseberrymast.EventEntryRemoved).Stringer("peer", entry.Endpoint.AddrPort()).Msg("")
		}
		sleep(ctx, b.Timer, removeInterval)
	}
}

// canonicalEntry returns the entry with its value encoded as this process would
// encode it, since the store may return the same value in another form.
func canonicalEntry(entry gooseberrymast.Object) gooseberrymast.Object {
	peer, served, err := interpreter.DecodeRecord(entry.Value)
	if err == nil {
		entry.Value, err = interpreter.EncodeRecord(peer, served)
	}
	if err != nil {
		// An unreadable value is overwritten by the next update.
		entry.Value = nil
	}
	return entry
}

func (m *member) encodeEntry() ([]byte, error) {
	self := m.ownPeer()
	var served interpreter.Served
	if m.served != nil {
		served = m.served()
	}
	return interpreter.EncodeRecord(self, served)
}

func entryKey(endpoint gooseberrymast.Endpoint) string {
	return peersPrefix + endpoint.AddrPort().Addr().String()
}

// sleep waits for a delay or until the context ends.
func sleep(ctx context.Context, timer gooseberrymast.Timer, delay time.Duration) {
	done := make(chan struct{})
	cancel := timer.After(delay, func(time.Time) { close(done) })
	select {
	case <-done:
	case <-ctx.Done():
		cancel()
	}
}
