package dispatcher

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self  = agentAt(1)

	callerAddress = netip.MustParseAddr("192.0.2.1")
)

// agentAt returns the identity of the n-th agent.
func agentAt(n byte) gooseberrymast.Identity {
	return gooseberrymast.Identity{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000), Incarnation: 1}
}

func at(offset time.Duration) time.Time {
	return epoch.Add(offset)
}

// testService returns the limits of a service without slow start.
func testService() gooseberrymast.Service {
	return gooseberrymast.Service{
		Limits: gooseberrymast.Limits{
			Connections: 10, Slots: 2, Queue: 2, RetryBudget: 0.1, MaxEjected: 0.3,
			Deadline: gooseberrymast.Duration(time.Second), MaxDeadline: gooseberrymast.Duration(time.Minute),
		},
		Drain:     gooseberrymast.Drain{Grace: gooseberrymast.Duration(3 * time.Second)},
		CrossZone: gooseberrymast.CrossZoneWhenFull,
	}
}

// newConfigured returns a configured dispatcher with the given number of peers
// in its zone.
func newConfigured(service gooseberrymast.Service, peers byte) *Dispatcher {
	d := New(Config{Self: self, Service: "ledger", Zone: "cairo-a", Seed: 1})
	d.Configure(epoch, 1, service)
	var members []gooseberrymast.Member
	for n := byte(2); n < 2+peers; n++ {
		members = append(members, gooseberrymast.Member{Record: gooseberrymast.Record{
			Identity: agentAt(n), State: gooseberrymast.StateReady, Zone: "cairo-a",
		}})
	}
	d.SetPeers(epoch, members)
	return d
}

func newWork(id gooseberrymast.WorkID) gooseberrymast.Work {
	return gooseberrymast.Work{ID: id, Origin: self, OriginID: id, Path: "/loans", Deadline: at(time.Second), Replayable: true}
}

func actionKinds(actions []gooseberrymast.Action) []gooseberrymast.ActionKind {
	var all []gooseberrymast.ActionKind
	for _, action := range actions {
		all = append(all, action.Kind)
	}
	return all
}

func TestRequestsRunThenQueueThenAreRefused(t *testing.T) {
	is := is.New(t)
	d := newConfigured(testService(), 0)
	for id := gooseberrymast.WorkID(1); id <= 2; id++ {
		is.Equal(actionKinds(d.HandleRequest(epoch, newWork(id))), []gooseberrymast.ActionKind{gooseberrymast.ActionRun})
	}
	is.Equal(len(d.HandleRequest(epoch, newWork(3))), 0)
	is.Equal(len(d.HandleRequest(epoch, newWork(4))), 0)
	refused := d.HandleRequest(epoch, newWork(5))
	is.Equal(refused[0].Refusal.Sentence(),
		"ledger refused the request: its queue is full (queue is 2), under revision 1 at 10.0.0.1:7000. The request was not run.")
	next := d.Finish(at(time.Millisecond), 1, gooseberrymast.ResultAnswered, gooseberrymast.Refusal{})
	is.Equal(next[0].Work, gooseberrymast.WorkID(3)) // the request that was queued first takes the slot
	late := d.Tick(at(time.Second))
	is.Equal(late[0].Refusal.Reason, gooseberrymast.ReasonDeadlinePassed)
	is.Equal(late[0].Refusal.Ran, gooseberrymast.RanNo)
}

// BenchmarkRequest measures one request that runs at once, with 100 peers.
func BenchmarkRequest(b *testing.B) {
	d := newConfigured(testService(), 100)
	b.ReportAllocs()
	for id := gooseberrymast.WorkID(1); b.Loop(); id++ {
		now := at(time.Duration(id) * time.Millisecond)
		work := newWork(id)
		work.Deadline = now.Add(time.Second)
		d.HandleRequest(now, work)
		d.Finish(now.Add(time.Microsecond), id, gooseberrymast.ResultAnswered, gooseberrymast.Refusal{})
	}
}
