package steerer_test

import (
	"time"

	"gooseberrymast"
)

// sendOpening sends a copy of a flow's opening packet to a balancer. The first one
// arrives at once or is lost: the caller sends the second 200 ms later, and a balancer
// that receives packets later than that is not in touch.
func (m *model) sendOpening(b *balancerModel, key gooseberrymast.FlowKey, number int) {
	m.log(key, "caller sends copy %d to %s", number, b.self.Endpoint)
	m.copies[key] = number + 1
	m.send(packet{to: b.self.Endpoint, fromCaller: true, header: gooseberrymast.PacketHeader{
		Source: key.Caller, Destination: key.Service, Opens: true, Copy: number,
	}})
}

// losePower takes the power from an agent's instance for a time: its server loses
// all flows.
func (m *model) losePower(a *agentModel, duration time.Duration) {
	m.startServer(a)
	m.startAgent(a)
	a.downUntil = m.now.Add(duration)
}
