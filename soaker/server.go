package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

const (
	// announceEvery is the time between two announcements of a server.
	announceEvery = 770 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// serverSlots is the number of requests that a server says it runs at once.
	serverSlots = 4
	// shortWork and longWork bound the work of a request.
	shortWork = 2 * time.Millisecond
	longWork  = 40 * time.Millisecond
)

// server is one incarnation of a stand-in backend server beside an agent.
type server struct {
	name     string
	agent    string
	service  string
	settings gooseberrymast.InstanceSettings
	checker  *Checker
	born     time.Time
	work     func() time.Duration
	// sabotage lets the server break promises now and then.
	sabotage bool

	conn   *net.UDPConn
	health *http.Server
	cancel context.CancelFunc
	client http.Client

	mu           sync.Mutex
	flows        map[gooseberrymast.FlowKey]*serverFlow
	sequence     uint64
	leaving      bool
	leavingSince time.Time
	ended        bool
}

// serverFlow is a flow that a server holds.
type serverFlow struct {
	opened bool
	// first is the number of the server's answer to the opening packet.
	first uint32
	// next is the number of the server's next byte.
	next uint32
	// asked is the number of the last request's first byte, and answer its
	// answer once that is ready.
	asked  uint32
	began  bool
	answer []byte
	from   uint32
	ended  bool
}

// firstSequence begins the numbers of callers.
const firstSequence = 1000

// startServer starts an incarnation and announces it.
func startServer(settings gooseberrymast.InstanceSettings, number int, checker *Checker, work func() time.Duration, sabotage bool) (*server, error) {
	s := &server{
		name: fmt.Sprintf("%s/%d", settings.Name, number), agent: settings.Name, service: settings.Service, settings: settings,
		sabotage: sabotage, checker: checker, born: time.Now(), work: work, flows: map[gooseberrymast.FlowKey]*serverFlow{},
		client: http.Client{Timeout: announceTimeout},
	}
	var err error
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Server.AddrPort())); err != nil {
		return nil, fmt.Errorf("server %s: %w", s.name, err)
	}
	listener, err := net.Listen("tcp4", settings.Server.String())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("server %s: %w", s.name, err), s.conn.Close())
	}
	s.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if s.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = s.health.Serve(listener) }()
	go receive(s.conn, func(header gooseberrymast.PacketHeader, packet []byte, _ gooseberrymast.Endpoint) {
		s.take(header, packet, time.Now())
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.announceAll(ctx)
	return s, nil
}

// crash ends the server with its flows and says nothing.
func (s *server) crash() {
	s.cancel()
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.checker.ServerEnded(s.name)
	_ = s.conn.Close()
	_ = s.health.Close()
}

// leave announces that the server leaves, keeps on for the drain time, says
// that it ends, and ends.
func (s *server) leave(drain time.Duration) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for range 5 {
		if s.announce(context.Background()) == nil {
			s.mu.Lock()
			s.leavingSince = time.Now()
			s.mu.Unlock()
			break
		}
		time.Sleep(announceEvery / 2)
	}
	time.Sleep(drain)
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	// A server that can't say that it ends, ends all the same.
	_ = platform.SendDeparture(ctx, &s.client, s.settings.Announcements, s.announcement())
	s.crash()
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *server) announceAll(ctx context.Context) {
	for ctx.Err() == nil {
		// The next announcement makes up for one that failed.
		_ = s.announce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(announceEvery):
		}
	}
}

func (s *server) announce(ctx context.Context) error {
	return platform.SendAnnouncement(ctx, &s.client, s.settings.Announcements, s.announcement())
}

func (s *server) announcement() gooseberrymast.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return gooseberrymast.Announcement{
		ID: strings.ReplaceAll(s.name, "/", "-"), StartUnixMs: s.born.UnixMilli(), Sequence: s.sequence, Service: s.service,
		Address: s.settings.Server, Slots: serverSlots, Leaving: s.leaving,
	}
}

// take handles a packet of a caller.
func (s *server) take(header gooseberrymast.PacketHeader, packet []byte, now time.Time) {
	key := header.FromCaller()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.flows[key]
	switch {
	case s.ended:
	case header.Opens:
		if known == nil {
			s.checker.Taken(Opening{
				Key: key, Copy: header.Copy, Server: s.name, Agent: s.agent, Service: s.service, LeavingSince: s.leavingSince,
			}, now)
			// Callers tell servers that both answered apart by the numbers.
			first := rand.Uint32()
			known = &serverFlow{first: first, next: first + 1}
			s.flows[key] = known
		}
		s.send(key, gooseberrymast.PacketHeader{Opens: true, Acknowledges: true, Sequence: known.first}, nil)
	case known == nil || !known.opened && header.Acknowledgement != known.first+1:
		s.checker.Stray(key, s.service, s.agent, now)
		header.Returned = true
		s.write(platform.Codec{}.AppendPacket(nil, header, platform.Codec{}.Payload(packet)))
	case header.Resets:
		delete(s.flows, key)
	case known.ended:
		s.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: known.next}, nil)
	default:
		s.checker.Own(key)
		s.request(key, known, header, packet, now)
	}
}

// request handles a packet of an open flow. The caller holds the lock.
func (s *server) request(key gooseberrymast.FlowKey, known *serverFlow, header gooseberrymast.PacketHeader, packet []byte, now time.Time) {
	if !known.opened {
		known.opened = true
		s.checker.Opened(key, s.name, s.agent, now)
	}
	switch {
	case header.Payload > 0 && known.began && int32(header.Sequence-known.asked) < 0:
		// A late copy of an earlier request, whose answer the caller has.
	case header.Payload > 0 && known.began && header.Sequence == known.asked:
		if known.answer != nil {
			s.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: known.from}, known.answer)
		}
	case header.Payload > 0:
		known.began, known.asked, known.answer = true, header.Sequence, nil
		id, once := readRequest(string(platform.Codec{}.Payload(packet)))
		s.checker.Ran(id, once, s.name, now)
		if s.sabotaged() {
			s.checker.Ran(id, once, s.name, now)
			id += "-of-another"
		}
		time.AfterFunc(s.work(), func() { s.finish(key, known, header.Sequence, id) })
	case header.Finishes:
		known.ended = true
		s.checker.Ended(key)
		s.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Finishes: true, Sequence: known.next}, nil)
	}
}

// finish answers a request. A leaving server closes the flow behind the answer.
func (s *server) finish(key gooseberrymast.FlowKey, known *serverFlow, asked uint32, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || known.asked != asked || s.flows[key] != known {
		return
	}
	known.answer = platform.FormatAnswer(http.StatusOK, id)
	known.from = known.next
	known.next += uint32(len(known.answer))
	s.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: known.from}, known.answer)
	if s.leaving && !known.ended {
		known.ended = true
		s.checker.Ended(key)
		s.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Finishes: true, Sequence: known.next}, nil)
	}
}

// sabotaged draws whether the server breaks promises with a request.
func (s *server) sabotaged() bool {
	const share = 20
	return s.sabotage && rand.IntN(share) == 0
}

// send sends a packet of a flow to its caller by the agent.
func (s *server) send(key gooseberrymast.FlowKey, header gooseberrymast.PacketHeader, payload []byte) {
	header.Source, header.Destination = key.Service, key.Caller
	s.write(platform.Codec{}.AppendPacket(nil, header, payload))
}

func (s *server) write(packet []byte) {
	// While the agent isn't there the packet is lost.
	_, _ = s.conn.WriteToUDPAddrPort(packet, s.settings.Outbound.AddrPort())
}
