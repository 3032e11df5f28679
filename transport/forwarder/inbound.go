package forwarder

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"gooseberrymast/coordination/router"
	"gooseberrymast/protocol/framer"
	"gooseberrymast/protocol/inspector"
	"gooseberrymast/protocol/sealer"
	"gooseberrymast/transport/batcher"
)

// inbound forwards the packets of callers that come to one socket. It holds
// the space that forwarding needs, so that it allocates nothing.
type inbound struct {
	fwd    *Forwarder
	index  int
	read   *batcher.Batch
	write  *batcher.Batch
	query  router.Query
	route  router.Route
	header framer.Header
}

// serve reads one service socket until it is closed.
func (f *Forwarder) serve(index, shard int) error {
	conn := f.services[index][min(shard, len(f.services[index])-1)]
	in := newInbound(f, index)
	for {
		if err := in.step(conn, f.forwards[shard]); err != nil {
			return fmt.Errorf("forwarder service address %s: %w", conn.Address(), err)
		}
	}
}

func newInbound(fwd *Forwarder, index int) *inbound {
	return &inbound{
		fwd:   fwd,
		index: index,
		read:  batcher.NewReadBatch(fwd.config.Batch, framer.MaxBytes, framer.MaxPayload+1),
		write: batcher.NewWriteBatch(fwd.config.Batch),
	}
}

// step forwards the packets of one read.
func (in *inbound) step(from, to *batcher.Conn) error {
	n, err := from.Read(in.read)
	if err != nil {
		return err
	}
	in.write.Clear()
	for i := range n {
		_, caller := in.read.Datagram(i)
		frame := in.forward(in.read.Buffer(i), caller)
		if frame != nil {
			in.write.Add(frame, in.header.To.Address)
		}
	}
	in.fwd.send(to, in.write)
	return nil
}

// send writes a batch and counts what the host refused.
func (f *Forwarder) send(conn *batcher.Conn, write *batcher.Batch) {
	sent := conn.Write(write)
	f.Counters.dropped[DropSend].Add(uint64(write.Len() - sent))
}

// forward routes the datagram that begins at framer.MaxBytes in the buffer and
// gives the frame to send to header.To, or nil when it is dropped.
func (in *inbound) forward(buffer []byte, caller netip.AddrPort) []byte {
	datagram := buffer[framer.MaxBytes:]
	if len(datagram) > framer.MaxPayload {
		in.fwd.Counters.drop(DropOversized)
		return nil
	}
	packet, err := inspector.Parse(datagram, sealer.Bytes)
	if err != nil {
		in.fwd.Counters.drop(dropOf(err))
		return nil
	}
	if reason, ok := in.choose(&packet); !ok {
		in.fwd.Counters.drop(reason)
		return nil
	}
	return in.seal(buffer, caller)
}

// choose fills the route of a packet or says why there is none.
func (in *inbound) choose(packet *inspector.Packet) (Drop, bool) {
	now := in.fwd.view.Load()
	query := &in.query
	*query = router.Query{
		Service:   in.fwd.tags[in.index],
		Opens:     packet.Opens,
		Zone:      in.fwd.config.Zone,
		CrossZone: now.crossZone[in.index],
		Current:   now.current,
		Previous:  now.previous,
		Known:     now.known,
	}
	var fault error
	query.Token.Identity, query.Token.Service, fault = in.fwd.sealer.Open(packet.ID)
	if packet.Opens {
		query.Key = xxhash.Sum64(packet.ID)
	} else if fault != nil {
		return dropOf(fault), false
	}
	if err := router.Choose(query, &in.route); err != nil {
		return dropOf(err), false
	}
	return 0, true
}

func (in *inbound) seal(buffer []byte, caller netip.AddrPort) []byte {
	header := &in.header
	*header = framer.Header{
		Kind:           framer.KindFlow,
		Service:        in.query.Service,
		Index:          uint16(in.index),
		To:             in.route.Takers[0],
		Caller:         caller,
		Balancer:       in.fwd.forward,
		BalancerSender: in.fwd.sender.ID,
	}
	if in.route.Opening {
		header.Kind = framer.KindOpening
		header.To = in.route.Homes[0]
		header.Takers = in.route.Takers
		header.Homes = in.route.Homes
		in.fwd.Counters.Opening.Add(1)
	} else {
		in.fwd.Counters.Established.Add(1)
	}
	header.Origin = in.fwd.sender.Next(header.To.Address)
	frame, err := in.fwd.framer.Seal(header, buffer, framer.MaxBytes)
	if err != nil {
		in.fwd.Counters.drop(DropOversized)
		return nil
	}
	return frame
}

// dropOf gives the counter of a typed error.
func dropOf(err error) Drop {
	var (
		packet inspector.Fault
		id     sealer.Fault
		frame  framer.Fault
		route  router.Refusal
	)
	switch {
	case errors.As(err, &packet):
		return packetDrops[packet]
	case errors.As(err, &id):
		return idDrops[id]
	case errors.As(err, &frame):
		return frameDrops[frame]
	case errors.As(err, &route):
		return routeDrops[route]
	}
	return DropNotQUIC
}

var packetDrops = map[inspector.Fault]Drop{
	inspector.FaultTruncated: DropTruncated,
	inspector.FaultNotQUIC:   DropNotQUIC,
	inspector.FaultTooSmall:  DropTooSmall,
}

var idDrops = map[sealer.Fault]Drop{
	sealer.FaultLength:       DropNotOpening,
	sealer.FaultImplausible:  DropNotOpening,
	sealer.FaultUnknownEpoch: DropUnknownEpoch,
}

var routeDrops = map[router.Refusal]Drop{
	router.RefusalWrongService: DropWrongService,
	router.RefusalNoMember:     DropNoMember,
	router.RefusalNotOpening:   DropNotOpening,
}

var frameDrops = map[framer.Fault]Drop{
	framer.FaultTruncated:    DropTruncated,
	framer.FaultOversized:    DropOversized,
	framer.FaultBadVersion:   DropBadVersion,
	framer.FaultBadKind:      DropBadVersion,
	framer.FaultUnknownEpoch: DropUnknownEpoch,
	framer.FaultForged:       DropForged,
	framer.FaultReplayed:     DropReplayed,
	framer.FaultWrongService: DropWrongService,
	framer.FaultWrongTarget:  DropWrongTarget,
}
