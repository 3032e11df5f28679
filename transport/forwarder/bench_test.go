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

// BenchmarkRouting is the cost of routing without the system calls.
func BenchmarkRouting(b *testing.B) {
	for name, route := range routings(b) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				route()
			}
		})
	}
}

// benchPath measures one step of a path at a time: untimed, a batch of
// datagrams is put into the socket that the path reads and what it sent before
// is taken out of the sink; timed, the path reads, handles and writes. Loopback
// delivers within the sending call, so no step waits.
type benchPath struct {
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

// fill puts a batch of datagrams before the path.
func (p *benchPath) fill(b *testing.B, next func() []byte, to netip.AddrPort) {
	p.datagrams.Clear()
	for range DefaultBatch {
		p.datagrams.Add(next(), to)
	}
	if p.source.Write(p.datagrams) != DefaultBatch {
		b.Fatal("the source could not send")
	}
}

// run steps the path and reports the time and the packets a second of a core.
func (p *benchPath) run(b *testing.B, next func() []byte, step func() error) {
	var spent time.Duration
	packets := 0
	b.ReportAllocs()
	for b.Loop() {
		p.fill(b, next, p.in.Address())
		start := time.Now()
		if err := step(); err != nil {
			b.Fatal(err)
		}
		spent += time.Since(start)
		for got := 0; got < DefaultBatch; {
			n, err := p.sink.Read(p.drained)
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

func newBenchPath(b *testing.B) *benchPath {
	return &benchPath{
		source:    openConn(b),
		sink:      openConn(b),
		datagrams: batcher.NewWriteBatch(DefaultBatch),
		drained:   batcher.NewReadBatch(DefaultBatch, 0, framer.MaxFrame+1),
	}
}

// BenchmarkPath compares, in one run, the balancer's two directions with a
// relay that does nothing but read and write with the same batches.
func BenchmarkPath(b *testing.B) {
	b.Run("relay", func(b *testing.B) {
		p := newBenchPath(b)
		p.in, p.out = openConn(b), openConn(b)
		read := batcher.NewReadBatch(DefaultBatch, 0, framer.MaxFrame+1)
		write := batcher.NewWriteBatch(DefaultBatch)
		datagram := short(b, ledger)
		p.run(b, func() []byte { return datagram }, func() error {
			n, err := p.in.Read(read)
			write.Clear()
			for i := range n {
				payload, _ := read.Datagram(i)
				write.Add(payload, p.sink.Address())
			}
			p.out.Write(write)
			return err
		})
	})
	b.Run("inbound", func(b *testing.B) {
		fwd := newForwarder(b)
		p := newBenchPath(b)
		p.in, p.out = fwd.services[0][0], fwd.forwards[0]
		in := newInbound(fwd, 0)
		to := gooseberrymast.Identity{Address: p.sink.Address(), Incarnation: 1}
		cid := fwd.sealer.Seal(to, gooseberrymast.TagOf(ledger), 1)
		datagram := short(b, ledger)
		copy(datagram[1:], cid[:])
		p.run(b, func() []byte { return datagram }, func() error { return in.step(p.in, p.out) })
	})
	b.Run("outbound", func(b *testing.B) {
		fwd := newForwarder(b)
		p := newBenchPath(b)
		p.in, p.out = fwd.forwards[0], fwd.services[0][0]
		out := newOutbound(fwd, 0)
		sender := framer.NewSender()
		header := framer.Header{
			Kind:           framer.KindAnswer,
			Service:        gooseberrymast.TagOf(ledger),
			To:             gooseberrymast.Identity{Address: fwd.forward},
			Caller:         p.sink.Address(),
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
		p.run(b, next, func() error { return out.step(p.in) })
	})
}
