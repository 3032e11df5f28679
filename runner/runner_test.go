package runner

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/chooser"
	"gooseberrymast/coordination/predictor"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/state/roster"
)

// These tests run the real processes on loopback addresses, with stand-ins for the
// store, the servers and the fabric. They share ports, so they must not run in
// parallel.

func TestFlowSurvivesBalancerAndAgentRestart(t *testing.T) {
	c := newCluster(t)
	first, second := startServer(t, 1), startServer(t, 2)
	firstAgent, stopAgent := c.startAgent(1, 1)
	secondAgent, _ := c.startAgent(2, 1)
	_, stopBalancer := c.startBalancer(1)
	c.waitFor("both agents take flows", func() bool {
		return firstAgent.ownPeer().State == gooseberrymast.StateReady && secondAgent.ownPeer().State == gooseberrymast.StateReady
	})
	for port := range uint16(8) {
		c.openFlow(1, 2000+port)
		c.expectEcho(1, 2000+port, "before")
	}
	is := is.New(t)
	is.True(first.openedFlows() > 0 && second.openedFlows() > 0) // both servers have flows

	c.startBalancer(2)
	stopBalancer()
	for port := range uint16(8) {
		c.expectEcho(2, 2000+port, "through another balancer")
	}

	stopAgent()
	c.startAgent(1, 2)
	for port := range uint16(8) {
		c.expectEcho(2, 2000+port, "through an agent without state")
	}
	is.Equal(first.openedFlows()+second.openedFlows(), 8) // no flow was opened again
}

func TestFlowHeldByNoServerIsReset(t *testing.T) {
	c := newCluster(t)
	servers := []*echoServer{startServer(t, 1), startServer(t, 2)}
	_, stopFirst := c.startAgent(1, 1)
	_, stopSecond := c.startAgent(2, 1)
	_, stopBalancer := c.startBalancer(1)
	c.openFlow(1, 3000)
	c.expectEcho(1, 3000, "before")
	stopBalancer()
	stopFirst()
	stopSecond()
	for _, server := range servers {
		server.forgetFlows()
	}
	c.startAgent(1, 2)
	c.startAgent(2, 2)
	c.startBalancer(1)
	c.expectReset(1, 3000)
	c.openFlow(1, 3001) // a new flow opens at once
}

func TestNewDocumentTakesEffectAtBalancerAndAgent(t *testing.T) {
	c := newCluster(t)
	startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	balancer, _ := c.startBalancer(1)
	c.openFlow(1, 4000)
	version := c.putDocument("receipts")
	c.waitFor("the balancer has the document", func() bool { return balancer.documentVersion() == version })
	c.waitFor("the agent has the document", func() bool { return agent.documentVersion() == version })
	c.sendUntil(1, 4001, gooseberrymast.PacketHeader{Opens: true}, "", func(header gooseberrymast.PacketHeader, _ string) bool { return header.Resets })
	c.expectEcho(1, 4000, "the open flow keeps its server")
}

func TestAgentRestartWhileStoreIsUnavailable(t *testing.T) {
	c := newCluster(t)
	startServer(t, 1)
	_, stopAgent := c.startAgent(1, 1)
	balancer, _ := c.startBalancer(1)
	c.openFlow(1, 5000)
	c.store.mu.Lock()
	c.store.down = true
	c.store.mu.Unlock()
	stopAgent()
	restarted := NewAgent(c.environment(gooseberrymast.RoleAgent, [4]byte{127, 0, 3, 1}))
	restarted.AnnouncementHandler = discardAnnouncements
	c.run(restarted.Run)
	c.waitFor("the agent has the document from a peer", func() bool { return restarted.documentVersion() > 0 })
	c.waitFor("the balancer receives the agent's reports", func() bool {
		received := false
		balancer.roster.Each(func(entry roster.Entry) { received = received || entry.Reporting(balancer.Timer.Now()) })
		return received
	})
	c.expectEcho(1, 5000, "the open flow continues")
}

