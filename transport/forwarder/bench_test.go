package forwarder

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/protocol/framer"
	"gooseberrymast/transport/batcher"
)

// BenchmarkRouting measures routing without system calls.
func BenchmarkRouting(b *testing.B) {
	for name, route := range routingFuncs(b) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				route()
			}
		})
	}
}

// pathBenchmark measures a path of the balancer, one batch at a time. Outside the
// measured time, a batch of datagrams is sent to the socket that the path reads,
// and the batch that the path sent is read from the sink. The measured step reads,
// processes and writes one batch. Loopback delivers within the sending call, so no
// step waits.
type pathBenchmark struct {
	in, out, source, sink *batcher.Conn
	datagrams             *batcher.Batch
	drained               *batcher.Batch
}

func openConn(b *testing.B) *batcher.Conn {
	b.Helper()
	conns, err := batcher.Listen(loopback, 1)
	is.New(b).NoErr(err)
	b.Cleanup(func() { batcher.Close(conns) })
	return conns[0]
}

// fill sends a batch of datagrams to the path.
func (path *pathBenchmark) fill(b *testing.B, next func() []byte, to netip.AddrPort) {
	path.datagrams.Clear()
	for range DefaultBatch {
		path.datagrams.Add(next(), to)
	}
	if path.source.Write(path.datagrams) != DefaultBatch {
		b.Fatal("the source could not send")
	}
}

// measure runs the steps and reports the time per packet and the packets a second
// of one core.
func (path *pathBenchmark) measure(b *testing.B, next func() []byte, step func() error) {
	var spent time.Duration
	packets := 0
	b.ReportAllocs()
	for b.Loop() {
		path.fill(b, next, path.in.Address())
		start := time.Now()
		if err := step(); err != nil {
			b.Fatal(err)
		}
		spent += time.Since(start)
		for got := 0; got < DefaultBatch; {
			n, err := path.sink.Read(path.drained)
			if err != nil {
				b.Fatal(err)
			}
			got += n
			packets += n
		}
	}
	b.ReportMetric(float64(spent.Nanoseconds())/float64(packets), "ns/packet")
	b.ReportMetric(float64(packets)/spent.Seconds(), "packets/s")
}

func newPathBenchmark(b *testing.B) *pathBenchmark {
	return &pathBenchmark{
		source:    openConn(b),
		sink:      openConn(b),
		datagrams: batcher.NewWriteBatch(DefaultBatch),
		drained:   batcher.NewReadBatch(DefaultBatch, 0, framer.MaxFrame+1),
	}
}

// BenchmarkPath compares, in one run, the balancer's two directions with a relay
// that only reads and writes batches of the same size.
func BenchmarkPath(b *testing.B) {
	b.Run("relay", func(b *testing.B) {
		path := newPathBenchmark(b)
		path.in, path.out = openConn(b), openConn(b)
		read := batcher.NewReadBatch(DefaultBatch, 0, framer.MaxFrame+1)
		write := batcher.NewWriteBatch(DefaultBatch)
		datagram := shortHeaderPacket(b, ledger)
		path.measure(b, func() []byte { return datagram }, func() error {
			n, err := path.in.Read(read)
			write.Clear()
			for i := range n {
				payload, _ := read.Datagram(i)
				write.Add(payload, path.sink.Address())
			}
			path.out.Write(write)
			return err
		})
	})
	b.Run("inbound", func(b *testing.B) {
		fwd := newForwarder(b)
		path := newPathBenchmark(b)
		path.in, path.out = fwd.serviceConns[0][0], fwd.forwardConns[0]
		in := newInbound(fwd, 0)
		to := gooseberrymast.Identity{Address: path.sink.Address(), Incarnation: 1}
		cid := fwd.sealer.Seal(to, gooseberrymast.TagOf(ledger), 1)
		datagram := shortHeaderPacket(b, ledger)
		copy(datagram[1:], cid[:])
		path.measure(b, func() []byte { return datagram }, func() error { return in.forwardBatch(path.in, path.out) })
	})
	b.Run("outbound", func(b *testing.B) {
		fwd := newForwarder(b)
		path := newPathBenchmark(b)
		path.in, path.out = fwd.forwardConns[0], fwd.serviceConns[0][0]
		out := newOutbound(fwd, 0)
		sender := framer.NewSender()
		header := framer.Header{
			Kind:           framer.KindAnswer,
			Service:        gooseberrymast.TagOf(ledger),
			To:             gooseberrymast.Identity{Address: fwd.forward},
			Caller:         path.sink.Address(),
			Balancer:       fwd.forward,
			BalancerSender: fwd.sender.ID,
		}
		next := func() []byte {
			header.Origin = sender.Next(fwd.forward)
			frame, err := fwd.framer.Seal(&header, make([]byte, framer.MaxBytes+1200), framer.MaxBytes)
			if err != nil {
				b.Fatal(err)
			}
			return frame
		}
		path.measure(b, next, func() error { return out.forwardBatch(path.in) })
	})
}
