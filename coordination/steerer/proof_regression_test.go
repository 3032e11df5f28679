package steerer_test

import (
	"testing"
	"time"
)

// holdsEach fails unless no flow that its server holds was reset and the servers hold some.
func (o *order) holdsEach(t *testing.T) {
	t.Helper()
	held := 0
	for _, a := range o.agents {
		held += len(a.server.opened)
	}
	if len(o.broken) > 0 || held == 0 {
		trace := ""
		if len(o.broken) > 0 {
			trace = o.traceOf(o.broken[0])
		}
		t.Fatalf("%d flows held, reset although their servers hold them: %v\n%s", held, o.broken, trace)
	}
}

// Guards against the reset of flows of a new agent that the asked balancer was never told
// of, since the only balancer of the agent's zone is cut off.
func TestFlowOfNewAgentBehindCutBalancerSurvives(t *testing.T) {
	o := newOrder(1)
	o.cutBalancers("c", cutTime)
	o.addAgentOf("ledger", "c")
	added := o.agents[len(o.agents)-1]
	o.announce(added)
	o.rest(2 * time.Second)
	for len(added.server.opened) == 0 && o.ports < 100 {
		o.ports++
		openFlow(o.model, o.balancers[2], o.ports)
	}
	if len(added.server.opened) == 0 {
		t.Fatal("the new agent has taken no flow")
	}
	for by := range o.balancers {
		o.useFlows(by)
	}
	o.holdsEach(t)
}

// Guards against the reset of flows of a zone whose only balancer is cut off, by a balancer
// whose questions to that zone's agents were lost in its own cut, which has ended.
func TestFlowsSurviveQuestionsThatWereLostInOwnCut(t *testing.T) {
	o := newOrder(1)
	o.openFlows(40)
	o.cutBalancers("c", cutTime)
	o.rest(cutTime - tick)
	o.cutBalancers("a", cutTime) // a tick earlier, since the model's messages take no time
	o.rest(stableWindow + 2*tick)
	o.useFlows(2)
	o.holdsEach(t)
}

// Guards against the reset of flows of a service that was allowed only by a document which
// the asked balancer missed.
func TestFlowOfMissedDocumentSurvives(t *testing.T) {
	o := newOrder(1)
	asked := o.balancers[1]
	o.pause(asked, pauseTime, 0)
	o.changeDocument("ledger", "receipts")
	o.rest(time.Second)
	o.openFlows(40)
	o.changeDocument("ledger")
	o.rest(pauseTime)
	for _, a := range o.agents {
		if a.self.Service == "receipts" {
			o.restartAgent(a)
		}
	}
	for _, b := range o.balancers {
		if b != asked {
			o.rest(balancerDrain)
			o.startBalancer(b)
		}
	}
	o.rest(stableWindow + tick)
	for by := range o.balancers {
		o.useFlows(by)
	}
	o.holdsEach(t)
}

// Guards against the reset of flows that an agent took while it couldn't read its entry:
// the next agent finds an entry that doesn't name their address.
func TestFlowThatCouldNotBeRecordedSurvivesNextRestart(t *testing.T) {
	for _, addedBefore := range []bool{false, true} {
		o := newOrder(1)
		refused := o.agents[3] // of receipts
		o.refuseStore(refused, 9*time.Second)
		if addedBefore {
			o.changeDocument("ledger", "receipts")
		}
		o.restartAgent(refused)
		if !addedBefore {
			o.changeDocument("ledger", "receipts")
		}
		o.rest(3 * tick)
		o.openFlows(40)
		if taken := len(refused.server.opened) > 0; taken != addedBefore {
			t.Errorf("added before the agent's start %v, flows taken %v", addedBefore, taken)
		}
		o.restartAgent(refused)
		o.changeDocument("ledger")
		o.rest(9 * time.Second)
		for by := range o.balancers {
			o.useFlows(by)
		}
		o.holdsEach(t)
	}
}
