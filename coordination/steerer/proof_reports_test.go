package steerer_test

import (
	"maps"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/relayer"
	"gooseberrymast/coordination/retainer"
	"gooseberrymast/coordination/tracker"
	"gooseberrymast/state/roster"
)

const (
	// maxInbox bounds the messages that wait at a balancer: more are lost.
	maxInbox = 100
	// hearsZoneFor is how long an agent takes a balancer that doesn't run for one that does.
	hearsZoneFor = roster.SilentAfter
	// directTail is how long an agent goes on reporting to all balancers once it hears one
	// of its zone again.
	directTail = 2 * time.Second
	// balancerDrain is how long a balancer runs on when it is stopped.
	balancerDrain = 1200 * time.Millisecond
)

// step moves the time and lets the reports arrive.
func (m *model) step() {
	m.now = m.now.Add(tick)
	m.report()
	for range tick / retainer.TickInterval {
		m.tickKept()
	}
}

// report lets all processes report.
func (m *model) report() {
	for _, a := range m.agents {
		if m.now.Before(a.downUntil) || !a.stored {
			continue
		}
		a.deliverer.Expire(m.now)
		m.register(a)
		a.deliverer.HasUnansweredOpening(m.now)
		if a.tracker.Status(m.now) != tracker.Unknown && !a.server.silent {
			m.announce(a)
		}
		m.reportAgent(a)
		m.announceOwners(a)
	}
	m.read()
	for _, b := range m.balancers {
		if !m.now.Before(b.pausedUntil) {
			b.steerer.SetRoutes(m.routes())
			m.reportBalancer(b)
		}
	}
	m.read()
	m.concludeWalks()
}

// rest lets time pass without a packet of a caller.
func (m *model) rest(duration time.Duration) {
	for range duration / tick {
		deliverAll(m)
		m.step()
	}
}

// reportAgent sends an agent's report to the balancers of its zone, and to all if
// none of these runs.
func (m *model) reportAgent(a *agentModel) {
	isolated := true
	for _, b := range m.balancers {
		isolated = isolated && (b.self.Zone != a.self.Zone || m.now.Sub(b.lastRan) > hearsZoneFor)
	}
	if isolated {
		a.directUntil = m.now.Add(directTail)
	}
	report := gooseberrymast.Report{Peer: a.self, Load: gooseberrymast.FlowLoad{Slots: 2}, Relayed: !isolated}
	for _, b := range m.balancers {
		asked := m.now.Sub(a.askedAt[b]) < roster.SilentAfter
		if (m.now.Before(a.directUntil) || asked || b.self.Zone == a.self.Zone) && !m.isCut(a.self.Endpoint, b.self.Endpoint) {
			m.post(b, func() { b.roster.HandleReport(report, m.now) })
		}
	}
}

// reportBalancer sends a balancer's report and, if it is a relay, its summary.
func (m *model) reportBalancer(b *balancerModel) {
	report := gooseberrymast.Report{Peer: b.self, Relayed: true}
	b.relayer.Due(false, m.now)
	entries := b.roster.Entries(nil)
	summary, _ := b.relayer.Summary(entries, b.self, b.roster.Hearing(), m.now)
	m.ask(b, b.relayer.Questions(entries, b.self, b.roster.Hearing(), m.now))
	for _, other := range m.balancers {
		switch {
		case other == b || m.isCut(b.self.Endpoint, other.self.Endpoint):
		case other.self.Zone == b.self.Zone:
			m.post(other, func() {
				other.roster.HandleReport(report, m.now)
				m.sendDepartures(other, b)
			})
		case len(summary.Peers) > 0:
			m.post(other, func() {
				other.roster.HandleSummary(summary, m.now)
				m.sendDepartures(other, b)
			})
		}
	}
	marker := m.now
	b.inbox = append(b.inbox, func() { b.roster.HandleMarker(marker) })
}

