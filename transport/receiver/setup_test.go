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

	// The server sends pushes messages on a stream that begins with pushRequest.
	pushRequest  = "pushes!!"
	pushMessage  = "message"
	pushes       = 6
	pushInterval = 400 * time.Millisecond
)

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	zones    = []string{"cairo-a", "cairo-b", "cairo-c"}
)

// cluster is a fabric with balancers and agents behind it, all on loopback.
type cluster struct {
	t         *testing.T
	ctx       context.Context
	keys      *keyer.Keys
	fabric    *fabric.Fabric
	table     *gooseberrymast.Table
	agents    []*agent
	balancers map[string]*forwarder.Forwarder
	started   int
	accepted  atomic.Int64 // flows accepted by the QUIC servers
}

// agent is a receiver with a QUIC echo server.
type agent struct {
	receiver  *receiver.Receiver
	transport *quic.Transport
	listener  *quic.Listener
}

func newCluster(t *testing.T, agents, balancers int, configure func(i int, config *receiver.Config)) *cluster {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c := &cluster{t: t, ctx: ctx, keys: keyer.Random(), balancers: map[string]*forwarder.Forwarder{}}
	is := is.New(t)
	fab, err := fabric.New(fabric.Config{Services: []netip.AddrPort{loopback, loopback}, Seed: 1})
	is.NoErr(err)
	t.Cleanup(fab.Close)
	c.fabric = fab
	c.table = &gooseberrymast.Table{Version: 1, Services: map[gooseberrymast.ServiceTag][]gooseberrymast.Member{}}
	for i := range agents {
		c.startAgent(i, service, configure)
	}
	for i := range balancers {
		c.startBalancer(fmt.Sprint("balancer-", i), c.table)
	}
	return c
}

func (c *cluster) startAgent(i int, name string, configure func(i int, config *receiver.Config)) *agent {
	is := is.New(c.t)
	config := receiver.Config{
		Identity:  gooseberrymast.Identity{Address: loopback, Incarnation: 7},
		Service:   name,
		Keys:      c.keys,
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
		c.accepted.Add(1)
		return ctx, nil
	}
	listener, err := transport.Listen(serverTLS(c.t), rec.QUICConfig())
	is.NoErr(err)
	a := &agent{receiver: rec, transport: transport, listener: listener}
	c.t.Cleanup(func() {
		_ = transport.Close()
		_ = rec.Close()
	})
	go a.serve(c.ctx)
	c.agents = append(c.agents, a)
	c.setMember(name, gooseberrymast.Member{Record: gooseberrymast.Record{
		Identity: rec.Identity(), State: gooseberrymast.StateReady, Role: gooseberrymast.RoleAgent,
		Service: gooseberrymast.TagOf(name), Zone: zones[i%len(zones)],
	}})
	return a
}

// setMember replaces the table by one with the member in place of any other at its
// address. Running balancers keep the old table.
func (c *cluster) setMember(name string, member gooseberrymast.Member) {
	tag := gooseberrymast.TagOf(name)
	next := &gooseberrymast.Table{Version: c.table.Version + 1, Services: maps.Clone(c.table.Services)}
	next.Services[tag] = nil
	for _, other := range c.table.Services[tag] {
		if other.Identity.Address != member.Identity.Address {
			next.Services[tag] = append(next.Services[tag], other)
		}
	}
	next.Services[tag] = append(next.Services[tag], member)
	c.table = next
}

// attachOnly makes the fabric use the named balancers only.
func (c *cluster) attachOnly(names ...string) {
	for name := range c.balancers {
		c.fabric.Remove(name)
	}
	for _, name := range names {
		c.addToFabric(name, c.balancers[name])
	}
}

func (c *cluster) addToFabric(name string, fwd *forwarder.Forwarder) {
	addresses := []netip.AddrPort{fwd.ServiceAddress(0), fwd.ServiceAddress(1)}
	c.fabric.Add(fabric.Balancer{Name: name, Services: addresses})
}

// startBalancer starts a balancer, in place of any other of that name, and sets
// the tables one after the other.
func (c *cluster) startBalancer(name string, tables ...*gooseberrymast.Table) *forwarder.Forwarder {
	is := is.New(c.t)
	c.started++
	fwd, err := forwarder.New(forwarder.Config{
		Zone: zones[c.started%len(zones)],
		Services: []forwarder.ServiceAddress{
			{Address: loopback, Service: service},
			{Address: loopback, Service: otherService},
		},
		Forward: loopback,
		Keys:    c.keys,
		Shards:  1 + c.started%2, // alternately one and two shards
	})
	is.NoErr(err)
	for _, table := range tables {
		fwd.SetTable(table)
	}
	done := make(chan error, 1)
	go func() { done <- fwd.Run(c.ctx) }()
	c.addToFabric(name, fwd)
	if old := c.balancers[name]; old != nil {
		old.Close()
	}
	c.balancers[name] = fwd
	c.t.Cleanup(func() {
		fwd.Close()
		is.NoErr(<-done)
	})
	return fwd
}

func (c *cluster) dial() *quic.Conn {
	return c.dialWith(&quic.Config{KeepAlivePeriod: time.Second})
}

func (c *cluster) dialWith(config *quic.Config) *quic.Conn {
	is := is.New(c.t)
	conn, err := quic.DialAddr(c.ctx, c.fabric.ServiceAddress(0).String(), clientTLS(), config)
	is.NoErr(err)
	c.t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
	return conn
}

// openFlows opens flows one after the other, and echoes a message over each.
func (c *cluster) openFlows(flows int) {
	for range flows {
		echo(c.t, c.dial(), 1, nil)
	}
}

// startPushes sends some echoes and then requests pushes on a flow without
// keep-alive. It returns a function that reads one pushed message.
func (c *cluster) startPushes() (read func()) {
	is := is.New(c.t)
	conn := c.dialWith(nil)
	echo(c.t, conn, 30, nil)
	stream, err := conn.OpenStream()
	is.NoErr(err)
	c.t.Cleanup(func() { _ = stream.Close() })
	_, err = stream.Write([]byte(pushRequest))
	is.NoErr(err)
	message := make([]byte, len(pushMessage))
	return func() {
		_, err := io.ReadFull(stream, message)
		is.NoErr(err)
	}
}

// sum returns the sum of a count over all agents.
func (c *cluster) sum(count func(*receiver.Receiver) int) int {
	n := 0
	for _, a := range c.agents {
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
				go serveStream(stream)
			}
		}()
	}
}

// serveStream echoes, or pushes messages if the stream begins with pushRequest.
func serveStream(stream *quic.Stream) {
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
// It calls each, unless nil, before each message.
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
