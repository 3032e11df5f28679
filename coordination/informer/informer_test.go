package informer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var (
	epoch    = time.Unix(1_000_000, 0)
	agent    = endpoint(3, 1)
	first    = endpoint(2, 1)
	second   = endpoint(2, 2)
	relays   = []gooseberrymast.Endpoint{first, second}
	serverAt = endpoint(3, 1)
	server   = gooseberrymast.ServerIncarnation{Address: serverAt, ID: "i-1", StartUnixMs: 1}
)

func endpoint(net, number byte) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{10, 0, net, number}, Port: 7720}
}

func key(number int) gooseberrymast.FlowKey {
	return gooseberrymast.FlowKey{
		Caller:  gooseberrymast.Endpoint{IP: [4]byte{10, 9, 0, 1}, Port: uint16(1024 + number)},
		Service: gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
}

func flows(count int, acknowledgement uint32) []gooseberrymast.HeldFlow {
	var made []gooseberrymast.HeldFlow
	for number := range count {
		made = append(made, gooseberrymast.HeldFlow{Key: key(number), Acknowledgement: acknowledgement, Age: MinFlowAge, Requests: 1})
	}
	return made
}

func newInformer() *Informer {
	i := &Informer{Agent: agent, Mode: gooseberrymast.FlowRecordsOn}
	i.Start(100, false)
	return i
}

// accept lets a relay accept the update.
func accept(i *Informer, relay gooseberrymast.Endpoint, update *gooseberrymast.FlowUpdate) (more bool) {
	return i.HandleAnswer(gooseberrymast.FlowUpdateAnswer{Relay: relay, Epoch: update.Epoch, Sequence: update.Sequence})
}

// Guards against updates that repeat what the relay holds, and against resets that a
// caller ignores, since it has acknowledged much more than the record says.
func TestOnlyChangesAreSent(t *testing.T) {
	is := is.New(t)
	i := newInformer()
	update, relay := i.Tick(Snapshot{Server: server, Flows: flows(2, 7)}, relays, epoch)
	is.Equal(relay, first)
	is.Equal(update.Base, uint64(0))
	is.Equal(len(update.Flows), 2)
	is.Equal(update.Server, server)
	accept(i, first, update)
	update, _ = i.Tick(Snapshot{Server: server, Flows: flows(2, 7+maxDrift-1)}, relays, epoch)
	is.Equal(update, nil)
	update, _ = i.Tick(Snapshot{Server: server, Flows: flows(1, 7+maxDrift)}, relays, epoch)
	is.Equal(update.Flows, []gooseberrymast.FlowRecord{{Key: key(0), Acknowledgement: 7 + maxDrift}})
	is.Equal(update.Closed, []gooseberrymast.FlowKey{key(1)})
	is.True(update.Base != 0)
	accept(i, first, update)
	is.Equal(i.Recorded(), 1)
}

// Sequence numbers wrap.
func TestAcknowledgementMayWrap(t *testing.T) {
	is := is.New(t)
	i := newInformer()
	update, _ := i.Tick(Snapshot{Server: server, Flows: flows(1, 1<<32-10)}, relays, epoch)
	accept(i, first, update)
	update, _ = i.Tick(Snapshot{Server: server, Flows: flows(1, 20)}, relays, epoch)
	is.Equal(update, nil)
	update, _ = i.Tick(Snapshot{Server: server, Flows: flows(1, maxDrift)}, relays, epoch)
	is.Equal(len(update.Flows), 1)
}

// Guards against a relay that misses changes, as datagrams are lost, and against floods
// to one of an earlier build that never answers.
func TestUpdateIsRepeatedUntilAnswered(t *testing.T) {
	is := is.New(t)
	i := newInformer()
	snapshot := Snapshot{Server: server, Flows: flows(1, 7)}
	lost, _ := i.Tick(snapshot, relays[:1], epoch)
	sent := 0
	for at := TickInterval; at <= time.Minute; at += TickInterval {
		if again, _ := i.Tick(snapshot, relays[:1], epoch.Add(at)); again != nil {
			is.Equal(again, lost)
			sent++
		}
	}
	is.True(sent >= 7 && sent <= 12)
	accept(i, first, lost)
	update, _ := i.Tick(Snapshot{Server: server}, relays[:1], epoch.Add(time.Minute))
	is.Equal(update.Closed, []gooseberrymast.FlowKey{key(0)})
}

// Guards against flows that no relay knows since the first one is of an earlier build or
// paused.
func TestOtherRelayIsTriedWithoutAnswer(t *testing.T) {
	is := is.New(t)
	i := newInformer()
	snapshot := Snapshot{Server: server, Flows: flows(1, 7)}
	for at := time.Duration(0); at <= 10*time.Second; at += TickInterval {
		update, relay := i.Tick(snapshot, relays, epoch.Add(at))
		if update != nil && relay == second {
			is.Equal(update.Base, uint64(0))
			accept(i, second, update)
		}
	}
	is.Equal(i.Recorded(), 1)
	_, relay := i.Tick(snapshot, relays, epoch.Add(time.Minute))
	is.Equal(relay, first) // all agents return to one relay, so that one writes
}

// Guards against records that are missing at a relay that is new, has restarted or was
// overtaken by a later run of the agent.
func TestAllFlowsAreSentAgain(t *testing.T) {
	snapshot := Snapshot{Server: server, Flows: flows(3, 7)}
	tests := []struct {
		name   string
		change func(i *Informer, last *gooseberrymast.FlowUpdate)
		relays []gooseberrymast.Endpoint
		server gooseberrymast.ServerIncarnation
		epoch  uint64
	}{
		{"another relay", func(*Informer, *gooseberrymast.FlowUpdate) {}, relays[1:], server, 100},
		{"the relay has restarted", func(i *Informer, last *gooseberrymast.FlowUpdate) {
			update, _ := i.Tick(Snapshot{Server: server, Flows: flows(2, 7)}, relays, epoch)
			i.HandleAnswer(gooseberrymast.FlowUpdateAnswer{Relay: first, Epoch: last.Epoch, Sequence: update.Sequence, Resend: true})
		}, relays, server, 100},
		{"the clock went back", func(i *Informer, _ *gooseberrymast.FlowUpdate) {
			i.HandleAnswer(gooseberrymast.FlowUpdateAnswer{Relay: first, Epoch: 500})
		}, relays, server, 501},
		{"another server", func(*Informer, *gooseberrymast.FlowUpdate) {}, relays,
			gooseberrymast.ServerIncarnation{Address: serverAt, ID: "i-2", StartUnixMs: 2}, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			i := newInformer()
			last, _ := i.Tick(snapshot, relays, epoch)
			accept(i, first, last)
			test.change(i, last)
			snapshot := snapshot
			snapshot.Server = test.server
			update, _ := i.Tick(snapshot, test.relays, epoch)
			is.Equal(update.Base, uint64(0))
			is.Equal(len(update.Flows), 3)
			is.Equal(update.Server, test.server)
			is.Equal(update.Epoch, test.epoch)
			is.True(update.Sequence > last.Sequence)
		})
	}
}

