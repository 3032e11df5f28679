package steerer_test

import (
	"testing"
	"time"

	"gooseberrymast"
)

// refuseStore lets the store refuse an agent's calls for a while.
func (m *model) refuseStore(a *agentModel, duration time.Duration) {
	m.log(gooseberrymast.FlowKey{}, "the store refuses %s for %v", a.self.Endpoint, duration)
	a.refusedUntil = m.now.Add(duration)
}

// The store refuses an agent's calls while a document allows its service an address that
// its entry lacks. The agent restarts, and the document drops the address again: neither
// the next agent nor balancers that start know what the server has served.
func TestFlowOfAddressThatWasNotRecordedSurvivesRestarts(t *testing.T) {
	m := newModel(1, 4, 2)
	refused := m.agents[3]
	for _, a := range m.agents {
		m.announce(a)
	}
	m.rest(2 * time.Second)
	m.refuseStore(refused, time.Second)
	m.changeDocument("ledger", "receipts")
	const flows = 40
	for port := uint16(1); port <= flows; port++ {
		openFlow(m, m.balancers[0], port)
	}
	if len(refused.server.flows) > 0 {
		t.Errorf("%d flows were taken before their address was recorded", len(refused.server.flows))
	}
	m.rest(2 * time.Second)
	for port := uint16(flows + 1); port <= 2*flows; port++ {
		openFlow(m, m.balancers[0], port)
	}
	if len(refused.server.flows) == 0 {
		t.Error("no flow was taken after its address was recorded")
	}
	m.changeDocument("ledger")
	m.restartAsPlanned(refused, tick)
	m.rest(2 * time.Second)
	for _, b := range m.balancers {
		m.startBalancer(b)
		m.rest(2 * time.Second)
	}
	for port := uint16(1); port <= 2*flows; port++ {
		if m.callers[flowOf(port)] != 0 {
			sendRequest(m, m.balancers[0], port)
		}
	}
	if len(m.broken) > 0 {
		t.Fatalf("reset although its server holds it: %v\n%s", m.broken, m.traceOf(m.broken[0]))
	}
}

// A late call removes an agent's entry, and the agent restarts before it has written it
// again. Then balancers restart, one after the other: the agent must not take the absence
// of an entry as proof that its server holds no flow.
func TestFlowOfAgentWhoseEntryWasLostSurvivesRestarts(t *testing.T) {
	m := newModel(1, 4, 2)
	for _, a := range m.agents {
		m.announce(a)
	}
	m.rest(2 * time.Second)
	const flows = 20
	for port := uint16(1); port <= flows; port++ {
		openFlow(m, m.balancers[0], port)
	}
	lost := m.agents[0]
	m.loseEntry(lost)
	m.restartAsPlanned(lost, tick)
	m.rest(time.Second)
	m.announce(lost)
	for _, b := range m.balancers {
		m.startBalancer(b)
		m.rest(2 * time.Second)
	}
	for port := uint16(1); port <= flows; port++ {
		sendRequest(m, m.balancers[0], port)
	}
	if len(m.broken) > 0 {
		t.Fatalf("reset although its server holds it: %v\n%s", m.broken, m.traceOf(m.broken[0]))
	}
}
