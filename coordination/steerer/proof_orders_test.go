package steerer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// No open flow is reset, in whatever order balancers are cut off and paused, instances are
// added, processes restart, documents change and the store refuses agents. Each of these is
// planned work, or is over when the balancers that it harmed are asked:
//
//	go test ./coordination/steerer -run TestOrdersOfEvents -rapid.checks 20000 -rapid.seed 3
func TestOrdersOfEvents(t *testing.T) {
	setRapidDefaults(t, map[string]string{"rapid.checks": "800", "rapid.seed": "2", "rapid.nofailfile": "true"})
	opened, resets := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		o := playOrder(t)
		if len(o.broken) > 0 {
			t.Fatalf("seed %d: reset although its server holds it: %v\n%s", o.seed, o.broken, o.traceOf(o.broken[0]))
		}
		for _, a := range o.agents {
			opened += len(a.server.opened)
		}
		resets += o.resets
	})
	t.Logf("%d flows open at the end, %d resets", opened, resets)
	if opened == 0 {
		t.Fatal("nothing was opened")
	}
}

// A play that breaks a rule can be traced only if its seed plays it again: the order of a
// map must not decide anything.
func TestOrdersOfEventsRepeat(t *testing.T) {
	is := is.New(t)
	plays := rapid.Custom(func(t *rapid.T) string { return playOrder(t).wholeTrace() })
	for seed := range 20 {
		is.Equal(plays.Example(seed), plays.Example(seed))
	}
}

// playOrder plays an order of events that it draws.
func playOrder(t *rapid.T) *order {
	o := newOrder(rapid.Uint64().Draw(t, "seed"))
	o.agent = rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "agent") // of the service that documents add
	o.balancer = rapid.IntRange(0, len(o.balancers)-1).Draw(t, "balancer")
	events := o.events()
	// Few kinds of events in one play, so that long chains of them come up.
	kinds := rapid.SampledFrom([][]int{
		{cut}, {cut, addAgent}, refusedRestarts, refusedRestarts, refusedRestarts,
		missedDocuments, missedDocuments, missedDocuments, rapid.Permutation(allEvents).Draw(t, "kinds")[:3], allEvents,
	}).Draw(t, "theme")
	for range rapid.IntRange(2, 10).Draw(t, "length") {
		events[rapid.SampledFrom(kinds).Draw(t, "event")](t)
		o.rest(rapid.SampledFrom([]time.Duration{0, 2 * tick, 1400 * time.Millisecond, 4400 * time.Millisecond}).Draw(t, "rest"))
		o.openFlows(rapid.IntRange(0, 12).Draw(t, "flows"))
		if by := rapid.IntRange(-len(o.balancers), len(o.balancers)-1).Draw(t, "used-by"); by >= 0 {
			o.useFlows(by)
		}
	}
	o.rest(stableWindow + tick)
	for _, by := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
		o.useFlows(by)
	}
	return o
}

// The kinds of events, as indexes of what order.events returns.
const (
	cut = iota
	pause
	changeDocument
	addAgent
	refuseStore
	restartAgents
	restartBalancers
)

// These take long chains to a fault, so that they are played more often.
var (
	refusedRestarts = []int{refuseStore, restartAgents, restartAgents, changeDocument}
	missedDocuments = []int{pause, changeDocument, changeDocument, restartAgents, restartBalancers}
)

var allEvents = []int{cut, pause, changeDocument, addAgent, refuseStore, restartAgents, restartBalancers}

// order is a model with four zones of one balancer each, the way that a sequence of events
// is played on it.
type order struct {
	*model
	seed  uint64
	ports uint16
	// agent and balancer are the ones that half of the events hit.
	agent, balancer int
}

func newOrder(seed uint64) *order {
	const zones, agents = 4, 6
	o := &order{model: newZonedModel(seed, 0, zones, zones), seed: seed}
	for i := range agents {
		o.addAgentOf([]string{"ledger", "receipts"}[i%2], o.zoneOf(i))
	}
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

// events returns the kinds of events.
func (o *order) events() []func(*rapid.T) {
	anyOf := func(t *rapid.T, count, usual int) int {
		if which := rapid.IntRange(-count, count-1).Draw(t, "which"); which >= 0 {
			return which
		}
		return usual
	}
	service := func(t *rapid.T) string {
		if rapid.Bool().Draw(t, "usual") {
			return o.agents[o.agent].self.Service
		}
		return rapid.SampledFrom([]string{"ledger", "receipts"}).Draw(t, "service")
	}
	// agentsOf draws one agent, or all of a service.
	agentsOf := func(t *rapid.T) (drawn []*agentModel) {
		if rapid.Bool().Draw(t, "one") {
			return []*agentModel{o.agents[anyOf(t, len(o.agents), o.agent)]}
		}
		name := service(t)
		for _, a := range o.agents {
			if a.self.Service == name {
				drawn = append(drawn, a)
			}
		}
		return drawn
	}
	return []func(*rapid.T){
		// cut: the balancer of a zone is cut off, as that of another one no longer is. The cuts
		// overlap by a tick, since the model's messages take no time.
		func(t *rapid.T) {
			for _, until := range o.cutUntil {
				o.rest(until.Sub(o.now) - tick)
			}
			o.cutBalancers(o.zoneOf(anyOf(t, o.zones, o.balancer)), cutTime)
		},
		// pause
		func(t *rapid.T) {
			b := o.balancers[anyOf(t, len(o.balancers), o.balancer)]
			o.pause(b, pauseTime, 0)
			b.excusedUntil = o.now.Add(pauseTime + stableWindow)
		},
		// changeDocument: the route gets a second service, or loses it.
		func(*rapid.T) {
			if len(o.services) == 1 {
				o.changeDocument("ledger", "receipts")
			} else {
				o.changeDocument("ledger")
			}
		},
		// addAgent
		func(t *rapid.T) {
			if len(o.agents) < 12 {
				o.addAgentOf(service(t), o.zoneOf(anyOf(t, o.zones, o.balancer)))
				o.announce(o.agents[len(o.agents)-1])
			}
		},
		// refuseStore
		func(t *rapid.T) {
			for _, a := range agentsOf(t) {
				o.refuseStore(a, time.Duration(rapid.IntRange(30, 45).Draw(t, "ticks"))*tick)
			}
		},
		// restartAgents, in turn: those of a service, or one.
		func(t *rapid.T) {
			for _, a := range agentsOf(t) {
				o.restartAgent(a)
			}
		},
		// restartBalancers: all but one, in turn.
		func(t *rapid.T) {
			spared := anyOf(t, len(o.balancers)+1, o.balancer)
			for i, b := range o.balancers {
				if i != spared && !o.now.Before(b.pausedUntil) {
					o.rest(balancerDrain)
					o.startBalancer(b)
				}
			}
		},
	}
}

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
