package linker

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"gooseberrymast/protocol/keyer"
)

// meteredRelay relays connections and counts their bytes and segments. One read
// of the relay counts as one segment.
type meteredRelay struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	reads    atomic.Int64
}

func startRelay(b *testing.B, target string) *meteredRelay {
	listener, err := net.Listen("tcp", loopback.String())
	is.New(b).NoErr(err)
	m := &meteredRelay{listener: listener, target: target}
	b.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go m.relay(conn)
		}
	}()
	return m
}

func (m *meteredRelay) relay(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", m.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	go m.forward(upstream, conn)
	m.forward(conn, upstream)
}

func (m *meteredRelay) forward(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		m.bytes.Add(int64(n))
		m.reads.Add(1)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// echoMessages starts a listener that echoes each message on a control stream.
func echoMessages(b *testing.B, keys *keyer.Keys) *Listener {
	return serve(b, keys, KindControl, func(_ context.Context, _ netip.AddrPort, stream *Stream) {
		for {
			var message wrapperspb.BytesValue
			if ReadMessage(stream, &message) != nil || WriteMessage(stream, &message) != nil {
				return
			}
		}
	})
}

// meteredSession opens a session through a relay.
func meteredSession(b *testing.B) (*meteredRelay, *Session) {
	keys := keyer.Random()
	m := startRelay(b, echoMessages(b, keys).Address().String())
	return m, dial(b, netip.MustParseAddrPort(m.listener.Addr().String()), keys)
}

// exchange sends a message and reads its echo.
func exchange(b *testing.B, stream *Stream, message *wrapperspb.BytesValue) {
	is := is.New(b)
	is.NoErr(WriteMessage(stream, message))
	var got wrapperspb.BytesValue
	is.NoErr(ReadMessage(stream, &got))
}

// measure runs a step once to warm up, and then reports the bytes and the reads
// of each further run, divided by the number of parts of a step.
func (m *meteredRelay) measure(b *testing.B, unit string, parts int, step func()) {
	step()
	before, reads := m.bytes.Load(), m.reads.Load()
	for b.Loop() {
		step()
	}
	n := float64(parts * b.N)
	b.ReportMetric(float64(m.bytes.Load()-before)/n, "B/"+unit)
	b.ReportMetric(float64(m.reads.Load()-reads)/n, "reads/"+unit)
}

// BenchmarkMessageBytes measures the bytes on the connection for opening a
// session with one stream and one exchange, and for each message including its
// length and the TLS record, but without IP, TCP and acknowledgements.
func BenchmarkMessageBytes(b *testing.B) {
	for _, size := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("message=%d", size), func(b *testing.B) {
			m, session := meteredSession(b)
			stream, err := session.OpenStream(KindControl)
			is.New(b).NoErr(err)
			message := wrapperspb.Bytes(make([]byte, size))
			exchange(b, stream, message)
			opening := m.bytes.Load()
			m.measure(b, "message", 2, func() { exchange(b, stream, message) })
			b.ReportMetric(float64(opening), "B/session")
		})
	}
}

// BenchmarkRequestBytes measures the bytes on the connection for a short request
// and its reply on a separate stream.
func BenchmarkRequestBytes(b *testing.B) {
	for _, size := range []int{10, 100} {
		b.Run(fmt.Sprintf("message=%d", size), func(b *testing.B) {
			is := is.New(b)
			m, session := meteredSession(b)
			message := wrapperspb.Bytes(make([]byte, size))
			m.measure(b, "question", 1, func() {
				stream, err := session.OpenStream(KindControl)
				is.NoErr(err)
				exchange(b, stream, message)
				is.NoErr(stream.Close())
			})
		})
	}
}

// BenchmarkSessionMemory measures the heap and stacks of each side of an idle
// session, with and without a stream, and the time that both sides take to open
// it.
func BenchmarkSessionMemory(b *testing.B) {
	benchmarks := []struct {
		name     string
		sessions int
		stream   bool
	}{
		{"sessions=50", 50, true},
		{"sessions=200", 200, true},
		{"idle", 500, false},
	}
	for _, bench := range benchmarks {
		b.Run(bench.name, func(b *testing.B) {
			is := is.New(b)
			keys := keyer.Random()
			listener := echoMessages(b, keys)
			before := memoryInUse()
			began := time.Now()
			for range bench.sessions {
				session, err := Dial(b.Context(), listener.Address(), FixedKeys(keys))
				is.NoErr(err)
				defer session.Close()
				if bench.stream {
					stream, err := session.OpenStream(KindControl)
					is.NoErr(err)
					exchange(b, stream, wrapperspb.Bytes([]byte("first")))
				}
			}
			elapsed := time.Since(began)
			b.ReportMetric(float64(memoryInUse()-before)/float64(2*bench.sessions), "B/side")
			b.ReportMetric(float64(elapsed.Microseconds())/float64(bench.sessions), "us/handshake")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func memoryInUse() uint64 {
	for range 5 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
