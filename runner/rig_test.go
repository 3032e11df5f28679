package runner

import (
	"context"
	"errors"
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

// patience bounds the waits of these tests. It is no assertion on time: what is
// waited for happens within milliseconds, or never.
const patience = 20 * time.Second

// The ports that every instance of a test uses. Each instance has a loopback
// address of its own.
const (
	peersPort    = 17700
	packetsPort  = 17701
	outboundPort = 17702
	serverPort   = 17703
	announcePort = 17704
	readyPort    = 17705
)

var serviceAddress = gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// memoryStore is a store whose objects lie in memory.
type memoryStore struct {
	mu      sync.Mutex
	version uint64
	objects map[string]gooseberrymast.Object
	down    bool
}

func (m *memoryStore) enter() (leave func(), err error) {
	m.mu.Lock()
	if m.down {
		m.mu.Unlock()
		return func() {}, gooseberrymast.ErrStoreUnavailable
	}
	return m.mu.Unlock, nil
}

func (m *memoryStore) Get(_ context.Context, key string) (gooseberrymast.Object, error) {
	leave, err := m.enter()
	defer leave()
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
	leave, err := m.enter()
	defer leave()
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
	leave, err := m.enter()
	defer leave()
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
	leave, err := m.enter()
	defer leave()
	if err != nil {
		return err
	}
	if expected != 0 && m.objects[key].Version != expected {
		return gooseberrymast.ErrStoreConflict
	}
	delete(m.objects, key)
	return nil
}

// server is a backend server that echoes. It returns packets of flows that it
// doesn't hold.
type server struct {
	conn     *net.UDPConn
	outbound *net.UDPAddr
	mu       sync.Mutex
	flows    map[gooseberrymast.FlowKey]bool
	opened   int
}

func startServer(t *testing.T, number byte) *server {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 3, number), Port: serverPort})
	if err != nil {
		t.Fatal(err)
	}
	s := &server{
		conn: conn, outbound: &net.UDPAddr{IP: net.IPv4(127, 0, 3, number), Port: outboundPort},
		flows: map[gooseberrymast.FlowKey]bool{},
	}
	// A server that is alive takes connections, for its health checks.
	health, err := net.Listen("tcp4", net.JoinHostPort(s.outbound.IP.String(), fmt.Sprint(serverPort)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	t.Cleanup(func() { _ = health.Close() })
	go s.run()
	return s
}

func (s *server) run() {
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
			answer = packetOf(header.Destination, header.Source, gooseberrymast.PacketHeader{Opens: true, Acknowledges: true}, nil)
		case s.flows[key]:
			answer = packetOf(header.Destination, header.Source, gooseberrymast.PacketHeader{Acknowledges: true}, platform.Codec{}.Payload(packet[:n]))
		default:
			header.Returned = true
			answer = platform.Codec{}.AppendPacket(nil, header, platform.Codec{}.Payload(packet[:n]))
		}
		s.mu.Unlock()
		_, _ = s.conn.WriteToUDP(answer, s.outbound)
	}
}

// crash forgets all flows.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows = map[gooseberrymast.FlowKey]bool{}
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// packetOf makes a packet with the flags of a header.
func packetOf(source, destination gooseberrymast.Endpoint, flags gooseberrymast.PacketHeader, payload []byte) []byte {
	flags.Source, flags.Destination = source, destination
	return platform.Codec{}.AppendPacket(nil, flags, payload)
}

// rig is a fleet on loopback.
type rig struct {
	t      *testing.T
	store  *memoryStore
	caller *net.UDPConn
}

func newRig(t *testing.T) *rig {
	t.Helper()
	caller, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 9, 1), Port: packetsPort})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	r := &rig{t: t, caller: caller, store: &memoryStore{objects: map[string]gooseberrymast.Object{}}}
	r.document("ledger")
	return r
}

// document puts a document in force whose only route leads to a service, and
// gives its version.
func (r *rig) document(service string) uint64 {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.version++
	r.store.objects["document"] = gooseberrymast.Object{Key: "document", Version: r.store.version, Value: []byte(service)}
	return r.store.version
}

func readTestRoutes(object gooseberrymast.Object) (*gooseberrymast.Routes, error) {
	if len(object.Value) == 0 {
		return nil, errors.New("empty")
	}
	return &gooseberrymast.Routes{
		Version: object.Version,
		ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{serviceAddress: {
			Address: serviceAddress, Backends: []gooseberrymast.WeightedService{{Service: string(object.Value), Weight: 1}},
		}},
	}, nil
}

func (r *rig) environment(role gooseberrymast.Role, ip [4]byte) Environment {
	at := func(port uint16) gooseberrymast.Endpoint { return gooseberrymast.Endpoint{IP: ip, Port: port} }
	return Environment{
		Settings: gooseberrymast.InstanceSettings{
			Name: fmt.Sprint(ip), Role: role, Zone: "a", Peers: at(peersPort), Packets: at(packetsPort),
			Outbound: at(outboundPort), Readiness: at(readyPort), Announcements: at(announcePort), Server: at(serverPort),
			Service: "ledger", AnnounceInterval: time.Minute, StopWithin: time.Second,
		},
		Codec: platform.Codec{}, Store: r.store, Timer: timer.System{}, DocumentKey: "document", ReadRoutes: readTestRoutes,
	}
}

