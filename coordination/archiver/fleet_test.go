package archiver

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/informer"
	"gooseberrymast/coordination/resetter"
)

const (
	tick = 100 * time.Millisecond
	// announceInterval is the time between two announcements of a server.
	announceInterval = 800 * time.Millisecond
	flowsPerServer   = 30
	maxAge           = time.Minute
)

var (
	start   = time.Unix(1_000_000, 0)
	service = gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	routes  = &gooseberrymast.Routes{ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{service: {Address: service}}}
)

// fleet is an availability zone in virtual time: agents with their servers, balancers
// and the store's object.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	// lossRate is the share of lost datagrams. unknownRate is the share of writes that
	// take effect without a response.
	lossRate, unknownRate float64
	storeAway             bool
	era                   uint64
	version               uint64
	records               []gooseberrymast.AgentFlows
	calls, writes         int
	balancers             []*testBalancer
	instances             []*testInstance
	nextPort              uint16
	nextStart             int64
	// reset holds the flows whose callers were sent a reset, at the time since start.
	reset map[gooseberrymast.FlowKey]time.Duration
}

type testBalancer struct {
	endpoint gooseberrymast.Endpoint
	archiver *Archiver // nil while the process is down
}

type testInstance struct {
	endpoint gooseberrymast.Endpoint
	informer *informer.Informer // nil while the process is down
	resetter *resetter.Resetter
	server   gooseberrymast.ServerIncarnation // zero while it is down
	// flows are those that the server holds.
	flows []testFlow
	// entryServer is the incarnation that the entry names.
	entryServer string
	announced   gooseberrymast.ServerIncarnation
	announceAt  time.Time
	// reversed makes the agent rank the relays the other way round.
	reversed bool
}

type testFlow struct {
	key      gooseberrymast.FlowKey
	openedAt time.Time
}

func newFleet(t *testing.T, agents, balancers int) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(1, 2)), now: start, era: 1, nextPort: 1024, reset: map[gooseberrymast.FlowKey]time.Duration{}}
	for number := range balancers {
		f.balancers = append(f.balancers, &testBalancer{endpoint: gooseberrymast.Endpoint{IP: [4]byte{10, 0, 2, byte(number)}, Port: 7720}})
	}
	for number := range agents {
		f.instances = append(f.instances, &testInstance{endpoint: gooseberrymast.Endpoint{IP: [4]byte{10, 0, 3, byte(number)}, Port: 7720}})
	}
	for _, i := range f.instances {
		f.startServer(i)
		f.startAgent(i, false)
	}
	f.startBalancers()
	return f
}

func (f *fleet) startServer(i *testInstance) {
	f.nextStart++
	i.server = gooseberrymast.ServerIncarnation{Address: i.endpoint, ID: "s", StartUnixMs: f.nextStart}
	i.flows, i.announceAt = nil, f.now.Add(announceInterval)
}

func (f *fleet) startAgent(i *testInstance, found bool) {
	i.informer = &informer.Informer{Agent: i.endpoint, Mode: gooseberrymast.FlowRecordsOn}
	i.resetter = &resetter.Resetter{MaxAge: maxAge}
	i.announced = gooseberrymast.ServerIncarnation{}
	i.resetter.HandlePredecessor(resetter.Predecessor{Found: found, Server: i.entryServer, Recorded: f.version > 0}, f.now)
	i.entryServer = ""
}

func (f *fleet) startBalancers() {
	for _, b := range f.balancers {
		b.archiver = &Archiver{Self: b.endpoint, MaxAge: maxAge}
	}
}

// loseProcesses ends all processes of the load balancer, and the servers, too, if they
// are lost.
func (f *fleet) loseProcesses(servers bool) {
	for _, b := range f.balancers {
		b.archiver = nil
	}
	for _, i := range f.instances {
		f.loseInstance(i, servers)
	}
}

func (f *fleet) loseInstance(i *testInstance, server bool) {
	i.informer = nil
	if server {
		i.server, i.flows = gooseberrymast.ServerIncarnation{}, nil
	}
}

// startAll starts everything again after a loss.
func (f *fleet) startAll() {
	f.startBalancers()
	for _, i := range f.instances {
		if i.server.StartUnixMs == 0 {
			f.startServer(i)
		}
		f.startAgent(i, true)
	}
}

// run lets time pass. Each server's callers replace a flow every two seconds.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, i := range f.instances {
			f.stepServer(i)
			if i.informer != nil {
				f.stepAgent(i)
			}
		}
		for _, b := range f.balancers {
			if b.archiver != nil {
				f.stepBalancer(b)
			}
		}
	}
}

func (f *fleet) stepServer(i *testInstance) {
	if i.server.StartUnixMs == 0 {
		return
	}
	if len(f.reset) == 0 && (len(i.flows) < flowsPerServer || f.random.IntN(20) == 0) {
		if len(i.flows) == flowsPerServer {
			closed := f.random.IntN(flowsPerServer)
			i.flows = slices.Delete(i.flows, closed, closed+1)
		}
		f.nextPort++
		key := gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{10, 9, 0, 1}, Port: f.nextPort}, Service: service}
		i.flows = append(i.flows, testFlow{key, f.now})
	}
	if i.informer != nil && !f.now.Before(i.announceAt) {
		i.announceAt = f.now.Add(announceInterval)
		i.announced = i.server
		i.entryServer = fmt.Sprint(i.server.StartUnixMs)
		i.resetter.HandleServer(i.server, i.entryServer, f.now)
	}
}

