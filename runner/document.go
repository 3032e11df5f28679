package runner

import (
	"bytes"
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
	routes, err := m.decodeDocument(stored)
	if err != nil {
		m.mu.Lock()
		m.confirmer.HandleFailedRead(m.Timer.Now())
		m.mu.Unlock()
		m.Log.Error(gooseberrymast.EventDocumentUnreadable).Uint64("store-era", m.storeEra()).Err(err).Msg("")
		return
	}
	m.handleDocumentRead(routes, now)
}

// decodedDocument is a stored document and its routes.
type decodedDocument struct {
	stored gooseberrymast.Object
	routes *gooseberrymast.Routes
}

// decodeDocument decodes a stored document unless the last read found the same. Only
// the goroutine that reads the document calls it.
func (m *member) decodeDocument(stored gooseberrymast.Object) (*gooseberrymast.Routes, error) {
	last := m.lastDocument
	if last.routes != nil && last.stored.Version == stored.Version && bytes.Equal(last.stored.Value, stored.Value) {
		return last.routes, nil
	}
	routes, err := m.ReadRoutes(stored)
	if err != nil {
		return nil, err
	}
	m.lastDocument = decodedDocument{stored: stored, routes: routes}
	return routes, nil
}

// handleDocumentRead processes a document that a read of the store, which began at a
// time, has found.
func (m *member) handleDocumentRead(routes *gooseberrymast.Routes, began time.Time) {
	m.mu.Lock()
	var inForce gooseberrymast.DocumentVersion
	if m.routes != nil {
		inForce = m.routes.Version
	}
	replaces := m.confirmer.HandleRead(routes.Version, began)
	// A process of an earlier build passes on a document without the warm-ups.
	replaces = replaces || m.routes != nil && routes.Version.Same(inForce) && len(m.routes.WarmUps) == 0 && len(routes.WarmUps) > 0
	if replaces {
		m.setRoutes(routes)
	}
	m.mu.Unlock()
	found := routes.Version
	switch {
	case inForce.Newer(found):
		m.Log.Warn(gooseberrymast.EventDocumentOlder).Uint64("version", inForce.Number).
			Uint64("found", found.Number).Uint64("revision", found.Revision).Uint64("store-era", m.storeEra()).Msg("")
	case found.Number == inForce.Number && !found.Same(inForce):
		m.Log.Error(gooseberrymast.EventDocumentConflict).Uint64("version", found.Number).
			Uint64("revision", found.Revision).Uint64("store-era", m.storeEra()).Msg("")
	}
	if replaces {
		m.applyRoutes(routes, "store")
	}
}

// handleDocumentPart processes a part of a document that a peer sent.
func (m *member) handleDocumentPart(part *peer.DocumentPart) {
	m.mu.Lock()
	routes, err := m.collector.Add(part)
	newer := routes != nil && m.confirmer.HandleFetched(routes.Version)
	if newer {
		m.setRoutes(routes)
	}
	m.mu.Unlock()
	if err != nil {
		m.Log.Warn(gooseberrymast.EventDocumentUnreadable).Uint64("version", part.GetNumber()).
			Uint64("revision", part.GetVersion()).Err(err).Msg("")
		return
	}
	if newer {
		m.applyRoutes(routes, "peer")
	}
}

// setRoutes records the routes in force. The caller must hold mu.
func (m *member) setRoutes(routes *gooseberrymast.Routes) {
	m.routes = routes
	m.documentParts = nil
}

// applyRoutes puts routes in force that setRoutes has recorded.
func (m *member) applyRoutes(routes *gooseberrymast.Routes, source string) {
	m.onRoutes(routes)
	m.Log.Info(gooseberrymast.EventDocumentInForce).Uint64("version", routes.Version.Number).
		Uint64("revision", routes.Version.Revision).Uint64("store-era", m.storeEra()).
		Int("routes", len(routes.ByAddress)).Str("source", source).Msg("")
	m.triggerReport()
}

// storeEra returns the era of the store's latest response, or zero if it is unknown.
func (m *member) storeEra() uint64 {
	if m.StoreEra == nil {
		return 0
	}
	return m.StoreEra()
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