// startBalancer runs a balancer until the returned function is called.
func (r *rig) startBalancer(number byte) (balancer *Balancer, stop func()) {
	r.t.Helper()
	balancer = NewBalancer(r.environment(gooseberrymast.RoleBalancer, [4]byte{127, 0, 2, number}))
	stop = r.run(func(ctx context.Context) error {
		return balancer.Run(ctx, func(ready func() bool) http.Handler { return platform.Readiness(ready) })
	})
	r.wait("the balancer is ready", func() bool { return r.get([4]byte{127, 0, 2, number}) == http.StatusOK })
	return balancer, stop
}

// get asks an instance whether it is ready.
func (r *rig) get(ip [4]byte) int {
	response, err := http.Get("http://" + gooseberrymast.Endpoint{IP: ip, Port: readyPort}.String() + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// startAgent runs an agent whose server announces itself.
func (r *rig) startAgent(number byte, sequence uint64) (agent *Agent, stop func()) {
	r.t.Helper()
	ip := [4]byte{127, 0, 3, number}
	agent = NewAgent(r.environment(gooseberrymast.RoleAgent, ip))
	announced := make(chan func(gooseberrymast.Announcement) error, 1)
	agent.Listen = func(announce func(gooseberrymast.Announcement) error, _ func(string, int64) error, _ func(string, error)) http.Handler {
		announced <- announce
		return http.NotFoundHandler()
	}
	stop = r.run(agent.Run)
	announce := <-announced
	if err := announce(gooseberrymast.Announcement{
		ID: "i-1", Born: 1, Sequence: sequence, Service: "ledger", Slots: 4,
		Address: gooseberrymast.Endpoint{IP: ip, Port: serverPort},
	}); err != nil {
		r.t.Fatal(err)
	}
	r.wait("the agent is registered", agent.registered.Load)
	return agent, stop
}

// run runs a process until the returned function is called or the test ends.
func (r *rig) run(process func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- process(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			r.t.Error(err)
		}
	})
	r.t.Cleanup(stop)
	return stop
}

func (r *rig) wait(what string, done func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(patience); !done(); {
		if time.Now().After(deadline) {
			r.t.Fatalf("waited in vain: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// flow is a flow of the caller, by its port.
func flowKey(port uint16) gooseberrymast.FlowKey {
	return gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{127, 0, 9, 1}, Port: port}, Service: serviceAddress}
}

// ask sends a packet through a balancer, again and again, until an answer of
// the flow comes for which want is true.
func (r *rig) ask(balancer byte, port uint16, flags gooseberrymast.PacketHeader, payload string, want func(gooseberrymast.PacketHeader, string) bool) {
	r.t.Helper()
	key := flowKey(port)
	packet := packetOf(key.Caller, key.Service, flags, []byte(payload))
	to := &net.UDPAddr{IP: net.IPv4(127, 0, 2, balancer), Port: packetsPort}
	answer := make([]byte, 2048)
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		if _, err := r.caller.WriteToUDP(packet, to); err != nil {
			r.t.Fatal(err)
		}
		if err := r.caller.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			r.t.Fatal(err)
		}
		for {
			n, _, err := r.caller.ReadFromUDP(answer)
			if err != nil {
				break
			}
			header, err := platform.Codec{}.Decode(answer[:n])
			if err == nil && header.FromServer() == key && want(header, string(platform.Codec{}.Payload(answer[:n]))) {
				return
			}
		}
	}
	r.t.Fatalf("flow %s: no answer", key)
}

func (r *rig) open(balancer byte, port uint16) {
	r.t.Helper()
	r.ask(balancer, port, gooseberrymast.PacketHeader{Opens: true}, "", func(header gooseberrymast.PacketHeader, _ string) bool {
		return header.Acknowledges && !header.Resets
	})
}

func (r *rig) echo(balancer byte, port uint16, text string) {
	r.t.Helper()
	r.ask(balancer, port, gooseberrymast.PacketHeader{Acknowledges: true}, text, func(_ gooseberrymast.PacketHeader, answer string) bool { return answer == text })
}

func (r *rig) reset(balancer byte, port uint16) {
	r.t.Helper()
	r.ask(balancer, port, gooseberrymast.PacketHeader{Acknowledges: true}, "request", func(header gooseberrymast.PacketHeader, _ string) bool { return header.Resets })
}

func listenNowhere(func(gooseberrymast.Announcement) error, func(string, int64) error, func(string, error)) http.Handler {
	return http.NotFoundHandler()
}

func containsAddress(value string) bool {
	return strings.Contains(value, serviceAddress.String())
}
