package receiver_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"math/big"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/standin/fabric"
	"gooseberrymast/transport/forwarder"
	"gooseberrymast/transport/receiver"
)

const (
	service      = "ledger"
	otherService = "receipts"
	protocolName = "echo"
	testTimeout  = 30 * time.Second

	// A stream that begins with pushRequest gets pushes messages.
	pushRequest  = "pushes!!"
	pushMessage  = "message"
	pushes       = 6
	pushInterval = 400 * time.Millisecond
)

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	zones    = []string{"cairo-a", "cairo-b", "cairo-c"}
)

// bench is a fabric with balancers and agents behind it, all on loopback.
type bench struct {
	t       *testing.T
	ctx     context.Context
	keys    *keyer.Keys
	fabric  *fabric.Fabric
	table   *gooseberrymast.Table
	agents  []*agent
	current map[string]*forwarder.Forwarder
	started int
	taken   atomic.Int64 // flows that QUIC servers began to serve
}

// agent is a receiver under a QUIC server that echoes.
type agent struct {
	receiver  *receiver.Receiver
	transport *quic.Transport
	listener  *quic.Listener
}

func newBench(t *testing.T, agents, balancers int, configure func(i int, config *receiver.Config)) *bench {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	b := &bench{t: t, ctx: ctx, keys: keyer.Random(), current: map[string]*forwarder.Forwarder{}}
	is := is.New(t)
	fab, err := fabric.New(fabric.Config{Services: []netip.AddrPort{loopback, loopback}, Seed: 1})
	is.NoErr(err)
	t.Cleanup(fab.Close)
	b.fabric = fab
	b.table = &gooseberrymast.Table{Version: 1, Services: map[gooseberrymast.ServiceTag][]gooseberrymast.Member{}}
	for i := range agents {
		b.startAgent(i, service, configure)
	}
	for i := range balancers {
		b.startBalancer(fmt.Sprint("balancer-", i), b.table)
	}
	return b
}

func (b *bench) startAgent(i int, name string, configure func(i int, config *receiver.Config)) *agent {
	is := is.New(b.t)
	config := receiver.Config{
		Identity:  gooseberrymast.Identity{Address: loopback, Incarnation: 7},
		Service:   name,
		Keys:      b.keys,
		RetryRate: 1e6,
	}
	if configure != nil {
		configure(i, &config)
	}
	rec, err := receiver.New(config)
	is.NoErr(err)
	transport, err := rec.Transport()
	is.NoErr(err)
	transport.ConnContext = func(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
		b.taken.Add(1)
		return ctx, nil
	}
	listener, err := transport.Listen(serverTLS(b.t), rec.QUICConfig())
	is.NoErr(err)
	a := &agent{receiver: rec, transport: transport, listener: listener}
	b.t.Cleanup(func() {
		_ = transport.Close()
		_ = rec.Close()
	})
	go a.serve(b.ctx)
	b.agents = append(b.agents, a)
	b.announce(name, gooseberrymast.Member{Record: gooseberrymast.Record{
		Identity: rec.Identity(), State: gooseberrymast.StateReady, Role: gooseberrymast.RoleAgent,
		Service: gooseberrymast.TagOf(name), Zone: zones[i%len(zones)],
	}})
	return a
}

// announce puts a member into a new table, in place of one at its address. The
// balancers that run keep the old one.
func (b *bench) announce(name string, member gooseberrymast.Member) {
	tag := gooseberrymast.TagOf(name)
	next := &gooseberrymast.Table{Version: b.table.Version + 1, Services: maps.Clone(b.table.Services)}
	next.Services[tag] = nil
	for _, other := range b.table.Services[tag] {
		if other.Identity.Address != member.Identity.Address {
			next.Services[tag] = append(next.Services[tag], other)
		}
	}
	next.Services[tag] = append(next.Services[tag], member)
	b.table = next
}

// onlyThrough leaves just the named balancers behind the fabric.
func (b *bench) onlyThrough(names ...string) {
	for name := range b.current {
		b.fabric.Remove(name)
	}
	for _, name := range names {
		b.addToFabric(name, b.current[name])
	}
}

func (b *bench) addToFabric(name string, fwd *forwarder.Forwarder) {
	addresses := []netip.AddrPort{fwd.ServiceAddress(0), fwd.ServiceAddress(1)}
	b.fabric.Add(fabric.Balancer{Name: name, Services: addresses})
}

