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

// documentPollInterval is how often a process checks whether a read is due: a
// tenth of confirmer.Interval.
const documentPollInterval = 90 * time.Millisecond

// rank returns the process's position among the instances of its zone that read
// the document: balancers come first, ordered by endpoint.
func (m *member) rank(now time.Time) int {
	if m.Settings.Role != gooseberrymast.RoleBalancer {
		// Agents read only if no balancer has reported a confirmation.
		const agentRank = 100
		return agentRank
	}
	rank := 0
	m.roster.Each(func(entry roster.Entry) {
		if entry.Role == gooseberrymast.RoleBalancer && entry.Zone == m.Settings.Zone &&
			entry.Reporting(now) && entry.Endpoint.Compare(m.Settings.Peers) < 0 {
			rank++
		}
	})
	return rank
}

// confirmDocument reads the document from the store when a read is due.
func (m *member) confirmDocument(ctx context.Context) {
	now := m.Timer.Now()
	rank := m.rank(now)
	m.mu.Lock()
	m.confirmer.Rank = rank
	due := m.confirmer.Due(now)
	if due {
		m.confirmer.BeginRead()
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
		absent := errors.Is(err, gooseberrymast.ErrStoreNotFound)
		m.mu.Lock()
		if absent {
			m.confirmer.HandleAbsent(m.Timer.Now())
		} else {
			m.confirmer.HandleFailedRead(m.Timer.Now())
		}
		m.mu.Unlock()
		if absent {
			m.Log.Info(gooseberrymast.EventDocumentAbsent).Msg("")
		}
		return
	}
	m.mu.Lock()
	current := m.routes
	m.mu.Unlock()
	if current != nil && stored.Version <= current.Version.Revision {
		m.mu.Lock()
		m.confirmer.HandleRead(gooseberrymast.DocumentVersion{Revision: stored.Version}, now)
		m.mu.Unlock()
		return
	}
	routes, err := m.ReadRoutes(stored)
	m.mu.Lock()
	if err != nil {
		m.confirmer.HandleFailedRead(m.Timer.Now())
	} else {
		m.confirmer.HandleRead(routes.Version, now)
	}
	m.mu.Unlock()
	if err != nil {
		m.Log.Error(gooseberrymast.EventDocumentUnreadable).Uint64("version", stored.Version).Err(err).Msg("")
		return
	}
	m.applyRoutes(routes, "store")
}

// handleDocumentPart processes a part of a document that a peer sent.
func (m *member) handleDocumentPart(part *peer.DocumentPart) {
	m.mu.Lock()
	routes, err := m.collector.Add(part)
	newer := routes != nil && m.confirmer.HandleFetched(routes.Version)
	m.mu.Unlock()
	if err != nil {
		m.Log.Warn(gooseberrymast.EventDocumentUnreadable).Uint64("version", part.GetVersion()).Err(err).Msg("")
		return
	}
	if newer {
		m.applyRoutes(routes, "peer")
	}
}

// applyRoutes puts routes in force unless a later version already is.
func (m *member) applyRoutes(routes *gooseberrymast.Routes, source string) {
	m.mu.Lock()
	if m.routes != nil && !routes.Version.Newer(m.routes.Version) {
		m.mu.Unlock()
		return
	}
	m.routes = routes
	m.documentParts = nil
	m.mu.Unlock()
	m.onRoutes(routes)
	m.Log.Info(gooseberrymast.EventDocumentInForce).Uint64("version", routes.Version.Revision).
		Int("routes", len(routes.ByAddress)).Str("source", source).Msg("")
	m.triggerReport()
}

// sendDocument sends the document in force to a peer.
func (m *member) sendDocument(to gooseberrymast.Endpoint) {
	parts, err := m.documentDatagrams()
	if err != nil {
		m.Log.Error(gooseberrymast.EventEncodeFailed).Err(err).Msg("the document can't be encoded")
		return
	}
	for _, part := range parts {
		m.write(m.conn, part, to)
	}
}

// documentDatagrams returns the document in force as datagrams, which are
// encoded once per version.
func (m *member) documentDatagrams() ([][]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.documentParts != nil || m.routes == nil {
		return m.documentParts, nil
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
		m.documentParts = append(m.documentParts, datagram)
	}
	return m.documentParts, nil
}
