package runner

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/platform"
	"gooseberrymast/protocol/interpreter"
)

// newRecordingCluster returns a cluster that records flows in the given mode.
func newRecordingCluster(t *testing.T, mode gooseberrymast.FlowRecordsMode) (*cluster, *restorableStore) {
	t.Helper()
	c, store := newRestorableCluster(t)
	store.setDocument(3, "ledger")
	adapt := c.adapt
	c.adapt = func(environment *Environment) {
		adapt(environment)
		environment.FlowRecords = mode
	}
	return c, store
}

// announceStart lets the server of an agent announce an incarnation.
func announceStart(t *testing.T, agent *Agent, startUnixMs int64, sequence uint64) {
	t.Helper()
	err := agent.handleAnnouncement(gooseberrymast.Announcement{
		ID: "i-1", StartUnixMs: startUnixMs, Sequence: sequence, Service: "ledger", Slots: 4, Address: agent.Settings.Server,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// request sends requests on a flow, with an acknowledgement, until one is answered.
func (c *cluster) request(balancer byte, port uint16) {
	c.t.Helper()
	header := gooseberrymast.PacketHeader{Acknowledges: true, Sequence: uint32(port), Acknowledgement: 1}
	c.sendUntil(balancer, port, header, "request", func(_ gooseberrymast.PacketHeader, answer string) bool { return answer == "request" })
}

// recordedFlows returns the flows of a zone's records.
func (s *restorableStore) recordedFlows(t *testing.T, zone string) []gooseberrymast.FlowRecord {
	t.Helper()
	object, ok := s.Value(flowRecordsKey(zone))
	if !ok {
		return nil
	}
	records, err := interpreter.DecodeFlowRecords(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	var flows []gooseberrymast.FlowRecord
	for _, agent := range records {
		flows = append(flows, agent.Flows...)
	}
	return flows
}

// recordOneFlow runs an agent and a balancer until a flow of their server is recorded.
func (c *cluster) recordOneFlow(store *restorableStore, port uint16) (stop func()) {
	c.t.Helper()
	agent, stopAgent := c.startAgent(1, 1)
	balancer, stopBalancer := c.startBalancer(1)
	c.waitFor("the server takes flows", func() bool { return agent.ownPeer().State == gooseberrymast.StateReady })
	c.openFlow(1, port)
	c.request(1, port)
	announceStart(c.t, agent, 1, 2)
	announceStart(c.t, agent, 1, 3)
	c.waitFor("the flow is recorded", func() bool {
		flows := store.recordedFlows(c.t, "a")
		return len(flows) == 1 && flows[0].Key == flowKey(port) && flows[0].Acknowledgement == 1
	})
	c.waitFor("the balancer's entry says so", func() bool {
		entry, _ := store.Value(entryKey(balancer.Settings.Peers))
		return strings.Contains(string(entry.Value), "flow-records")
	})
	return func() { stopBalancer(); stopAgent() }
}

// receiveReset waits for a reset of a flow, while the caller sends nothing.
func (c *cluster) receiveReset(port uint16, wait time.Duration) (gooseberrymast.PacketHeader, bool) {
	c.t.Helper()
	if err := c.caller.SetReadDeadline(time.Now().Add(wait)); err != nil {
		c.t.Fatal(err)
	}
	packet := make([]byte, 2048)
	for {
		n, _, err := c.caller.ReadFromUDP(packet)
		if err != nil {
			return gooseberrymast.PacketHeader{}, false
		}
		header, err := platform.Codec{}.Decode(packet[:n])
		if err == nil && header.Resets && header.FromServer() == flowKey(port) {
			return header, true
		}
	}
}

// Guards against requests that are lost with an idle flow whose server, agent and
// balancers were all lost: its caller must learn of it before it uses the flow.
func TestIdleFlowIsResetAfterLossOfEverything(t *testing.T) {
	is := is.New(t)
	c, store := newRecordingCluster(t, gooseberrymast.FlowRecordsOn)
	server := startServer(t, 1)
	c.recordOneFlow(store, 8000)()
	server.forgetFlows()
	agent, _, _ := c.startWaitingAgent(1)
	announceStart(t, agent, 2, 1)
	c.startBalancer(1)
	reset, received := c.receiveReset(8000, waitTimeout)
	is.True(received)
	is.Equal(reset.Sequence, uint32(1)) // a caller ignores a reset far from what it has acknowledged
	c.waitFor("the records no longer claim the flow", func() bool { return len(store.recordedFlows(t, "a")) == 0 })
}

// Guards against resets of flows that a server kept while all processes of the load
// balancer were lost, and against reads of the records that can't be of use.
func TestFlowsOfLivingServerAreNotReset(t *testing.T) {
	is := is.New(t)
	c, store := newRecordingCluster(t, gooseberrymast.FlowRecordsOn)
	startServer(t, 1)
	c.recordOneFlow(store, 8010)()
	before := store.recordReads.Load()
	agent, _, _ := c.startWaitingAgent(1)
	announceStart(t, agent, 1, 4)
	c.startBalancer(1)
	c.waitFor("the agent is registered", agent.registered.Load)
	_, received := c.receiveReset(8010, 500*time.Millisecond)
	is.True(!received)
	is.Equal(store.recordReads.Load(), before)
	c.request(1, 8010)
}

// Guards against calls to the store, and resets by records of an earlier time, where
// flows carry one request each or the settings turn records off.
func TestNothingIsRecordedWithoutNeed(t *testing.T) {
	for _, mode := range []gooseberrymast.FlowRecordsMode{gooseberrymast.FlowRecordsAuto, gooseberrymast.FlowRecordsOff} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			c, store := newRecordingCluster(t, mode)
			server := startServer(t, 1)
			agent, stopAgent := c.startAgent(1, 1)
			_, stopBalancer := c.startBalancer(1)
			c.waitFor("the server takes flows", func() bool { return agent.ownPeer().State == gooseberrymast.StateReady })
			c.openFlow(1, 8020)
			c.request(1, 8020)
			announceStart(t, agent, 1, 2)
			announceStart(t, agent, 1, 3)
			c.waitFor("the flow is old enough to be recorded", func() bool {
				return len(agent.flowSnapshot(agent.Timer.Now().Add(-3*time.Second)).Flows) == 1
			})
			stopBalancer()
			stopAgent()
			server.forgetFlows()
			agent, _, _ = c.startWaitingAgent(1)
			announceStart(t, agent, 2, 1)
			c.startBalancer(1)
			_, received := c.receiveReset(8020, 500*time.Millisecond)
			is.True(!received)
			is.Equal(store.recordReads.Load()+store.recordWrites.Load(), int64(0))
			for _, key := range store.Keys() {
				entry, _ := store.Value(key)
				is.True(!strings.Contains(string(entry.Value), "flow-records"))
			}
		})
	}
}
