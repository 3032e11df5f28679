package linker

import (
	"runtime"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast/protocol/keyer"
)

// BenchmarkIdleSession measures the memory of one end of an idle session: both
// ends are in this process, and each counts for half.
func BenchmarkIdleSession(b *testing.B) {
	const sessions = 500
	is := is.New(b)
	keys := keyer.Random()
	listener, err := Listen(loopback, Fixed(keys))
	is.NoErr(err)
	defer listener.Close()
	go func() { _ = listener.Serve(b.Context()) }()
	before := memory()
	for range sessions {
		session, err := Dial(b.Context(), listener.Address(), Fixed(keys))
		is.NoErr(err)
		defer session.Close()
	}
	b.ReportMetric(float64(memory()-before)/(2*sessions), "heap+stack-B/end")
	b.ReportMetric(0, "ns/op")
}

func memory() uint64 {
	for range 5 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
