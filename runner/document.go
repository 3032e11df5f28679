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
			entry.Alive(now) && entry.Endpoint.Compare(m.Settings.Peers) < 0 {
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
			m.Log.Info(gooseberrymast.EventDocumentAbsent).Msg("")
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
		m.Log.Error(gooseberrymast.EventDocumentUnreadable).Uint64("version", stored.Version).Err(err).Msg("")
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
		m.Log.Warn(gooseberrymast.EventDocumentUnreadable).Uint64("version", part.GetVersion()).Err(err).Msg("")
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
	m.Log.Info(gooseberrymast.EventDocumentInForce).Uint64("version", routes.Version).
		Int("routes", len(routes.ByAddress)).Str("source", source).Msg("")
	m.notify()
}

// sendDocument sends the document in force to a peer.
func (m *member) sendDocument(to gooseberrymast.Endpoint) {
	parts, err := m.encoded()
	if err != nil {
		m.Log.Error(gooseberrymast.EventEncodeFailed).Err(err).Msg("the document can't be encoded")
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
