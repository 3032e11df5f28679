package receiver_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/standin/fabric"
	"gooseberrymast/transport/forwarder"
	"gooseberrymast/transport/receiver"
)

// A stream goes on while every balancer is replaced by one with an empty table.
func TestStreamSurvivesReplacedBalancers(t *testing.T) {
	b := newBench(t, 3, 3, nil)
	conn := b.dial()
	echo(t, conn, 400, func(i int) {
		if i%100 == 50 && i < 350 {
			b.startBalancer(fmt.Sprint("balancer-", i/100))
		}
	})
}

// Flows open while the two datagrams of a ClientHello come through different
// balancers, and all agents get some.
func TestFlowsOpenThroughAnyBalancer(t *testing.T) {
	b := newBench(t, 3, 3, nil)
	b.openFlows(30)
	is := is.New(t)
	for _, a := range b.agents {
		is.True(a.receiver.Counters.Opening.Load() > 0) // the agent took a flow
	}
}

// Each flow is served by one agent while balancers of several zones have
// different tables.
func TestFlowsOpenWhileTablesDiffer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 3, 0, nil)
	before := b.table
	b.startAgent(3, service, nil)
	b.startAgent(4, service, nil)
	for i := range 2 {
		b.startBalancer(fmt.Sprint("balancer-", i), before)
		b.startBalancer(fmt.Sprint("balancer-", i+2), before, b.table)
	}
	const flows = 60
	b.openFlows(flows)
	is.Equal(b.taken.Load(), int64(flows))
}

// A stream goes on through loss, delay, reordering and duplication, while
// balancers are replaced.
func TestStreamSurvivesABadNetwork(t *testing.T) {
	b := newBench(t, 3, 3, nil)
	b.fabric.SetFaults(fabric.Faults{
		Drop: 0.03, Duplicate: 0.05, Delay: time.Millisecond, Reorder: 0.1, ReorderBy: 3 * time.Millisecond,
	})
	conn := b.dial()
	echo(t, conn, 150, func(i int) {
		if i%50 == 25 {
			b.startBalancer(fmt.Sprint("balancer-", i/50))
		}
	})
	is := is.New(t)
	counts := b.fabric.Counts()
	is.True(counts.Dropped > 0)
	is.True(counts.Reordered > 0)
	is.True(counts.Duplicated > 0)
}

// An agent that leaves passes new flows on, and keeps those that it holds.
func TestLeavingAgentKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 3, nil)
	var conns []*quic.Conn
	for range 8 {
		conns = append(conns, b.dial())
	}
	left := b.agents[0].receiver
	left.Leaving()
	before := left.Counters.Opening.Load()
	is.True(before > 0)
	b.openFlows(8)
	for _, conn := range conns {
		echo(t, conn, 5, nil)
	}
	is.True(left.Counters.Passed.Load() > 0)
	is.Equal(left.Counters.Opening.Load(), before) // it took no new flow
}

// Flows pass on from agents that are at their bound.
func TestBoundedAgentPassesFlowsOn(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 3, func(i int, config *receiver.Config) {
		config.FlowBound = func() bool { return i == 0 }
	})
	b.openFlows(10)
	is.Equal(b.agents[0].receiver.Counters.Opening.Load(), uint64(0))
	is.True(b.agents[1].receiver.Counters.Opening.Load() >= 10)
}

// Callers prove their address by a Retry, which comes back to the same agent.
func TestRetry(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 3, 3, func(_ int, config *receiver.Config) { config.RetryRate = -1 })
	b.openFlows(5)
	is.True(b.sum(retries) >= 5)
	is.Equal(b.sum((*receiver.Receiver).HalfOpen), 0)
}

// The fleet's key is rotated in three steps with a flow open.
func TestKeysRotateUnderAnOpenFlow(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 2, nil)
	conn := b.dial()
	next := keyer.Random().Keys[0]
	next.Epoch = 2
	both := &keyer.Keys{Current: 1, Keys: append([]keyer.Key{next}, b.keys.Keys...)}
	switched := &keyer.Keys{Current: 2, Keys: both.Keys}
	steps := []*keyer.Keys{both, switched}
	echo(t, conn, 60, func(i int) {
		if i%20 != 10 || i/20 >= len(steps) {
			return
		}
		for _, fwd := range b.current {
			is.NoErr(fwd.SetKeys(steps[i/20]))
		}
		for _, a := range b.agents {
			is.NoErr(a.receiver.SetKeys(steps[i/20]))
		}
	})
	echo(t, b.dial(), 1, nil)
}

// A restarted agent tells the callers of its earlier incarnation that their flow is
// gone, by a stateless reset.
func TestRestartedAgentResetsStaleFlows(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 1, 2, nil)
	conn := b.dial()
	echo(t, conn, 1, nil)
	old := b.agents[0].receiver
	address := old.Identity().Address
	is.NoErr(old.Close())
	restarted := b.startAgent(0, service, func(_ int, config *receiver.Config) {
		config.Identity = gooseberrymast.Identity{Address: address, Incarnation: 8}
	})
	stream, err := conn.OpenStream()
	is.NoErr(err)
	_, err = stream.Write([]byte("anyone there"))
	is.NoErr(err)
	select {
	case <-conn.Context().Done():
	case <-b.ctx.Done():
		t.Fatal("the flow was not reset")
	}
	var reset *quic.StatelessResetError
	is.True(errors.As(context.Cause(conn.Context()), &reset))
	is.True(restarted.receiver.Counters.Stale.Load() > 0)
}