func (f *fleet) stepAgent(i *testInstance) {
	if i.resetter.Due(f.now) {
		f.calls++
		if f.storeAway {
			i.resetter.HandleFailedRead(f.now)
		} else {
			var own gooseberrymast.AgentFlows
			for _, records := range f.records {
				if records.Agent == i.endpoint {
					own = records
				}
			}
			i.resetter.HandleRead(own)
		}
	}
	for _, header := range i.resetter.Next(routes, func(gooseberrymast.FlowKey) bool { return false }, f.now) {
		f.checkReset(header.FromCaller())
	}
	if f.now.Sub(start)%informer.TickInterval != 0 {
		return
	}
	if epoch, settled := i.resetter.Settled(f.now); settled {
		i.informer.Start(max(uint64(f.now.UnixMilli()), epoch+1), i.resetter.Recorded())
	}
	f.inform(i)
}

// inform sends the agent's updates until there are no more.
func (f *fleet) inform(i *testInstance) {
	snapshot := informer.Snapshot{Server: i.announced}
	if i.announced == i.server {
		for _, flow := range i.flows {
			if age := f.now.Sub(flow.openedAt); age >= informer.MinFlowAge {
				snapshot.Flows = append(snapshot.Flows, gooseberrymast.HeldFlow{Key: flow.key, Acknowledgement: 1, Age: age, Requests: 2})
			}
		}
	}
	var relays []gooseberrymast.Endpoint
	for _, b := range f.balancers {
		if b.archiver != nil {
			relays = append(relays, b.endpoint)
		}
	}
	if i.reversed && len(relays) > 1 {
		relays[0], relays[1] = relays[1], relays[0]
	}
	update, to := i.informer.Tick(snapshot, relays, f.now)
	if update == nil || f.random.Float64() < f.lossRate {
		return
	}
	for _, b := range f.balancers {
		if b.endpoint != to || b.archiver == nil {
			continue
		}
		answer, ok := b.archiver.HandleUpdate(*update, f.now)
		if ok && f.random.Float64() >= f.lossRate && i.informer.HandleAnswer(answer) {
			f.inform(i)
		}
	}
}

// checkReset checks that the flow of a reset is at no living server.
func (f *fleet) checkReset(key gooseberrymast.FlowKey) {
	for _, i := range f.instances {
		if slices.ContainsFunc(i.flows, func(flow testFlow) bool { return flow.key == key }) {
			f.t.Errorf("at %s: the open flow %s was reset", f.now.Sub(start), key)
		}
	}
	f.reset[key] = f.now.Sub(start)
}

func (f *fleet) stepBalancer(b *testBalancer) {
	action := b.archiver.Due(f.era, f.now)
	if action == Read {
		f.calls++
		if f.storeAway {
			b.archiver.HandleFailedRead(f.now)
			return
		}
		b.archiver.HandleRead(f.records, f.version, f.era, f.now)
		action = b.archiver.Due(f.era, f.now)
	}
	if action != Write {
		return
	}
	f.calls++
	records, version := b.archiver.Contents()
	switch {
	case f.storeAway:
		b.archiver.HandleFailedWrite(false)
	case version != f.version:
		b.archiver.HandleFailedWrite(true)
	default:
		f.writes++
		f.version++
		f.records = records
		if f.random.Float64() < f.unknownRate {
			b.archiver.HandleFailedWrite(true)
			return
		}
		b.archiver.HandleWritten(f.version)
	}
}

// oldFlows returns the flows that are open for at least an age.
func (f *fleet) oldFlows(age time.Duration) []gooseberrymast.FlowKey {
	var keys []gooseberrymast.FlowKey
	for _, i := range f.instances {
		for _, flow := range i.flows {
			if f.now.Sub(flow.openedAt) >= age {
				keys = append(keys, flow.key)
			}
		}
	}
	return keys
}

// shareReset returns the share of flows that were reset within a time from now on.
func (f *fleet) shareReset(keys []gooseberrymast.FlowKey, since time.Duration) float64 {
	count := 0
	for _, key := range keys {
		if at, reset := f.reset[key]; reset && at <= since {
			count++
		}
	}
	return float64(count) / float64(len(keys))
}

// recordedAge is the age from which a flow is surely recorded: until it is old enough,
// the next update, a repetition, and the next write.
const recordedAge = informer.MinFlowAge + informer.TickInterval + time.Second + WriteInterval