func TestAgentRestoresServedAddresses(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	startServer(t, 1)
	_, stopAgent := c.startAgent(1, 1)
	c.startBalancer(1)
	c.openFlow(1, 6000)
	key := entryKey(gooseberrymast.Endpoint{IP: [4]byte{127, 0, 3, 1}, Port: peersPort})
	c.waitFor("the entry names the address", func() bool {
		entry, err := c.store.Get(t.Context(), key)
		return err == nil && len(entry.Value) > 0 && containsAddress(string(entry.Value))
	})
	stopAgent()
	agent, _ := c.startAgent(1, 2)
	is.Equal(agent.deliverer.Served(), []gooseberrymast.Endpoint{serviceAddress})
}

// TestAgentReportsFailingShare guards against a server that answers requests with
// errors at once while its agent reports it as working.
func TestAgentReportsFailingShare(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	c.startBalancer(1)
	c.openFlow(1, 5000)
	is.Equal(agent.flowLoad(agent.Timer.Now()).Failing, 0.0)
	for number := range 10 {
		c.expectEcho(1, 5000, "HTTP/1.1 500 Error"+strings.Repeat(" ", number))
	}
	is.True(agent.flowLoad(agent.Timer.Now()).Failing > 3*chooser.FailingLimit)
}

// TestAgentReportsWork guards against agents that report work where the settings don't call
// for it, before they have measured enough, or as measured by refusals.
func TestAgentReportsWork(t *testing.T) {
	tests := []struct {
		name   string
		mode   gooseberrymast.RuleMode
		status string
		want   bool
	}{
		{"on", gooseberrymast.RuleOn, "HTTP/1.1 200 OK", true},
		{"on, refusals", gooseberrymast.RuleOn, "HTTP/1.1 503 Busy", false},
		{"on, failures", gooseberrymast.RuleOn, "HTTP/1.1 500 Error", false},
		{"on, wrong server", gooseberrymast.RuleOn, "HTTP/1.1 421 Misdirected", false},
		{"off", gooseberrymast.RuleOff, "HTTP/1.1 200 OK", false},
		{"auto, no objective", gooseberrymast.RuleAuto, "HTTP/1.1 200 OK", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			c.adapt = func(environment *Environment) { environment.Placement = gooseberrymast.WorkRule{Mode: test.mode} }
			startServer(t, 1)
			agent, _ := c.startAgent(1, 1)
			balancer, _ := c.startBalancer(1)
			c.openFlow(1, 5000)
			is.Equal(agent.flowLoad(agent.Timer.Now()).Work, gooseberrymast.WorkLoad{})
			for number := range predictor.MinSamples {
				c.expectEcho(1, 5000, test.status+strings.Repeat(" ", number))
			}
			load := agent.flowLoad(agent.Timer.Now()).Work
			is.Equal(load.Cost > 0, test.want)
			is.Equal(load.RouteCosts[0].Tag == gooseberrymast.RouteTag(serviceAddress), test.want)
			if !test.want {
				return
			}
			c.waitFor("the balancer knows the work", func() bool {
				entry, _ := balancer.roster.Get(agent.Settings.Peers)
				return entry.Load.Work.Cost > 0
			})
			c.openFlow(1, 5001)
			byWork, byCount := balancer.steerer.Placed()
			is.True(byWork >= 1)
			is.True(byCount >= 1) // the first flow
		})
	}
}

