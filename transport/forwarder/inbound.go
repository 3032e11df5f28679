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

// inbound forwards the packets that callers send to one socket. It holds the
// buffers for forwarding, so that no packet needs an allocation.
type inbound struct {
	fwd    *Forwarder
	index  int
	read   *batcher.Batch
	write  *batcher.Batch
	query  router.Query
	route  router.Route
	header framer.Header
}

// serveCallers reads one service socket until it is closed.
func (f *Forwarder) serveCallers(index, shard int) error {
	conn := f.serviceConns[index][min(shard, len(f.serviceConns[index])-1)]
	in := newInbound(f, index)
	for {
		if err := in.forwardBatch(conn, f.forwardConns[shard]); err != nil {
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

// forwardBatch reads a batch of packets and forwards them.
func (in *inbound) forwardBatch(from, to *batcher.Conn) error {
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

// send writes a batch and counts the packets that the operating system refused.
func (f *Forwarder) send(conn *batcher.Conn, write *batcher.Batch) {
	sent := conn.Write(write)
	f.Counters.dropped[DropSend].Add(uint64(write.Len() - sent))
}

// forward routes the datagram that begins at framer.MaxBytes in the buffer. It
// returns the frame to send to header.To, or nil if the datagram is dropped.
func (in *inbound) forward(buffer []byte, caller netip.AddrPort) []byte {
	datagram := buffer[framer.MaxBytes:]
	if len(datagram) > framer.MaxPayload {
		in.fwd.Counters.drop(DropOversized)
		return nil
	}
	packet, err := inspector.Parse(datagram, sealer.Bytes)
	if err != nil {
		in.fwd.Counters.drop(dropReason(err))
		return nil
	}
	if reason, ok := in.selectRoute(&packet); !ok {
		in.fwd.Counters.drop(reason)
		return nil
	}
	return in.seal(buffer, caller)
}

// selectRoute sets the route of a packet, or returns the reason to drop it.
func (in *inbound) selectRoute(packet *inspector.Packet) (Drop, bool) {
	snap := in.fwd.snapshot.Load()
	query := &in.query
	*query = router.Query{
		Service:   in.fwd.tags[in.index],
		Opens:     packet.MayOpenFlow,
		Zone:      in.fwd.config.Zone,
		CrossZone: snap.crossZone[in.index],
		Current:   snap.current,
		Previous:  snap.previous,
		Known:     snap.allMembers,
	}
	var idErr error
	query.Token.Identity, query.Token.Service, idErr = in.fwd.sealer.Open(packet.ID)
	if packet.MayOpenFlow {
		query.Key = xxhash.Sum64(packet.ID)
	} else if idErr != nil {
		return dropReason(idErr), false
	}
	if err := router.Choose(query, &in.route); err != nil {
		return dropReason(err), false
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

// dropReason returns the reason to count for an error of the packages inspector,
// sealer, framer and router.
func dropReason(err error) Drop {
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
