package batcher

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Batch holds the datagrams of one read or write. It is not safe for concurrent
// use.
type Batch struct {
	messages  []ipv4.Message
	addresses []net.UDPAddr
	buffers   [][]byte
	headroom  int
	n         int
}

// NewReadBatch creates a batch to read into. Each datagram has its own buffer of
// headroom plus size bytes and is read to the position after the headroom.
func NewReadBatch(datagrams, headroom, size int) *Batch {
	batch := NewWriteBatch(datagrams)
	batch.headroom = headroom
	batch.buffers = make([][]byte, datagrams)
	memory := make([]byte, datagrams*(headroom+size))
	for i := range batch.buffers {
		batch.buffers[i], memory = memory[:headroom+size:headroom+size], memory[headroom+size:]
	}
	batch.reset()
	return batch
}

// NewWriteBatch creates a batch to write from.
func NewWriteBatch(datagrams int) *Batch {
	batch := &Batch{
		messages:  make([]ipv4.Message, datagrams),
		addresses: make([]net.UDPAddr, datagrams),
	}
	for i := range batch.messages {
		batch.messages[i].Buffers = make([][]byte, 1)
		batch.addresses[i].IP = make(net.IP, net.IPv4len)
	}
	return batch
}

// Datagram returns a datagram that was read, and its source address.
func (b *Batch) Datagram(i int) ([]byte, netip.AddrPort) {
	message := &b.messages[i]
	from, ok := message.Addr.(*net.UDPAddr)
	if !ok {
		return nil, netip.AddrPort{}
	}
	address := from.AddrPort()
	return message.Buffers[0][:message.N], netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Buffer returns the headroom and the datagram of a datagram that was read.
func (b *Batch) Buffer(i int) []byte {
	return b.buffers[i][:b.headroom+b.messages[i].N]
}

// Add appends a datagram to write. The batch refers to the slice until it is
// written. The batch must not be full.
func (b *Batch) Add(datagram []byte, to netip.AddrPort) {
	message := &b.messages[b.n]
	message.Buffers[0] = datagram
	message.Addr = b.address(b.n, to)
	b.n++
}

// Len returns the number of datagrams added.
func (b *Batch) Len() int {
	return b.n
}

// Clear removes the datagrams added.
func (b *Batch) Clear() {
	b.n = 0
}

func (b *Batch) address(i int, address netip.AddrPort) net.Addr {
	ip := address.Addr().Unmap().As4()
	copy(b.addresses[i].IP, ip[:])
	b.addresses[i].Port = int(address.Port())
	return &b.addresses[i]
}

// reset makes the full buffers available to the next read.
func (b *Batch) reset() {
	for i := range b.buffers {
		b.messages[i].Buffers[0] = b.buffers[i][b.headroom:]
	}
}
