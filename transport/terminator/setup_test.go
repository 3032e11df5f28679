package terminator_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"gooseberrymast"
	"gooseberrymast/caller"
	"gooseberrymast/coordination/dispatcher"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/standin/backend"
	"gooseberrymast/state/timer"
	"gooseberrymast/transport/driver"
	"gooseberrymast/transport/executor"
	"gooseberrymast/transport/hander"
	"gooseberrymast/transport/linker"
	"gooseberrymast/transport/terminator"
)

func TestMain(m *testing.M) {
	log.DefaultLogger.SetLevel(log.ErrorLevel)
	os.Exit(m.Run())
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// service runs the agents of one service and their stand-in backend servers in one
// process.
type service struct {
	t      testing.TB
	keys   *keyer.Keys
	tls    *tls.Config
	roots  *x509.CertPool
	limits gooseberrymast.Service
	http2  bool
	// timer is the timer service of the agents.
	timer gooseberrymast.Timer

	mu     sync.Mutex
	agents []*agent
	// controlOverrides replaces the control addresses of agents.
	controlOverrides map[gooseberrymast.Identity]netip.AddrPort
}

// agent is one agent and its backend server.
type agent struct {
	self       gooseberrymast.Identity
	control    netip.AddrPort
	backend    *backend.Backend
	dispatcher *dispatcher.Dispatcher
	driver     *driver.Driver
	terminator *terminator.Terminator
	listener   *linker.Listener
	hander     *hander.Server
	transport  *quic.Transport
}

const serviceName = "ledger"

func newService(t testing.TB, agents int, change func(*gooseberrymast.Service)) *service {
	t.Helper()
	var document gooseberrymast.Service
	document.Streams = []string{backend.PathPush, backend.PathEcho}
	document.Idempotent = []string{"/idempotent"}
	document.Drain.Grace = gooseberrymast.Duration(time.Second)
	document.Limits.SlowStart = gooseberrymast.Duration(time.Nanosecond)
	document.CrossZone = gooseberrymast.CrossZoneWhenFull
	document.SetDefaults()
	if change != nil {
		change(&document)
	}
	s := &service{t: t, keys: keyer.Random(), limits: document, timer: timer.System{}}
	s.tls, s.roots = certificate(t)
	for range agents {
		s.startAgent(newBackend())
	}
	return s
}

// startAgent starts a stand-in and an agent for it.
func (s *service) startAgent(server *backend.Backend) *agent {
	s.t.Helper()
	is := is.New(s.t)
	address, err := server.Start(loopback)
	is.NoErr(err)
	s.t.Cleanup(func() { server.Close() })
	return s.startAgentFor(address, server)
}

// startAgentFor starts an agent for a stand-in that is already running.
func (s *service) startAgentFor(address netip.AddrPort, server *backend.Backend) *agent {
	s.t.Helper()
	is := is.New(s.t)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)
	listener, err := linker.Listen(loopback, linker.FixedKeys(s.keys))
	is.NoErr(err)
	a := &agent{
		self:      gooseberrymast.Identity{Address: socket.LocalAddr().(*net.UDPAddr).AddrPort(), Incarnation: 1},
		control:   listener.Address(),
		backend:   server,
		listener:  listener,
		transport: &quic.Transport{Conn: socket},
	}
	s.assemble(a, address)
	go func() { _ = listener.Serve(context.Background()) }()
	go func() { _ = a.terminator.Serve() }()
	s.t.Cleanup(func() {
		a.terminator.Close()
		a.transport.Close()
		a.driver.Peers.Pool.Close()
		listener.Close()
		socket.Close()
	})
	s.mu.Lock()
	s.agents = append(s.agents, a)
	s.mu.Unlock()
	s.updateMembers()
	return a
}

