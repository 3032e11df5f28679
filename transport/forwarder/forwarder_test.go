package forwarder

import (
	"bytes"
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

const (
	ledger   = "ledger"
	receipts = "receipts"
)

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	caller   = netip.MustParseAddrPort("192.0.2.7:5555")
	agent    = gooseberrymast.Identity{Address: netip.MustParseAddrPort("127.0.0.1:9"), Incarnation: 3}
	keys     = keyer.Random()
)

func newForwarder(t testing.TB) *Forwarder {
	t.Helper()
	fwd, err := New(Config{
		Services: []ServiceAddress{{loopback, ledger}, {loopback, receipts}},
		Forward:  loopback,
		Keys:     keys,
	})
	is.New(t).NoErr(err)
	t.Cleanup(fwd.Close)
	return fwd
}

func tableOf(service string, ids ...gooseberrymast.Identity) *gooseberrymast.Table {
	tag := gooseberrymast.TagOf(service)
	table := &gooseberrymast.Table{Services: map[gooseberrymast.ServiceTag][]gooseberrymast.Member{}}
	for _, id := range ids {
		table.Services[tag] = append(table.Services[tag], gooseberrymast.Member{
			Record: gooseberrymast.Record{Identity: id, State: gooseberrymast.StateReady, Service: tag},
		})
	}
	return table
}

// shortHeaderPacket returns a packet of an established flow.
func shortHeaderPacket(t testing.TB, service string) []byte {
	t.Helper()
	seal, err := sealer.New(keys)
	is.New(t).NoErr(err)
	cid := seal.Seal(agent, gooseberrymast.TagOf(service), 1)
	packet := make([]byte, 1200)
	packet[0] = 0x40
	copy(packet[1:], cid[:])
	return packet
}

// longHeaderPacket returns a packet with a long header and a connection ID that the
// caller chose.
func longHeaderPacket(first byte, id []byte) []byte {
	packet := make([]byte, 1200)
	copy(packet, []byte{first, 0, 0, 0, 1, byte(len(id))})
	copy(packet[6:], id)
	return packet
}

func withHeadroom(datagram []byte) []byte {
	return append(make([]byte, framer.MaxBytes), datagram...)
}

func TestInboundDrops(t *testing.T) {
	unknownEpoch := shortHeaderPacket(t, ledger)
	unknownEpoch[1]++
	tests := []struct {
		name     string
		datagram []byte
		want     Drop
	}{
		{"empty", nil, DropTruncated},
		{"cut", shortHeaderPacket(t, ledger)[:10], DropTruncated},
		{"oversized", make([]byte, framer.MaxPayload+1), DropOversized},
		{"not QUIC", make([]byte, 100), DropNotQUIC},
		{"small Initial", longHeaderPacket(0xc0, make([]byte, 8))[:1000], DropTooSmall},
		{"Handshake with the caller's id", longHeaderPacket(0xe0, make([]byte, 8)), DropNotOpening},
		{"id too short to open a flow", longHeaderPacket(0xc0, make([]byte, 7)), DropNotOpening},
		{"unknown epoch", unknownEpoch, DropUnknownEpoch},
		{"another service's flow", shortHeaderPacket(t, receipts), DropWrongService},
		{"new flow of a service with no member", longHeaderPacket(0xc0, make([]byte, 8)), DropNoMember},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fwd := newForwarder(t)
			frame := newInbound(fwd, 0).forward(withHeadroom(test.datagram), caller)
			is.True(frame == nil)
			is.Equal(fwd.Counters.Dropped(test.want), uint64(1))
		})
	}
}

// No reason is checked, as it depends on what the random connection ID decrypts to.
func TestRandomIDIsDropped(t *testing.T) {
	random := shortHeaderPacket(t, ledger)
	random[5]++
	is.New(t).True(newInbound(newForwarder(t), 0).forward(withHeadroom(random), caller) == nil)
}

func TestInboundFrameHeaders(t *testing.T) {
	is := is.New(t)
	fwd := newForwarder(t)
	in := newInbound(fwd, 0)
	open, err := framer.New(keys)
	is.NoErr(err)
	var header framer.Header

	packet := shortHeaderPacket(t, ledger) // needs no table
	payload, err := open.Open(in.forward(withHeadroom(packet), caller), &header)
	is.NoErr(err)
	is.Equal(payload, packet)
	is.Equal(header.Kind, framer.KindFlow)
	is.Equal(header.To, agent)
	is.Equal(header.Caller, caller)
	is.Equal(header.Service, gooseberrymast.TagOf(ledger))
	is.Equal(header.Balancer, fwd.ForwardAddress())

	fwd.SetTable(tableOf(ledger, agent))
	_, err = open.Open(in.forward(withHeadroom(longHeaderPacket(0xc0, make([]byte, 8))), caller), &header)
	is.NoErr(err)
	is.Equal(header.Kind, framer.KindOpening)
	is.Equal(header.To, agent)
	is.Equal(header.Takers[0], agent)
	is.Equal(header.Homes[0], agent)
}

