package dispatcher

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

const (
	runs        = gooseberrymast.ActionRun
	handsOver   = gooseberrymast.ActionHandOver
	queriesPeer = gooseberrymast.ActionQueryOutcome
	refuses     = gooseberrymast.ActionRefuse
	cancels     = gooseberrymast.ActionCancel
	answered    = gooseberrymast.ResultAnswered
)

var noRefusal = gooseberrymast.Refusal{}

// expectActions compares the kinds of the actions.
func expectActions(t *testing.T, actions []gooseberrymast.Action, want ...gooseberrymast.ActionKind) {
	t.Helper()
	is.New(t).Equal(actionKinds(actions), want)
}

func TestLeavingAgentHandsOverAllNewRequests(t *testing.T) {
	is := is.New(t)
	d := newConfigured(testService(), 2)
	for id := gooseberrymast.WorkID(1); id <= 2; id++ {
		expectActions(t, d.HandleRequest(epoch, newWork(id)), runs)
	}
	stream := newWork(3)
	stream.Stream = true
	expectActions(t, d.HandleRequest(epoch, stream), runs)
	for _, peer := range []byte{2, 3} {
		d.HandlePeerLoad(epoch, agentAt(peer), gooseberrymast.Load{}) // no free slots, so the next request is queued
	}
	expectActions(t, d.HandleRequest(epoch, newWork(4)))
	moved := d.Leave(at(time.Millisecond))
	expectActions(t, moved, handsOver) // the queued request
	is.True(moved[0].Displaced)
	expectActions(t, d.HandleRequest(at(2*time.Millisecond), newWork(5)), handsOver)
	stream.ID, stream.OriginID = 6, 6
	expectActions(t, d.HandleRequest(at(2*time.Millisecond), stream), handsOver)
	expectActions(t, d.HandleRequest(at(3*time.Millisecond), handedOverWork(7)), refuses)
	expectActions(t, d.Finish(at(4*time.Millisecond), 1, answered, noRefusal)) // running requests go on
	status := d.Drain(at(time.Hour))
	is.Equal(status.Streams, 2)
	is.Equal(status.Requests, 3)
	is.True(!status.Done)
}

func TestLeavingAgentWithoutPeersRunsQueueUntilGraceEnds(t *testing.T) {
	d := newConfigured(testService(), 0)
	for id := gooseberrymast.WorkID(1); id <= 4; id++ {
		work := newWork(id)
		work.Deadline = at(time.Minute)
		d.HandleRequest(epoch, work)
	}
	expectActions(t, d.Leave(epoch))
	expectActions(t, d.Finish(at(time.Second), 1, answered, noRefusal), runs) // within the grace
	actions := d.Tick(at(3 * time.Second))
	expectActions(t, actions, refuses)
	is.New(t).Equal(actions[0].Refusal.Reason, gooseberrymast.ReasonServerLeaving)
	expectActions(t, d.Finish(at(4*time.Second), 2, answered, noRefusal))
}

func TestBrokenHandOverIsRetriedOnlyIfSafe(t *testing.T) {
	tests := []struct {
		name                   string
		idempotent, known, ran bool
		retried                bool
		wantRan                gooseberrymast.Ran
	}{
		{"did not run", false, true, false, true, ""},
		{"ran or may run", false, true, true, false, gooseberrymast.RanUnknown},
		{"no reply", false, false, false, false, gooseberrymast.RanUnknown},
		{"ran but is idempotent", true, true, true, true, ""},
		{"no reply but is idempotent", true, false, false, true, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newConfigured(testService(), 2)
			d.Leave(epoch)
			work := newWork(1)
			work.Idempotent = test.idempotent
			first := d.HandleRequest(epoch, work)
			expectActions(t, first, handsOver)
			expectActions(t, d.Finish(epoch, 1, gooseberrymast.ResultBroken, noRefusal), queriesPeer)
			actions := d.HandleOutcomeReply(epoch, 1, test.known, test.ran)
			if test.retried {
				expectActions(t, actions, handsOver)
				is.New(t).True(actions[0].Peer != first[0].Peer)
				return
			}
			expectActions(t, actions, refuses)
			is.New(t).Equal(actions[0].Refusal.Ran, test.wantRan)
			expectActions(t, d.HandleOutcomeReply(epoch, 1, true, false)) // a late reply is ignored
		})
	}
}

