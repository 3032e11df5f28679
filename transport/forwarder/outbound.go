package forwarder

import (
	"fmt"

	"gooseberrymast/protocol/framer"
	"gooseberrymast/transport/batcher"
)

// answer reads one forwarding socket until it is closed and sends the agents'
// packets to their callers, each from the service address it belongs to.
func (f *Forwarder) answer(shard int, conn *batcher.Conn) error {
	read := batcher.NewReadBatch(f.config.Batch, 0, framer.MaxFrame+1)
	write := batcher.NewWriteBatch(f.config.Batch)
	var header framer.Header
	for {
		n, err := conn.Read(read)
		if err != nil {
			return fmt.Errorf("forwarder forwarding address %s: %w", f.forward, err)
		}
		index := uint16(0)
		for i := range n {
			frame, _ := read.Datagram(i)
			payload, err := f.open(frame, &header)
			if err != nil {
				f.Counters.drop(dropOf(err))
				continue
			}
			if header.Index != index {
				f.sendAnswers(index, shard, write)
				index = header.Index
			}
			write.Add(payload, header.Caller)
		}
		f.sendAnswers(index, shard, write)
	}
}

func (f *Forwarder) sendAnswers(index uint16, shard int, write *batcher.Batch) {
	if write.Len() == 0 {
		return
	}
	conns := f.services[index]
	f.Counters.Answers.Add(uint64(write.Len()))
	f.send(conns[min(shard, len(conns)-1)], write)
	write.Clear()
}

// open verifies an agent's frame and gives the packet for the caller.
func (f *Forwarder) open(frame []byte, header *framer.Header) ([]byte, error) {
	payload, err := f.framer.Open(frame, header)
	if err != nil {
		return nil, err
	}
	if header.Kind != framer.KindAnswer || header.To.Address != f.forward || header.Life != f.sender.ID {
		return nil, framer.FaultWrongTarget
	}
	if int(header.Index) >= len(f.tags) || f.tags[header.Index] != header.Service {
		return nil, framer.FaultWrongService
	}
	if !f.windows.Accept(header.Origin, f.config.Timer.Now()) {
		return nil, framer.FaultReplayed
	}
	return payload, nil
}
