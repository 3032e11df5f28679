// Package batcher reads and writes UDP datagrams in batches, with one system
// call for each batch, on several sockets that share one address. If the host
// doesn't support the socket option or the batched calls, it falls back to one
// socket or to single calls, and logs that once.
package batcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/phuslu/log"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// socketBufferBytes is the requested size of each socket's kernel buffers.
const socketBufferBytes = 4 << 20

var (
	warnReusePort sync.Once
	warnBatch     sync.Once
)

// Conn is one UDP socket. Reads must not overlap; writes may.
type Conn struct {
	// UDP is the socket itself.
	UDP *net.UDPConn

	packets *ipv4.PacketConn
	single  atomic.Bool
}

// Listen opens the given number of sockets on one IPv4 address by SO_REUSEPORT,
// or one socket if the host doesn't support that.
func Listen(address netip.AddrPort, shards int) ([]*Conn, error) {
	return listenShards(address, shards, reusePort)
}

func listenShards(address netip.AddrPort, shards int, option socketControl) ([]*Conn, error) {
	if shards <= 1 {
		conn, err := listen(address, nil)
		if err != nil {
			return nil, err
		}
		return []*Conn{conn}, nil
	}
	first, err := listen(address, option)
	if isUnsupported(err) {
		warnReusePort.Do(func() { log.Warn().Err(err).Msg("SO_REUSEPORT refused; using one socket an address") })
		return listenShards(address, 1, option)
	}
	if err != nil {
		return nil, err
	}
	conns := []*Conn{first}
	for len(conns) < shards {
		conn, err := listen(first.Address(), option)
		if err != nil {
			Close(conns)
			return nil, err
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

// Close closes the sockets. Blocked reads return net.ErrClosed.
func Close(conns []*Conn) {
	for _, conn := range conns {
		_ = conn.UDP.Close()
	}
}

// Address returns the address that the socket is bound to.
func (c *Conn) Address() netip.AddrPort {
	bound := c.UDP.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
}

// Read waits for datagrams and fills the batch from its start. It returns the
// number of datagrams.
func (c *Conn) Read(batch *Batch) (int, error) {
	batch.reset()
	if !c.single.Load() {
		n, err := c.packets.ReadBatch(batch.messages, 0)
		if !isUnsupported(err) {
			return n, err
		}
		c.useSingleCalls(err)
	}
	return c.readSingle(batch)
}

// Write sends the batch and returns the number of datagrams sent. Datagrams that
// can't be sent are skipped.
func (c *Conn) Write(batch *Batch) int {
	sent := 0
	rest := batch.messages[:batch.n]
	for len(rest) > 0 {
		if c.single.Load() {
			return sent + c.writeSingle(rest)
		}
		n, err := c.packets.WriteBatch(rest, 0)
		n = max(n, 0)
		sent += n
		rest = rest[n:]
		if isUnsupported(err) {
			c.useSingleCalls(err)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return sent
		}
		if err != nil && len(rest) > 0 {
			rest = rest[1:]
		}
	}
	return sent
}

func (c *Conn) readSingle(batch *Batch) (int, error) {
	message := &batch.messages[0]
	n, from, err := c.UDP.ReadFromUDPAddrPort(message.Buffers[0])
	if err != nil {
		return 0, err
	}
	message.N = n
	message.Addr = batch.address(0, from)
	return 1, nil
}

func (c *Conn) writeSingle(messages []ipv4.Message) int {
	sent := 0
	for i := range messages {
		_, err := c.UDP.WriteTo(messages[i].Buffers[0], messages[i].Addr)
		if err == nil {
			sent++
		}
	}
	return sent
}

func (c *Conn) useSingleCalls(err error) {
	c.single.Store(true)
	warnBatch.Do(func() { log.Warn().Err(err).Msg("batched reads and writes refused; using single ones") })
}

// socketControl sets socket options before the socket is bound.
type socketControl func(network, address string, raw syscall.RawConn) error

func listen(address netip.AddrPort, control socketControl) (*Conn, error) {
	config := net.ListenConfig{Control: control}
	packets, err := config.ListenPacket(context.Background(), "udp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("batcher.Listen %s: %w", address, err)
	}
	udp := packets.(*net.UDPConn)
	// Errors are ignored: the socket also works with smaller buffers.
	_ = udp.SetReadBuffer(socketBufferBytes)
	_ = udp.SetWriteBuffer(socketBufferBytes)
	return &Conn{UDP: udp, packets: ipv4.NewPacketConn(udp)}, nil
}

func reusePort(_, _ string, raw syscall.RawConn) error {
	var fault error
	err := raw.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, fault)
}

// isUnsupported reports whether the host doesn't support or permit a system call
// or socket option.
func isUnsupported(err error) bool {
	return errors.Is(err, unix.ENOSYS) || errors.Is(err, unix.EPERM) || errors.Is(err, unix.ENOPROTOOPT) || errors.Is(err, unix.EOPNOTSUPP)
}