func TestRetryByResultAndIdempotence(t *testing.T) {
	tests := []struct {
		name       string
		result     gooseberrymast.Result
		idempotent bool
		want       []gooseberrymast.ActionKind
	}{
		{"shed", gooseberrymast.ResultShed, false, []gooseberrymast.ActionKind{handsOver}},
		{"not sent", gooseberrymast.ResultNotSent, false, []gooseberrymast.ActionKind{handsOver}},
		{"broken", gooseberrymast.ResultBroken, false, []gooseberrymast.ActionKind{refuses}},
		{"broken but idempotent", gooseberrymast.ResultBroken, true, []gooseberrymast.ActionKind{handsOver}},
		{"a failure is the answer", gooseberrymast.ResultFailed, false, nil},
		{"failed but idempotent", gooseberrymast.ResultFailed, true, []gooseberrymast.ActionKind{handsOver}},
		{"torn", gooseberrymast.ResultTruncated, true, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newConfigured(testService(), 1)
			work := newWork(1)
			work.Idempotent = test.idempotent
			expectActions(t, d.HandleRequest(epoch, work), runs)
			expectActions(t, d.Finish(epoch, 1, test.result, noRefusal), test.want...)
		})
	}
}

// ejectOwnServer makes the agent's own backend server fail until it is ejected.
func ejectOwnServer(d *Dispatcher) {
	for id := gooseberrymast.WorkID(100); id < 105; id++ {
		d.HandleRequest(epoch, newWork(id))
		d.Finish(epoch, id, gooseberrymast.ResultFailed, noRefusal)
	}
}

func TestFailingServerIsProbed(t *testing.T) {
	is := is.New(t)
	d := newConfigured(testService(), 3)
	d.HandleServerStatus(epoch, true, 0) // the server still reports that it is healthy
	ejectOwnServer(d)
	is.Equal(d.Load().FreeSlots, int32(0))
	expectActions(t, d.HandleRequest(epoch, newWork(1)), handsOver)
	probe, other := newWork(2), newWork(3)
	probe.Deadline, other.Deadline = at(time.Minute), at(time.Minute)
	expectActions(t, d.HandleRequest(at(time.Second), probe), runs)
	expectActions(t, d.HandleRequest(at(time.Second), other), handsOver) // one probe at a time
	d.Finish(at(time.Second), 2, answered, noRefusal)
	is.Equal(d.Load().FreeSlots, int32(2))
}

func TestUnhealthyStatusAloneDoesNotStopRequests(t *testing.T) {
	d := newConfigured(testService(), 3)
	d.HandleServerStatus(epoch, false, 1000)
	expectActions(t, d.HandleRequest(epoch, newWork(1)), runs)
}

func TestOnlyServerIsNeverEjected(t *testing.T) {
	d := newConfigured(testService(), 0)
	ejectOwnServer(d)
	expectActions(t, d.HandleRequest(epoch, newWork(1)), runs)
}

func TestShortRequestDoesNotWaitForStragglers(t *testing.T) {
	is := is.New(t)
	d := newConfigured(testService(), 1)
	for i := range 30 {
		id := gooseberrymast.WorkID(1000 + i)
		work, took := newWork(id), 20*time.Millisecond
		if i%10 == 9 {
			work.Path, took = "/sync", time.Second
		}
		work.Deadline = at(time.Hour)
		d.HandleRequest(epoch, work)
		d.Finish(at(took), id, answered, noRefusal)
	}
	d.HandlePeerLoad(epoch, agentAt(2), gooseberrymast.Load{})
	for id := gooseberrymast.WorkID(1); id <= 2; id++ {
		work := newWork(id)
		work.Path, work.Deadline = "/sync", at(time.Hour)
		d.HandleRequest(epoch, work)
	}
	is.Equal(d.admitter.Running(), 1) // the second straggler waits for the first
	expectActions(t, d.HandleRequest(epoch, newWork(3)), runs)
	d.HandlePeerLoad(epoch, agentAt(2), gooseberrymast.Load{FreeSlots: 1})
	expectActions(t, d.HandleRequest(epoch, newWork(4)), handsOver)
}