// TestStaleEntriesAreRemovedAndOwnEntryIsRestored guards against stale entries that
// stay in the store, against the removal of an entry that was written again since it
// was read, and against an agent that doesn't restore its entry after a removal.
func TestStaleEntriesAreRemovedAndOwnEntryIsRestored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	goneKey, returnedKey := entryKey(peersEndpoint(127, 0, 3, 8)), entryKey(peersEndpoint(127, 0, 3, 9))
	entry, err := interpreter.EncodeRecord(gooseberrymast.Peer{Endpoint: peersEndpoint(127, 0, 3, 8), Role: gooseberrymast.RoleAgent}, interpreter.Served{})
	is.NoErr(err)
	_, err = c.store.Put(t.Context(), gooseberrymast.Object{Key: goneKey, Value: entry}, 0)
	is.NoErr(err)
	balancer, _ := c.startBalancer(1)
	_, err = c.store.Put(t.Context(), gooseberrymast.Object{Key: returnedKey, Value: entry}, 0)
	is.NoErr(err)
	dropped := balancer.roster.Entries(func(e roster.Entry) bool { return e.ReportedAt.IsZero() })
	is.Equal(len(dropped), 1)
	dropped = append(dropped, roster.Entry{Peer: gooseberrymast.Peer{Endpoint: peersEndpoint(127, 0, 3, 9)}, StoreVersion: 1}) // rewritten since it was read
	balancer.removeStaleEntries(t.Context(), dropped)
	_, err = c.store.Get(t.Context(), goneKey)
	is.Equal(err, gooseberrymast.ErrStoreNotFound)
	_, err = c.store.Get(t.Context(), returnedKey)
	is.NoErr(err)

	own := entryKey(agent.Settings.Peers)
	is.NoErr(c.store.Delete(t.Context(), own, 0))
	is.NoErr(agent.verifyEntry(t.Context()))
	written, err := c.store.Get(t.Context(), own)
	is.NoErr(err)
	is.NoErr(agent.verifyEntry(t.Context()))
	again, err := c.store.Get(t.Context(), own)
	is.NoErr(err)
	is.Equal(again.Version, written.Version) // an unchanged entry is not written again
}

func peersEndpoint(a, b, c, d byte) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{a, b, c, d}, Port: peersPort}
}

// An instance that is to go may start again without its server, after a loss of power
// for example, and be stopped for good a moment later. While others know such an
// agent, each walk waits for its answer.
func TestAgentWithoutServerStaysUnknown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	startServer(t, 1)
	c.startAgent(1, 1)
	balancer, _ := c.startBalancer(1)
	agent, announce, stop := c.startWaitingAgent(2)
	key := entryKey(agent.Settings.Peers)
	c.waitFor("the agent has looked for its entry", agent.hidden.Load)
	// A balancer that reports to it, since another one named it, learns nothing.
	balancer.report(balancer.Timer.Now())
	agent.handleReport(gooseberrymast.Report{Peer: balancer.ownPeer()}, agent.Timer.Now())
	agent.report(agent.Timer.Now())
	_, known := balancer.roster.Get(agent.Settings.Peers)
	is.True(!known)
	_, err := c.store.Get(t.Context(), key)
	is.Equal(err, gooseberrymast.ErrStoreNotFound)

	startServer(t, 2)
	announce(1)
	c.waitFor("the agent is known", func() bool {
		entry, _ := balancer.roster.Get(agent.Settings.Peers)
		return entry.State == gooseberrymast.StateReady
	})
	c.waitFor("the entry names the server's incarnation", func() bool {
		entry, err := c.store.Get(t.Context(), key)
		return err == nil && strings.Contains(string(entry.Value), "i-1/1")
	})

	// With an entry, the server may run and hold flows.
	stop()
	agent, _, _ = c.startWaitingAgent(2)
	c.waitFor("the agent is registered before its server has announced itself", agent.registered.Load)
	is.True(!agent.hidden.Load())
}

// Guards against resets of flows that an earlier agent sent the server: only an agent
// that finds no entry of its own knows from the store that there was none.
func TestOnlyAgentWithoutEntryHasSeenAllFlows(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	startServer(t, 1)
	agent, announce, stop := c.startWaitingAgent(1)
	c.waitFor("the agent has looked for its entry", agent.hidden.Load)
	announce(1)
	is.True(agent.serverState(agent.Timer.Now()).Complete)
	c.waitFor("the agent is registered", agent.registered.Load)
	stop()
	agent, announce, _ = c.startWaitingAgent(1)
	c.waitFor("the agent is registered again", agent.registered.Load)
	announce(1) // the earlier agent may have ended before it received this
	is.True(!agent.serverState(agent.Timer.Now()).Complete)
}

