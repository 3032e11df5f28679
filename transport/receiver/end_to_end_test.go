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
	c := newCluster(t, 3, 3, nil)
	conn := c.dial()
	echo(t, conn, 400, func(i int) {
		if i%100 == 50 && i < 350 {
			c.startBalancer(fmt.Sprint("balancer-", i/100))
		}
	})
}

// Flows open although the two datagrams of a ClientHello arrive through different
// balancers, and every agent takes some flows.
func TestFlowsOpenThroughAnyBalancer(t *testing.T) {
	c := newCluster(t, 3, 3, nil)
	c.openFlows(30)
	is := is.New(t)
	for _, a := range c.agents {
		is.True(a.receiver.Counters.Opening.Load() > 0) // the agent took at least one flow
	}
}

// Each flow is served by exactly one agent while balancers of several zones have
// different tables.
func TestFlowsOpenWhileTablesDiffer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, nil)
	before := c.table
	c.startAgent(3, service, nil)
	c.startAgent(4, service, nil)
	for i := range 2 {
		c.startBalancer(fmt.Sprint("balancer-", i), before)
		c.startBalancer(fmt.Sprint("balancer-", i+2), before, c.table)
	}
	const flows = 60
	c.openFlows(flows)
	is.Equal(c.accepted.Load(), int64(flows))
}

// A stream goes on through loss, delay, reordering and duplication, while
// balancers are replaced.
func TestStreamSurvivesLossDelayAndReordering(t *testing.T) {
	c := newCluster(t, 3, 3, nil)
	c.fabric.SetFaults(fabric.Faults{
		Drop: 0.03, Duplicate: 0.05, Delay: time.Millisecond, Reorder: 0.1, ReorderBy: 3 * time.Millisecond,
	})
	conn := c.dial()
	echo(t, conn, 150, func(i int) {
		if i%50 == 25 {
			c.startBalancer(fmt.Sprint("balancer-", i/50))
		}
	})
	is := is.New(t)
	counts := c.fabric.Counts()
	is.True(counts.Dropped > 0)
	is.True(counts.Reordered > 0)
	is.True(counts.Duplicated > 0)
}

// A leaving agent passes new flows on and keeps its open flows.
func TestLeavingAgentKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 3, nil)
	var conns []*quic.Conn
	for range 8 {
		conns = append(conns, c.dial())
	}
	leaving := c.agents[0].receiver
	leaving.Leave()
	before := leaving.Counters.Opening.Load()
	is.True(before > 0)
	c.openFlows(8)
	for _, conn := range conns {
		echo(t, conn, 5, nil)
	}
	is.True(leaving.Counters.Passed.Load() > 0)
	is.Equal(leaving.Counters.Opening.Load(), before) // it took no new flow
}

// An agent whose AtFlowLimit is true passes all new flows on.
func TestAgentAtFlowLimitPassesFlowsOn(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 3, func(i int, config *receiver.Config) {
		config.AtFlowLimit = func() bool { return i == 0 }
	})
	c.openFlows(10)
	is.Equal(c.agents[0].receiver.Counters.Opening.Load(), uint64(0))
	is.True(c.agents[1].receiver.Counters.Opening.Load() >= 10)
}

// Callers prove their address by a Retry, whose answer reaches the same agent.
func TestRetryValidatesCallerAddress(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 3, func(_ int, config *receiver.Config) { config.RetryRate = -1 })
	c.openFlows(5)
	is.True(c.sum(retries) >= 5)
	is.Equal(c.sum((*receiver.Receiver).HalfOpen), 0)
}

// The fleet's key is rotated step by step while a flow is open: first both keys are
// accepted, then the new one becomes current.
func TestKeysRotateUnderAnOpenFlow(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2, nil)
	conn := c.dial()
	next := keyer.Random().Keys[0]
	next.Epoch = 2
	both := &keyer.Keys{Current: 1, Keys: append([]keyer.Key{next}, c.keys.Keys...)}
	switched := &keyer.Keys{Current: 2, Keys: both.Keys}
	steps := []*keyer.Keys{both, switched}
	echo(t, conn, 60, func(i int) {
		if i%20 != 10 || i/20 >= len(steps) {
			return
		}
		for _, fwd := range c.balancers {
			is.NoErr(fwd.SetKeys(steps[i/20]))
		}
		for _, a := range c.agents {
			is.NoErr(a.receiver.SetKeys(steps[i/20]))
		}
	})
	echo(t, c.dial(), 1, nil)
}

// A restarted agent answers packets of flows of its earlier incarnation with a
// stateless reset.
func TestRestartedAgentResetsStaleFlows(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2, nil)
	conn := c.dial()
	echo(t, conn, 1, nil)
	old := c.agents[0].receiver
	address := old.Identity().Address
	is.NoErr(old.Close())
	restarted := c.startAgent(0, service, func(_ int, config *receiver.Config) {
		config.Identity = gooseberrymast.Identity{Address: address, Incarnation: 8}
	})
	stream, err := conn.OpenStream()
	is.NoErr(err)
	_, err = stream.Write([]byte("anyone there"))
	is.NoErr(err)
	select {
	case <-conn.Context().Done():
	case <-c.ctx.Done():
		t.Fatal("the flow was not reset")
	}
	var reset *quic.StatelessResetError
	is.True(errors.As(context.Cause(conn.Context()), &reset))
	is.True(restarted.receiver.Counters.Stale.Load() > 0)
}

