package runner

import (
	"bytes"
	"context"
	"errors"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/state/roster"
)

const (
	// registerPause is the first pause between two tries to register.
	registerPause = 100 * time.Millisecond
	// maxRegisterPause bounds the pause, which doubles with each try: entries
	// are to be back about 2 s after the store's return.
	maxRegisterPause = 800 * time.Millisecond
)

// register makes the process known in the store and reads which peers are, and
// tries again until both are done.
func (m *member) register(ctx context.Context) {
	pause := registerPause
	for ctx.Err() == nil {
		err := m.callStore(ctx, "register", m.registerOnce)
		if err == nil {
			m.registered.Store(true)
			m.roster.Complete()
			m.Log.Info(gooseberrymast.EventRegistered).Int("peers", len(m.roster.Entries(nil))).Msg("")
			m.notify()
			return
		}
		m.Log.Warn(gooseberrymast.EventRegisterFailed).Err(err).Msg("")
		sleep(ctx, m.Timer, pause)
		pause = min(2*pause, maxRegisterPause)
	}
}

// registerOnce writes the process's entry and then reads those of all others.
// In this order, of two instances that start at once the later reader sees the
// other, and makes itself known to it.
func (m *member) registerOnce(ctx context.Context) error {
	value, err := m.encodeEntry()
	if err != nil {
		return err
	}
	entry := gooseberrymast.Object{Key: recordKey(m.Settings.Peers), Value: value}
	entry.Version, err = m.Store.Put(ctx, entry, 0)
	if err != nil && !errors.Is(err, gooseberrymast.ErrStoreConflict) {
		return err
	}
	found, err := m.listPeers(ctx)
	if err != nil {
		return err
	}
	if found.Key != "" {
		entry = canonical(found)
	}
	m.mu.Lock()
	m.entry = entry
	m.mu.Unlock()
	return m.updateEntry(ctx)
}

// listPeers reads the entries of all instances and gives the process's own.
func (m *member) listPeers(ctx context.Context) (own gooseberrymast.Object, err error) {
	objects, err := m.Store.List(ctx, peersPrefix)
	if err != nil && objects == nil {
		return own, err
	}
	if err != nil {
		m.Log.Warn(gooseberrymast.EventStoreUnreadable).Err(err).Msg("")
	}
	self := m.own()
	now := m.Timer.Now()
	var served interpreter.Served
	for _, object := range objects {
		each, eachServed, err := interpreter.DecodeRecord(object.Value)
		if err != nil {
			m.Log.Warn(gooseberrymast.EventStoreUnreadable).Str("key", object.Key).Err(err).Msg("")
		}
		switch {
		case object.Key == recordKey(self.Endpoint):
			own = object
			if err == nil && each.Service == self.Service {
				served = eachServed
			}
		case err == nil:
			m.roster.Merge([]gooseberrymast.Peer{each}, now)
			m.roster.SetStored(each.Endpoint, eachServed.Addresses, object.Version)
		}
	}
	if m.restore != nil {
		m.restore(served)
	}
	return own, nil
}

// updateEntry writes the process's entry if it is not as the store has it.
func (m *member) updateEntry(ctx context.Context) error {
	value, err := m.encodeEntry()
	if err != nil {
		return err
	}
	m.mu.Lock()
	entry := m.entry
	m.mu.Unlock()
	if bytes.Equal(value, entry.Value) {
		return nil
	}
	entry.Value = value
	entry.Version, err = m.Store.Put(ctx, entry, entry.Version)
	if errors.Is(err, gooseberrymast.ErrStoreConflict) || errors.Is(err, gooseberrymast.ErrStoreUnknown) {
		// An earlier write took effect although its answer was lost. Nobody
		// else writes this entry, so the next try goes on from what is there.
		latest, readErr := m.Store.Get(ctx, entry.Key)
		if readErr != nil {
			return errors.Join(err, readErr)
		}
		m.mu.Lock()
		m.entry = canonical(latest)
		m.mu.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.entry = entry
	m.mu.Unlock()
	return nil
}

// verifyInterval is the time between two looks whether the process's entry is
// still in the store: at the size of the letter these are 310 reads a second of
// the store's 2,000.
const verifyInterval = 10 * time.Minute

// verifyEntry reads the process's entry in the store and writes it again if
// somebody removed or changed it.
func (m *member) verifyEntry(ctx context.Context) {
	if !m.registered.Load() {
		return
	}
	err := m.callStore(ctx, "verify the entry", func(ctx context.Context) error {
		found, err := m.Store.Get(ctx, recordKey(m.Settings.Peers))
		switch {
		case errors.Is(err, gooseberrymast.ErrStoreNotFound):
			found = gooseberrymast.Object{Key: recordKey(m.Settings.Peers)}
			m.Log.Warn(gooseberrymast.EventEntryLost).Msg("")
		case err != nil:
			return err
		default:
			found = canonical(found)
		}
		m.mu.Lock()
		m.entry = found
		m.mu.Unlock()
		return m.updateEntry(ctx)
	})
	if err != nil {
		m.Log.Warn(gooseberrymast.EventEntryNotUpdated).Err(err).Msg("")
	}
}

// removePause is the time between two entries that one balancer removes, so
// that the loss of many instances doesn't load the store.
const removePause = 50 * time.Millisecond

// removeEntries removes the entries of instances that were in the store when
// the balancer started and were not heard of since. An entry that was written
// meanwhile stays, and an instance that is alive after all writes its own again.
func (b *Balancer) removeEntries(ctx context.Context, dropped []roster.Entry) {
	for _, entry := range dropped {
		if entry.Stored == 0 || !entry.Heard.IsZero() || ctx.Err() != nil {
			continue
		}
		err := b.callStore(ctx, "remove an old entry", func(ctx context.Context) error {
			return b.Store.Delete(ctx, recordKey(entry.Endpoint), entry.Stored)
		})
		switch {
		case errors.Is(err, gooseberrymast.ErrStoreNotFound), errors.Is(err, gooseberrymast.ErrStoreConflict):
			// Another balancer was first, or the instance is back.
		case err != nil:
			b.Log.Warn(gooseberrymast.EventEntryNotRemoved).Stringer("peer", entry.Endpoint.AddrPort()).Err(err).Msg("")
		default:
			b.Log.Info(gooseberrymast.EventEntryRemoved).Stringer("peer", entry.Endpoint.AddrPort()).Msg("")
		}
		sleep(ctx, b.Timer, removePause)
	}
}

// canonical gives an entry with its value as this process would write it,
// since the store may write the same value in another way.
func canonical(entry gooseberrymast.Object) gooseberrymast.Object {
	peer, served, err := interpreter.DecodeRecord(entry.Value)
	if err == nil {
		entry.Value, err = interpreter.EncodeRecord(peer, served)
	}
	if err != nil {
		// What can't be read is replaced.
		entry.Value = nil
	}
	return entry
}

func (m *member) encodeEntry() ([]byte, error) {
	self := m.own()
	var served interpreter.Served
	if m.served != nil {
		served = m.served()
	}
	return interpreter.EncodeRecord(self, served)
}

func recordKey(endpoint gooseberrymast.Endpoint) string {
	return peersPrefix + endpoint.AddrPort().Addr().String()
}

func sleep(ctx context.Context, timer gooseberrymast.Timer, delay time.Duration) {
	done := make(chan struct{})
	cancel := timer.After(delay, func(time.Time) { close(done) })
	select {
	case <-done:
	case <-ctx.Done():
		cancel()
	}
}
