package runner

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/platform"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/state/roster"
)

// isReset sends packets of a flow for a time and reports whether a reset arrives.
func (c *cluster) isReset(balancer byte, port uint16, within time.Duration) bool {
	c.t.Helper()
	key := flowKey(port)
	packet := newPacket(key.Caller, key.Service, gooseberrymast.PacketHeader{Acknowledges: true}, []byte("request"))
	answer := make([]byte, 2048)
	for deadline := time.Now().Add(within); time.Now().Before(deadline); {
		if _, err := c.caller.WriteToUDP(packet, &net.UDPAddr{IP: net.IPv4(127, 0, 2, balancer), Port: packetsPort}); err != nil {
			c.t.Fatal(err)
		}
		if err := c.caller.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
			c.t.Fatal(err)
		}
		n, _, err := c.caller.ReadFromUDP(answer)
		if err != nil {
			continue
		}
		if header, err := (platform.Codec{}).Decode(answer[:n]); err == nil && header.FromServer() == key && header.Resets {
			return true
		}
	}
	return false
}

// Guards against resets that rest on what a balancer happens to know: while it can't read
// the store, nothing shows that it has asked all agents.
func TestFlowIsResetOnlyOnceTheEntriesWereRead(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	startServer(t, 1)
	c.startAgent(1, 1)
	c.startBalancer(1)
	c.openFlow(1, 3000) // the balancer is ready
	setDown := func(down bool) {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.down = down
	}
	setDown(true)
	is.True(!c.isReset(1, 3001, time.Second)) // nobody holds this flow
	setDown(false)
	c.expectReset(1, 3001)
}

// Guards against odd entries of another writer that cost the entries beside them, end a
// process, or keep it from being ready.
func TestOddEntriesCostNothingBesideThem(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	nested := strings.Repeat(`{"a":[`, 10000) + strings.Repeat(`]}`, 10000)
	odd := map[string]string{
		"!first": nested, "0": `{"endpoint":"127.0.2.77:99999","role":"agent"}`, "127.0.2.250": nested,
		"127.0.2.251": `{"endpoint":"127.0.2.251:70000","role":"agent","zone":"a"}`, "127.0.2.252": `{"role":1e999}`,
		"127.0.2.253": "\xff\xfe", "127.0.2.254": `{"endpoint":"127.0.2.1:7000","role":"agent","zone":"a","service":"other"}`, "zz-last": `17`,
	}
	for name, value := range odd {
		_, err := c.store.Put(t.Context(), gooseberrymast.Object{Key: peersPrefix + name, Value: []byte(value)}, 0)
		is.NoErr(err)
	}
	startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	balancer, _ := c.startBalancer(1)
	c.openFlow(1, 3000)
	c.expectEcho(1, 3000, "beside odd entries")
	c.waitFor("all entries are read", func() bool { return agent.registered.Load() && balancer.registered.Load() })
	entry, found := balancer.roster.Get(agent.Settings.Peers)
	is.True(found && entry.Service == "ledger") // the one under another key doesn't change it
	is.True(!balancer.roster.UnreadableSince().IsZero())
	// An agent may run at the addresses whose entries can't be decoded, until they have been
	// silent for as long as one that restarts.
	c.expectReset(1, 3001)
}

// Guards against an agent's own entry that another writer has replaced: the agent must not
// conclude from it that its server has taken no flow, and writes it again.
func TestAgentReplacesItsOddEntry(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	startServer(t, 1)
	agent, stop := c.startAgent(1, 1)
	key := entryKey(agent.Settings.Peers)
	c.waitFor("the entry is written", agent.registered.Load)
	stop()
	found, err := c.store.Get(t.Context(), key)
	is.NoErr(err)
	_, err = c.store.Put(t.Context(), gooseberrymast.Object{Key: key, Value: []byte(`{"role":1e999}`)}, found.Version)
	is.NoErr(err)
	agent, _ = c.startAgent(1, 2)
	c.waitFor("the agent is registered", agent.registered.Load)
	agent.trackerMu.Lock()
	is.True(!agent.servedProven)
	agent.trackerMu.Unlock()
	c.waitFor("the entry can be read", func() bool {
		found, err := c.store.Get(t.Context(), key)
		if err != nil {
			return false
		}
		_, _, err = interpreter.DecodeRecord(found.Value)
		return err == nil
	})
}

// Guards against malformed messages of peers that end a process.
func TestOddMessagesOfPeersEndNothing(t *testing.T) {
	c := newCluster(t)
	startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	balancer, _ := c.startBalancer(1)
	c.openFlow(1, 3000)
	conn, err := net.Dial("udp4", balancer.Settings.Peers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	toAgent, err := net.Dial("udp4", agent.Settings.Peers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = toAgent.Close() }()
	var messages [][]byte
	for field := byte(1); field < 12; field++ {
		for _, body := range []string{"", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", "\x08\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", "\x0a\x00", "\x0a\x04\x09\x01\x02\x03", "\x10\xff\xff\xff\xff\x0f\x18\xff\xff\xff\xff\x0f"} {
			messages = append(messages, append([]byte{field<<3 | 2, byte(len(body))}, body...))
		}
	}
	for length := range 40 {
		messages = append(messages, append([]byte{0}, make([]byte, length)...), append([]byte{0xff}, make([]byte, length)...))
	}
	for _, message := range messages {
		for _, to := range []net.Conn{conn, toAgent} {
			if _, err := to.Write(message); err != nil && !errors.Is(err, net.ErrClosed) {
				t.Fatal(err)
			}
		}
	}
	c.expectEcho(1, 3000, "after odd messages")
	c.openFlow(1, 3001)
}

// The time between reads grows with the fleet, so that all balancers together keep within
// half of the store's rate of reads.
func TestEntriesAreReadWithinTheStoresRate(t *testing.T) {
	is := is.New(t)
	var b Balancer
	is.Equal(b.entriesInterval(), minEntriesInterval)
	var peers []gooseberrymast.Peer
	for i := range 17000 {
		peer := gooseberrymast.Peer{Endpoint: gooseberrymast.Endpoint{IP: [4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}, Port: 7000}, Role: gooseberrymast.RoleAgent}
		if i < 340 {
			peer.Role = gooseberrymast.RoleBalancer
		}
		peers = append(peers, peer)
	}
	b.roster.Merge(peers, time.Unix(1000, 0))
	interval := b.entriesInterval()
	calls := 341 * 35 / interval.Seconds()
	is.True(calls <= entryReadsPerSecond && calls > 0.9*entryReadsPerSecond)
	is.Equal(len(b.roster.Entries(func(entry roster.Entry) bool { return entry.Role == gooseberrymast.RoleBalancer })), 340)
}
