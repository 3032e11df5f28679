package steerer_test

import (
	"testing"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/steerer"
)

// A balancer that restarts reads a new agent from the store and places a flow there,
// before the other balancers have received the agent's first report.
func TestFlowOfNewAgentSurvivesWalkOfUninformedBalancer(t *testing.T) {
	m := newModel(1, 5, 4)
	for _, a := range m.agents {
		m.announce(a)
	}
	m.step()
	m.step()
	m.addAgent(5)
	m.announce(m.agents[5])
	m.startBalancer(m.balancers[0])
	for port := uint16(1); port <= 100; port++ {
		openFlow(m, m.balancers[0], port)
		for _, b := range m.balancers[1:] {
			sendRequest(m, b, port)
		}
	}
	if len(m.broken) > 0 {
		t.Fatalf("reset although its server holds it: %v\n%s", m.broken, m.traceOf(m.broken[0]))
	}
}

// An agent is away for a second, and a balancer restarts meanwhile, which has never
// received a report of it.
func TestFlowOfAgentThatIsAwaySurvivesBalancerRestart(t *testing.T) {
	m := newModel(1, 3, 2)
	for _, a := range m.agents {
		m.announce(a)
	}
	m.step()
	m.step()
	for port := uint16(1); port <= 20; port++ {
		openFlow(m, m.balancers[0], port)
	}
	m.startAgent(m.agents[0])
	m.agents[0].downUntil = m.now.Add(time.Second)
	for _, b := range m.balancers {
		m.startBalancer(b)
	}
	for range 4 {
		m.step()
	}
	for port := uint16(1); port <= 20; port++ {
		sendRequest(m, m.balancers[0], port)
	}
	if len(m.broken) > 0 {
		t.Fatalf("reset although its server holds it: %v\n%s", m.broken, m.traceOf(m.broken[0]))
	}
}

// An agent restarts as planned while no balancer runs, and takes longer than the others:
// nobody has heard it since, and nobody can say that it is being restarted.
func TestFlowOfAgentThatNobodyHasHeardSurvivesItsRestart(t *testing.T) {
	for _, down := range []time.Duration{1200 * time.Millisecond, 3 * time.Second} {
		m := newModel(1, 5, 4)
		for _, a := range m.agents {
			m.announce(a)
		}
		m.rest(2 * time.Second)
		const flows = 20
		for port := uint16(1); port <= flows; port++ {
			openFlow(m, m.balancers[0], port)
		}
		m.restartUnheard(m.agents[0], down)
		for range down / tick {
			m.step()
			for port := uint16(1); port <= flows; port++ {
				sendRequest(m, m.balancers[int(port)%len(m.balancers)], port)
			}
		}
		if len(m.broken) > 0 {
			t.Fatalf("down for %v: reset although its server holds it: %v\n%s", down, m.broken, m.traceOf(m.broken[0]))
		}
	}
}

// Callers of flows that were lost with an instance while everything was restarted must
// not wait for their deadline for good.
func TestFlowOfAgentThatNeverReturnsIsResetWithinSeconds(t *testing.T) {
	m := newModel(1, 5, 4)
	for _, a := range m.agents {
		m.announce(a)
	}
	m.rest(2 * time.Second)
	const flows = 20
	for port := uint16(1); port <= flows; port++ {
		openFlow(m, m.balancers[0], port)
	}
	lost := m.agents[0]
	held := lost.server.flows
	m.losePower(lost, time.Hour)
	for _, b := range m.balancers {
		m.startBalancer(b)
	}
	m.rest(steerer.GoneAfterStart + time.Second)
	for key := range held {
		before := m.resets
		sendRequest(m, m.balancers[0], key.Caller.Port)
		if m.resets == before {
			t.Errorf("flow %v is not reset", key)
		}
	}
	if len(held) == 0 {
		t.Error("the agent had no flow")
	}
}

func flowOf(port uint16) gooseberrymast.FlowKey {
	return gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Service: service}
}

func deliverAll(m *model) {
	for len(m.packets) > 0 {
		m.deliver(0)
	}
	m.concludeWalks()
}

func openFlow(m *model, b *balancerModel, port uint16) {
	key := flowOf(port)
	m.fromCaller(b, gooseberrymast.PacketHeader{Source: key.Caller, Destination: key.Service, Opens: true})
	deliverAll(m)
	sendRequest(m, b, port)
}

func sendRequest(m *model, b *balancerModel, port uint16) {
	key := flowOf(port)
	m.fromCaller(b, m.request(key))
	deliverAll(m)
}
