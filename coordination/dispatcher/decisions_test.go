package dispatcher

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

const (
	runs     = gooseberrymast.ActionRun
	handsOn  = gooseberrymast.ActionHandOver
	asks     = gooseberrymast.ActionAsk
	refuses  = gooseberrymast.ActionRefuse
	cancels  = gooseberrymast.ActionCancel
	answered = gooseberrymast.ResultAnswered
)

var none = gooseberrymast.Refusal{}

// expect compares the kinds of the actions.
func expect(t *testing.T, actions []gooseberrymast.Action, want ...gooseberrymast.ActionKind) {
	t.Helper()
	is.New(t).Equal(kinds(actions), want)
}

func TestLeavingAgentHandsOverAllNewRequests(t *testing.T) {
	is := is.New(t)
	d := ready(limits(), 2)
	for id := gooseberrymast.WorkID(1); id <= 2; id++ {
		expect(t, d.Arrive(epoch, request1(id)), runs)
	}
	stream := request1(3)
	stream.Stream = true
	expect(t, d.Arrive(epoch, stream), runs)
	for _, peer := range []byte{2, 3} {
		d.PeerLoad(epoch, agentAt(peer), gooseberrymast.Load{}) // no room, so the next waits
	}
	expect(t, d.Arrive(epoch, request1(4)))
	moved := d.Leave(at(time.Millisecond))
	expect(t, moved, handsOn) // the one that waited
	is.True(moved[0].Displaced)
	expect(t, d.Arrive(at(2*time.Millisecond), request1(5)), handsOn)
	stream.ID, stream.OriginID = 6, 6
	expect(t, d.Arrive(at(2*time.Millisecond), stream), handsOn)
	expect(t, d.Arrive(at(3*time.Millisecond), handedOver(7)), refuses)
	expect(t, d.Finish(at(4*time.Millisecond), 1, answered, none)) // what runs goes on
	status := d.Drain(at(time.Hour))
	is.Equal(status.Streams, 2)
	is.Equal(status.Requests, 3)
	is.True(!status.Done)
}

func TestQueueOfALeavingAgentWithoutPeers(t *testing.T) {
	d := ready(limits(), 0)
	for id := gooseberrymast.WorkID(1); id <= 4; id++ {
		work := request1(id)
		work.Deadline = at(time.Minute)
		d.Arrive(epoch, work)
	}
	expect(t, d.Leave(epoch))
	expect(t, d.Finish(at(time.Second), 1, answered, none), runs) // within the grace
	actions := d.Tick(at(3 * time.Second))
	expect(t, actions, refuses)
	is.New(t).Equal(actions[0].Refusal.Reason, gooseberrymast.ReasonServerLeaving)
	expect(t, d.Finish(at(4*time.Second), 2, answered, none))
}

func TestBrokenHandOver(t *testing.T) {
	tests := []struct {
		name                   string
		idempotent, known, ran bool
		again                  bool
		said                   gooseberrymast.Ran
	}{
		{"did not run", false, true, false, true, ""},
		{"ran or may run", false, true, true, false, gooseberrymast.RanUnknown},
		{"no reply", false, false, false, false, gooseberrymast.RanUnknown},
		{"ran but is idempotent", true, true, true, true, ""},
		{"no reply but is idempotent", true, false, false, true, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := ready(limits(), 2)
			d.Leave(epoch)
			work := request1(1)
			work.Idempotent = test.idempotent
			first := d.Arrive(epoch, work)
			expect(t, first, handsOn)
			expect(t, d.Finish(epoch, 1, gooseberrymast.ResultBroken, none), asks)
			actions := d.Answered(epoch, 1, test.known, test.ran)
			if test.again {
				expect(t, actions, handsOn)
				is.New(t).True(actions[0].Peer != first[0].Peer)
				return
			}
			expect(t, actions, refuses)
			is.New(t).Equal(actions[0].Refusal.Ran, test.said)
			expect(t, d.Answered(epoch, 1, true, false)) // a crossed reply finds nobody
		})
	}
}

