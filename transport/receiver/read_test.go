package receiver

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"gooseberrymast"
	"gooseberrymast/protocol/framer"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/protocol/sealer"
)

const ledger = "ledger"

var otherAgent = gooseberrymast.Identity{Address: netip.MustParseAddrPort("127.0.0.1:9"), Incarnation: 1}

func newReceiver(t testing.TB) *Receiver {
	t.Helper()
	rec, err := New(Config{
		Identity: gooseberrymast.Identity{Address: netip.MustParseAddrPort("127.0.0.1:0"), Incarnation: 5},
		Service:  ledger,
		Keys:     keyer.Random(),
	})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = rec.Close() })
	rec.now = time.Now()
	return rec
}

// shortHeaderPacket returns a short-header packet whose connection ID names the
// identity and service.
func shortHeaderPacket(rec *Receiver, id gooseberrymast.Identity, service string) []byte {
	cid := rec.sealer.Seal(id, gooseberrymast.TagOf(service), 1)
	return append(append([]byte{0x40}, cid[:]...), make([]byte, 40)...)
}

// initialPacket returns a packet that may open a flow.
func initialPacket() []byte {
	return append([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8}, make([]byte, 1200)...)
}

// frameTo returns a frame from a balancer to the receiver.
func frameTo(t testing.TB, rec *Receiver, payload []byte, edit func(header *framer.Header)) []byte {
	t.Helper()
	header := framer.Header{
		Kind:           framer.KindFlow,
		Service:        gooseberrymast.TagOf(ledger),
		Origin:         framer.NewSender().Next(rec.self.Address),
		To:             rec.self,
		Caller:         netip.MustParseAddrPort("192.0.2.7:5555"),
		Balancer:       otherAgent.Address,
		BalancerSender: 7,
	}
	if edit != nil {
		edit(&header)
	}
	frame, err := rec.framer.Seal(&header, append(make([]byte, framer.MaxBytes), payload...), framer.MaxBytes)
	is.New(t).NoErr(err)
	return frame
}

func setOpening(header *framer.Header) {
	header.Kind = framer.KindOpening
	header.Takers[0] = header.To
	header.Homes[0] = header.To
}

func TestAcceptDropsInvalidFrames(t *testing.T) {
	rec := newReceiver(t)
	own := shortHeaderPacket(rec, rec.self, ledger)
	earlier := gooseberrymast.Identity{Address: rec.self.Address, Incarnation: rec.self.Incarnation - 1}
	later := gooseberrymast.Identity{Address: rec.self.Address, Incarnation: rec.self.Incarnation + 1}
	long := append([]byte{0xe0, 0, 0, 0, 1, sealer.Bytes}, shortHeaderPacket(rec, earlier, ledger)[1:]...)
	tests := []struct {
		name  string
		frame []byte
		want  Drop
	}{
		{"truncated", frameTo(t, rec, own, nil)[:framer.MinBytes-1], DropTruncated},
		{"oversized", make([]byte, framer.MaxFrame+1), DropOversized},
		{"random", make([]byte, 300), DropBadVersion},
		{"forged", append(frameTo(t, rec, own, nil), 0), DropForged},
		{"for another agent", frameTo(t, rec, own, func(h *framer.Header) { h.To = otherAgent }), DropWrongTarget},
		{"an answer", frameTo(t, rec, own, func(h *framer.Header) { h.Kind = framer.KindAnswer }), DropWrongTarget},
		{"addressed to another service", frameTo(t, rec, own, func(h *framer.Header) { h.Service++ }), DropWrongService},
		{"id of another service", frameTo(t, rec, shortHeaderPacket(rec, rec.self, "receipts"), nil), DropWrongService},
		{"id of another agent", frameTo(t, rec, shortHeaderPacket(rec, otherAgent, ledger), nil), DropWrongTarget},
		{"id of a later incarnation", frameTo(t, rec, shortHeaderPacket(rec, later, ledger), nil), DropWrongIncarnation},
		{"no packet", frameTo(t, rec, nil, nil), DropNotQUIC},
		{"an id that an agent didn't make", frameTo(t, rec, make([]byte, 60), nil), DropNotQUIC},
		{"long header of an earlier incarnation", frameTo(t, rec, long, nil), DropWrongIncarnation},
		{"opening for an earlier incarnation", frameTo(t, rec, initialPacket(), func(h *framer.Header) {
			h.To = earlier
			setOpening(h)
		}), DropWrongIncarnation},
		{"opening for another home", frameTo(t, rec, initialPacket(), func(h *framer.Header) {
			setOpening(h)
			h.Homes[0] = otherAgent
		}), DropNotNamed},
		{"notification without a flow", frameTo(t, rec, nil, func(h *framer.Header) { h.Kind = framer.KindMoved }), DropTruncated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			before := rec.Counters.Dropped(test.want)
			_, ok := rec.accept(test.frame)
			is.True(!ok)
			is.Equal(rec.Counters.Dropped(test.want), before+1)
		})
	}
}

