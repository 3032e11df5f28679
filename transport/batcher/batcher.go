// Package batcher reads and writes UDP datagrams in batches, one system call
// for many, on several sockets that share one address. Where the host refuses
// the option or the calls, it goes on with one socket and single calls and
// says so once in the log.
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

// socketBuffer is the size asked for of each socket's kernel buffers, in bytes.
const socketBuffer = 4 << 20

var (
	logPort  sync.Once
	logBatch sync.Once
)

// Conn is one UDP socket. Reads must not overlap; writes may.
type Conn struct {
	// UDP is the socket itself.
	UDP *net.UDPConn

	packets *ipv4.PacketConn
	single  atomic.Bool
}

// Listen opens up to shards sockets on one IPv4 address by SO_REUSEPORT, and
// at least one.
func Listen(address netip.AddrPort, shards int) ([]*Conn, error) {
	return listenShards(address, shards, reusePort)
}

func listenShards(address netip.AddrPort, shards int, share control) ([]*Conn, error) {
	if shards <= 1 {
		conn, err := listen(address, nil)
		if err != nil {
			return nil, err
		}
		return []*Conn{conn}, nil
	}
	first, err := listen(address, share)
	if refused(err) {
		logPort.Do(func() { log.Warn().Err(err).Msg("SO_REUSEPORT refused; using one socket an address") })
		return listenShards(address, 1, share)
	}
	if err != nil {
		return nil, err
	}
	conns := []*Conn{first}
	for len(conns) < shards {
		conn, err := listen(first.Address(), share)
		if err != nil {
			Close(conns)
			return nil, err
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

// Close closes sockets. Reads that wait on them return net.ErrClosed.
func Close(conns []*Conn) {
	for _, conn := range conns {
		_ = conn.UDP.Close()
	}
}

// Address gives the address that the socket is bound to.
func (c *Conn) Address() netip.AddrPort {
	bound := c.UDP.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
}

// Read waits for datagrams and fills the batch from its start. It gives the
// number of datagrams.
func (c *Conn) Read(batch *Batch) (int, error) {
	batch.reset()
	if !c.single.Load() {
		n, err := c.packets.ReadBatch(batch.messages, 0)
		if !refused(err) {
			return n, err
		}
		c.fallBack(err)
	}
	return c.readSingle(batch)
}

// Write sends the batch and gives the number of datagrams sent. A datagram
// that the host refuses to send is passed over.
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
		if refused(err) {
			c.fallBack(err)
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

func (c *Conn) fallBack(err error) {
	c.single.Store(true)
	logBatch.Do(func() { log.Warn().Err(err).Msg("batched reads and writes refused; using single ones") })
}

// control sets options of a socket before it is bound.
type control func(network, address string, raw syscall.RawConn) error

func listen(address netip.AddrPort, control control) (*Conn, error) {
	config := net.ListenConfig{Control: control}
	packets, err := config.ListenPacket(context.Background(), "udp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("batcher.Listen %s: %w", address, err)
	}
	udp := packets.(*net.UDPConn)
	// The kernel's limit may be lower; what it grants is enough to run.
	_ = udp.SetReadBuffer(socketBuffer)
	_ = udp.SetWriteBuffer(socketBuffer)
	return &Conn{UDP: udp, packets: ipv4.NewPacketConn(udp)}, nil
}

func reusePort(_, _ string, raw syscall.RawConn) error {
	var fault error
	err := raw.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, fault)
}

// refused reports whether the host doesn't offer a call or an option.
func refused(err error) bool {
	return errors.Is(err, unix.ENOSYS) || errors.Is(err, unix.EPERM) || errors.Is(err, unix.ENOPROTOOPT) || errors.Is(err, unix.EOPNOTSUPP)
}
