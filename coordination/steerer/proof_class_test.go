package steerer_test

import "testing"

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