// Each scenario is a partial failure at a loss of everything. The fleet checks that no
// open flow is reset; the share of the lost flows that are reset, and how soon after the
// servers announced themselves, is checked here.
func TestFlowsAreResetAfterLossOfEverything(t *testing.T) {
	everything := func(f *fleet) { f.loseProcesses(true); f.run(500 * time.Millisecond); f.startAll() }
	tests := []struct {
		name   string
		before func(f *fleet)
		lose   func(f *fleet)
		// within is the time from the restart.
		within time.Duration
		share  float64
	}{
		{"nothing else fails", func(*fleet) {}, everything, announceInterval + time.Second, 1},
		{"a tenth of the datagrams is lost", func(f *fleet) { f.lossRate = 0.1; f.run(20 * time.Second) }, everything, announceInterval + time.Second, 0.97},
		{"responses of writes are lost", func(f *fleet) { f.unknownRate = 0.5; f.run(20 * time.Second) }, everything, announceInterval + time.Second, 0.95},
		{"the store is away at the loss", func(*fleet) {}, func(f *fleet) {
			f.storeAway = true
			everything(f)
			f.run(5 * time.Second)
			f.storeAway = false
		}, 3 * time.Second, 1},
		{"the relay was killed between two writes", func(f *fleet) { f.balancers[0].archiver = nil; f.run(recordedAge) }, everything, announceInterval + time.Second, 1},
		{"two relays write at once", func(f *fleet) {
			for number, i := range f.instances {
				i.reversed = number%2 == 0
			}
			f.run(20 * time.Second)
		}, everything, announceInterval + time.Second, 0.9},
		{"two losses in a row, the second before the servers announce themselves", func(*fleet) {}, func(f *fleet) {
			everything(f)
			f.run(announceInterval / 2)
			everything(f)
		}, announceInterval + time.Second, 1},
		{"two losses in a row, the second after", func(*fleet) {}, func(f *fleet) {
			everything(f)
			f.run(announceInterval + tick)
			everything(f)
		}, announceInterval + time.Second, 1},
		{"balancers come back first, and agents one after the other", func(*fleet) {}, func(f *fleet) {
			f.loseProcesses(true)
			f.startBalancers()
			for _, i := range f.instances {
				f.run(500 * time.Millisecond)
				f.startServer(i)
				f.startAgent(i, true)
			}
		}, announceInterval + time.Second, 1},
		{"only the instances of agents are lost", func(*fleet) {}, func(f *fleet) {
			for _, i := range f.instances {
				f.loseInstance(i, true)
			}
			f.run(time.Second)
			for _, i := range f.instances {
				f.startServer(i)
				f.startAgent(i, true)
			}
		}, announceInterval + time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 8, 3)
			f.run(30 * time.Second)
			test.before(f)
			lost := f.oldFlows(recordedAge)
			is.True(len(lost) > 100)
			test.lose(f)
			began := f.now.Sub(start)
			f.run(test.within + tick)
			if share := f.shareReset(lost, began+test.within); share < test.share {
				t.Errorf("%.3f of the flows were reset, want %.3f", share, test.share)
			}
		})
	}
}

// Guards against resets of flows that servers keep, whatever is lost or restored.
func TestFlowsOfLivingServersAreKept(t *testing.T) {
	tests := []struct {
		name string
		lose func(f *fleet)
	}{
		{"all processes of the load balancer are lost", func(f *fleet) {
			f.loseProcesses(false)
			f.run(500 * time.Millisecond)
			f.startAll()
		}},
		{"twice, and the store is away", func(f *fleet) {
			f.storeAway = true
			for range 2 {
				f.loseProcesses(false)
				f.run(500 * time.Millisecond)
				f.startAll()
				f.run(3 * time.Second)
			}
			f.storeAway = false
		}},
		{"the store is restored meanwhile", func(f *fleet) {
			earlier := f.records
			f.run(10 * time.Second)
			f.loseProcesses(false)
			f.records, f.era = earlier, 2
			f.startAll()
		}},
		{"one agent is lost", func(f *fleet) {
			f.loseInstance(f.instances[0], false)
			f.run(500 * time.Millisecond)
			f.startAgent(f.instances[0], true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 8, 3)
			f.run(30 * time.Second)
			test.lose(f)
			f.run(10 * time.Second)
			is.Equal(len(f.reset), 0)
			// All are recorded again, for the next loss.
			recorded := map[gooseberrymast.FlowKey]bool{}
			for _, records := range f.records {
				for _, flow := range records.Flows {
					recorded[flow.Key] = true
				}
			}
			for _, key := range f.oldFlows(recordedAge) {
				is.True(recorded[key])
			}
		})
	}
}

// Guards against calls that cost more than one write a zone every two seconds.
func TestCallsToTheStoreAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 8, 3)
	f.run(2 * time.Minute)
	is.True(f.writes >= 50) // the flows change all the time
	is.True(f.calls <= 61)
	f.storeAway = true
	before := f.calls
	f.run(time.Minute)
	is.True(f.calls-before <= 31)
}

// Guards against calls of a zone that has no relay, and against flows that stay
// unrecorded once it has one.
func TestZoneWithoutRelay(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 8, 3)
	for _, b := range f.balancers {
		b.archiver = nil
	}
	f.run(30 * time.Second)
	is.Equal(f.calls, 0)
	f.startBalancers()
	f.run(recordedAge)
	is.Equal(len(f.records), 8)
}