func TestWaitingRequestGoesToAPeerWithRoom(t *testing.T) {
	is := is.New(t)
	d := newConfigured(testService(), 1)
	d.HandlePeerLoad(epoch, agentAt(2), gooseberrymast.Load{})
	for id := gooseberrymast.WorkID(1); id <= 3; id++ {
		d.HandleRequest(epoch, newWork(id))
	}
	d.HandlePeerLoad(at(time.Millisecond), agentAt(2), gooseberrymast.Load{FreeSlots: 1})
	is.True(!d.NextTick().After(at(time.Millisecond)))
	expectActions(t, d.Tick(at(time.Millisecond)), handsOver)
	refusal := gooseberrymast.Refusal{ID: "x", Reason: gooseberrymast.ReasonInProgressLimit, Ran: gooseberrymast.RanNo}
	expectActions(t, d.Finish(at(2*time.Millisecond), 3, gooseberrymast.ResultRefused, refusal)) // it is queued again
	expectActions(t, d.Finish(at(3*time.Millisecond), 1, answered, noRefusal), runs)
}

func TestRefusalOfAPeerIsPassedOn(t *testing.T) {
	d := newConfigured(testService(), 1)
	d.Leave(epoch)
	d.HandleRequest(epoch, newWork(1))
	refusal := gooseberrymast.Refusal{ID: "x", Reason: gooseberrymast.ReasonServerBroke, Ran: gooseberrymast.RanUnknown}
	actions := d.Finish(epoch, 1, gooseberrymast.ResultRefused, refusal)
	is.New(t).Equal(actions[0].Refusal, refusal)
}

func TestDisplacedRequestMayWait(t *testing.T) {
	d := newConfigured(testService(), 1)
	d.HandlePeerLoad(epoch, agentAt(2), gooseberrymast.Load{})
	for id := gooseberrymast.WorkID(1); id <= 3; id++ {
		d.HandleRequest(epoch, newWork(id))
	}
	displaced := handedOverWork(4)
	displaced.Deadline, displaced.Displaced = at(time.Minute), true
	expectActions(t, d.HandleRequest(epoch, displaced))
	expectActions(t, d.Finish(epoch, 1, answered, noRefusal), runs)
	expectActions(t, d.Finish(epoch, 3, answered, noRefusal), runs)
	expectActions(t, d.Finish(epoch, 4, gooseberrymast.ResultNotSent, noRefusal), refuses) // only its origin retries
}

func TestQueriedRequestNeverRunsLater(t *testing.T) {
	is := is.New(t)
	d := newConfigured(testService(), 1)
	is.True(!d.HandleOutcomeQuery(epoch, agentAt(2), 9))
	expectActions(t, d.HandleRequest(epoch, handedOverWork(9)), refuses)
	expectActions(t, d.HandleRequest(epoch, handedOverWork(10)), runs)
	is.True(d.HandleOutcomeQuery(epoch, agentAt(2), 10))
	expectActions(t, d.HandleRequest(epoch, handedOverWork(11)), runs)
	expectActions(t, d.HandleRequest(epoch, handedOverWork(12)))
	is.True(!d.HandleOutcomeQuery(epoch, agentAt(2), 12)) // it was queued and is dropped
	expectActions(t, d.Tick(d.NextTick()), refuses)
	expectActions(t, d.Finish(epoch, 10, answered, noRefusal))
	is.True(d.HandleOutcomeQuery(epoch, agentAt(2), 10)) // it ran
}

func TestCancelKeepsSlotUntilAttemptEnds(t *testing.T) {
	is := is.New(t)
	d := newConfigured(testService(), 0)
	for id := gooseberrymast.WorkID(1); id <= 3; id++ {
		d.HandleRequest(epoch, newWork(id))
	}
	expectActions(t, d.Cancel(epoch, 3)) // it was queued
	expectActions(t, d.Cancel(epoch, 1), cancels)
	expectActions(t, d.Cancel(epoch, 1))
	is.Equal(d.Load().FreeSlots, int32(0)) // until the attempt ends
	expectActions(t, d.Finish(epoch, 1, gooseberrymast.ResultCancelled, noRefusal))
	expectActions(t, d.Finish(epoch, 1, answered, noRefusal)) // a late result is ignored
	is.Equal(d.Load().FreeSlots, int32(1))
}

func TestTicketOfAnotherAgentIsSpentAtIssuer(t *testing.T) {
	d := newConfigured(testService(), 1)
	ticket := gooseberrymast.Ticket{Issuer: agentAt(2), Service: d.config.Tag, Sequence: 1}
	expectActions(t, d.HandleRequest(epoch, withTicket(ticket)), gooseberrymast.ActionSpend)
	expectActions(t, d.HandleSpendReply(epoch, 1, true, true), runs)
	second := withTicket(ticket)
	second.ID, second.OriginID = 2, 2
	d.HandleRequest(epoch, second)
	actions := d.HandleSpendReply(epoch, 2, true, false)
	is.New(t).Equal(lastRefusal(d, actions).Reason, gooseberrymast.ReasonTicketUsed)
}

