package steerer_test

import "time"

// order is a model with four zones of one balancer each, the way that a sequence of events
// is played on it.
type order struct {
	*model
	ports uint16
}

func newOrder(seed uint64) *order {
	const zones = 4
	o := &order{model: newZonedModel(seed, 6, zones, zones)}
	for _, a := range o.agents {
		o.announce(a)
	}
	o.rest(2 * time.Second)
	o.openFlows(8)
	return o
}

// cutTime is the length of a cut, and pauseTime that of a pause.
const (
	cutTime   = 5600 * time.Millisecond
	pauseTime = 4 * time.Second
)

// restartAgent restarts an agent as planned, unless it is away.
func (o *order) restartAgent(a *agentModel) {
	if !o.now.Before(a.downUntil) {
		o.restartAsPlanned(a, 2*tick)
		o.rest(3 * tick)
		o.announce(a)
	}
}

// openFlows opens flows by the balancers in turn.
func (o *order) openFlows(count int) {
	for range count {
		o.ports++
		openFlow(o.model, o.balancers[int(o.ports)%len(o.balancers)], o.ports)
	}
}

// useFlows sends a packet of each flow to a balancer.
func (o *order) useFlows(by int) {
	for port := uint16(1); port <= o.ports; port++ {
		if o.callers[flowOf(port)] != 0 {
			sendRequest(o.model, o.balancers[by], port)
		}
	}
}
