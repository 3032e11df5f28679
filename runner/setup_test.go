package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
	"gooseberrymast/state/timer"
)

// waitTimeout bounds the waits of these tests. It asserts no latency: the
// expected events happen within milliseconds, or never.
const waitTimeout = 20 * time.Second

// The ports that every instance of a test uses. Each instance has its own
// loopback address.
const (
	peersPort    = 17700
	packetsPort  = 17701
	outboundPort = 17702
	serverPort   = 17703
	announcePort = 17704
	readyPort    = 17705
)

var serviceAddress = gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// memoryStore is an in-memory ObjectStore.
type memoryStore struct {
	mu      sync.Mutex
	version uint64
	objects map[string]gooseberrymast.Object
	down    bool
}

func (m *memoryStore) lock() (unlock func(), err error) {
	m.mu.Lock()
	if m.down {
		m.mu.Unlock()
		return func() {}, gooseberrymast.ErrStoreUnavailable
	}
	return m.mu.Unlock, nil
}

func (m *memoryStore) Get(_ context.Context, key string) (gooseberrymast.Object, error) {
	unlock, err := m.lock()
	defer unlock()
	if err != nil {
		return gooseberrymast.Object{}, err
	}
	object, ok := m.objects[key]
	if !ok {
		return gooseberrymast.Object{}, gooseberrymast.ErrStoreNotFound
	}
	return object, nil
}

func (m *memoryStore) List(_ context.Context, prefix string) ([]gooseberrymast.Object, error) {
	unlock, err := m.lock()
	defer unlock()
	if err != nil {
		return nil, err
	}
	var found []gooseberrymast.Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b gooseberrymast.Object) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

func (m *memoryStore) Put(_ context.Context, object gooseberrymast.Object, expected uint64) (uint64, error) {
	unlock, err := m.lock()
	defer unlock()
	if err != nil {
		return 0, err
	}
	if m.objects[object.Key].Version != expected {
		return 0, gooseberrymast.ErrStoreConflict
	}
	m.version++
	object.Version = m.version
	m.objects[object.Key] = object
	return object.Version, nil
}

func (m *memoryStore) Delete(_ context.Context, key string, expected uint64) error {
	unlock, err := m.lock()
	defer unlock()
	if err != nil {
		return err
	}
	if expected != 0 && m.objects[key].Version != expected {
		return gooseberrymast.ErrStoreConflict
	}
	delete(m.objects, key)
	return nil
}

// echoServer is a backend server that echoes payloads. It returns packets of flows
// that it doesn't have.
type echoServer struct {
	conn     *net.UDPConn
	outbound *net.UDPAddr
	mu       sync.Mutex
	flows    map[gooseberrymast.FlowKey]bool
	opened   int
	// stalled is set while the server answers no requests.
	stalled bool
}

func startServer(t *testing.T, number byte) *echoServer {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 3, number), Port: serverPort})
	if err != nil {
		t.Fatal(err)
	}
	s := &echoServer{
		conn: conn, outbound: &net.UDPAddr{IP: net.IPv4(127, 0, 3, number), Port: outboundPort},
		flows: map[gooseberrymast.FlowKey]bool{},
	}
	// A running server accepts connections, which agents use to detect failure.
	health, err := net.Listen("tcp4", net.JoinHostPort(s.outbound.IP.String(), fmt.Sprint(serverPort)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	t.Cleanup(func() { _ = health.Close() })
	go s.serve()
	return s
}

func (s *echoServer) serve() {
	packet := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDP(packet)
		if err != nil {
			return
		}
		header, err := platform.Codec{}.Decode(packet[:n])
		if err != nil {
			continue
		}
		s.mu.Lock()
		key := header.FromCaller()
		var answer []byte
		switch {
		case header.Opens:
			if !s.flows[key] {
				s.opened++
			}
			s.flows[key] = true
			answer = newPacket(header.Destination, header.Source, gooseberrymast.PacketHeader{Opens: true, Acknowledges: true}, nil)
		case s.flows[key] && s.stalled:
			s.mu.Unlock()
			continue
		case s.flows[key]:
			answer = newPacket(header.Destination, header.Source, gooseberrymast.PacketHeader{Acknowledges: true}, platform.Codec{}.Payload(packet[:n]))
		default:
			header.Returned = true
			answer = platform.Codec{}.AppendPacket(nil, header, platform.Codec{}.Payload(packet[:n]))
		}
		s.mu.Unlock()
		_, _ = s.conn.WriteToUDP(answer, s.outbound)
	}
}

