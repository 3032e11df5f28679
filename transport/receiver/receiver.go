// Package receiver is the agent's data path: a net.PacketConn for quic-go that
// receives the datagrams that balancers forward and sends the answers back
// through the balancers.
//
// Each frame is authenticated, and its service and incarnation are checked. For a
// packet that may open a flow, package opener decides whether this agent takes
// it or passes it on to another agent. For each caller the receiver stores the
// balancers that last delivered its packets; answers go through the newest.
package receiver

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/time/rate"

	"gooseberrymast"
	"gooseberrymast/coordination/opener"
	"gooseberrymast/protocol/framer"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/protocol/sealer"
	"gooseberrymast/state/timer"
	"gooseberrymast/transport/batcher"
)

const (
	// batchDatagrams is the maximum number of datagrams read by one call.
	batchDatagrams = 16
	// maxSequences limits the frame sequences tracked for replay detection. It
	// leaves room for 17,000 balancers and the agents that pass flows on.
	maxSequences = 1 << 16
	// expireEvery is the interval of the removal of silent callers.
	expireEvery = 30 * time.Second
)

// Config configures a Receiver.
type Config struct {
	// Identity is the agent's identity. Port 0 selects a free port.
	Identity gooseberrymast.Identity
	// Service is the name of the agent's service.
	Service string
	// Keys are the fleet's keys.
	Keys *keyer.Keys
	// Timer is the timer service; nil means timer.System.
	Timer gooseberrymast.Timer
	// AtFlowLimit reports whether the agent prefers not to take a new flow: it
	// is in slow start and above its share, or at its limit of flows. Such a
	// flow is passed on to the second candidate, if there is one. It is called
	// from the reading goroutine and must not block; nil means never.
	AtFlowLimit func() bool
	// PrefersSecond reports whether a new flow whose first candidate is this agent
	// should rather go to its second candidate. It is called as AtFlowLimit is.
	PrefersSecond func(second gooseberrymast.Identity) bool
	// MaxCallers limits the number of callers in the table; 0 means
	// DefaultMaxCallers.
	MaxCallers int
	// MaxHalfOpen limits the number of incomplete handshakes; 0 means
	// opener.DefaultMaxHalfOpen.
	MaxHalfOpen int
	// RetryRate is the number of new handshakes a second above which callers
	// must prove their address by a Retry. 0 means DefaultRetryRate; a negative
	// rate requires a Retry for every handshake.
	RetryRate float64
}

// Receiver is the data path of one agent. It implements net.PacketConn. Only one
// goroutine may read from it, which is what quic-go does.
type Receiver struct {
	// Counters may be registered with Prometheus.
	Counters Counters

	config  Config
	self    gooseberrymast.Identity
	service gooseberrymast.ServiceTag
	conn    *batcher.Conn
	sealer  *sealer.Sealer
	framer  *framer.Framer
	sender  *framer.Sender
	windows framer.ReplayWindows
	callers callers
	rate    *rate.Limiter
	nonce   atomic.Uint32
	leaving atomic.Bool
	// floodEnd is the time until which callers must prove their address, in Unix
	// nanoseconds.
	floodEnd atomic.Int64
	buffers  sync.Pool // of *[writeBytes]byte
	cancel   func()

	openerMu sync.Mutex
	opener   opener.Opener

	// The fields below are used by the reading goroutine only.
	batch  *batcher.Batch
	next   int
	filled int
	now    time.Time // when the batch was read
	header framer.Header
}

// writeBytes is the size of a buffer for one frame.
const writeBytes = framer.MaxFrame

