package fabric

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/state/timer"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// hangGuard bounds a read whose packet never arrives. It is far longer than any
// passing run takes.
const hangGuard = time.Minute

func listenLoopback(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := listen(loopback)
	is.New(t).NoErr(err)
	is.New(t).NoErr(conn.SetReadDeadline(time.Now().Add(hangGuard)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startEchoBalancer starts a balancer that answers each packet with its name and
// sends the packet's source address to the returned channel.
func startEchoBalancer(t *testing.T, name string) (Balancer, chan netip.AddrPort) {
	conn := listenLoopback(t)
	seen := make(chan netip.AddrPort, 1000)
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			_, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			seen <- from
			_, _ = conn.WriteToUDPAddrPort([]byte(name), from)
		}
	}()
	return Balancer{Name: name, Services: []netip.AddrPort{addressOf(conn)}}, seen
}

func newFabric(t *testing.T, timer gooseberrymast.Timer) *Fabric {
	t.Helper()
	fab, err := New(Config{Services: []netip.AddrPort{loopback}, Seed: 1, Timer: timer})
	is.New(t).NoErr(err)
	t.Cleanup(fab.Close)
	return fab
}

// exchange sends one packet through the fabric and returns the answer.
func exchange(t *testing.T, fab *Fabric, caller *net.UDPConn) string {
	t.Helper()
	is := is.New(t)
	_, err := caller.WriteToUDPAddrPort([]byte("question"), fab.ServiceAddress(0))
	is.NoErr(err)
	buffer := make([]byte, 100)
	n, from, err := caller.ReadFromUDPAddrPort(buffer)
	is.NoErr(err)
	is.Equal(from, fab.ServiceAddress(0))
	return string(buffer[:n])
}

func TestPacketsReachEveryBalancer(t *testing.T) {
	is := is.New(t)
	fab := newFabric(t, nil)
	first, seen := startEchoBalancer(t, "first")
	second, _ := startEchoBalancer(t, "second")
	fab.Add(first)
	fab.Add(second)
	callers := []*net.UDPConn{listenLoopback(t), listenLoopback(t)}
	answers := map[string]int{}
	for range 50 {
		for _, caller := range callers {
			answers[exchange(t, fab, caller)]++
		}
	}
	is.True(answers["first"] > 20)
	is.True(answers["second"] > 20)
	addresses := map[netip.AddrPort]bool{}
	for range answers["first"] {
		addresses[<-seen] = true
	}
	is.Equal(len(addresses), len(callers)) // each caller has its own address at a balancer
	fab.Remove("first")
	for range 20 {
		is.Equal(exchange(t, fab, callers[0]), "second")
	}
}

func TestRebindChangesACallersAddress(t *testing.T) {
	fab := newFabric(t, nil)
	balancer, seen := startEchoBalancer(t, "only")
	fab.Add(balancer)
	caller := listenLoopback(t)
	exchange(t, fab, caller)
	before := <-seen
	fab.Rebind()
	exchange(t, fab, caller)
	is.New(t).True(<-seen != before)
}

func TestFaultsDuplicateAndDropPackets(t *testing.T) {
	is := is.New(t)
	fab := newFabric(t, nil)
	balancer, _ := startEchoBalancer(t, "only")
	fab.Add(balancer)
	caller := listenLoopback(t)
	fab.SetFaults(Faults{Duplicate: 1})
	exchange(t, fab, caller)
	buffer := make([]byte, 100)
	for range 3 { // 2 copies of the question, 2 of each answer; exchange read the first
		_, err := caller.Read(buffer)
		is.NoErr(err)
	}
	fab.SetFaults(Faults{Drop: 1})
	const lost = 5
	for range lost {
		is.True(fab.drawDelays() == nil)
	}
	is.Equal(fab.Counts().Dropped, uint64(lost))
	is.Equal(fab.Counts().Duplicated, uint64(3))
}

func TestReorderedPacketHasBothDelays(t *testing.T) {
	is := is.New(t)
	var clock timer.Manual
	fab := newFabric(t, &clock)
	fab.SetFaults(Faults{Delay: time.Second, Reorder: 1, ReorderBy: time.Second})
	sent := 0
	fab.sendWithFaults([]byte("packet"), func([]byte) { sent++ })
	clock.Advance(2*time.Second - 1)
	is.Equal(sent, 0)
	clock.Advance(1)
	is.Equal(sent, 1)
	is.Equal(fab.Counts().Reordered, uint64(1))
}

// Checks that equal seeds draw equal sequences of balancers.
func TestBalancerDrawsAreRepeatable(t *testing.T) {
	is := is.New(t)
	draws := func() []netip.AddrPort {
		fab := newFabric(t, nil)
		for port := range uint16(5) {
			address := netip.AddrPortFrom(loopback.Addr(), port+1)
			fab.Add(Balancer{Name: address.String(), Services: []netip.AddrPort{address}})
		}
		drawn := make([]netip.AddrPort, 20)
		for i := range drawn {
			drawn[i] = fab.drawBalancer(0)
		}
		return drawn
	}
	is.Equal(draws(), draws())
}
