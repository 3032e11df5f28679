package forwarder

import (
	"fmt"
	"slices"
	"time"

	"gooseberrymast/protocol/framer"
	"gooseberrymast/transport/batcher"
)

// outbound sends the answers that arrive at one forwarding socket to their
// callers, each from the service address of its flow.
type outbound struct {
	fwd    *Forwarder
	shard  int
	read   *batcher.Batch
	write  *batcher.Batch
	header framer.Header
}

// serveAnswers reads one forwarding socket until it is closed.
func (f *Forwarder) serveAnswers(shard int, conn *batcher.Conn) error {
	out := newOutbound(f, shard)
	for {
		if err := out.forwardBatch(conn); err != nil {
			return fmt.Errorf("forwarder forwarding address %s: %w", f.forward, err)
		}
	}
}

func newOutbound(fwd *Forwarder, shard int) *outbound {
	return &outbound{
		fwd:   fwd,
		shard: shard,
		read:  batcher.NewReadBatch(fwd.config.Batch, 0, framer.MaxFrame+1),
		write: batcher.NewWriteBatch(fwd.config.Batch),
	}
}

// forwardBatch reads a batch of answers and sends them to the callers.
func (out *outbound) forwardBatch(from *batcher.Conn) error {
	n, err := from.Read(out.read)
	if err != nil {
		return err
	}
	index := uint16(0)
	now := out.fwd.config.Timer.Now()
	for i := range n {
		frame, _ := out.read.Datagram(i)
		payload, err := out.fwd.openAnswer(frame, &out.header, now)
		if err != nil {
			out.fwd.Counters.drop(dropReason(err))
			continue
		}
		if out.header.Index != index {
			out.flush(index)
			index = out.header.Index
		}
		out.write.Add(payload, out.header.Caller)
	}
	out.flush(index)
	return nil
}

// flush sends the collected answers from one service address.
func (out *outbound) flush(index uint16) {
	if out.write.Len() == 0 {
		return
	}
	conns := out.fwd.serviceConns[index]
	out.fwd.Counters.Answers.Add(uint64(out.write.Len()))
	out.fwd.send(conns[min(out.shard, len(conns)-1)], out.write)
	out.write.Clear()
}

// isCurrentSender reports whether an answer is for this process rather than an
// earlier process at the same address. An agent that has only the balancer's
// address sends 0.
func (f *Forwarder) isCurrentSender(id uint64) bool {
	return id == f.sender.ID || id == 0
}

// openAnswer verifies an agent's frame and returns the packet for the caller.
func (f *Forwarder) openAnswer(frame []byte, header *framer.Header, now time.Time) ([]byte, error) {
	payload, err := f.framer.Open(frame, header)
	if err != nil {
		return nil, err
	}
	if header.Kind != framer.KindAnswer || header.To.Address != f.forward || !f.isCurrentSender(header.BalancerSender) {
		return nil, framer.FaultWrongTarget
	}
	if header.Index == framer.AnyIndex {
		header.Index = uint16(max(0, slices.Index(f.tags, header.Service)))
	}
	if int(header.Index) >= len(f.tags) || f.tags[header.Index] != header.Service {
		return nil, framer.FaultWrongService
	}
	if !f.windows.Accept(header.Origin, now) {
		return nil, framer.FaultReplayed
	}
	return payload, nil
}