// forgetFlows drops all flows, as a crash does.
func (s *echoServer) forgetFlows() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows = map[gooseberrymast.FlowKey]bool{}
}

func (s *echoServer) openedFlows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// newPacket returns a packet with the flags of a header.
func newPacket(source, destination gooseberrymast.Endpoint, flags gooseberrymast.PacketHeader, payload []byte) []byte {
	flags.Source, flags.Destination = source, destination
	return platform.Codec{}.AppendPacket(nil, flags, payload)
}

// cluster runs balancers and agents on loopback addresses.
type cluster struct {
	t      *testing.T
	store  *memoryStore
	caller *net.UDPConn
	// documentNumber is the number of the document that was stored last.
	documentNumber uint64
	// adapt, if set, changes the environment of instances that start.
	adapt func(*Environment)
	// zones holds the availability zones of instances by their address; the others
	// are in zone "a".
	zones map[[4]byte]string
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	caller, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 9, 1), Port: packetsPort})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	c := &cluster{t: t, caller: caller, zones: map[[4]byte]string{}, store: &memoryStore{objects: map[string]gooseberrymast.Object{}}}
	c.putDocument("ledger")
	return c
}

// putDocument stores a document whose only route leads to the given service, and
// returns its number.
func (c *cluster) putDocument(service string) uint64 {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.version++
	c.documentNumber += 3
	value := fmt.Appendf(nil, "%d %s", c.documentNumber, service)
	c.store.objects["document"] = gooseberrymast.Object{Key: "document", Version: c.store.version, Value: value}
	return c.documentNumber
}

func (c *cluster) environment(role gooseberrymast.Role, ip [4]byte) Environment {
	endpoint := func(port uint16) gooseberrymast.Endpoint { return gooseberrymast.Endpoint{IP: ip, Port: port} }
	zone := c.zones[ip]
	if zone == "" {
		zone = "a"
	}
	environment := Environment{
		Settings: gooseberrymast.InstanceSettings{
			Name: fmt.Sprint(ip), Role: role, Zone: zone, Peers: endpoint(peersPort), Packets: endpoint(packetsPort),
			Outbound: endpoint(outboundPort), Readiness: endpoint(readyPort), Announcements: endpoint(announcePort), Server: endpoint(serverPort),
			Service: "ledger", AnnounceInterval: time.Minute, StopWithin: time.Second,
		},
		Codec: platform.Codec{}, Store: c.store, Timer: timer.System{}, DocumentKey: "document", ReadRoutes: readRoutesFixture,
	}
	if c.adapt != nil {
		c.adapt(&environment)
	}
	return environment
}

// startBalancer runs a balancer until the returned function is called.
func (c *cluster) startBalancer(number byte) (balancer *Balancer, stop func()) {
	c.t.Helper()
	balancer = NewBalancer(c.environment(gooseberrymast.RoleBalancer, [4]byte{127, 0, 2, number}))
	stop = c.run(func(ctx context.Context) error {
		return balancer.Run(ctx, func(ready func() bool) http.Handler { return platform.ReadinessHandler(ready) })
	})
	c.waitFor("the balancer is ready", func() bool { return c.readyStatus([4]byte{127, 0, 2, number}) == http.StatusOK })
	return balancer, stop
}