// Guards against memory and datagrams that grow with what callers do.
func TestFlowsAreBounded(t *testing.T) {
	is := is.New(t)
	i := newInformer()
	snapshot := Snapshot{Server: server, Flows: flows(MaxFlows+50, 7)}
	update, _ := i.Tick(snapshot, relays, epoch)
	for more := true; more; {
		is.True(len(update.Flows)+len(update.Closed) <= maxChanges)
		if more = accept(i, first, update); more {
			update, _ = i.Tick(snapshot, relays, epoch)
		}
	}
	is.Equal(i.Recorded(), MaxFlows)
	is.Equal(i.LeftOut(), 50)
	update, _ = i.Tick(snapshot, relays, epoch)
	is.Equal(update, nil)
}

// Guards against records where flows carry one request each, or where none is wanted.
func TestModeDecidesWhetherFlowsAreRecorded(t *testing.T) {
	long := flows(1, 7)
	long[0].Age, long[0].Requests = longFlowAge, 2
	oneRequest, young := flows(1, 7), flows(1, 7)
	oneRequest[0].Age, young[0].Requests = time.Minute, 2
	tests := []struct {
		name     string
		mode     gooseberrymast.FlowRecordsMode
		flows    []gooseberrymast.HeldFlow
		stored   bool
		recorded bool
	}{
		{"on", gooseberrymast.FlowRecordsOn, young, false, true},
		{"off", gooseberrymast.FlowRecordsOff, long, true, false},
		{"zero", "", long, true, false},
		{"auto, long flow", gooseberrymast.FlowRecordsAuto, long, false, true},
		{"auto, one request", gooseberrymast.FlowRecordsAuto, oneRequest, false, false},
		{"auto, young flow", gooseberrymast.FlowRecordsAuto, young, false, false},
		{"auto, recorded before the start", gooseberrymast.FlowRecordsAuto, young, true, true},
		{"on, no flows", gooseberrymast.FlowRecordsOn, nil, false, false},
		{"on, no flows any more", gooseberrymast.FlowRecordsOn, nil, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			i := &Informer{Agent: agent, Mode: test.mode}
			i.Start(100, test.stored)
			update, _ := i.Tick(Snapshot{Server: server, Flows: test.flows}, relays, epoch)
			is.Equal(update != nil, test.recorded)
		})
	}
}

// Guards against records that replace those of an earlier run before these were used,
// and that prove nothing later, since the incarnation is unknown.
func TestNothingIsSentBeforeStartOrWithoutIncarnationOrRelay(t *testing.T) {
	is := is.New(t)
	snapshot := Snapshot{Server: server, Flows: flows(1, 7)}
	i := &Informer{Agent: agent, Mode: gooseberrymast.FlowRecordsOn}
	update, _ := i.Tick(snapshot, relays, epoch)
	is.Equal(update, nil)
	i.Start(100, false)
	update, _ = i.Tick(Snapshot{Flows: snapshot.Flows}, relays, epoch)
	is.Equal(update, nil)
	update, _ = i.Tick(snapshot, nil, epoch) // a zone without a relay
	is.Equal(update, nil)
	update, _ = i.Tick(snapshot, relays, epoch)
	is.Equal(len(update.Flows), 1)
}
