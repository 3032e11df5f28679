package resetter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

const maxAge = time.Minute

var (
	epoch   = time.Unix(1_000_000, 0)
	address = gooseberrymast.Endpoint{IP: [4]byte{10, 0, 3, 1}, Port: 8165}
	service = gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	routes  = &gooseberrymast.Routes{ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{service: {Address: service}}}
)

// incarnation returns the incarnation of the server that started at a time.
func incarnation(startUnixMs int64) gooseberrymast.ServerIncarnation {
	return gooseberrymast.ServerIncarnation{Address: address, ID: "i-1", StartUnixMs: startUnixMs}
}

func name(server gooseberrymast.ServerIncarnation) string {
	return fmt.Sprint(server.ID, "/", server.StartUnixMs)
}

func key(number int) gooseberrymast.FlowKey {
	return gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{10, 9, 0, 1}, Port: uint16(1024 + number)}, Service: service}
}

// recordsOf returns records of an incarnation that were confirmed a second before epoch.
func recordsOf(server gooseberrymast.ServerIncarnation, count int) gooseberrymast.AgentFlows {
	records := gooseberrymast.AgentFlows{Epoch: 7, Server: server, ConfirmedUnixMs: epoch.Add(-time.Second).UnixMilli()}
	for number := range count {
		records.Flows = append(records.Flows, gooseberrymast.FlowRecord{Key: key(number), Acknowledgement: uint32(100 + number)})
	}
	return records
}

func holdsNone(gooseberrymast.FlowKey) bool { return false }

// registered returns a Resetter whose zone has records and whose entry names a server.
func registered(server gooseberrymast.ServerIncarnation) *Resetter {
	r := &Resetter{MaxAge: maxAge}
	r.HandlePredecessor(Predecessor{Found: true, Server: name(server), Recorded: true}, epoch)
	return r
}

// Guards against resets of flows that a living server keeps, and of flows that are not
// those of the records.
func TestOnlyLaterIncarnationProvesLoss(t *testing.T) {
	recorded := incarnation(50)
	otherAddress := incarnation(60)
	otherAddress.Address.Port++
	unknownStart := recordsOf(incarnation(0), 1)
	old, future := recordsOf(recorded, 1), recordsOf(recorded, 1)
	old.ConfirmedUnixMs = epoch.Add(-maxAge - time.Second).UnixMilli()
	future.ConfirmedUnixMs = epoch.Add(time.Hour).UnixMilli()
	removed := &gooseberrymast.Routes{}
	sameStart := recorded
	sameStart.ID = "i-2"
	tests := []struct {
		name      string
		announced []gooseberrymast.ServerIncarnation
		records   gooseberrymast.AgentFlows
		routes    *gooseberrymast.Routes
		held      bool
		resets    int
	}{
		{"later", []gooseberrymast.ServerIncarnation{incarnation(60)}, recordsOf(recorded, 1), routes, false, 1},
		{"the same", []gooseberrymast.ServerIncarnation{recorded}, recordsOf(recorded, 1), routes, false, 0},
		{"earlier, late", []gooseberrymast.ServerIncarnation{incarnation(40)}, recordsOf(recorded, 1), routes, false, 0},
		{"earlier, then later", []gooseberrymast.ServerIncarnation{incarnation(40), incarnation(60)}, recordsOf(recorded, 1), routes, false, 1},
		{"later, then a late one", []gooseberrymast.ServerIncarnation{incarnation(60), recorded}, recordsOf(recorded, 1), routes, false, 1},
		{"none", nil, recordsOf(recorded, 1), routes, false, 0},
		{"same start, other id", []gooseberrymast.ServerIncarnation{sameStart}, recordsOf(recorded, 1), routes, false, 0},
		{"other address", []gooseberrymast.ServerIncarnation{otherAddress}, recordsOf(recorded, 1), routes, false, 0},
		{"recorded start unknown", []gooseberrymast.ServerIncarnation{incarnation(60)}, unknownStart, routes, false, 0},
		{"agent holds the key: the port is used again", []gooseberrymast.ServerIncarnation{incarnation(60)}, recordsOf(recorded, 1), routes, true, 0},
		{"older than a flow", []gooseberrymast.ServerIncarnation{incarnation(60)}, old, routes, false, 0},
		{"the clock went back", []gooseberrymast.ServerIncarnation{incarnation(60)}, future, routes, false, 0},
		{"route removed", []gooseberrymast.ServerIncarnation{incarnation(60)}, recordsOf(recorded, 1), removed, false, 0},
		{"no document yet", []gooseberrymast.ServerIncarnation{incarnation(60)}, recordsOf(recorded, 1), nil, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := registered(incarnation(30))
			for _, server := range test.announced {
				r.HandleServer(server, name(server), epoch)
			}
			is.Equal(r.Due(epoch), len(test.announced) > 0)
			r.HandleRead(test.records)
			var resets []gooseberrymast.PacketHeader
			for at := time.Duration(0); at < 2*maxAge; at += TickInterval {
				resets = append(resets, r.Next(test.routes, func(gooseberrymast.FlowKey) bool { return test.held }, epoch.Add(at))...)
			}
			is.Equal(len(resets), test.resets)
			if test.resets > 0 {
				is.Equal(resets[0], gooseberrymast.PacketHeader{Source: key(0).Caller, Destination: service, Acknowledgement: 100})
			}
		})
	}
}

