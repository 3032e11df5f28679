package runner

import (
	"context"
	"errors"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/protocol/messages/peer"
	"gooseberrymast/state/roster"
)

// pollInterval is how often a process looks whether a read is due: a tenth of
// confirmer.Interval.
const pollInterval = 90 * time.Millisecond

// rank gives the process's place among the instances of its zone that read the
// document: the balancers first, by endpoint.
func (m *member) rank(now time.Time) int {
	if m.Settings.Role != gooseberrymast.RoleBalancer {
		// Agents read only when no balancer has told of a confirmation.
		const afterBalancers = 100
		return afterBalancers
	}
	rank := 0
	m.roster.Each(func(entry roster.Entry) {
		if entry.Role == gooseberrymast.RoleBalancer && entry.Zone == m.Settings.Zone &&
			entry.Alive(now) && entry.Endpoint.Less(m.Settings.Peers) {
			rank++
		}
	})
	return rank
}

// confirm reads the document when its age asks for it.
func (m *member) confirm(ctx context.Context) {
	now := m.Timer.Now()
	rank := m.rank(now)
	m.mu.Lock()
	m.confirmer.Rank = rank
	due := m.confirmer.Due(now)
	if due {
		m.confirmer.Began()
	}
	m.mu.Unlock()
	if !due {
		return
	}
	var stored gooseberrymast.Object
	err := m.callStore(ctx, "read the document", func(ctx context.Context) (err error) {
		stored, err = m.Store.Get(ctx, m.DocumentKey)
		return err
	})
	if err != nil {
		m.mu.Lock()
		m.confirmer.Failed(m.Timer.Now())
		m.mu.Unlock()
		if errors.Is(err, gooseberrymast.ErrStoreNotFound) {
			m.Log.Debug().Str("event", "document-absent").Msg("")
		}
		return
	}
	m.mu.Lock()
	known := m.routes
	m.mu.Unlock()
	if known != nil && stored.Version <= known.Version {
		m.mu.Lock()
		m.confirmer.Read(stored.Version, now)
		m.mu.Unlock()
		return
	}
	routes, err := m.ReadRoutes(stored)
	m.mu.Lock()
	if err != nil {
		m.confirmer.Failed(m.Timer.Now())
	} else {
		m.confirmer.Read(stored.Version, now)
	}
	m.mu.Unlock()
	if err != nil {
		m.Log.Error().Str("event", "document-unreadable").Uint64("version", stored.Version).Err(err).Msg("")
		return
	}
	m.take(routes, "store")
}

// part takes a part of a document from a peer.
func (m *member) part(part *peer.DocumentPart) {
	m.mu.Lock()
	routes, err := m.collector.Add(part)
	newer := routes != nil && m.confirmer.Fetched(routes.Version)
	m.mu.Unlock()
	if err != nil {
		m.Log.Warn().Str("event", "document-unreadable").Uint64("version", part.GetVersion()).Err(err).Msg("")
		return
	}
	if newer {
		m.take(routes, "peer")
	}
}

// take puts routes in force unless later ones are.
func (m *member) take(routes *gooseberrymast.Routes, source string) {
	m.mu.Lock()
	if m.routes != nil && m.routes.Version >= routes.Version {
		m.mu.Unlock()
		return
	}
	m.routes = routes
	m.parts = nil
	m.mu.Unlock()
	m.adopt(routes)
	m.Log.Info().Str("event", "document-in-force").Uint64("version", routes.Version).
		Int("routes", len(routes.ByAddress)).Str("source", source).Msg("")
	m.notify()
}

// sendDocument sends the document in force to a peer.
func (m *member) sendDocument(to gooseberrymast.Endpoint) {
	parts, err := m.encoded()
	if err != nil {
		m.Log.Error().Str("event", "encode-failed").Err(err).Msg("the document can't be encoded")
		return
	}
	for _, part := range parts {
		m.write(m.conn, part, to)
	}
}

// encoded gives the datagrams of the document in force, made once a version.
func (m *member) encoded() ([][]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.parts != nil || m.routes == nil {
		return m.parts, nil
	}
	messages, err := interpreter.Document(m.routes)
	if err != nil {
		return nil, err
	}
	for _, message := range messages {
		datagram, err := interpreter.Encode(message)
		if err != nil {
			return nil, err
		}
		m.parts = append(m.parts, datagram)
	}
	return m.parts, nil
}

// register makes the process known in the store and reads which peers are, and
// tries again until both are done.
func (m *member) register(ctx context.Context) {
	pause := registerPause
	for ctx.Err() == nil {
		err := m.callStore(ctx, "register", m.registerOnce)
		if err == nil {
			m.registered.Store(true)
			m.roster.Complete()
			m.Log.Info().Str("event", "registered").Int("peers", len(m.roster.Entries(nil))).Msg("")
			m.notify()
			return
		}
		m.Log.Warn().Str("event", "register-failed").Err(err).Msg("")
		sleep(ctx, m.Timer, pause)
		pause = min(2*pause, maxRegisterPause)
	}
}

const (
	// registerPause is the first pause between two tries to register.
	registerPause = 100 * time.Millisecond
	// maxRegisterPause bounds the pause, which doubles with each try: entries
	// are to be back about 2 s after the store's return.
	maxRegisterPause = 800 * time.Millisecond
)

// registerOnce writes the process's entry and then reads those of all others.
// In this order, of two instances that start at once the later reader sees the
// other, and makes itself known to it.
func (m *member) registerOnce(ctx context.Context) error {
	self := m.own()
	value, err := interpreter.EncodeRecord(self)
	if err != nil {
		return err
	}
	entry := gooseberrymast.Object{Key: recordKey(self.Endpoint), Value: value}
	_, err = m.Store.Put(ctx, entry, 0)
	exists := errors.Is(err, gooseberrymast.ErrStoreConflict)
	if err != nil && !exists {
		return err
	}
	peers, own, err := m.listPeers(ctx)
	if err != nil {
		return err
	}
	m.roster.Merge(peers, m.Timer.Now())
	if !exists || own.same {
		return nil
	}
	// The entry is that of an earlier server at this address.
	_, err = m.Store.Put(ctx, entry, own.version)
	return err
}

// ownEntry is the process's entry as it lies in the store.
type ownEntry struct {
	version uint64
	// same is set when it says what the process would write.
	same bool
}

// listPeers reads the entries of all instances.
func (m *member) listPeers(ctx context.Context) (peers []gooseberrymast.Peer, own ownEntry, err error) {
	self := m.own()
	objects, err := m.Store.List(ctx, peersPrefix)
	if err != nil && objects == nil {
		return nil, own, err
	}
	if err != nil {
		m.Log.Warn().Str("event", "store-entry-unreadable").Err(err).Msg("")
	}
	for _, object := range objects {
		each, err := interpreter.DecodeRecord(object.Value)
		if object.Key == recordKey(self.Endpoint) {
			own = ownEntry{
				version: object.Version,
				same:    err == nil && each.Role == self.Role && each.Service == self.Service && each.Zone == self.Zone,
			}
			continue
		}
		if err != nil {
			m.Log.Warn().Str("event", "store-entry-unreadable").Str("key", object.Key).Err(err).Msg("")
			continue
		}
		peers = append(peers, each)
	}
	return peers, own, nil
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