// An instance that is to go may start again after a loss of power, without its server,
// and be stopped at once. Walks wait for seconds for an agent that reports that it leaves.
func TestAgentStoppedAtStartReportsThatItsServerIsGone(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	agent, announce, stop := c.startWaitingAgent(1)
	announce(1)
	c.waitFor("the agent is registered", agent.registered.Load)
	stop()
	key := entryKey(agent.Settings.Peers)
	_, err := c.store.Get(t.Context(), key)
	is.NoErr(err)
	agent, _, stop = c.startWaitingAgent(1)
	stop()
	is.Equal(agent.ownPeer().State, gooseberrymast.StateGone)
	_, err = c.store.Get(t.Context(), key)
	is.Equal(err, gooseberrymast.ErrStoreNotFound)
}

// Guards against an agent that takes flows without an entry: its successor would find
// none and take itself for the instance's first agent.
func TestAgentStaysHiddenUntilItsEntryIsWritten(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	startServer(t, 1)
	agent, announce, _ := c.startWaitingAgent(1)
	c.waitFor("the agent has looked for its entry", agent.hidden.Load)
	setDown := func(down bool) {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.down = down
	}
	setDown(true)
	announce(1)
	c.waitFor("the agent has tried to write its entry", func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return agent.storeFailed
	})
	is.True(agent.hidden.Load())
	setDown(false)
	c.waitFor("the agent is known", func() bool { return agent.registered.Load() && !agent.hidden.Load() })
}

// The clock of the agent's instance jumps back, and its server restarts, which takes a
// flow before its first announcement.
func TestFlowOfNewIncarnationSurvivesClockStep(t *testing.T) {
	c := newCluster(t)
	server := startServer(t, 1)
	agent, announce, _ := c.startWaitingAgent(1)
	announce(1)
	c.startBalancer(1)
	c.openFlow(1, 7000)
	server.forgetFlows()
	c.openFlow(1, 7001)
	is := is.New(t)
	is.NoErr(agent.handleAnnouncement(gooseberrymast.Announcement{
		ID: "i-2", StartUnixMs: agent.Timer.Now().Add(time.Minute).UnixMilli(), Sequence: 1, Service: "ledger", Slots: 4,
		Address: agent.Settings.Server,
	}))
	reset := false
	c.sendUntil(1, 7001, gooseberrymast.PacketHeader{Acknowledges: true}, "request", func(header gooseberrymast.PacketHeader, answer string) bool {
		reset = reset || header.Resets
		return answer == "request"
	})
	is.True(!reset)
	c.expectReset(1, 7000)
}

// A balancer may remove the entry of an agent that was away for a minute just as the
// agent comes back and has read it.
func TestEntryRemovedDuringRegistrationIsWrittenAnew(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	key := entryKey(agent.Settings.Peers)
	is.NoErr(c.store.Delete(t.Context(), key, 0))
	is.True(errors.Is(agent.registerOnce(t.Context()), gooseberrymast.ErrStoreConflict))
	is.NoErr(agent.registerOnce(t.Context()))
	_, err := c.store.Get(t.Context(), key)
	is.NoErr(err)
}

// The entry of a running agent may be removed, or lost when the store is restored from
// an earlier copy. Its updates then failed every 250 ms until the next verification.
func TestUpdateOfLostEntryCreatesIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	key := entryKey(agent.Settings.Peers)
	is.NoErr(c.store.Delete(t.Context(), key, 0))
	address := gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 9}, Port: 443}
	agent.deliverer.Restore([]gooseberrymast.Endpoint{address}, true)
	c.waitFor("the entry names the address", func() bool {
		entry, err := c.store.Get(t.Context(), key)
		return err == nil && strings.Contains(string(entry.Value), address.String())
	})
}

func containsAddress(value string) bool {
	return strings.Contains(value, serviceAddress.String())
}