func TestRetries(t *testing.T) {
	tests := []struct {
		name       string
		result     gooseberrymast.Result
		idempotent bool
		want       []gooseberrymast.ActionKind
	}{
		{"shed", gooseberrymast.ResultShed, false, []gooseberrymast.ActionKind{handsOn}},
		{"not sent", gooseberrymast.ResultNotSent, false, []gooseberrymast.ActionKind{handsOn}},
		{"broken", gooseberrymast.ResultBroken, false, []gooseberrymast.ActionKind{refuses}},
		{"broken but idempotent", gooseberrymast.ResultBroken, true, []gooseberrymast.ActionKind{handsOn}},
		{"a failure is the answer", gooseberrymast.ResultFailed, false, nil},
		{"failed but idempotent", gooseberrymast.ResultFailed, true, []gooseberrymast.ActionKind{handsOn}},
		{"torn", gooseberrymast.ResultTorn, true, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := ready(limits(), 1)
			work := request1(1)
			work.Idempotent = test.idempotent
			expect(t, d.Arrive(epoch, work), runs)
			expect(t, d.Finish(epoch, 1, test.result, none), test.want...)
		})
	}
}

// failing lets the own backend server fail until it is ejected.
func failing(d *Dispatcher) {
	for id := gooseberrymast.WorkID(100); id < 105; id++ {
		d.Arrive(epoch, request1(id))
		d.Finish(epoch, id, gooseberrymast.ResultFailed, none)
	}
}

func TestFailingServerIsProbed(t *testing.T) {
	is := is.New(t)
	d := ready(limits(), 3)
	d.Observe(epoch, true, 0) // and says that it is well
	failing(d)
	is.Equal(d.Load().FreeSlots, int32(0))
	expect(t, d.Arrive(epoch, request1(1)), handsOn)
	probe, other := request1(2), request1(3)
	probe.Deadline, other.Deadline = at(time.Minute), at(time.Minute)
	expect(t, d.Arrive(at(time.Second), probe), runs)
	expect(t, d.Arrive(at(time.Second), other), handsOn) // one probe at a time
	d.Finish(at(time.Second), 2, answered, none)
	is.Equal(d.Load().FreeSlots, int32(2))
}

func TestHealthIsAHint(t *testing.T) {
	d := ready(limits(), 3)
	d.Observe(epoch, false, 1000)
	expect(t, d.Arrive(epoch, request1(1)), runs)
}

func TestOnlyServerIsNeverEjected(t *testing.T) {
	d := ready(limits(), 0)
	failing(d)
	expect(t, d.Arrive(epoch, request1(1)), runs)
}

func TestShortRequestDoesNotWaitForStragglers(t *testing.T) {
	is := is.New(t)
	d := ready(limits(), 1)
	for i := range 30 {
		id := gooseberrymast.WorkID(1000 + i)
		work, took := request1(id), 20*time.Millisecond
		if i%10 == 9 {
			work.Path, took = "/sync", time.Second
		}
		work.Deadline = at(time.Hour)
		d.Arrive(epoch, work)
		d.Finish(at(took), id, answered, none)
	}
	d.PeerLoad(epoch, agentAt(2), gooseberrymast.Load{})
	for id := gooseberrymast.WorkID(1); id <= 2; id++ {
		work := request1(id)
		work.Path, work.Deadline = "/sync", at(time.Hour)
		d.Arrive(epoch, work)
	}
	is.Equal(d.admitter.Running(), 1) // the second straggler waits for the first
	expect(t, d.Arrive(epoch, request1(3)), runs)
	d.PeerLoad(epoch, agentAt(2), gooseberrymast.Load{FreeSlots: 1})
	expect(t, d.Arrive(epoch, request1(4)), handsOn)
}

