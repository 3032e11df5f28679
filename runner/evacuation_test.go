package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/evacuator"
	"gooseberrymast/platform"
)

// newEvacuatingCluster returns a cluster in which zones can be evacuated within a short
// time, with an agent and a balancer in each of the zones "a" and "b".
func newEvacuatingCluster(t *testing.T) (c *cluster, store *restorableStore) {
	t.Helper()
	c, store = newRestorableCluster(t)
	base := c.adapt
	c.adapt = func(environment *Environment) {
		base(environment)
		environment.Settings.Places = gooseberrymast.PlacesSettings{EvacuateWithin: 3 * time.Second, WarmUpOverage: 1.5, WarmUpSlack: 5}
		environment.ReadEvacuations = environment.Store.(*platform.Store).Evacuations
	}
	c.zones[[4]byte{127, 0, 3, 2}], c.zones[[4]byte{127, 0, 2, 2}] = "b", "b"
	store.setDocument(3, "ledger")
	return c, store
}

// gaugeOf returns the value of a metric without labels, or -1 without one.
func gaugeOf(t *testing.T, m *member, name string) float64 {
	t.Helper()
	families, err := m.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return -1
}

// opens sends a first opening packet and reports whether the flow was opened.
func (c *cluster) opens(balancer byte, port uint16) (opened bool) {
	c.t.Helper()
	c.sendUntil(balancer, port, gooseberrymast.PacketHeader{Opens: true}, "", func(header gooseberrymast.PacketHeader, _ string) bool {
		opened = header.Acknowledges && !header.Resets
		return opened || header.Resets
	})
	return opened
}

// An evacuation that operators write must keep new flows from the zone at balancers of
// every zone and at its agents, leave open flows alone and end when it is removed.
func TestZoneIsEvacuatedAndReturns(t *testing.T) {
	is := is.New(t)
	c, store := newEvacuatingCluster(t)
	first, second := startServer(t, 1), startServer(t, 2)
	firstAgent, _ := c.startAgent(1, 1)
	secondAgent, _ := c.startAgent(2, 1)
	c.startBalancer(1)
	c.startBalancer(2)
	ready := func(agent *Agent) func() bool {
		return func() bool { return agent.ownPeer().State == gooseberrymast.StateReady }
	}
	c.waitFor("the first agent takes flows", ready(firstAgent))
	c.waitFor("the second agent takes flows", ready(secondAgent))
	port := uint16(2000)
	for c.openFlow(2, port); !second.holds(port); c.openFlow(2, port) {
		port++
	}
	store.Set(platform.EvacuationsPrefix+"b", []byte(`{}`))
	evacuated := func() bool { return secondAgent.ownZoneEvacuated(time.Now()) }
	written := time.Now()
	c.waitFor("the agent of zone b obeys", evacuated)
	is.True(time.Since(written) < 3*time.Second) // the stated bound
	is.Equal(gaugeOf(t, &secondAgent.member, "gooseberrymast_own_zone_evacuated"), 1.0)
	is.Equal(gaugeOf(t, &firstAgent.member, "gooseberrymast_own_zone_evacuated"), 0.0)
	opened := second.openedFlows()
	for offset := range uint16(12) {
		is.True(c.opens(byte(1+offset%2), 3000+offset)) // balancers of both zones serve
	}
	is.Equal(second.openedFlows(), opened)
	is.True(first.openedFlows() >= 12)
	c.expectEcho(1, port, "the open flow stays")

	// Without a place for it a new flow is reset.
	store.Set(platform.EvacuationsPrefix+"a", []byte(`{}`))
	c.waitFor("the agent of zone a obeys", func() bool { return firstAgent.ownZoneEvacuated(time.Now()) })
	is.True(!c.opens(2, 4000))

	store.Remove(platform.EvacuationsPrefix + "b")
	c.waitFor("zone b is back", func() bool { return !evacuated() })
	c.waitFor("a flow opens in zone b", func() bool { port++; return c.opens(2, port) && second.holds(port) })
}

// An instance that starts during an evacuation must know of it before it takes part.
func TestInstanceThatStartsKnowsEvacuation(t *testing.T) {
	is := is.New(t)
	c, store := newEvacuatingCluster(t)
	store.Set(platform.EvacuationsPrefix+"b", []byte(`{}`))
	startServer(t, 1)
	second := startServer(t, 2)
	c.startAgent(1, 1)
	c.startAgent(2, 1)
	c.startBalancer(2)
	for port := range uint16(20) {
		is.True(c.opens(2, 2000+port))
	}
	is.Equal(second.openedFlows(), 0)
}