func TestAcceptReturnsValidPackets(t *testing.T) {
	is := is.New(t)
	rec := newReceiver(t)
	own := shortHeaderPacket(rec, rec.self, ledger)
	frame := frameTo(t, rec, own, nil)
	payload, ok := rec.accept(frame)
	is.True(ok)
	is.Equal(payload, own)
	_, ok = rec.accept(frame)
	is.True(!ok)
	is.Equal(rec.Counters.Dropped(DropReplayed), uint64(1))
	_, ok = rec.accept(frameTo(t, rec, initialPacket(), setOpening))
	is.True(ok)
	is.Equal(rec.HalfOpen(), 1)
	_, ok = rec.accept(frameTo(t, rec, own, nil)) // a short header completes the handshake
	is.True(ok)
	is.Equal(rec.HalfOpen(), 0)
}

// Packets of an earlier incarnation with a short header reach QUIC, which answers
// them with a stateless reset. TestAcceptDropsInvalidFrames covers a long header.
func TestShortHeaderOfEarlierIncarnationReachesQUIC(t *testing.T) {
	is := is.New(t)
	rec := newReceiver(t)
	earlier := gooseberrymast.Identity{Address: rec.self.Address, Incarnation: 4}
	_, ok := rec.accept(frameTo(t, rec, shortHeaderPacket(rec, earlier, ledger), nil))
	is.True(ok)
	is.Equal(rec.Counters.Stale.Load(), uint64(1))
}

func TestAnswerToAnUnknownCallerIsDropped(t *testing.T) {
	is := is.New(t)
	rec := newReceiver(t)
	for i, ip := range []net.IP{net.IPv4(192, 0, 2, 1), net.IPv6loopback} {
		n, err := rec.WriteTo([]byte("answer"), &net.UDPAddr{IP: ip, Port: 1})
		is.NoErr(err)
		is.Equal(n, len("answer"))
		is.Equal(rec.Counters.Dropped(DropUnknownCaller), uint64(i+1))
	}
}

func TestCountersCollect(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	is.NoErr(registry.Register(&Counters{}))
	n, err := testutil.GatherAndCount(registry, "gooseberrymast_agent_packets_total", "gooseberrymast_agent_drops_total")
	is.NoErr(err)
	is.Equal(n, 7+int(numDrops))
}

func TestAcceptAllocatesNothing(t *testing.T) {
	is := is.New(t)
	rec := newReceiver(t)
	sender := framer.NewSender()
	frames := make([][]byte, 1002)
	for i := range frames {
		frames[i] = frameTo(t, rec, shortHeaderPacket(rec, rec.self, ledger), func(h *framer.Header) { h.Origin = sender.Next(rec.self.Address) })
	}
	i := 0
	is.Equal(testing.AllocsPerRun(1000, func() {
		if _, ok := rec.accept(frames[i]); !ok {
			t.Fatal("dropped")
		}
		rec.recordCaller()
		i++
	}), 0.0)
}

func BenchmarkWriteTo(b *testing.B) {
	rec := newReceiver(b)
	if _, ok := rec.accept(frameTo(b, rec, shortHeaderPacket(rec, rec.self, ledger), nil)); !ok {
		b.Fatal("dropped")
	}
	to := rec.recordCaller()
	payload := make([]byte, 1200)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := rec.WriteTo(payload, to); err != nil {
			b.Fatal(err)
		}
	}
}

// A new flow isn't passed on to a barred first candidate: this agent takes it.
func TestBarredMemberReceivesNoFlow(t *testing.T) {
	is := is.New(t)
	rec := newReceiver(t)
	rec.SetBarred([]gooseberrymast.Identity{otherAgent})
	_, ok := rec.accept(frameTo(t, rec, initialPacket(), func(h *framer.Header) {
		h.Kind = framer.KindOpening
		h.Takers = [2]gooseberrymast.Identity{otherAgent, rec.self}
		h.Homes[0] = rec.self
	}))
	is.True(ok)
	is.Equal(rec.Counters.Passed.Load(), uint64(0))
}

// The second candidate takes a new flow when the first is suspect in its table.
func TestSuspectMemberReceivesNoFlow(t *testing.T) {
	is := is.New(t)
	rec := newReceiver(t)
	offered := func(h *framer.Header) {
		h.Kind = framer.KindOpening
		h.Takers = [2]gooseberrymast.Identity{otherAgent, rec.self}
		h.Homes[0] = rec.self
	}
	_, ok := rec.accept(frameTo(t, rec, initialPacket(), offered))
	is.True(!ok)
	is.Equal(rec.Counters.Passed.Load(), uint64(1))
	tag := gooseberrymast.TagOf(ledger)
	rec.SetTable(&gooseberrymast.Table{Services: map[gooseberrymast.ServiceTag][]gooseberrymast.Member{
		tag: {{Record: gooseberrymast.Record{Identity: otherAgent, Service: tag}, Suspect: true}},
	}})
	_, ok = rec.accept(frameTo(t, rec, initialPacket(), offered))
	is.True(ok)
}
