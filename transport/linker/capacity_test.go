package linker

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"gooseberrymast/protocol/keyer"
)

// meter relays connections and counts the bytes and the segments that a host
// would send for them. A read of the relay counts as one segment.
type meter struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	reads    atomic.Int64
}

func startMeter(b *testing.B, target string) *meter {
	listener, err := net.Listen("tcp", loopback.String())
	is.New(b).NoErr(err)
	m := &meter{listener: listener, target: target}
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

func (m *meter) relay(conn net.Conn) {
	defer conn.Close()
	far, err := net.Dial("tcp", m.target)
	if err != nil {
		return
	}
	defer far.Close()
	go m.pass(far, conn)
	m.pass(conn, far)
}

func (m *meter) pass(to, from net.Conn) {
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

// echoFor answers each message on a control stream with the same.
func echoFor(b *testing.B, keys *keyer.Keys) *Listener {
	listener, err := Listen(loopback, Fixed(keys))
	is.New(b).NoErr(err)
	listener.Handle(KindControl, func(_ context.Context, _ netip.AddrPort, stream *Stream) {
		for {
			var message wrapperspb.BytesValue
			if ReadMessage(stream, &message) != nil || WriteMessage(stream, &message) != nil {
				return
			}
		}
	})
	go func() { _ = listener.Serve(context.Background()) }()
	b.Cleanup(func() { listener.Close() })
	return listener
}

// BenchmarkOverhead measures the bytes that a connection carries for a session
// that opens with one stream, and for each message beside the message itself,
// from its own length to the TLS record. IP, TCP and acknowledgements come on
// top.
func BenchmarkOverhead(b *testing.B) {
	for _, size := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("message=%d", size), func(b *testing.B) {
			is := is.New(b)
			keys := keyer.Random()
			m := startMeter(b, echoFor(b, keys).Address().String())
			session, err := Dial(b.Context(), netip.MustParseAddrPort(m.listener.Addr().String()), Fixed(keys))
			is.NoErr(err)
			defer session.Close()
			stream, err := session.OpenStream(KindControl)
			is.NoErr(err)
			message := wrapperspb.Bytes(make([]byte, size))
			roundTrip := func() {
				is.NoErr(WriteMessage(stream, message))
				var got wrapperspb.BytesValue
				is.NoErr(ReadMessage(stream, &got))
			}
			roundTrip()
			opening, reads := m.bytes.Load(), m.reads.Load()
			for b.Loop() {
				roundTrip()
			}
			messages := float64(2 * b.N)
			b.ReportMetric(float64(opening), "B/session")
			b.ReportMetric(float64(m.bytes.Load()-opening)/messages, "B/message")
			b.ReportMetric(float64(m.reads.Load()-reads)/messages, "reads/message")
		})
	}
}

// BenchmarkSessionMemory measures the heap and the stacks of both sides of an
// idle session with one stream, and the time of its handshake on both sides.
func BenchmarkSessionMemory(b *testing.B) {
	for _, sessions := range []int{50, 200} {
		b.Run(fmt.Sprintf("sessions=%d", sessions), func(b *testing.B) {
			is := is.New(b)
			keys := keyer.Random()
			listener := echoFor(b, keys)
			before := memory()
			began := time.Now()
			for range sessions {
				session, err := Dial(b.Context(), listener.Address(), Fixed(keys))
				is.NoErr(err)
				defer session.Close()
				stream, err := session.OpenStream(KindControl)
				is.NoErr(err)
				is.NoErr(WriteMessage(stream, wrapperspb.String("first")))
				var got wrapperspb.StringValue
				is.NoErr(ReadMessage(stream, &got))
			}
			elapsed := time.Since(began)
			b.ReportMetric(float64(memory()-before)/float64(2*sessions), "B/side")
			b.ReportMetric(float64(elapsed.Microseconds())/float64(sessions), "us/handshake")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkQuestion measures the bytes that a connection carries for a short
// question and its reply on a stream of their own.
func BenchmarkQuestion(b *testing.B) {
	for _, size := range []int{10, 100} {
		b.Run(fmt.Sprintf("message=%d", size), func(b *testing.B) {
			is := is.New(b)
			keys := keyer.Random()
			m := startMeter(b, echoFor(b, keys).Address().String())
			session, err := Dial(b.Context(), netip.MustParseAddrPort(m.listener.Addr().String()), Fixed(keys))
			is.NoErr(err)
			defer session.Close()
			message := wrapperspb.Bytes(make([]byte, size))
			ask := func() {
				stream, err := session.OpenStream(KindControl)
				is.NoErr(err)
				is.NoErr(WriteMessage(stream, message))
				var got wrapperspb.BytesValue
				is.NoErr(ReadMessage(stream, &got))
				is.NoErr(stream.Close())
			}
			ask()
			before, reads := m.bytes.Load(), m.reads.Load()
			for b.Loop() {
				ask()
			}
			b.ReportMetric(float64(m.bytes.Load()-before)/float64(b.N), "B/question")
			b.ReportMetric(float64(m.reads.Load()-reads)/float64(b.N), "reads/question")
		})
	}
}