// A process must make no call for evacuations where the platform has none.
func TestEvacuationsAreNotReadWhereInactive(t *testing.T) {
	is := is.New(t)
	c, store := newRestorableCluster(t)
	store.setDocument(3, "ledger")
	store.Set(platform.EvacuationsPrefix+"a", []byte(`{}`))
	startServer(t, 1)
	c.startAgent(1, 1)
	c.startBalancer(1) // it would fail without a function to read them
	is.True(c.opens(1, 2000))
}

// A server that has just started must not get more than its limit, whatever balancers
// send, and callers for whom there is no other server must learn it at once.
func TestColdServerIsLimited(t *testing.T) {
	is := is.New(t)
	c, store := newEvacuatingCluster(t)
	store.warmUps = map[string]gooseberrymast.WarmUp{"ledger": {Duration: 30 * time.Second, PerSecond: 4}}
	store.setDocument(5, "ledger")
	const limit = 4*1.5 + 5
	server := startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	c.startBalancer(1)
	if err := agent.handleAnnouncement(gooseberrymast.Announcement{
		ID: "i-1", StartUnixMs: 2, Sequence: 1, Service: "ledger", Slots: 4, WarmUpLeft: 30 * time.Second,
		Address: gooseberrymast.Endpoint{IP: agent.Settings.Server.IP, Port: serverPort},
	}); err != nil {
		t.Fatal(err)
	}
	c.waitFor("the agent limits its server", func() bool { return agent.flowLoad(time.Now()).Limited })
	is.True(gaugeOf(t, &agent.member, "gooseberrymast_warm_up_left_seconds") > 0)
	began := time.Now()
	refused := 0
	for port := range uint16(60) {
		if !c.opens(1, 2000+port) {
			refused++
		}
	}
	seconds := int(time.Since(began).Seconds()) + 1
	is.True(refused > 0)
	is.True(server.openedFlows() > 0)
	is.True(float64(server.openedFlows()) <= float64(seconds)*limit)
}

// A document that a process of an earlier build passes on lacks the limits. The next read
// of the same version must bring them.
func TestReadCompletesDocumentOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	c, store := newEvacuatingCluster(t)
	store.warmUps = map[string]gooseberrymast.WarmUp{"ledger": {Duration: time.Second, PerSecond: 4}}
	store.setDocument(5, "ledger")
	startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	limited := func() bool { return agent.currentRoutes().WarmUp("ledger").PerSecond == 4 }
	c.waitFor("the agent has read the document", limited)
	stripped := *agent.currentRoutes()
	stripped.WarmUps = nil
	agent.mu.Lock()
	agent.setRoutes(&stripped)
	agent.mu.Unlock()
	is.True(!limited())
	c.waitFor("the agent has read the document again", limited)
}

// A balancer that the store rejects must not be ready before a peer has told it which
// zones are evacuated, or 3 s have passed without anybody who knows.
func TestBalancerIsReadyOnceItKnowsEvacuations(t *testing.T) {
	for _, test := range []struct {
		name      string
		agentRead bool
	}{{"an agent knows", true}, {"nobody knows", false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, store := newEvacuatingCluster(t)
			base := c.adapt
			c.adapt = func(environment *Environment) {
				base(environment)
				if environment.Settings.Role == gooseberrymast.RoleBalancer || !test.agentRead {
					environment.ReadEvacuations = func(context.Context) (gooseberrymast.Evacuations, error, error) {
						return gooseberrymast.Evacuations{}, nil, gooseberrymast.ErrStoreUnavailable
					}
				}
			}
			store.Set(platform.EvacuationsPrefix+"b", []byte(`{}`))
			startServer(t, 1)
			c.startAgent(1, 1)
			balancer, _ := c.startBalancer(1)
			waited := time.Since(balancer.began) >= evacuator.MaxJoinWait
			balancer.mu.Lock()
			zones := balancer.evacuator.Zones(time.Now())
			balancer.mu.Unlock()
			if test.agentRead {
				is.Equal(zones, []string{"b"})
			} else {
				is.True(waited)
			}
		})
	}
}
