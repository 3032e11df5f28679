package runner

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/chooser"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/state/roster"
)

// These tests run the real processes over loopback, with stand-ins for the
// store, the servers and the fabric. They use the same ports, so they don't run
// side by side.

func TestFlowSurvivesBalancersAndAgents(t *testing.T) {
	r := newRig(t)
	first, second := startServer(t, 1), startServer(t, 2)
	_, stopAgent := r.startAgent(1, 1)
	r.startAgent(2, 1)
	_, stopBalancer := r.startBalancer(1)
	for port := range uint16(8) {
		r.open(1, 2000+port)
		r.echo(1, 2000+port, "before")
	}
	is := is.New(t)
	is.True(first.count() > 0 && second.count() > 0) // both servers have flows

	r.startBalancer(2)
	stopBalancer()
	for port := range uint16(8) {
		r.echo(2, 2000+port, "through another balancer")
	}

	stopAgent()
	r.startAgent(1, 2)
	for port := range uint16(8) {
		r.echo(2, 2000+port, "by an agent that has forgotten")
	}
	is.Equal(first.count()+second.count(), 8) // no flow was opened again
}

func TestFlowThatNobodyHoldsIsReset(t *testing.T) {
	r := newRig(t)
	servers := []*server{startServer(t, 1), startServer(t, 2)}
	_, stopFirst := r.startAgent(1, 1)
	_, stopSecond := r.startAgent(2, 1)
	_, stopBalancer := r.startBalancer(1)
	r.open(1, 3000)
	r.echo(1, 3000, "before")
	stopBalancer()
	stopFirst()
	stopSecond()
	for _, each := range servers {
		each.crash()
	}
	r.startAgent(1, 2)
	r.startAgent(2, 2)
	r.startBalancer(1)
	r.reset(1, 3000)
	r.open(1, 3001) // a new flow opens at once
}

func TestDocumentIsInForceThroughPeers(t *testing.T) {
	r := newRig(t)
	startServer(t, 1)
	agent, _ := r.startAgent(1, 1)
	balancer, _ := r.startBalancer(1)
	r.open(1, 4000)
	version := r.document("receipts")
	r.wait("the balancer has the document", func() bool { return balancer.version() == version })
	r.wait("the agent has the document", func() bool { return agent.version() == version })
	r.ask(1, 4001, gooseberrymast.PacketHeader{Opens: true}, "", func(header gooseberrymast.PacketHeader, _ string) bool { return header.Resets })
	r.echo(1, 4000, "an open flow stays where it is")
}

func TestRestartWhileTheStoreIsDown(t *testing.T) {
	r := newRig(t)
	startServer(t, 1)
	_, stopAgent := r.startAgent(1, 1)
	balancer, _ := r.startBalancer(1)
	r.open(1, 5000)
	r.store.mu.Lock()
	r.store.down = true
	r.store.mu.Unlock()
	stopAgent()
	restarted := NewAgent(r.environment(gooseberrymast.RoleAgent, [4]byte{127, 0, 3, 1}))
	restarted.Listen = listenNowhere
	r.run(restarted.Run)
	r.wait("the agent has the document from a peer", func() bool { return restarted.version() > 0 })
	r.wait("the balancer hears the agent", func() bool {
		heard := false
		balancer.roster.Each(func(entry roster.Entry) { heard = heard || entry.Alive(balancer.Timer.Now()) })
		return heard
	})
	r.echo(1, 5000, "an open flow goes on")
}

func TestAgentRecordsWhatItsServerServed(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	startServer(t, 1)
	_, stopAgent := r.startAgent(1, 1)
	r.startBalancer(1)
	r.open(1, 6000)
	key := recordKey(gooseberrymast.Endpoint{IP: [4]byte{127, 0, 3, 1}, Port: peersPort})
	r.wait("the entry names the address", func() bool {
		entry, err := r.store.Get(t.Context(), key)
		return err == nil && len(entry.Value) > 0 && containsAddress(string(entry.Value))
	})
	stopAgent()
	agent, _ := r.startAgent(1, 2)
	is.Equal(agent.deliverer.Served(), []gooseberrymast.Endpoint{serviceAddress})
}

// TestAgentReportsThatItsServerFails replays a server that answers requests
// with errors at once.
func TestAgentReportsThatItsServerFails(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	startServer(t, 1)
	agent, _ := r.startAgent(1, 1)
	r.startBalancer(1)
	r.open(1, 5000)
	is.Equal(agent.measure(agent.Timer.Now()).Failing, 0.0)
	for number := range 10 {
		r.echo(1, 5000, "HTTP/1.1 500 Error"+strings.Repeat(" ", number))
	}
	is.True(agent.measure(agent.Timer.Now()).Failing > 3*chooser.FailingLimit)
}

// TestEntriesOfGoneInstancesAreRemoved replays a store with entries of instances
// that are gone, one that is back, and one that somebody removed by mistake.
func TestEntriesOfGoneInstancesAreRemoved(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	startServer(t, 1)
	agent, _ := r.startAgent(1, 1)
	gone, back := recordKey(endpointOf(127, 0, 3, 8)), recordKey(endpointOf(127, 0, 3, 9))
	entry, err := interpreter.EncodeRecord(gooseberrymast.Peer{Endpoint: endpointOf(127, 0, 3, 8), Role: gooseberrymast.RoleAgent}, interpreter.Served{})
	is.NoErr(err)
	_, err = r.store.Put(t.Context(), gooseberrymast.Object{Key: gone, Value: entry}, 0)
	is.NoErr(err)
	balancer, _ := r.startBalancer(1)
	_, err = r.store.Put(t.Context(), gooseberrymast.Object{Key: back, Value: entry}, 0)
	is.NoErr(err)
	dropped := balancer.roster.Entries(func(each roster.Entry) bool { return each.Heard.IsZero() })
	is.Equal(len(dropped), 1)
	dropped = append(dropped, roster.Entry{Peer: gooseberrymast.Peer{Endpoint: endpointOf(127, 0, 3, 9)}, Stored: 1}) // written since
	balancer.removeEntries(t.Context(), dropped)
	_, err = r.store.Get(t.Context(), gone)
	is.Equal(err, gooseberrymast.ErrStoreNotFound)
	_, err = r.store.Get(t.Context(), back)
	is.NoErr(err)

	own := recordKey(agent.Settings.Peers)
	is.NoErr(r.store.Delete(t.Context(), own, 0))
	agent.verifyEntry(t.Context())
	written, err := r.store.Get(t.Context(), own)
	is.NoErr(err)
	agent.verifyEntry(t.Context())
	again, err := r.store.Get(t.Context(), own)
	is.NoErr(err)
	is.Equal(again.Version, written.Version) // what is as it should be is not written
}

func endpointOf(a, b, c, d byte) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{a, b, c, d}, Port: peersPort}
}