func (s *service) assemble(a *agent, address netip.AddrPort) {
	a.dispatcher = dispatcher.New(dispatcher.Config{Self: a.self, Service: serviceName, Zone: "cairo-a", Seed: 1})
	a.driver = &driver.Driver{
		Self:       a.self,
		Dispatcher: a.dispatcher,
		Timer:      s.timer,
		Executor:   &executor.Executor{Address: address, HTTP2: s.http2},
		Refuse:     a.dispatcher.Refuse,
	}
	a.driver.Peers = &hander.Client{
		Self:    a.self,
		Service: gooseberrymast.TagOf(serviceName),
		Pool:    &linker.Pool{Keys: linker.FixedKeys(s.keys)},
		Locate:  s.locate,
		OnLoad:  a.driver.HandlePeerLoad,
	}
	a.hander = &hander.Server{Self: a.self, Service: gooseberrymast.TagOf(serviceName), Local: a.driver, Timer: s.timer}
	a.listener.Handle(linker.KindHandOver, a.hander.Handle)
	a.terminator = &terminator.Terminator{
		Transport: a.transport,
		TLS:       s.tls,
		Driver:    a.driver,
		Tag:       gooseberrymast.TagOf(serviceName),
		Keys:      linker.FixedKeys(s.keys),
		Document:  func() gooseberrymast.Service { return s.limits },
		Timer:     s.timer,
	}
	a.driver.Configure(1, s.limits)
}

// updateMembers sets all agents as members at every agent.
func (s *service) updateMembers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.agents {
		var members []gooseberrymast.Member
		for _, other := range s.agents {
			members = append(members, gooseberrymast.Member{Record: gooseberrymast.Record{
				Identity: other.self, Control: other.control, State: gooseberrymast.StateReady,
				Service: gooseberrymast.TagOf(serviceName), Zone: "cairo-a",
			}})
		}
		a.driver.SetPeers(members)
	}
}

func (s *service) locate(peer gooseberrymast.Identity) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address, ok := s.controlOverrides[peer]; ok {
		return address, true
	}
	index := slices.IndexFunc(s.agents, func(a *agent) bool { return a.self == peer })
	if index < 0 {
		return netip.AddrPort{}, false
	}
	return s.agents[index].control, true
}

// caller returns a client whose flows go to the given agents in turn.
func (s *service) caller(agents ...*agent) *caller.Client {
	client := &caller.Client{TLS: &tls.Config{RootCAs: s.roots, MinVersion: tls.VersionTLS13}}
	for _, a := range agents {
		client.Addresses = append(client.Addresses, a.self.Address)
	}
	s.t.Cleanup(func() { client.Close() })
	return client
}

// httpClient is a connect.HTTPClient.
type httpClient interface {
	Do(request *http.Request) (*http.Response, error)
}

// plainClient is an HTTP/3 client that doesn't use tickets.
type plainClient struct {
	*http3.Transport
}

func (p plainClient) Do(request *http.Request) (*http.Response, error) {
	return p.RoundTrip(request)
}

func (s *service) newPlainClient(a *agent) plainClient {
	transport := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: s.roots, MinVersion: tls.VersionTLS13},
		Dial: func(ctx context.Context, _ string, secure *tls.Config, config *quic.Config) (*quic.Conn, error) {
			return quic.DialAddr(ctx, a.self.Address.String(), secure, config)
		},
	}
	s.t.Cleanup(func() { transport.Close() })
	return plainClient{transport}
}

// runs returns the number of runs of a request at all stand-ins.
func (s *service) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, a := range s.agents {
		total += a.backend.Counts().Runs[id]
	}
	return total
}

// request returns a request with an ID by which the stand-ins count its runs.
func request(ctx context.Context, method, path, id, body string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "https://"+serviceName+".example"+path, reader)
	if err != nil {
		panic(err)
	}
	r.Header.Set(backend.HeaderRequestID, id)
	return r
}

// readText reads the body of an answer.
func readText(response *http.Response) (string, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func certificate(t testing.TB) (*tls.Config, *x509.CertPool) {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serviceName},
		DNSNames:     []string{serviceName + ".example"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	leaf, err := x509.ParseCertificate(der)
	is.NoErr(err)
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
	}, roots
}

func newBackend() *backend.Backend {
	return &backend.Backend{PushInterval: 5 * time.Millisecond}
}

// eventually waits until a condition holds that another goroutine brings about. It
// fails after a minute, long enough to mean never.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > time.Minute {
			t.Fatal("condition did not hold within a minute")
		}
	}
}

func (s *service) cancelled() int {
	total := 0
	for _, a := range s.agents {
		total += a.backend.Counts().Cancelled
	}
	return total
}

// idle reports whether no request is in progress at any agent or stand-in.
func (s *service) idle() bool {
	for _, a := range s.agents {
		unary, streams := a.backend.InProgress()
		if unary+streams+a.driver.InProgress() > 0 {
			return false
		}
	}
	return true
}