func TestTicketIsReusableAfterRequestDidNotRun(t *testing.T) {
	d := newConfigured(testService(), 0)
	ticket := d.Issue(epoch)
	work := withTicket(ticket)
	work.Replayable = false
	expectActions(t, d.HandleRequest(epoch, work), runs)
	expectActions(t, d.Finish(epoch, 1, gooseberrymast.ResultShed, noRefusal), refuses)
	work.ID, work.OriginID = 2, 2
	expectActions(t, d.HandleRequest(at(time.Second-1), work), runs)
}

func TestLowerRevisionIsIgnored(t *testing.T) {
	d := newConfigured(testService(), 0)
	service := testService()
	service.Limits.Slots = 1
	d.Configure(epoch, 2, service)
	d.Configure(epoch, 1, testService())
	is.New(t).Equal(d.Load().FreeSlots, int32(1))
}

func TestTicketOfACancelledRequestStaysUsed(t *testing.T) {
	for _, result := range []gooseberrymast.Result{gooseberrymast.ResultBroken, gooseberrymast.ResultCancelled, gooseberrymast.ResultTruncated} {
		d := newConfigured(testService(), 0)
		work := withTicket(d.Issue(epoch))
		expectActions(t, d.HandleRequest(epoch, work), runs)
		expectActions(t, d.Cancel(epoch, 1), cancels)
		expectActions(t, d.Finish(epoch, 1, result, noRefusal))
		work.ID, work.OriginID = 2, 2
		expectActions(t, d.HandleRequest(epoch, work), refuses) // the first request may have run
	}
}

func TestRefusedHandOverIsReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	d := newConfigured(testService(), 1)
	d.Leave(epoch)
	expectActions(t, d.HandleRequest(epoch, handedOverWork(1)), refuses)
	is.True(!d.HandleOutcomeQuery(epoch, agentAt(2), 1)) // as after a refusal that was lost
}

func TestCallerIsCountedAtItsHome(t *testing.T) {
	is := is.New(t)
	service := testService()
	service.Limits.CallerRate, service.Limits.CallerBurst = 10, 4
	service.Limits.Slots = 100
	d := New(Config{Self: self, Service: "ledger", Seed: 1, CountAtHome: true})
	d.Configure(epoch, 1, service)
	peer := gooseberrymast.Member{Record: gooseberrymast.Record{Identity: agentAt(2), State: gooseberrymast.StateReady}}
	d.SetPeers(epoch, []gooseberrymast.Member{peer})
	work := newWork(1)
	work.Caller = callerAddress
	for n := byte(1); d.callers.homeOf(work.Caller) != agentAt(2); n++ {
		work.Caller = netip.AddrFrom4([4]byte{192, 0, 2, n})
	}
	first := d.HandleRequest(epoch, work)
	expectActions(t, first, gooseberrymast.ActionCount, runs)
	is.Equal(first[0].Count, 1)
	d.HandleCountReply(epoch, work.Caller, true, 0, time.Second)
	work.ID = 2
	expectActions(t, d.HandleRequest(epoch, work), refuses)
	work.ID, work.Deadline = 3, at(time.Minute)
	expectActions(t, d.HandleRequest(at(time.Second), work), gooseberrymast.ActionCount, runs)
}

func TestOverloadedAgentUsesAnotherZone(t *testing.T) {
	service := testService()
	service.Limits.Queue = 32
	d := newConfigured(service, 0)
	otherZone := gooseberrymast.Member{Record: gooseberrymast.Record{Identity: agentAt(2), State: gooseberrymast.StateReady, Zone: "cairo-b"}}
	d.SetPeers(epoch, []gooseberrymast.Member{otherZone})
	d.HandlePeerLoad(epoch, agentAt(2), gooseberrymast.Load{})
	for id := gooseberrymast.WorkID(1); id <= 10; id++ {
		d.HandleRequest(epoch, newWork(id))
	}
	overloaded := at(150 * time.Millisecond) // a request that arrives now would start next
	d.HandlePeerLoad(overloaded, agentAt(2), gooseberrymast.Load{FreeSlots: 1})
	expectActions(t, d.Tick(overloaded), handsOver)
	d.HandlePeerLoad(overloaded, agentAt(2), gooseberrymast.Load{FreeSlots: 1})
	expectActions(t, d.HandleRequest(overloaded, newWork(11)), handsOver)
}
