package steerer_test

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/retainer"
)

const (
	// secondRetransmission is when a caller sends a packet for the third time.
	secondRetransmission = 600 * time.Millisecond
	// reachesWithin is the time in which a packet must have reached its server.
	reachesWithin = secondRetransmission - tick
)

// retransmissions are the times at which a caller sends a packet.
var retransmissions = []time.Duration{0, tick, secondRetransmission}

// tickKept counts a tick of the packets that processes keep.
func (m *model) tickKept() {
	for _, a := range m.agents {
		if m.now.Before(a.downUntil) {
			continue
		}
		overdue, _ := a.deliverer.PassOnUnanswered()
		for _, packet := range overdue {
			m.executeAgent(a, packet.Step, packet.Header)
		}
	}
	for _, b := range m.balancers {
		if m.now.Before(b.pausedUntil) {
			continue
		}
		repeated, _ := b.steerer.RepeatSearches(m.now)
		for _, search := range repeated {
			m.executeBalancer(b, search.Steps, search.Header)
		}
	}
}

// pass lets time pass in short steps, in which packets arrive at once. until ends it early;
// nil doesn't.
func (m *model) pass(duration time.Duration, until func() bool) {
	for range duration / retainer.TickInterval {
		deliverAll(m)
		if until != nil && until() {
			return
		}
		m.now = m.now.Add(retainer.TickInterval)
		if m.now.Sub(time.Unix(1000, 0))%tick == 0 {
			m.report()
		}
		m.tickKept()
	}
	deliverAll(m)
}

// ownServer returns the agent whose server has the flow open, or nil.
func (m *model) ownServer(key gooseberrymast.FlowKey) *agentModel {
	for _, a := range m.agents {
		if a.server.opened[key] && a.server.flows[key] == m.callers[key] {
			return a
		}
	}
	return nil
}

// request returns the packet that begins a request.
func (m *model) request(key gooseberrymast.FlowKey) gooseberrymast.PacketHeader {
	return gooseberrymast.PacketHeader{
		Source: key.Caller, Destination: key.Service, Sequence: uint32(m.now.UnixMilli()), Acknowledges: true,
		Acknowledgement: m.callers[key], Payload: 10,
	}
}

// reaches sends a packet of a flow by a balancer, as often as its caller does, and reports
// whether it gets to the flow's server in time.
func (m *model) reaches(b *balancerModel, key gooseberrymast.FlowKey) bool {
	own := m.ownServer(key)
	began := m.now
	delete(own.server.usedAt, key)
	reached := func() bool { return !own.server.usedAt[key].IsZero() }
	header := m.request(key)
	for i, at := range retransmissions {
		m.log(key, "caller sends its packet for the %d. time to %s", i+1, b.self.Endpoint)
		m.fromCaller(b, header)
		next := reachesWithin
		if i+1 < len(retransmissions) {
			next = min(next, retransmissions[i+1])
		}
		if m.pass(next-at, reached); reached() || next == reachesWithin {
			break
		}
	}
	m.log(key, "reached %v after %v", reached(), m.now.Sub(began))
	return reached()
}

// opens opens a flow, with each copy of its opening packet by the next of the balancers, and
// sends its first request by the last one.
func (m *model) opens(by []*balancerModel, port uint16) bool {
	key := flowOf(port)
	sent := m.now
	for i, at := range retransmissions {
		b := by[i%len(by)]
		m.pass(at-m.now.Sub(sent), nil)
		m.sendOpening(b, key, i)
		m.pass(retainer.TickInterval, nil)
		if m.callers[key] != 0 {
			sendRequest(m, b, port)
			return m.ownServer(key) != nil
		}
	}
	return false
}