// New opens the agent's UDP socket.
func New(config Config) (*Receiver, error) {
	if config.Timer == nil {
		config.Timer = timer.System{}
	}
	rec := &Receiver{config: config, service: gooseberrymast.TagOf(config.Service), sender: framer.NewSender()}
	var err error
	if rec.sealer, err = sealer.New(config.Keys); err != nil {
		return nil, fmt.Errorf("receiver.New: %w", err)
	}
	if rec.framer, err = framer.New(config.Keys); err != nil {
		return nil, fmt.Errorf("receiver.New: %w", err)
	}
	conns, err := batcher.Listen(config.Identity.Address, 1)
	if err != nil {
		return nil, fmt.Errorf("receiver.New: %w", err)
	}
	rec.conn = conns[0]
	rec.self = gooseberrymast.Identity{Address: rec.conn.Address(), Incarnation: config.Identity.Incarnation}
	rec.opener = opener.Opener{Self: rec.self, MaxHalfOpen: config.MaxHalfOpen}
	rec.callers.max = config.MaxCallers
	rec.windows.MaxSequences = maxSequences
	rec.rate = newLimiter(config.RetryRate)
	rec.nonce.Store(randomNonce())
	rec.buffers.New = func() any { return new([writeBytes]byte) }
	rec.batch = batcher.NewReadBatch(batchDatagrams, 0, framer.MaxFrame+1)
	rec.cancel = config.Timer.Every(expireEvery, rec.expire)
	return rec, nil
}

// Identity returns the agent's identity with the bound port.
func (r *Receiver) Identity() gooseberrymast.Identity {
	return r.self
}

// Leave makes the agent pass new flows on to other agents. Its open flows stay.
func (r *Receiver) Leave() {
	r.leaving.Store(true)
}

// SetBalancers sets the forwarding addresses of the running balancers, such as
// those with a session to the agent. Answers to a silent caller alternate between
// balancers of this list that delivered its packets, other balancers of the list,
// and the one that delivered last even if it isn't in the list. Without a list,
// or with an empty one, only balancers that delivered packets are used.
func (r *Receiver) SetBalancers(addresses []netip.AddrPort) {
	r.callers.setBalancers(addresses)
}

// SetTable sets the table of members. The agent passes no new flows to members
// that are suspect in the table or no longer in it.
func (r *Receiver) SetTable(table *gooseberrymast.Table) {
	var members, suspects []gooseberrymast.Identity
	for _, member := range table.Members(r.service) {
		members = append(members, member.Identity)
		if member.Suspect {
			suspects = append(suspects, member.Identity)
		}
	}
	r.openerMu.Lock()
	defer r.openerMu.Unlock()
	r.opener.SetMembers(members, r.config.Timer.Now())
	r.opener.SetSuspects(suspects)
}

// SetBarred sets the agents of the service that may take no new flows. This agent
// passes none on to them; their open flows stay.
func (r *Receiver) SetBarred(ids []gooseberrymast.Identity) {
	r.openerMu.Lock()
	defer r.openerMu.Unlock()
	r.opener.SetBarred(ids)
}

// SetKeys replaces the fleet's keys. Open flows go on.
func (r *Receiver) SetKeys(keys *keyer.Keys) error {
	if err := r.sealer.SetKeys(keys); err != nil {
		return fmt.Errorf("Receiver.SetKeys: %w", err)
	}
	if err := r.framer.SetKeys(keys); err != nil {
		return fmt.Errorf("Receiver.SetKeys: %w", err)
	}
	return nil
}

// Callers returns the number of callers' addresses in the table.
func (r *Receiver) Callers() int {
	return r.callers.count()
}