// ask sends a balancer's questions to agents of the other zone.
func (m *model) ask(b *balancerModel, asked []gooseberrymast.Endpoint) {
	b.roster.MarkAsked(asked, m.now)
	for _, a := range m.agents {
		if slices.Contains(asked, a.self.Endpoint) && !m.now.Before(a.downUntil) && m.random.Float64() >= m.loss &&
			!m.isCut(b.self.Endpoint, a.self.Endpoint) {
			a.askedAt[b] = m.now
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// cutBalancers cuts the balancers of a zone off from the other zone for a while. They are
// not in touch until some time after it; the agents of their zone are.
func (m *model) cutBalancers(zone string, duration time.Duration) {
	m.log(gooseberrymast.FlowKey{}, "balancers of zone %s are cut off for %v", zone, duration)
	m.cutUntil[zone] = latest(m.cutUntil[zone], m.now.Add(duration))
	for _, b := range m.balancers {
		if b.self.Zone == zone {
			b.excusedUntil = m.cutUntil[zone].Add(stableWindow)
		}
	}
}

// isCut reports whether messages between two processes get lost: one is a balancer that
// is cut off, and the other is of another zone.
func (m *model) isCut(from, to gooseberrymast.Endpoint) bool {
	if from.IsZero() {
		return false
	}
	fromZone, fromBalancer := m.placeOf(from)
	toZone, toBalancer := m.placeOf(to)
	cut := func(zone string, balancer bool) bool { return balancer && m.now.Before(m.cutUntil[zone]) }
	return fromZone != toZone && (cut(fromZone, fromBalancer) || cut(toZone, toBalancer))
}

func (m *model) placeOf(at gooseberrymast.Endpoint) (zone string, balancer bool) {
	for _, b := range m.balancers {
		if b.self.Endpoint == at {
			return b.self.Zone, true
		}
	}
	for _, a := range m.agents {
		if a.self.Endpoint == at {
			return a.self.Zone, false
		}
	}
	return "", false
}

// sendDepartures sends the peers that stop to a balancer that has started.
func (m *model) sendDepartures(from, to *balancerModel) {
	if m.isCut(from.self.Endpoint, to.self.Endpoint) || !from.relayer.Restarted(to.self) {
		return
	}
	leaving := relayer.Departures(from.roster.Entries(nil))
	m.post(to, func() { to.roster.Merge(leaving, m.now) })
}

// post puts a message into a balancer's inbox.
func (m *model) post(b *balancerModel, handle func()) {
	if m.loss > 0 && m.random.Float64() < m.loss || len(b.inbox) >= maxInbox {
		return
	}
	b.inbox = append(b.inbox, handle)
}

// read lets the balancers that run read what has arrived.
func (m *model) read() {
	for _, b := range m.balancers {
		if m.now.Before(b.pausedUntil) {
			continue
		}
		b.lastRan = m.now
		count := len(b.inbox)
		if b.readLimit > 0 {
			count = min(count, b.readLimit)
		}
		messages := b.inbox[:count]
		b.inbox = b.inbox[count:]
		for _, handle := range messages {
			handle()
		}
		if len(b.inbox) == 0 {
			b.readLimit = 0
		}
	}
}

func (m *model) announceOwners(a *agentModel) {
	var balancers []gooseberrymast.Endpoint
	for _, b := range m.balancers {
		balancers = append(balancers, b.self.Endpoint)
	}
	updates := a.deliverer.Announce(balancers, nil, m.now)
	for _, to := range slices.SortedFunc(maps.Keys(updates), gooseberrymast.Endpoint.Compare) {
		for _, key := range slices.SortedFunc(slices.Values(updates[to]), compareCallers) {
			m.send(packet{to: to, from: a.self.Endpoint, owner: true, header: gooseberrymast.PacketHeader{Source: key.Caller, Destination: key.Service}})
		}
	}
}

// finalReports is the number of reports of an agent that stops.
const finalReports = 3

// restartAsPlanned lets an agent report that it stops, and start again after a while.
// Its server runs on.
func (m *model) restartAsPlanned(a *agentModel, down time.Duration) {
	m.log(gooseberrymast.FlowKey{}, "agent %s stops as planned for %v", a.self.Endpoint, down)
	a.self.State = gooseberrymast.StateLeaving
	a.self.Sequence++
	for range finalReports {
		for _, b := range m.balancers {
			report := gooseberrymast.Report{Peer: a.self, Relayed: true}
			m.post(b, func() { b.roster.HandleReport(report, m.now) })
		}
	}
	m.startAgent(a)
	a.downUntil = m.now.Add(down)
}

// restartUnheard restarts an agent as planned for a while together with all balancers, so
// that none of these has heard that it stops.
func (m *model) restartUnheard(a *agentModel, down time.Duration) {
	m.restartAsPlanned(a, down)
	for _, b := range m.balancers {
		m.startBalancer(b)
	}
}

// pause lets a balancer read nothing for a while, and then at most a number of
// messages in a tick until it has caught up.
func (m *model) pause(b *balancerModel, duration time.Duration, readLimit int) {
	m.log(gooseberrymast.FlowKey{}, "balancer %s is paused for %v, then reads %d messages a tick", b.self.Endpoint, duration, readLimit)
	b.pausedUntil, b.readLimit = m.now.Add(duration), readLimit
}