// Guards against reads where nothing was recorded, at the first start of all, and by an
// agent that was lost without its server.
func TestRecordsAreReadOnlyAfterLossOfServer(t *testing.T) {
	recorded, later := incarnation(50), incarnation(60)
	tests := []struct {
		name        string
		predecessor Predecessor
		server      gooseberrymast.ServerIncarnation
		due         bool
	}{
		{"agent and server lost", Predecessor{Found: true, Server: name(recorded), Recorded: true}, later, true},
		{"agent lost only", Predecessor{Found: true, Server: name(recorded), Recorded: true}, recorded, false},
		{"entry without a server", Predecessor{Found: true, Recorded: true}, recorded, true},
		{"nothing recorded", Predecessor{Found: true, Server: name(recorded)}, later, false},
		{"new instance", Predecessor{Recorded: true}, later, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := &Resetter{MaxAge: maxAge}
			r.HandleServer(test.server, name(test.server), epoch)
			is.True(!r.Due(epoch)) // what the store says is not known yet
			r.HandlePredecessor(test.predecessor, epoch)
			is.Equal(r.Due(epoch), test.due)
			r.HandleRead(gooseberrymast.AgentFlows{})
			is.True(!r.Due(epoch)) // records are read once
		})
	}
}

// Guards against an agent that gives up while the store is away at the time of the loss,
// and against one that floods it.
func TestFailedReadIsRepeatedWithPauses(t *testing.T) {
	is := is.New(t)
	r := registered(incarnation(50))
	r.HandleServer(incarnation(60), name(incarnation(60)), epoch)
	calls := 0
	for at := time.Duration(0); at < 10*time.Second; at += TickInterval {
		if r.Due(epoch.Add(at)) {
			calls++
			r.HandleFailedRead(epoch.Add(at))
		}
		_, settled := r.Settled(epoch.Add(at))
		is.True(!settled)
	}
	is.True(calls >= 7 && calls <= 9)
	is.True(r.Due(epoch.Add(12 * time.Second)))
	r.HandleRead(recordsOf(incarnation(50), 1))
	is.Equal(len(r.Next(routes, holdsNone, epoch.Add(12*time.Second))), 1)
}

// Nothing is left to reset after the maximum age of a flow, and the agent's own records
// must not wait for longer.
func TestReadIsGivenUp(t *testing.T) {
	is := is.New(t)
	r := registered(incarnation(50))
	r.HandleServer(incarnation(60), name(incarnation(60)), epoch)
	is.True(!r.Due(epoch.Add(maxAge + time.Second)))
	_, settled := r.Settled(epoch.Add(maxAge + time.Second))
	is.True(settled)
}

// Guards against a burst of resets, after which all callers open new flows at once at a
// server that has just started.
func TestResetsArePaced(t *testing.T) {
	is := is.New(t)
	r := registered(incarnation(50))
	r.HandleServer(incarnation(60), name(incarnation(60)), epoch)
	const count = 50
	r.HandleRead(recordsOf(incarnation(50), count))
	_, settled := r.Settled(epoch.Add(lateTime))
	is.True(!settled) // the proof is there, but not all resets were sent
	total := 0
	for tick := range 4 {
		resets := r.Next(routes, holdsNone, epoch.Add(time.Duration(tick)*TickInterval))
		is.True(len(resets) <= resetsPerTick)
		total += len(resets)
	}
	is.Equal(total, count)
	epochRead, settled := r.Settled(epoch)
	is.True(settled)
	is.Equal(epochRead, uint64(7))
}

// Guards against records that are replaced before a late announcement of the server that
// has ended is followed by the first one of its successor, so that a second loss, or the
// same one, finds no records.
func TestRecordsAreKeptWhileLaterIncarnationMayCome(t *testing.T) {
	is := is.New(t)
	r := registered(incarnation(50))
	r.HandleServer(incarnation(50), name(incarnation(50)), epoch)
	_, settled := r.Settled(epoch.Add(time.Second))
	is.True(!settled)
	r.HandleServer(incarnation(60), name(incarnation(60)), epoch.Add(time.Second))
	is.True(r.Due(epoch.Add(time.Second)))
	_, settled = r.Settled(epoch.Add(lateTime + time.Second))
	is.True(!settled)

	alone := registered(incarnation(50))
	alone.HandleServer(incarnation(50), name(incarnation(50)), epoch)
	_, settled = alone.Settled(epoch.Add(lateTime))
	is.True(settled)
	alone.HandleServer(incarnation(60), name(incarnation(60)), epoch.Add(time.Minute))
	is.True(!alone.Due(epoch.Add(time.Minute))) // by then the records are the agent's own
}