// Random datagrams to a service, to a balancer's forwarding address and to an
// agent are dropped and counted, and flows go on.
func TestGarbageIsDropped(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 2, nil)
	conn := b.dial()
	garbage := listenUDP(t)
	fwd := b.startBalancer("balancer-0", b.table)
	targets := []net.Addr{
		net.UDPAddrFromAddrPort(b.fabric.ServiceAddress(0)),
		net.UDPAddrFromAddrPort(fwd.ForwardAddress()),
		b.agents[0].receiver.LocalAddr(),
	}
	opened := b.sum(openings)
	echo(t, conn, 50, func(i int) {
		for _, target := range targets {
			_, err := garbage.WriteTo(make([]byte, i*40), target)
			is.NoErr(err)
		}
	})
	is.Equal(b.sum(openings), opened)
	for _, reason := range []receiver.Drop{receiver.DropTruncated, receiver.DropBadVersion, receiver.DropOversized} {
		is.True(b.agents[0].receiver.Counters.Dropped(reason) > 0)
	}
}

// Packets of a flow that come to another service's address are refused and
// counted, and never reach an agent of that service.
func TestFlowNeverReachesAnotherService(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 2, nil)
	receipts := b.startAgent(0, otherService, nil)
	for _, fwd := range b.current {
		fwd.SetTable(b.table)
	}
	conn := b.dial()
	// The caller's last first packet may still be on its way to the fabric. An
	// echo comes after it, so that none is left when the addresses are swapped.
	echo(t, conn, 1, nil)
	swapped := b.current["balancer-0"]
	b.fabric.Add(fabric.Balancer{
		Name:     "balancer-0",
		Services: []netip.AddrPort{swapped.ServiceAddress(1), swapped.ServiceAddress(0)},
	})
	echo(t, conn, 40, nil)
	is.True(swapped.Counters.Dropped(forwarder.DropWrongService) > 0)
	is.Equal(receipts.receiver.Counters.Established.Load(), uint64(0))
	is.Equal(receipts.receiver.Counters.Opening.Load(), uint64(0))
}

// What a server sends on its own accord goes on when the balancer that last
// delivered the caller's packets is gone, and the caller has nothing to send.
func TestPushSurvivesADeadBalancer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 1, 3, nil)
	read := b.startPushes() // all three balancers have delivered by now
	b.onlyThrough("balancer-0")
	for i := range pushes {
		read()
		switch i {
		case 1:
			b.onlyThrough() // no packet of the caller names another balancer
			b.current["balancer-0"].Close()
		case 2:
			b.onlyThrough("balancer-1", "balancer-2")
		}
	}
	is.True(b.agents[0].receiver.Counters.Alternated.Load() > 0)
}

// The same holds when every balancer that delivered the caller's packets is
// gone, once the agent hears of others.
func TestPushSurvivesTheDeathOfAllKnownBalancers(t *testing.T) {
	b := newBench(t, 1, 2, nil)
	read := b.startPushes()
	read()
	b.onlyThrough()
	b.current["balancer-0"].Close()
	b.current["balancer-1"].Close()
	next := b.startBalancer("balancer-2")
	b.onlyThrough() // the agent must speak first
	b.agents[0].receiver.SetBalancers([]netip.AddrPort{next.ForwardAddress()})
	read()
	b.onlyThrough("balancer-2")
	for range pushes - 2 {
		read()
	}
}

// A caller whose address changes in the middle of a flow, as behind a NAT that
// lost its mapping, keeps the flow.
func TestCallerMovesToAnotherAddress(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 3, nil)
	echo(t, b.dialWith(nil), 60, func(i int) {
		if i%20 == 10 {
			b.fabric.Rebind()
		}
	})
	is.Equal(b.sum((*receiver.Receiver).Callers), 4) // the agent heard of the first address and of three others
}

// A flood of first packets from one socket leaves the handshakes bounded, and a
// caller that proves its address still gets a flow.
func TestFloodOfFirstPackets(t *testing.T) {
	is := is.New(t)
	const maxHalfOpen, flood = 64, 3000
	b := newBench(t, 2, 2, func(_ int, config *receiver.Config) {
		config.MaxHalfOpen = maxHalfOpen
		config.RetryRate = 20
	})
	socket := listenUDP(t)
	packet := make([]byte, 1200)
	copy(packet, []byte{0xc0, 0, 0, 0, 1, 8})
	for i := range flood {
		binary.BigEndian.PutUint64(packet[6:], uint64(i))
		_, err := socket.WriteTo(packet, net.UDPAddrFromAddrPort(b.fabric.ServiceAddress(0)))
		is.NoErr(err)
		for _, a := range b.agents {
			is.True(a.receiver.HalfOpen() <= maxHalfOpen)
		}
	}
	echo(t, b.dial(), 1, nil)
	is.True(b.sum(retries) > 0)
}