// answerFrame returns a frame from an agent to a balancer.
func answerFrame(t testing.TB, fwd *Forwarder, sender *framer.Sender, edit func(header *framer.Header)) []byte {
	t.Helper()
	header := framer.Header{
		Kind:           framer.KindAnswer,
		Service:        gooseberrymast.TagOf(ledger),
		Origin:         sender.Next(fwd.forward),
		To:             gooseberrymast.Identity{Address: fwd.forward},
		Caller:         caller,
		Balancer:       fwd.forward,
		BalancerSender: fwd.sender.ID,
	}
	if edit != nil {
		edit(&header)
	}
	frame, err := fwd.framer.Seal(&header, withHeadroom([]byte("answer")), framer.MaxBytes)
	is.New(t).NoErr(err)
	return frame
}

func TestOutboundDrops(t *testing.T) {
	tests := []struct {
		name string
		edit func(header *framer.Header)
		cut  int
		want Drop
	}{
		{"truncated", nil, 20, DropTruncated},
		{"oversized", nil, -framer.MaxFrame, DropOversized},
		{"forged", nil, 1, DropForged},
		{"for an earlier process", func(h *framer.Header) { h.BalancerSender++ }, 0, DropWrongTarget},
		{"for another balancer", func(h *framer.Header) { h.To = agent }, 0, DropWrongTarget},
		{"not an answer", func(h *framer.Header) { h.Kind = framer.KindFlow }, 0, DropWrongTarget},
		{"of another service", func(h *framer.Header) { h.Index = 1 }, 0, DropWrongService},
		{"of a service without an address", func(h *framer.Header) { h.Index, h.Service = framer.AnyIndex, 1 }, 0, DropWrongService},
		{"for no address", func(h *framer.Header) { h.Index = 2 }, 0, DropWrongService},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fwd := newForwarder(t)
			frame := answerFrame(t, fwd, framer.NewSender(), test.edit)
			if test.cut < 0 {
				frame = append(frame, make([]byte, -test.cut)...)
			} else {
				frame = frame[:len(frame)-test.cut]
			}
			var header framer.Header
			_, err := fwd.openAnswer(frame, &header, time.Unix(0, 0))
			is.True(err != nil)
			is.Equal(dropReason(err), test.want)
		})
	}
}

func TestReplayedAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	fwd := newForwarder(t)
	frame := answerFrame(t, fwd, framer.NewSender(), nil)
	var header framer.Header
	payload, err := fwd.openAnswer(frame, &header, time.Unix(0, 0))
	is.NoErr(err)
	is.True(bytes.Equal(payload, []byte("answer")))
	_, err = fwd.openAnswer(frame, &header, time.Unix(0, 0))
	is.Equal(dropReason(err), DropReplayed)
}

// An agent that has only the balancer's address may send answers through it.
func TestAnswerWithoutSenderOrIndexIsAccepted(t *testing.T) {
	is := is.New(t)
	fwd := newForwarder(t)
	frame := answerFrame(t, fwd, framer.NewSender(), func(h *framer.Header) {
		h.BalancerSender, h.Index, h.Service = 0, framer.AnyIndex, gooseberrymast.TagOf(receipts)
	})
	var header framer.Header
	_, err := fwd.openAnswer(frame, &header, time.Unix(0, 0))
	is.NoErr(err)
	is.Equal(header.Index, uint16(1))
}

// The previous table is kept for one to two periods of PreviousAge.
func TestPreviousTableIsRotated(t *testing.T) {
	is := is.New(t)
	fwd := newForwarder(t)
	first, second, third := tableOf(ledger), tableOf(ledger), tableOf(ledger)
	fwd.SetTable(first)
	fwd.rotateTables()
	fwd.rotateTables()
	is.True(fwd.snapshot.Load().previous == first)
	fwd.SetTable(second)
	fwd.SetTable(third)
	is.True(fwd.snapshot.Load().previous == first) // two changes within a period don't replace it
	fwd.rotateTables()
	is.True(fwd.snapshot.Load().previous == first)
	fwd.rotateTables()
	is.True(fwd.snapshot.Load().previous == third)
}