// Random datagrams to a service, to a balancer's forwarding address and to an
// agent are dropped and counted, and open flows go on.
func TestRandomDatagramsAreDropped(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2, nil)
	conn := c.dial()
	socket := listenUDP(t)
	fwd := c.startBalancer("balancer-0", c.table)
	targets := []net.Addr{
		net.UDPAddrFromAddrPort(c.fabric.ServiceAddress(0)),
		net.UDPAddrFromAddrPort(fwd.ForwardAddress()),
		c.agents[0].receiver.LocalAddr(),
	}
	opened := c.sum(openings)
	echo(t, conn, 50, func(i int) {
		for _, target := range targets {
			_, err := socket.WriteTo(make([]byte, i*40), target)
			is.NoErr(err)
		}
	})
	is.Equal(c.sum(openings), opened)
	for _, reason := range []receiver.Drop{receiver.DropTruncated, receiver.DropBadVersion, receiver.DropOversized} {
		is.True(c.agents[0].receiver.Counters.Dropped(reason) > 0)
	}
}

// Packets of a flow that arrive at another service's address are dropped and
// counted, and never reach an agent of that service.
func TestFlowNeverReachesAnotherService(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2, nil)
	receipts := c.startAgent(0, otherService, nil)
	for _, fwd := range c.balancers {
		fwd.SetTable(c.table)
	}
	conn := c.dial()
	// A packet of the handshake may still be in flight to the fabric. The echo
	// follows it, so none is left when the addresses are swapped.
	echo(t, conn, 1, nil)
	swapped := c.balancers["balancer-0"]
	c.fabric.Add(fabric.Balancer{
		Name:     "balancer-0",
		Services: []netip.AddrPort{swapped.ServiceAddress(1), swapped.ServiceAddress(0)},
	})
	echo(t, conn, 40, nil)
	is.True(swapped.Counters.Dropped(forwarder.DropWrongService) > 0)
	is.Equal(receipts.receiver.Counters.Established.Load(), uint64(0))
	is.Equal(receipts.receiver.Counters.Opening.Load(), uint64(0))
}

// Server pushes go on when the balancer that last delivered the caller's packets
// has failed and the caller sends nothing.
func TestPushSurvivesFailureOfNewestBalancer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 3, nil)
	read := c.startPushes() // all three balancers have delivered packets by now
	c.attachOnly("balancer-0")
	for i := range pushes {
		read()
		switch i {
		case 1:
			c.attachOnly() // no packet of the caller arrives through another balancer
			c.balancers["balancer-0"].Close()
		case 2:
			c.attachOnly("balancer-1", "balancer-2")
		}
	}
	is.True(c.agents[0].receiver.Counters.Alternated.Load() > 0)
}

// Server pushes also go on when every balancer that delivered the caller's packets
// has failed, once SetBalancers names another one.
func TestPushSurvivesFailureOfAllUsedBalancers(t *testing.T) {
	c := newCluster(t, 1, 2, nil)
	read := c.startPushes()
	read()
	c.attachOnly()
	c.balancers["balancer-0"].Close()
	c.balancers["balancer-1"].Close()
	next := c.startBalancer("balancer-2")
	c.attachOnly() // only the agent can send
	c.agents[0].receiver.SetBalancers([]netip.AddrPort{next.ForwardAddress()})
	read()
	c.attachOnly("balancer-2")
	for range pushes - 2 {
		read()
	}
}

// A caller whose address changes in the middle of a flow, as behind a NAT that
// lost its mapping, keeps the flow.
func TestFlowSurvivesChangeOfCallerAddress(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 3, nil)
	echo(t, c.dialWith(nil), 60, func(i int) {
		if i%20 == 10 {
			c.fabric.Rebind()
		}
	})
	is.Equal(c.sum((*receiver.Receiver).Callers), 4) // the first address and three others
}

// During a flood of Initial packets from one socket the number of incomplete
// handshakes stays within its limit, and a caller that proves its address can
// still open a flow.
func TestHalfOpenHandshakesAreBoundedInFlood(t *testing.T) {
	is := is.New(t)
	const maxHalfOpen, flood = 64, 3000
	c := newCluster(t, 2, 2, func(_ int, config *receiver.Config) {
		config.MaxHalfOpen = maxHalfOpen
		config.RetryRate = 20
	})
	socket := listenUDP(t)
	packet := make([]byte, 1200)
	copy(packet, []byte{0xc0, 0, 0, 0, 1, 8})
	for i := range flood {
		binary.BigEndian.PutUint64(packet[6:], uint64(i))
		_, err := socket.WriteTo(packet, net.UDPAddrFromAddrPort(c.fabric.ServiceAddress(0)))
		is.NoErr(err)
		for _, a := range c.agents {
			is.True(a.receiver.HalfOpen() <= maxHalfOpen)
		}
	}
	echo(t, c.dial(), 1, nil)
	is.True(c.sum(retries) > 0)
}
