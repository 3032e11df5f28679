package runner

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/deliverer"
	"gooseberrymast/platform"
	"gooseberrymast/protocol/interpreter"
)

func (c *cluster) waitForEntry(store *restorableStore, endpoint gooseberrymast.Endpoint) {
	c.t.Helper()
	c.waitFor("the entry "+entryKey(endpoint)+" is in the store", func() bool {
		return slices.Contains(store.Keys(), entryKey(endpoint))
	})
}

// Entries that were written after the copy are gone. Until they are back, an instance
// that starts doesn't find those that run.
func TestEntriesAreWrittenAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	c, store := newRestorableCluster(t)
	store.setDocument(3, "ledger")
	startServer(t, 1)
	earlier := store.Copy()
	agent, _ := c.startAgent(1, 1)
	balancer, _ := c.startBalancer(1)
	c.waitFor("the balancer is registered", balancer.registered.Load)
	store.Restore(earlier)()
	is.Equal(store.Keys(), []string{platform.DocumentKey})
	c.waitForEntry(store, agent.Settings.Peers)
	c.waitForEntry(store, balancer.Settings.Peers)
}

// putSettledEntry stores the entry of a balancer by which an era has settled.
func putSettledEntry(t *testing.T, store *restorableStore, era uint64) {
	t.Helper()
	endpoint := peersEndpoint(127, 0, 2, 9)
	value, err := interpreter.EncodeRecord(gooseberrymast.Peer{Endpoint: endpoint, Role: gooseberrymast.RoleBalancer}, interpreter.Served{SettledEra: era})
	if err != nil {
		t.Fatal(err)
	}
	store.Set(entryKey(endpoint), value)
}

// holds reports whether the server has the flow of a port.
func (s *echoServer) holds(port uint16) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flows[flowKey(port)]
}

// A balancer that starts after a restore reads a list without the agents whose entries
// were written after the copy, and must not take a flow of theirs for lost.
func TestFlowOfAgentWithLostEntryIsNotReset(t *testing.T) {
	c, store := newRestorableCluster(t)
	store.setDocument(3, "ledger")
	putSettledEntry(t, store, 1)
	first := startServer(t, 1)
	startServer(t, 2)
	c.startAgent(2, 1)
	earlier := store.Copy()
	c.startAgent(1, 1)
	_, stopBalancer := c.startBalancer(1)
	port := uint16(2000)
	for c.openFlow(1, port); !first.holds(port); c.openFlow(1, port) {
		port++
	}
	stopBalancer()
	store.Restore(earlier)
	c.startBalancer(2)
	c.sendUntil(2, port, gooseberrymast.PacketHeader{Acknowledges: true}, "after", func(header gooseberrymast.PacketHeader, answer string) bool {
		if header.Resets {
			t.Fatal("an open flow was reset")
		}
		return answer == "after"
	})
}

// walkAnswer returns the agent's answer to a walk for a flow of an address.
func walkAnswer(agent *Agent, address gooseberrymast.Endpoint) deliverer.Step {
	now := agent.Timer.Now()
	header := gooseberrymast.PacketHeader{Source: flowKey(3000).Caller, Destination: address, Acknowledges: true}
	hop := gooseberrymast.Hop{Mode: gooseberrymast.HopWalk, Definite: true}
	return agent.deliverer.FromPeer(header, hop, agent.serverState(now), agent.currentRoutes(), now)
}

// The address that an agent's server served last may be missing from an entry that was
// written before the copy. A later agent must not deny its flows.
func TestAgentWithEntryOfEarlierEraDeniesNothing(t *testing.T) {
	is := is.New(t)
	c, store := newRestorableCluster(t)
	store.setDocument(3, "ledger")
	putSettledEntry(t, store, 1)
	startServer(t, 1)
	agent, stop := c.startAgent(1, 1)
	key := entryKey(agent.Settings.Peers)
	c.waitFor("the entry is verified", func() bool {
		entry, _ := store.Value(key)
		return strings.Contains(string(entry.Value), `"verified-era":1`)
	})
	stop()
	agent, _, stop = c.startWaitingAgent(1)
	hasDocument := func() bool { return agent.currentRoutes() != nil }
	c.waitFor("the agent is registered again", agent.registered.Load)
	c.waitFor("the agent has a document", hasDocument)
	moved := gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 9}, Port: 443}
	answer := walkAnswer(agent, moved)
	is.Equal(answer.Reason, deliverer.ReasonNeverServed)
	is.True(!answer.Hop.Definite) // the lack of a record is no proof

	earlier := store.Copy()
	agent.deliverer.Restore([]gooseberrymast.Endpoint{moved}, false)
	c.waitFor("the entry names the address", func() bool {
		entry, _ := store.Value(key)
		return strings.Contains(string(entry.Value), moved.String())
	})
	stop()
	store.Restore(earlier)
	agent, _, _ = c.startWaitingAgent(1)
	c.waitFor("the agent is registered after the restore", agent.registered.Load)
	c.waitFor("the agent has a document again", hasDocument)
	is.True(!walkAnswer(agent, moved).Hop.Definite)
	entry, _ := store.Value(key)
	is.True(!strings.Contains(string(entry.Value), "verified-era")) // nor may its successor
}

// An agent whose entry was lost has had an earlier one all the same.
func TestAgentWithoutEntryAfterRestoreHasNotSeenAllFlows(t *testing.T) {
	is := is.New(t)
	c, store := newRestorableCluster(t)
	store.setDocument(3, "ledger")
	putSettledEntry(t, store, 1)
	earlier := store.Copy()
	startServer(t, 1)
	agent, stop := c.startAgent(1, 1)
	is.True(agent.serverState(agent.Timer.Now()).Complete)
	stop()
	store.Restore(earlier)
	agent, announce, _ := c.startWaitingAgent(1)
	c.waitFor("the agent has looked for its entry", agent.hidden.Load)
	announce(2)
	c.waitFor("the agent is registered", agent.registered.Load)
	is.True(!agent.serverState(agent.Timer.Now()).Complete)
}

// Processes that start after the loss of all others need not wait for the era to settle.
func TestSettledEraIsRecorded(t *testing.T) {
	is := is.New(t)
	c, store := newRestorableCluster(t)
	store.setDocument(3, "ledger")
	startServer(t, 1)
	_, stopAgent := c.startAgent(1, 1)
	balancer, stopBalancer := c.startBalancer(1)
	c.waitFor("the balancer is registered", balancer.registered.Load)
	is.True(!balancer.roster.IsComplete())
	c.waitFor("the list of peers is complete", balancer.roster.IsComplete)
	c.waitFor("the entry names the era", func() bool {
		entry, _ := store.Value(entryKey(balancer.Settings.Peers))
		return strings.Contains(string(entry.Value), `"settled-era":1`)
	})
	stopBalancer()
	stopAgent()
	balancer = NewBalancer(c.environment(gooseberrymast.RoleBalancer, [4]byte{127, 0, 2, 2}))
	is.NoErr(balancer.start(balancer.Timer.Now()))
	defer balancer.conn.Close()
	is.NoErr(balancer.registerOnce(t.Context()))
	is.True(balancer.roster.IsComplete())
}