func TestWaitingRequestGoesToAPeerWithRoom(t *testing.T) {
	is := is.New(t)
	d := ready(limits(), 1)
	d.PeerLoad(epoch, agentAt(2), gooseberrymast.Load{})
	for id := gooseberrymast.WorkID(1); id <= 3; id++ {
		d.Arrive(epoch, request1(id))
	}
	d.PeerLoad(at(time.Millisecond), agentAt(2), gooseberrymast.Load{FreeSlots: 1})
	is.True(!d.NextTick().After(at(time.Millisecond)))
	expect(t, d.Tick(at(time.Millisecond)), handsOn)
	refusal := gooseberrymast.Refusal{ID: "x", Reason: gooseberrymast.ReasonInProgressLimit, Ran: gooseberrymast.RanNo}
	expect(t, d.Finish(at(2*time.Millisecond), 3, gooseberrymast.ResultRefused, refusal)) // it waits again
	expect(t, d.Finish(at(3*time.Millisecond), 1, answered, none), runs)
}

func TestRefusalOfAPeerIsPassedOn(t *testing.T) {
	d := ready(limits(), 1)
	d.Leave(epoch)
	d.Arrive(epoch, request1(1))
	refusal := gooseberrymast.Refusal{ID: "x", Reason: gooseberrymast.ReasonServerBroke, Ran: gooseberrymast.RanUnknown}
	actions := d.Finish(epoch, 1, gooseberrymast.ResultRefused, refusal)
	is.New(t).Equal(actions[0].Refusal, refusal)
}

func TestDisplacedRequestMayWait(t *testing.T) {
	d := ready(limits(), 1)
	d.PeerLoad(epoch, agentAt(2), gooseberrymast.Load{})
	for id := gooseberrymast.WorkID(1); id <= 3; id++ {
		d.Arrive(epoch, request1(id))
	}
	displaced := handedOver(4)
	displaced.Deadline, displaced.Displaced = at(time.Minute), true
	expect(t, d.Arrive(epoch, displaced))
	expect(t, d.Finish(epoch, 1, answered, none), runs)
	expect(t, d.Finish(epoch, 3, answered, none), runs)
	expect(t, d.Finish(epoch, 4, gooseberrymast.ResultNotSent, none), refuses) // only its origin retries
}

func TestAskedRequestNeverRunsLater(t *testing.T) {
	is := is.New(t)
	d := ready(limits(), 1)
	is.True(!d.Ask(epoch, agentAt(2), 9))
	expect(t, d.Arrive(epoch, handedOver(9)), refuses)
	expect(t, d.Arrive(epoch, handedOver(10)), runs)
	is.True(d.Ask(epoch, agentAt(2), 10))
	expect(t, d.Arrive(epoch, handedOver(11)), runs)
	expect(t, d.Arrive(epoch, handedOver(12)))
	is.True(!d.Ask(epoch, agentAt(2), 12)) // it waited and is dropped
	expect(t, d.Tick(d.NextTick()), refuses)
	expect(t, d.Finish(epoch, 10, answered, none))
	is.True(d.Ask(epoch, agentAt(2), 10)) // it ran
}

func TestCancel(t *testing.T) {
	is := is.New(t)
	d := ready(limits(), 0)
	for id := gooseberrymast.WorkID(1); id <= 3; id++ {
		d.Arrive(epoch, request1(id))
	}
	expect(t, d.Cancel(epoch, 3)) // it waited
	expect(t, d.Cancel(epoch, 1), cancels)
	expect(t, d.Cancel(epoch, 1))
	is.Equal(d.Load().FreeSlots, int32(0)) // until the attempt is over
	expect(t, d.Finish(epoch, 1, gooseberrymast.ResultCancelled, none))
	expect(t, d.Finish(epoch, 1, answered, none)) // a late result finds nobody
	is.Equal(d.Load().FreeSlots, int32(1))
}

func TestTicketOfAnotherAgent(t *testing.T) {
	d := ready(limits(), 1)
	ticket := gooseberrymast.Ticket{Issuer: agentAt(2), Service: d.config.Tag, Sequence: 1}
	expect(t, d.Arrive(epoch, withTicket(ticket)), gooseberrymast.ActionSpend)
	expect(t, d.Spent(epoch, 1, true, true), runs)
	second := withTicket(ticket)
	second.ID, second.OriginID = 2, 2
	d.Arrive(epoch, second)
	actions := d.Spent(epoch, 2, true, false)
	is.New(t).Equal(last(d, actions).Reason, gooseberrymast.ReasonTicketUsed)
}