func TestCrossZoneNeverKeepsFlowsInTheirZone(t *testing.T) {
	is := is.New(t)
	fwd := newForwarder(t)
	fwd.SetDocument(&gooseberrymast.Document{Services: map[string]gooseberrymast.Service{
		ledger: {CrossZone: gooseberrymast.CrossZoneNever},
	}})
	fwd.config.Zone = "cairo-a"
	fwd.SetTable(tableOf(ledger, agent)) // the agent has no zone
	is.True(newInbound(fwd, 0).forward(withHeadroom(longHeaderPacket(0xc0, make([]byte, 8))), caller) == nil)
	is.Equal(fwd.Counters.Dropped(DropNoMember), uint64(1))
}

func TestAgentsOutsideTheAllowedZonesReceiveNoNewFlows(t *testing.T) {
	is := is.New(t)
	fwd := newForwarder(t)
	other := gooseberrymast.Identity{Address: netip.MustParseAddrPort("127.0.0.1:10"), Incarnation: 1}
	table := tableOf(ledger, agent, other)
	table.Members(gooseberrymast.TagOf(ledger))[0].Zone = "cairo-a"
	table.Members(gooseberrymast.TagOf(ledger))[1].Zone = "cairo-b"
	document := func(zones ...string) *gooseberrymast.Document {
		return &gooseberrymast.Document{Zones: []string{"cairo-a", "cairo-b", "cairo-c"}, Services: map[string]gooseberrymast.Service{ledger: {Zones: zones}}}
	}
	in := newInbound(fwd, 0)
	candidates := func() map[gooseberrymast.Identity]bool {
		found := map[gooseberrymast.Identity]bool{}
		for id := range byte(32) {
			if in.forward(withHeadroom(longHeaderPacket(0xc0, []byte{id, 1, 2, 3, 4, 5, 6, 7})), caller) == nil {
				continue
			}
			for _, candidate := range in.route.Takers {
				found[candidate] = true
			}
		}
		delete(found, gooseberrymast.Identity{})
		return found
	}
	fwd.SetTable(table)
	is.Equal(candidates(), map[gooseberrymast.Identity]bool{agent: true, other: true}) // no document yet
	fwd.SetDocument(document("cairo-b"))
	is.Equal(candidates(), map[gooseberrymast.Identity]bool{other: true})
	is.True(in.forward(withHeadroom(shortHeaderPacket(t, ledger)), caller) != nil) // an established flow of the excluded agent
	is.Equal(in.header.To, agent)
	fwd.SetTable(tableOf(ledger, agent)) // has no zone
	is.Equal(len(candidates()), 0)
	fwd.SetTable(table)
	fwd.SetDocument(document())
	is.Equal(candidates(), map[gooseberrymast.Identity]bool{agent: true, other: true})
	fwd.SetDocument(document("cairo-c"))
	is.Equal(len(candidates()), 0)
	is.Equal(fwd.Counters.Dropped(DropNoMember), uint64(64))
}

func TestCountersCollect(t *testing.T) {
	is := is.New(t)
	fwd := newForwarder(t)
	fwd.Counters.drop(DropForged)
	registry := prometheus.NewRegistry()
	is.NoErr(registry.Register(&fwd.Counters))
	n, err := testutil.GatherAndCount(registry, "gooseberrymast_balancer_packets_total", "gooseberrymast_balancer_drops_total")
	is.NoErr(err)
	is.Equal(n, 3+int(numDrops))
}

func TestNewReportsAddressInUse(t *testing.T) {
	is := is.New(t)
	fwd := newForwarder(t)
	_, err := New(Config{Services: []ServiceAddress{{fwd.ServiceAddress(0), ledger}}, Forward: loopback, Keys: keys})
	is.True(err != nil)
}

// routingFuncs returns, for each way of routing, a function that routes one packet.
func routingFuncs(t testing.TB) map[string]func() {
	fwd := newForwarder(t)
	fwd.SetTable(tableOf(ledger, agent))
	in := newInbound(fwd, 0)
	route := func(datagram []byte) func() {
		buffer := withHeadroom(datagram)
		return func() {
			if in.forward(buffer, caller) == nil {
				t.Fatal("dropped")
			}
		}
	}
	return map[string]func(){"established": route(shortHeaderPacket(t, ledger)), "opening": route(longHeaderPacket(0xc0, make([]byte, 8)))}
}

func TestRoutingAllocatesNothing(t *testing.T) {
	for name, route := range routingFuncs(t) {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(testing.AllocsPerRun(1000, route), 0.0)
		})
	}
}
