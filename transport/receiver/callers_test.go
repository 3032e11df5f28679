package receiver

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast/protocol/framer"
)

func callerAddress(n int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{192, 0, byte(n >> 16), byte(n >> 8)})
	return netip.AddrPortFrom(ip, uint16(1024+n%256))
}

func pathVia(port uint16) path {
	return path{balancer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port), sender: uint64(port)}
}

// recordPaths records that balancers delivered packets of a caller, in that order.
func recordPaths(tracked *callers, caller netip.AddrPort, now time.Time, ports ...uint16) {
	for _, port := range ports {
		tracked.recordPath(caller, pathVia(port), true, now)
	}
}

func TestAnswersGoThroughTheNewestBalancer(t *testing.T) {
	is := is.New(t)
	var tracked callers
	now := time.Unix(100, 0)
	_, _, ok := tracked.returnPath(callerAddress(1), now)
	is.True(!ok)
	recordPaths(&tracked, callerAddress(1), now, 1, 2, 1, 3)
	for range 3 {
		via, alternate, ok := tracked.returnPath(callerAddress(1), now.Add(alternateAfter))
		is.True(ok)
		is.True(!alternate)
		is.Equal(via, pathVia(3))
	}
}

// Answers to a silent caller alternate between the stored balancers, as the newest
// may have failed.
func TestAnswersToASilentCallerAlternate(t *testing.T) {
	is := is.New(t)
	var tracked callers
	now := time.Unix(100, 0)
	recordPaths(&tracked, callerAddress(1), now, 4, 1, 2, 1, 3)
	later := now.Add(alternateAfter + 1)
	for _, port := range []uint16{1, 2, 3, 1, 2} {
		via, alternate, _ := tracked.returnPath(callerAddress(1), later)
		is.Equal(via, pathVia(port))
		is.Equal(alternate, port != 3)
	}
	tracked.recordPath(callerAddress(1), pathVia(2), true, later)
	via, _, _ := tracked.returnPath(callerAddress(1), later)
	is.Equal(via, pathVia(2)) // a new packet makes its balancer the newest at once
	tracked.recordPath(callerAddress(2), pathVia(9), true, now)
	for range 3 {
		via, alternate, _ := tracked.returnPath(callerAddress(2), later)
		is.Equal(via, pathVia(9)) // there is no other path
		is.True(!alternate)
	}
}

// Except for the newest, balancers that aren't in the list of running ones are not
// used, and others of the list replace them.
func TestAnswersUseRunningBalancers(t *testing.T) {
	is := is.New(t)
	var tracked callers
	now := time.Unix(100, 0)
	recordPaths(&tracked, callerAddress(1), now, 1, 2, 3)
	balancersUsed := func(n int) map[uint16]bool {
		used := map[uint16]bool{}
		for range n {
			via, _, _ := tracked.returnPath(callerAddress(1), now.Add(time.Second))
			used[via.balancer.Port()] = true
			is.Equal(via.index == framer.AnyIndex, via.balancer.Port() > 3) // the index of the service address is unknown for a balancer that delivered nothing
		}
		return used
	}
	setRunning := func(ports ...uint16) {
		var addresses []netip.AddrPort
		for _, port := range ports {
			addresses = append(addresses, pathVia(port).balancer)
		}
		tracked.setBalancers(addresses)
	}
	setRunning(2, 3, 4)
	is.Equal(balancersUsed(6), map[uint16]bool{2: true, 3: true, 4: true})
	setRunning(7)
	tracked.recordPath(callerAddress(1), pathVia(3), true, now)
	is.Equal(balancersUsed(2), map[uint16]bool{7: true}) // the replacement has two of three turns, the first two
	is.Equal(balancersUsed(1), map[uint16]bool{3: true}) // it may run, though it isn't in the list
	is.Equal(balancersUsed(600), map[uint16]bool{3: true, 7: true})
	setRunning()
	is.Equal(balancersUsed(6), map[uint16]bool{1: true, 2: true, 3: true})
	via, _, _ := tracked.returnPath(callerAddress(1), now)
	is.Equal(via, pathVia(3)) // a balancer that has just delivered a packet is running
}

func TestSilentCallersAreRemoved(t *testing.T) {
	is := is.New(t)
	var tracked callers
	now := time.Unix(100, 0)
	tracked.recordPath(callerAddress(1), pathVia(1), true, now)
	tracked.recordPath(callerAddress(2), pathVia(1), true, now.Add(CallerLifetime))
	tracked.expire(now.Add(CallerLifetime + 1))
	is.Equal(tracked.count(), 1)
}

// A flood from spoofed addresses stays within the limit and doesn't evict callers
// with open flows.
func TestCallersAreBounded(t *testing.T) {
	is := is.New(t)
	const limit, open = 1600, 400
	tracked := callers{max: limit}
	now := time.Unix(100, 0)
	for n := range open {
		tracked.recordPath(callerAddress(n), pathVia(1), false, now)
		tracked.recordPath(callerAddress(n), pathVia(1), true, now)
	}
	for n := open; n < 20*limit; n++ {
		tracked.recordPath(callerAddress(n), pathVia(1), false, now)
		tracked.setOpening(callerAddress(n), uint64(n))
	}
	is.True(tracked.count() <= limit)
	kept := 0
	for n := range open {
		if _, _, ok := tracked.returnPath(callerAddress(n), now); ok {
			kept++
		}
	}
	is.Equal(kept, open)
}

func TestOpeningKeyIsReturnedOnce(t *testing.T) {
	is := is.New(t)
	var tracked callers
	tracked.setOpening(callerAddress(1), 7) // ignored: the caller isn't in the table
	is.Equal(tracked.takeOpening(callerAddress(1)), uint64(0))
	tracked.recordPath(callerAddress(1), pathVia(1), true, time.Unix(100, 0))
	tracked.setOpening(callerAddress(1), 7)
	is.Equal(tracked.takeOpening(callerAddress(1)), uint64(7))
	is.Equal(tracked.takeOpening(callerAddress(1)), uint64(0))
}

// BenchmarkCallerMemory reports the heap bytes per caller in the table.
func BenchmarkCallerMemory(b *testing.B) {
	const n = 50_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		tracked := callers{max: 2 * n}
		for i := range n {
			tracked.recordPath(callerAddress(i), pathVia(1), true, time.Unix(100, 0))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tracked.count()), "bytes/caller")
	}
}