func TestTicketOfARequestThatDidNotRunIsGoodAgain(t *testing.T) {
	d := ready(limits(), 0)
	ticket := d.Issue(epoch)
	work := withTicket(ticket)
	work.Replayable = false
	expect(t, d.Arrive(epoch, work), runs)
	expect(t, d.Finish(epoch, 1, gooseberrymast.ResultShed, none), refuses)
	work.ID, work.OriginID = 2, 2
	expect(t, d.Arrive(at(time.Second-1), work), runs)
}

func TestLowerRevisionIsIgnored(t *testing.T) {
	d := ready(limits(), 0)
	service := limits()
	service.Limits.Slots = 1
	d.Configure(epoch, 2, service)
	d.Configure(epoch, 1, limits())
	is.New(t).Equal(d.Load().FreeSlots, int32(1))
}

func TestTicketOfACancelledRequestThatBroke(t *testing.T) {
	for _, result := range []gooseberrymast.Result{gooseberrymast.ResultBroken, gooseberrymast.ResultCancelled, gooseberrymast.ResultTorn} {
		d := ready(limits(), 0)
		work := withTicket(d.Issue(epoch))
		expect(t, d.Arrive(epoch, work), runs)
		expect(t, d.Cancel(epoch, 1), cancels)
		expect(t, d.Finish(epoch, 1, result, none))
		work.ID, work.OriginID = 2, 2
		expect(t, d.Arrive(epoch, work), refuses) // the first may have run
	}
}

func TestRefusedHandOverIsKnownNotToRun(t *testing.T) {
	is := is.New(t)
	d := ready(limits(), 1)
	d.Leave(epoch)
	expect(t, d.Arrive(epoch, handedOver(1)), refuses)
	is.True(!d.Ask(epoch, agentAt(2), 1)) // the refusal was lost
}

func TestCallerIsCountedAtItsHome(t *testing.T) {
	is := is.New(t)
	service := limits()
	service.Limits.CallerRate, service.Limits.CallerBurst = 10, 4
	service.Limits.Slots = 100
	d := New(Config{Self: here, Service: "ledger", Seed: 1, CountAtHome: true})
	d.Configure(epoch, 1, service)
	peer := gooseberrymast.Member{Record: gooseberrymast.Record{Identity: agentAt(2), State: gooseberrymast.StateReady}}
	d.Peers(epoch, []gooseberrymast.Member{peer})
	work := request1(1)
	work.Caller = callerAddress
	for n := byte(1); d.callers.homeOf(work.Caller) != agentAt(2); n++ {
		work.Caller = netip.AddrFrom4([4]byte{192, 0, 2, n})
	}
	first := d.Arrive(epoch, work)
	expect(t, first, gooseberrymast.ActionCount, runs)
	is.Equal(first[0].Count, 1)
	d.Counted(epoch, work.Caller, true, 0, time.Second)
	work.ID = 2
	expect(t, d.Arrive(epoch, work), refuses)
	work.ID, work.Deadline = 3, at(time.Minute)
	expect(t, d.Arrive(at(time.Second), work), gooseberrymast.ActionCount, runs)
}

func TestOverloadedAgentUsesAnotherZone(t *testing.T) {
	service := limits()
	service.Limits.Queue = 32
	d := ready(service, 0)
	far := gooseberrymast.Member{Record: gooseberrymast.Record{Identity: agentAt(2), State: gooseberrymast.StateReady, Zone: "cairo-b"}}
	d.Peers(epoch, []gooseberrymast.Member{far})
	d.PeerLoad(epoch, agentAt(2), gooseberrymast.Load{})
	for id := gooseberrymast.WorkID(1); id <= 10; id++ {
		d.Arrive(epoch, request1(id))
	}
	overloaded := at(150 * time.Millisecond) // what arrives now would start next
	d.PeerLoad(overloaded, agentAt(2), gooseberrymast.Load{FreeSlots: 1})
	expect(t, d.Tick(overloaded), handsOn)
	d.PeerLoad(overloaded, agentAt(2), gooseberrymast.Load{FreeSlots: 1})
	expect(t, d.Arrive(overloaded, request1(11)), handsOn)
}
