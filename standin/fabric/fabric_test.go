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

// hangGuard ends a read whose packet never comes; it is far above any run.
const hangGuard = time.Minute

func udp(t *testing.T) *net.UDPConn {
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

// echoer is a balancer that sends each packet back with its name, and counts
// the addresses that it saw.
func echoer(t *testing.T, name string) (Balancer, chan netip.AddrPort) {
	conn := udp(t)
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

// ask sends one packet through the fabric and gives the answer.
func ask(t *testing.T, fab *Fabric, caller *net.UDPConn) string {
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
	first, seen := echoer(t, "first")
	second, _ := echoer(t, "second")
	fab.Add(first)
	fab.Add(second)
	callers := []*net.UDPConn{udp(t), udp(t)}
	answers := map[string]int{}
	for range 50 {
		for _, caller := range callers {
			answers[ask(t, fab, caller)]++
		}
	}
	is.True(answers["first"] > 20)
	is.True(answers["second"] > 20)
	addresses := map[netip.AddrPort]bool{}
	for range answers["first"] {
		addresses[<-seen] = true
	}
	is.Equal(len(addresses), len(callers)) // a balancer tells the callers apart
	fab.Remove("first")
	for range 20 {
		is.Equal(ask(t, fab, callers[0]), "second")
	}
}

func TestRebindChangesACallersAddress(t *testing.T) {
	fab := newFabric(t, nil)
	balancer, seen := echoer(t, "only")
	fab.Add(balancer)
	caller := udp(t)
	ask(t, fab, caller)
	before := <-seen
	fab.Rebind()
	ask(t, fab, caller)
	is.New(t).True(<-seen != before)
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	fab := newFabric(t, nil)
	balancer, _ := echoer(t, "only")
	fab.Add(balancer)
	caller := udp(t)
	fab.SetFaults(Faults{Duplicate: 1})
	ask(t, fab, caller)
	buffer := make([]byte, 100)
	for range 3 { // both copies of the question have two answers
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

func TestDelay(t *testing.T) {
	is := is.New(t)
	var clock timer.Manual
	fab := newFabric(t, &clock)
	fab.SetFaults(Faults{Delay: time.Second, Reorder: 1, ReorderBy: time.Second})
	sent := 0
	fab.deliver([]byte("packet"), func([]byte) { sent++ })
	clock.Advance(2*time.Second - 1)
	is.Equal(sent, 0)
	clock.Advance(1)
	is.Equal(sent, 1)
	is.Equal(fab.Counts().Reordered, uint64(1))
}

// One seed draws one sequence.
func TestDrawsFollowTheSeed(t *testing.T) {
	is := is.New(t)
	draws := func() []netip.AddrPort {
		fab := newFabric(t, nil)
		for port := range uint16(5) {
			address := netip.AddrPortFrom(loopback.Addr(), port+1)
			fab.Add(Balancer{Name: address.String(), Services: []netip.AddrPort{address}})
		}
		drawn := make([]netip.AddrPort, 20)
		for i := range drawn {
			drawn[i] = fab.draw(0)
		}
		return drawn
	}
	is.Equal(draws(), draws())
}