// readyStatus returns the HTTP status of an instance's readiness endpoint.
func (c *cluster) readyStatus(ip [4]byte) int {
	response, err := http.Get("http://" + gooseberrymast.Endpoint{IP: ip, Port: readyPort}.String() + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// startAgent runs an agent whose server announces itself.
func (c *cluster) startAgent(number byte, sequence uint64) (agent *Agent, stop func()) {
	c.t.Helper()
	agent, announce, stop := c.startWaitingAgent(number)
	announce(sequence)
	c.waitFor("the agent is registered", agent.registered.Load)
	return agent, stop
}

// startWaitingAgent runs an agent whose server announces itself when announce is called.
func (c *cluster) startWaitingAgent(number byte) (agent *Agent, announce func(sequence uint64), stop func()) {
	c.t.Helper()
	ip := [4]byte{127, 0, 3, number}
	agent = NewAgent(c.environment(gooseberrymast.RoleAgent, ip))
	announcers := make(chan func(gooseberrymast.Announcement) error, 1)
	agent.AnnouncementHandler = func(announce func(gooseberrymast.Announcement) error, _ func(string, int64) error, _ func(string, error)) http.Handler {
		announcers <- announce
		return http.NotFoundHandler()
	}
	stop = c.run(agent.Run)
	handle := <-announcers
	announce = func(sequence uint64) {
		c.t.Helper()
		if err := handle(gooseberrymast.Announcement{
			ID: "i-1", StartUnixMs: 1, Sequence: sequence, Service: "ledger", Slots: 4,
			Address: gooseberrymast.Endpoint{IP: ip, Port: serverPort},
		}); err != nil {
			c.t.Fatal(err)
		}
	}
	return agent, announce, stop
}

// run runs a process until the returned function is called or the test ends.
func (c *cluster) run(process func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- process(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			c.t.Error(err)
		}
	})
	c.t.Cleanup(stop)
	return stop
}

func (c *cluster) waitFor(what string, done func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !done(); {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// flowKey returns the key of the caller's flow with the given port.
func flowKey(port uint16) gooseberrymast.FlowKey {
	return gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{127, 0, 9, 1}, Port: port}, Service: serviceAddress}
}

// sendUntil sends a packet through a balancer repeatedly until the flow receives an
// answer for which want returns true.
func (c *cluster) sendUntil(balancer byte, port uint16, flags gooseberrymast.PacketHeader, payload string, want func(gooseberrymast.PacketHeader, string) bool) {
	c.t.Helper()
	key := flowKey(port)
	packet := newPacket(key.Caller, key.Service, flags, []byte(payload))
	to := &net.UDPAddr{IP: net.IPv4(127, 0, 2, balancer), Port: packetsPort}
	answer := make([]byte, 2048)
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if _, err := c.caller.WriteToUDP(packet, to); err != nil {
			c.t.Fatal(err)
		}
		if err := c.caller.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			c.t.Fatal(err)
		}
		for {
			n, _, err := c.caller.ReadFromUDP(answer)
			if err != nil {
				break
			}
			header, err := platform.Codec{}.Decode(answer[:n])
			if err == nil && header.FromServer() == key && want(header, string(platform.Codec{}.Payload(answer[:n]))) {
				return
			}
		}
	}
	c.t.Fatalf("flow %s: no answer", key)
}

func (c *cluster) openFlow(balancer byte, port uint16) {
	c.t.Helper()
	c.sendUntil(balancer, port, gooseberrymast.PacketHeader{Opens: true}, "", func(header gooseberrymast.PacketHeader, _ string) bool {
		return header.Acknowledges && !header.Resets
	})
}

func (c *cluster) expectEcho(balancer byte, port uint16, text string) {
	c.t.Helper()
	c.sendUntil(balancer, port, gooseberrymast.PacketHeader{Acknowledges: true}, text, func(_ gooseberrymast.PacketHeader, answer string) bool { return answer == text })
}

func (c *cluster) expectReset(balancer byte, port uint16) {
	c.t.Helper()
	c.sendUntil(balancer, port, gooseberrymast.PacketHeader{Acknowledges: true}, "request", func(header gooseberrymast.PacketHeader, _ string) bool { return header.Resets })
}

func discardAnnouncements(func(gooseberrymast.Announcement) error, func(string, int64) error, func(string, error)) http.Handler {
	return http.NotFoundHandler()
}
