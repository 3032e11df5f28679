package runner

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/relayer"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/protocol/messages/peer"
)

// needsRoster reports whether this process should send its roster to the sender
// of a report: because its entry for the sender supersedes the report, or
// because the two rosters have differed for longer than an update takes to
// arrive. Agents need only the balancers. The caller must hold the lock.
func (m *member) needsRoster(report gooseberrymast.Report, self gooseberrymast.Peer, superseded bool, now time.Time) bool {
	if m.hidden.Load() {
		return false
	}
	own := m.roster.Digests(self)
	differs := own.Balancers != report.Digests.Balancers
	if self.Role == gooseberrymast.RoleBalancer && report.Peer.Role == gooseberrymast.RoleBalancer {
		differs = differs || own.Agents != report.Digests.Agents
	}
	sender := report.Peer.Endpoint
	if !differs {
		delete(m.differsSince, sender)
	} else if _, known := m.differsSince[sender]; !known {
		m.differsSince[sender] = now
	}
	overdue := differs && now.Sub(m.differsSince[sender]) >= rosterSyncDelay
	if !overdue && !superseded || now.Sub(m.rosterSent[sender]) < rosterInterval {
		return false
	}
	m.rosterSent[sender] = now
	return true
}

// handleRoster merges a list of peers. If it contains an entry for this process
// that supersedes its own, that entry is from an earlier run, so the process
// takes a higher incarnation.
func (m *member) handleRoster(peers []gooseberrymast.Peer, now time.Time) {
	others := peers[:0]
	for _, listed := range peers {
		if listed.Endpoint != m.Settings.Peers {
			others = append(others, listed)
			continue
		}
		m.mu.Lock()
		if listed.Newer(m.self) {
			m.self.Incarnation = listed.Incarnation + 1
			m.Log.Info(gooseberrymast.EventIncarnationRaised).Uint64("incarnation", m.self.Incarnation).Msg("")
		}
		m.mu.Unlock()
	}
	if m.roster.Merge(others, now) {
		m.triggerReport()
	}
}

// sendRoster sends a peer the entries that it needs: a balancer gets all, an
// agent gets the balancers and its own entry, which it needs if superseded.
func (m *member) sendRoster(to gooseberrymast.Peer, self gooseberrymast.Peer) {
	peers := []gooseberrymast.Peer{self}
	for _, entry := range m.roster.Entries(notGone) {
		if to.Role == gooseberrymast.RoleBalancer || entry.Role == gooseberrymast.RoleBalancer || entry.Endpoint == to.Endpoint {
			peers = append(peers, entry.Peer)
		}
	}
	for _, message := range interpreter.Rosters(peers) {
		m.send(message, to.Endpoint)
	}
}

// sendDepartures sends the peers that stop to a balancer that has started.
func (m *member) sendDepartures(peer gooseberrymast.Peer) {
	m.relayerMu.Lock()
	var leaving []gooseberrymast.Peer
	if m.relayer.Restarted(peer) {
		leaving = relayer.Departures(m.relayEntries())
	}
	m.relayerMu.Unlock()
	for _, message := range interpreter.Rosters(leaving) {
		m.send(message, peer.Endpoint)
	}
}

// sendMarker sends the process a message through its own receive queue.
func (m *member) sendMarker(now time.Time) {
	m.send(interpreter.Marker(m.began, now), m.listenEndpoint())
}

// handleMarker processes a marker. One of another process, or of an earlier one on
// this endpoint, says nothing of this process's queue.
func (m *member) handleMarker(marker *peer.Marker, now time.Time) {
	sentAt, own := interpreter.ReadMarker(marker, m.began)
	if !own || sentAt.After(now) {
		m.Log.Warn(gooseberrymast.EventMessageMalformed).Msg("a marker of another process")
		return
	}
	if missed := m.roster.HandleMarker(sentAt); missed > 0 {
		m.Log.Warn(gooseberrymast.EventListeningResumed).Int64("missed-ms", missed.Milliseconds()).Msg("")
	}
}