// HalfOpen returns the number of incomplete handshakes.
func (r *Receiver) HalfOpen() int {
	r.openerMu.Lock()
	defer r.openerMu.Unlock()
	return r.opener.HalfOpen()
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (r *Receiver) ConnectionIDLen() int {
	return sealer.Bytes
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (r *Receiver) GenerateConnectionID() (quic.ConnectionID, error) {
	cid := r.sealer.Seal(r.self, r.service, r.nonce.Add(1))
	return quic.ConnectionIDFromBytes(cid[:]), nil
}

// WriteTo implements net.PacketConn. It sends an answer to a caller through a
// balancer. An answer that can't be sent is dropped and counted, without an
// error.
func (r *Receiver) WriteTo(payload []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, fmt.Errorf("Receiver.WriteTo %s: want a UDP address", to)
	}
	if len(payload) > framer.MaxPayload {
		r.Counters.drop(DropOversized)
		return 0, fmt.Errorf("Receiver.WriteTo %s: %w", to, framer.FaultOversized)
	}
	address := unmap(udp.AddrPort())
	via, alternate, known := r.callers.returnPath(address, r.config.Timer.Now())
	if !known { // always so for an IPv6 address
		r.Counters.drop(DropUnknownCaller)
		return len(payload), nil
	}
	if alternate {
		r.Counters.Alternated.Add(1)
	}
	r.answer(payload, address, via)
	return len(payload), nil
}

func (r *Receiver) answer(payload []byte, to netip.AddrPort, via path) {
	header := framer.Header{
		Kind:           framer.KindAnswer,
		Service:        r.service,
		Index:          via.index,
		Caller:         to,
		Balancer:       via.balancer,
		BalancerSender: via.sender,
	}
	if r.sendFrame(&header, gooseberrymast.Identity{Address: via.balancer}, payload) {
		r.Counters.Answers.Add(1)
	}
}

// sendFrame sends a copy of the payload in a frame with the header. It reports
// whether the frame was sent.
func (r *Receiver) sendFrame(header *framer.Header, to gooseberrymast.Identity, payload []byte) bool {
	buffer := r.buffers.Get().(*[writeBytes]byte)
	defer r.buffers.Put(buffer)
	n := copy(buffer[framer.MaxBytes:], payload)
	header.To = to
	header.Origin = r.sender.Next(to.Address)
	frame, err := r.framer.Seal(header, buffer[:framer.MaxBytes+n], framer.MaxBytes)
	if err != nil {
		r.Counters.drop(DropOversized)
		return false
	}
	if _, err := r.conn.UDP.WriteToUDPAddrPort(frame, to.Address); err != nil {
		r.Counters.drop(DropSend)
		return false
	}
	return true
}

// Close closes the socket and stops the timer.
func (r *Receiver) Close() error {
	r.cancel()
	return r.conn.UDP.Close()
}

// LocalAddr returns the agent's UDP address.
func (r *Receiver) LocalAddr() net.Addr {
	return r.conn.UDP.LocalAddr()
}

// SetDeadline implements net.PacketConn.
func (r *Receiver) SetDeadline(t time.Time) error {
	return r.conn.UDP.SetDeadline(t)
}

// SetReadDeadline implements net.PacketConn.
func (r *Receiver) SetReadDeadline(t time.Time) error {
	return r.conn.UDP.SetReadDeadline(t)
}

// SetWriteDeadline implements net.PacketConn.
func (r *Receiver) SetWriteDeadline(t time.Time) error {
	return r.conn.UDP.SetWriteDeadline(t)
}

// SetReadBuffer sets the size of the socket's receive buffer; quic-go calls it.
func (r *Receiver) SetReadBuffer(bytes int) error {
	return r.conn.UDP.SetReadBuffer(bytes)
}

// SetWriteBuffer sets the size of the socket's send buffer; quic-go calls it.
func (r *Receiver) SetWriteBuffer(bytes int) error {
	return r.conn.UDP.SetWriteBuffer(bytes)
}

// SyscallConn returns the raw connection, from which quic-go reads the size that
// the operating system granted the buffers.
func (r *Receiver) SyscallConn() (syscall.RawConn, error) {
	return r.conn.UDP.SyscallConn()
}

func (r *Receiver) expire(now time.Time) {
	r.callers.expire(now)
	r.openerMu.Lock()
	defer r.openerMu.Unlock()
	r.opener.Expire(now)
}

func unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

func randomNonce() uint32 {
	var start [4]byte
	rand.Read(start[:])
	return binary.BigEndian.Uint32(start[:])
}
