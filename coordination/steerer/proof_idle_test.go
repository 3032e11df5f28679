package steerer_test

import (
	"testing"
	"time"
)

// Flows are idle for almost as long as the document allows, and balancers that restart as
// planned search for them. Agents that have seen their servers start, and claim to hold
// all of their flows, must not have dropped these.
func TestIdleFlowSurvivesBalancerRestarts(t *testing.T) {
	m := newModel(1, 5, 2)
	for _, a := range m.agents {
		m.announce(a)
	}
	m.rest(2 * time.Second)
	// More flows than some agents keep.
	const flows = 40
	for port := uint16(1); port <= flows; port++ {
		openFlow(m, m.balancers[0], port)
	}
	m.rest(idleTimeout - 8*time.Second)
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
