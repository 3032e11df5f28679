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

// remember notes that balancers delivered packets of a caller, in that order.
func remember(known *callers, caller netip.AddrPort, now time.Time, ports ...uint16) {
	for _, port := range ports {
		known.heard(caller, pathVia(port), true, now)
	}
}

func TestAnswersGoThroughTheNewestBalancer(t *testing.T) {
	is := is.New(t)
	var known callers
	now := time.Unix(100, 0)
	_, _, ok := known.back(callerAddress(1), now)
	is.True(!ok)
	remember(&known, callerAddress(1), now, 1, 2, 1, 3)
	for range 3 {
		via, alternate, ok := known.back(callerAddress(1), now.Add(alternateAfter))
		is.True(ok)
		is.True(!alternate)
		is.Equal(via, pathVia(3))
	}
}

// The answers to a silent caller take turns, as the newest balancer may be gone.
func TestAnswersToASilentCallerAlternate(t *testing.T) {
	is := is.New(t)
	var known callers
	now := time.Unix(100, 0)
	remember(&known, callerAddress(1), now, 4, 1, 2, 1, 3)
	later := now.Add(alternateAfter + 1)
	for _, port := range []uint16{1, 2, 3, 1, 2} {
		via, alternate, _ := known.back(callerAddress(1), later)
		is.Equal(via, pathVia(port))
		is.Equal(alternate, port != 3)
	}
	known.heard(callerAddress(1), pathVia(2), true, later)
	via, _, _ := known.back(callerAddress(1), later)
	is.Equal(via, pathVia(2)) // what is heard of counts at once
	known.heard(callerAddress(2), pathVia(9), true, now)
	for range 3 {
		via, alternate, _ := known.back(callerAddress(2), later)
		is.Equal(via, pathVia(9)) // there is no other path
		is.True(!alternate)
	}
}

// Balancers that aren't known to run are not used but for the newest, and others
// that run stand in.
func TestAnswersUseRunningBalancers(t *testing.T) {
	is := is.New(t)
	var known callers
	now := time.Unix(100, 0)
	remember(&known, callerAddress(1), now, 1, 2, 3)
	turns := func(n int) map[uint16]bool {
		used := map[uint16]bool{}
		for range n {
			via, _, _ := known.back(callerAddress(1), now.Add(time.Second))
			used[via.balancer.Port()] = true
			is.Equal(via.index == framer.AnyIndex, via.balancer.Port() > 3) // an unknown numbering is not guessed
		}
		return used
	}
	running := func(ports ...uint16) {
		var addresses []netip.AddrPort
		for _, port := range ports {
			addresses = append(addresses, pathVia(port).balancer)
		}
		known.setBalancers(addresses)
	}
	running(2, 3, 4)
	is.Equal(turns(6), map[uint16]bool{2: true, 3: true, 4: true})
	running(7)
	known.heard(callerAddress(1), pathVia(3), true, now)
	is.Equal(turns(2), map[uint16]bool{7: true}) // it goes first and most often
	is.Equal(turns(1), map[uint16]bool{3: true}) // it may run, though it isn't known to
	is.Equal(turns(600), map[uint16]bool{3: true, 7: true})
	running()
	is.Equal(turns(6), map[uint16]bool{1: true, 2: true, 3: true})
	via, _, _ := known.back(callerAddress(1), now)
	is.Equal(via, pathVia(3)) // what was just heard of runs
}

func TestSilentCallersAreForgotten(t *testing.T) {
	is := is.New(t)
	var known callers
	now := time.Unix(100, 0)
	known.heard(callerAddress(1), pathVia(1), true, now)
	known.heard(callerAddress(2), pathVia(1), true, now.Add(CallerLifetime))
	known.expire(now.Add(CallerLifetime + 1))
	is.Equal(known.count(), 1)
}

// A flood from invented addresses stays within the bound and doesn't push out
// the callers whose flows are open.
func TestCallersAreBounded(t *testing.T) {
	is := is.New(t)
	const limit, open = 1600, 400
	known := callers{max: limit}
	now := time.Unix(100, 0)
	for n := range open {
		known.heard(callerAddress(n), pathVia(1), false, now)
		known.heard(callerAddress(n), pathVia(1), true, now)
	}
	for n := open; n < 20*limit; n++ {
		known.heard(callerAddress(n), pathVia(1), false, now)
		known.open(callerAddress(n), uint64(n))
	}
	is.True(known.count() <= limit)
	kept := 0
	for n := range open {
		if _, _, ok := known.back(callerAddress(n), now); ok {
			kept++
		}
	}
	is.Equal(kept, open)
}

func TestOpeningIsGivenOnce(t *testing.T) {
	is := is.New(t)
	var known callers
	known.open(callerAddress(1), 7) // an unknown caller opens nothing
	is.Equal(known.opened(callerAddress(1)), uint64(0))
	known.heard(callerAddress(1), pathVia(1), true, time.Unix(100, 0))
	known.open(callerAddress(1), 7)
	is.Equal(known.opened(callerAddress(1)), uint64(7))
	is.Equal(known.opened(callerAddress(1)), uint64(0))
}

// BenchmarkCallerMemory reports the bytes that are kept for each caller.
func BenchmarkCallerMemory(b *testing.B) {
	const n = 50_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		known := callers{max: 2 * n}
		for i := range n {
			known.heard(callerAddress(i), pathVia(1), true, time.Unix(100, 0))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(known.count()), "bytes/caller")
	}
}
