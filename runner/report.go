package runner

import (
	"context"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/state/roster"
)

// reportPeriodically reports to peers at each interval, and at once after a change.
func (m *member) reportPeriodically(ctx context.Context, interval time.Duration) {
	cancel := m.Timer.Every(interval, func(time.Time) { m.triggerReport() })
	defer cancel()
	for {
		m.report(m.Timer.Now())
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
	}
}

// triggerReport makes the process report before the next interval.
func (m *member) triggerReport() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// report sends the process's report to the peers that need it.
func (m *member) report(now time.Time) {
	if m.hidden.Load() {
		return
	}
	m.relayerMu.Lock()
	recipients, relayed := m.relayer.Recipients(m.relayEntries(), now)
	isolated := m.relayer.Isolated()
	changed := isolated != m.isolated
	m.isolated = isolated
	m.relayerMu.Unlock()
	if changed {
		m.Log.Warn(gooseberrymast.EventZoneIsolated).Bool("isolated", isolated).Int("recipients", len(recipients)).Msg("")
	}
	m.sendReport(recipients, relayed, now)
}

// sendReport sends the process's report. relayed is set if the recipients in other zones
// learn of the process from summaries.
func (m *member) sendReport(recipients []gooseberrymast.Endpoint, relayed bool, now time.Time) {
	m.mu.Lock()
	report := gooseberrymast.Report{
		Peer:     m.self,
		Document: m.documentStatus(now),
		Digests:  m.roster.Digests(m.self),
		Relayed:  relayed,

		Evacuations: m.evacuator.Status(now),
	}
	m.mu.Unlock()
	if m.load != nil {
		report.Load = m.load(now)
	}
	datagram, err := interpreter.Encode(interpreter.Report(report))
	if err != nil {
		m.Log.Error(gooseberrymast.EventEncodeFailed).Err(err).Msg("a report can't be encoded")
		return
	}
	m.writeAll(datagram, recipients)
}

// relayEntries returns all peers in a buffer that the next call overwrites. The caller
// must hold relayerMu.
func (m *member) relayEntries() []roster.Entry {
	m.relayBuffer = m.roster.Append(m.relayBuffer[:0])
	return m.relayBuffer
}

func (m *member) writeAll(datagram []byte, recipients []gooseberrymast.Endpoint) {
	for _, recipient := range recipients {
		m.write(m.conn, datagram, recipient)
	}
}

// sendSummary sends a summary of the own zone to other zones if one is due and the
// balancer is a relay.
func (b *Balancer) sendSummary(now time.Time) {
	b.relayerMu.Lock()
	if !b.relayer.Due(b.zoneChanged.Load(), now) {
		b.relayerMu.Unlock()
		return
	}
	b.zoneChanged.Store(false)
	entries, self, listening := b.relayEntries(), b.ownPeer(), b.roster.Hearing()
	summary, recipients := b.relayer.Summary(entries, self, listening, now)
	asked := b.relayer.Questions(entries, self, listening, now)
	substitutes, balancers := b.relayer.Substitutes(entries, self, listening, now)
	relaying := b.relayer.Relaying()
	changed := relaying != b.relaying
	b.relaying = relaying
	asking := b.relayer.Asking()
	askingChanged := asking != b.asking
	b.asking = asking
	b.relayerMu.Unlock()
	if askingChanged {
		b.Log.Warn(gooseberrymast.EventZoneUnheard).Bool("unheard", asking).Int("agents", len(asked)).Msg("")
	}
	b.ask(asked, now)
	for _, substitute := range substitutes {
		b.writeSummary(substitute, balancers)
	}
	if changed {
		b.Log.Info(gooseberrymast.EventRelayChanged).Bool("relay", relaying).Int("recipients", len(recipients)).Msg("")
	}
	if len(recipients) == 0 {
		return
	}
	b.mu.Lock()
	summary.Document, summary.Evacuations = b.documentStatus(now), b.evacuator.Status(now)
	b.mu.Unlock()
	b.writeSummary(summary, recipients)
	b.metrics.countSummaries("sent", len(recipients))
}

// ask asks agents of other zones for reports, by reporting to them as to a process of
// which they learn from nobody else.
func (b *Balancer) ask(agents []gooseberrymast.Endpoint, now time.Time) {
	if len(agents) == 0 {
		return
	}
	b.roster.MarkAsked(agents, now)
	b.sendReport(agents, false, now)
	b.metrics.countSummaries("asked", len(agents))
}

// handleSummary processes a summary of another zone. The one of its zone that
// received it from there passes it on.
func (m *member) handleSummary(summary gooseberrymast.Summary, sender gooseberrymast.Endpoint, now time.Time) {
	for _, changed := range m.roster.HandleSummary(summary, now) {
		m.logPeerChanged(changed)
	}
	if summary.Forwarded {
		return
	}
	m.metrics.countSummaries("received", 1)
	m.handleDocumentStatus(summary.Document, sender, now)
	m.handleEvacuationStatus(summary.Evacuations, now)
	for _, viewed := range summary.Peers {
		m.sendDepartures(viewed.Peer)
	}
	m.relayerMu.Lock()
	recipients := m.relayer.Forward(m.relayEntries(), summary)
	m.relayerMu.Unlock()
	if len(recipients) == 0 {
		return
	}
	summary.Forwarded, summary.Document = true, gooseberrymast.DocumentStatus{}
	summary.Evacuations = gooseberrymast.EvacuationStatus{}
	m.writeSummary(summary, recipients)
	m.metrics.countSummaries("forwarded", len(recipients))
}

func (m *member) writeSummary(summary gooseberrymast.Summary, recipients []gooseberrymast.Endpoint) {
	for _, message := range interpreter.Summaries(summary) {
		datagram, err := interpreter.Encode(message)
		if err != nil {
			m.Log.Error(gooseberrymast.EventEncodeFailed).Err(err).Msg("a summary can't be encoded")
			return
		}
		m.writeAll(datagram, recipients)
	}
}
