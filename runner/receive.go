package runner

import (
	"errors"
	"net"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/protocol/messages/peer"
	"gooseberrymast/protocol/wrapper"
)

// receiveFromPeers passes packets forwarded by peers to handlePacket and messages
// to handleMessage until the socket is closed.
func (m *member) receiveFromPeers(handlePacket func(datagram []byte, sender gooseberrymast.Endpoint, now time.Time)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			m.Log.Warn(gooseberrymast.EventReceiveFailed).Err(err).Msg("reading from peers failed")
			continue
		}
		sender, ok := gooseberrymast.EndpointOf(from)
		if !ok || n == 0 {
			continue
		}
		now := m.Timer.Now()
		if buffer[0] == wrapper.KindPacket {
			handlePacket(buffer[:n], sender, now)
			continue
		}
		m.handleMessage(buffer[:n], sender, now)
	}
}

// ownersFunc is called with the flows that an agent owns.
type ownersFunc func(owner gooseberrymast.Endpoint, keys []gooseberrymast.FlowKey, now time.Time)

func (m *member) handleMessage(datagram []byte, sender gooseberrymast.Endpoint, now time.Time) {
	message, err := interpreter.Decode(datagram)
	if err != nil {
		m.Log.Warn(gooseberrymast.EventMessageMalformed).Stringer("peer", sender.AddrPort()).Err(err).Msg("")
		return
	}
	switch body := message.GetBody().(type) {
	case *peer.Message_Report:
		m.handleReport(interpreter.ReadReport(body.Report), now)
	case *peer.Message_Roster:
		m.handleRoster(interpreter.ReadRoster(body.Roster), now)
	case *peer.Message_DocumentRequest:
		m.sendDocument(sender)
	case *peer.Message_DocumentPart:
		m.handleDocumentPart(body.DocumentPart)
	case *peer.Message_Owners:
		if m.onFlowOwners != nil {
			owner, keys := interpreter.ReadOwners(body.Owners)
			m.onFlowOwners(owner, keys, now)
		}
	case *peer.Message_Summary:
		m.handleSummary(interpreter.ReadSummary(body.Summary), sender, now)
	case *peer.Message_Marker:
		m.handleMarker(body.Marker, now)
	case *peer.Message_FlowRecords:
		if m.onFlowUpdate != nil {
			m.onFlowUpdate(body.FlowRecords, now)
		}
	case *peer.Message_FlowRecordsAnswer:
		if m.onFlowUpdateAnswer != nil {
			m.onFlowUpdateAnswer(body.FlowRecordsAnswer, now)
		}
	}
}

// handleReport processes a peer's report.
func (m *member) handleReport(report gooseberrymast.Report, now time.Time) {
	if report.Peer.Endpoint == m.Settings.Peers {
		return
	}
	changed, superseded := m.roster.HandleReport(report, now)
	if changed {
		m.logPeerChanged(report.Peer)
		if report.Peer.Zone == m.Settings.Zone {
			m.zoneChanged.Store(true)
		}
	}
	m.handleDocumentStatus(report.Document, report.Peer.Endpoint, now)
	m.handleEvacuationStatus(report.Evacuations, now)
	m.sendDepartures(report.Peer)
	m.mu.Lock()
	self := m.self
	sendRoster := m.needsRoster(report, self, superseded, now)
	m.mu.Unlock()
	if sendRoster {
		m.sendRoster(report.Peer, self)
	}
}

func (m *member) logPeerChanged(changed gooseberrymast.Peer) {
	m.Log.Info(gooseberrymast.EventPeerChanged).Stringer("peer", changed.Endpoint.AddrPort()).
		Stringer("role", changed.Role).Stringer("state", changed.State).
		Uint64("incarnation", changed.Incarnation).Str("service", changed.Service).Msg("")
}

// handleDocumentStatus processes what a peer says of its document, and requests the
// document if the peer's is newer.
func (m *member) handleDocumentStatus(status gooseberrymast.DocumentStatus, from gooseberrymast.Endpoint, now time.Time) {
	m.handleEra(status.StoreEra, "peer")
	m.mu.Lock()
	m.verifier.HandleSettled(status.SettledEra)
	fetch := m.confirmer.HandleStatus(status, now) && now.Sub(m.lastFetch) >= fetchInterval
	if fetch {
		m.lastFetch = now
	}
	m.mu.Unlock()
	if fetch {
		m.send(interpreter.DocumentRequest(status.Version), from)
	}
}