// startBalancer replaces the balancer of that name. The new one gets the tables
// one after the other.
func (b *bench) startBalancer(name string, tables ...*gooseberrymast.Table) *forwarder.Forwarder {
	is := is.New(b.t)
	b.started++
	fwd, err := forwarder.New(forwarder.Config{
		Zone: zones[b.started%len(zones)],
		Services: []forwarder.ServiceAddress{
			{Address: loopback, Service: service},
			{Address: loopback, Service: otherService},
		},
		Forward: loopback,
		Keys:    b.keys,
		Shards:  1 + b.started%2, // sharded balancers and others behind one fabric
	})
	is.NoErr(err)
	for _, table := range tables {
		fwd.SetTable(table)
	}
	done := make(chan error, 1)
	go func() { done <- fwd.Run(b.ctx) }()
	b.addToFabric(name, fwd)
	if old := b.current[name]; old != nil {
		old.Close()
	}
	b.current[name] = fwd
	b.t.Cleanup(func() {
		fwd.Close()
		is.NoErr(<-done)
	})
	return fwd
}

func (b *bench) dial() *quic.Conn {
	return b.dialWith(&quic.Config{KeepAlivePeriod: time.Second})
}

func (b *bench) dialWith(config *quic.Config) *quic.Conn {
	is := is.New(b.t)
	conn, err := quic.DialAddr(b.ctx, b.fabric.ServiceAddress(0).String(), clientTLS(), config)
	is.NoErr(err)
	b.t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
	return conn
}

// openFlows opens flows one after the other, and echoes a message over each.
func (b *bench) openFlows(flows int) {
	for range flows {
		echo(b.t, b.dial(), 1, nil)
	}
}

// startPushes lets a server send messages to a caller that sends nothing unless
// it has to, after some echoes. It gives what reads one of the messages.
func (b *bench) startPushes() (read func()) {
	is := is.New(b.t)
	conn := b.dialWith(nil)
	echo(b.t, conn, 30, nil)
	stream, err := conn.OpenStream()
	is.NoErr(err)
	b.t.Cleanup(func() { _ = stream.Close() })
	_, err = stream.Write([]byte(pushRequest))
	is.NoErr(err)
	message := make([]byte, len(pushMessage))
	return func() {
		_, err := io.ReadFull(stream, message)
		is.NoErr(err)
	}
}

// sum adds up what the agents count.
func (b *bench) sum(count func(*receiver.Receiver) int) int {
	n := 0
	for _, a := range b.agents {
		n += count(a.receiver)
	}
	return n
}

func openings(rec *receiver.Receiver) int { return int(rec.Counters.Opening.Load()) }

func retries(rec *receiver.Receiver) int { return int(rec.Counters.Retries.Load()) }

func (a *agent) serve(ctx context.Context) {
	for {
		conn, err := a.listener.Accept(ctx)
		if err != nil {
			return
		}
		go func() {
			for {
				stream, err := conn.AcceptStream(ctx)
				if err != nil {
					return
				}
				go answer(stream)
			}
		}()
	}
}

// answer echoes, or sends messages of its own accord when that is asked for.
func answer(stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	first := make([]byte, len(pushRequest))
	if _, err := io.ReadFull(stream, first); err != nil {
		return
	}
	if string(first) != pushRequest {
		_, _ = stream.Write(first)
		_, _ = io.Copy(stream, stream)
		return
	}
	for range pushes {
		time.Sleep(pushInterval)
		if _, err := io.WriteString(stream, pushMessage); err != nil {
			return
		}
	}
}

// echo sends numbered messages over one stream and checks that each comes back.
// It calls each, if any, before a message.
func echo(t *testing.T, conn *quic.Conn, messages int, each func(i int)) {
	is := is.New(t)
	stream, err := conn.OpenStreamSync(t.Context())
	is.NoErr(err)
	defer func() { _ = stream.Close() }()
	var sent, got [8]byte
	for i := range messages {
		if each != nil {
			each(i)
		}
		binary.BigEndian.PutUint64(sent[:], uint64(i)+1)
		_, err := stream.Write(sent[:])
		is.NoErr(err)
		_, err = io.ReadFull(stream, got[:])
		is.NoErr(err)
		is.Equal(got, sent)
	}
}

func serverTLS(t *testing.T) *tls.Config {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: key}},
		NextProtos:   []string{protocolName},
	}
}

func clientTLS() *tls.Config {
	return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocolName}}
}

func listenUDP(t *testing.T) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
