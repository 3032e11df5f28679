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
	// announceInterval is the time between two announcements of a server.
	announceInterval = 770 * time.Millisecond
	// announceTimeout is the timeout of one announcement.
	announceTimeout = time.Second
	// serverSlots is the number of concurrent requests that a server announces.
	serverSlots = 4
	// minWorkTime and maxWorkTime bound the time that a request takes.
	minWorkTime = 2 * time.Millisecond
	maxWorkTime = 40 * time.Millisecond
)

// server is one incarnation of a stand-in backend server next to an agent.
type server struct {
	name         string
	agent        string
	service      string
	settings     gooseberrymast.InstanceSettings
	checker      *Checker
	startedAt    time.Time
	drawWorkTime func() time.Duration
	// sabotage makes the server break promises now and then.
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
	stopped      bool
	// coldUntil is until when the server is cold, and recent holds the times of the
	// requests of the last second.
	coldUntil time.Time
	recent    []time.Time
}

// serverFlow is a flow held by a server.
type serverFlow struct {
	opened bool
	// callerSequence is the caller's initial sequence number.
	callerSequence uint32
	// initialSequence is the sequence number of the server's answer to the
	// opening packet.
	initialSequence uint32
	// nextSequence is the sequence number of the server's next byte.
	nextSequence uint32
	// requestSequence is the sequence number of the latest request, once
	// hasRequest is set. answer is nil until that request is done, and begins
	// at answerSequence.
	requestSequence uint32
	hasRequest      bool
	answer          []byte
	answerSequence  uint32
	ended           bool
}

// startServer starts an incarnation of a server and its announcements.
func startServer(settings gooseberrymast.InstanceSettings, number int, checker *Checker, drawWorkTime func() time.Duration, sabotage bool) (*server, error) {
	s := &server{
		name: fmt.Sprintf("%s/%d", settings.Name, number), agent: settings.Name, service: settings.Service, settings: settings,
		sabotage: sabotage, checker: checker, startedAt: time.Now(), drawWorkTime: drawWorkTime, flows: map[gooseberrymast.FlowKey]*serverFlow{},
		client: http.Client{Timeout: announceTimeout},
	}
	s.coldUntil = s.startedAt.Add(warmUpTime)
	var err error
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Server.AddrPort())); err != nil {
		return nil, fmt.Errorf("server %s: %w", s.name, err)
	}
	listener, err := net.Listen("tcp4", settings.Server.String())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("server %s: %w", s.name, err), s.conn.Close())
	}
	s.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		platform.WriteHealth(w, gooseberrymast.HealthReport{Healthy: !s.isLeaving(), Instance: s.id()})
	})}
	go func() { _ = s.health.Serve(listener) }()
	go receive(s.conn, func(header gooseberrymast.PacketHeader, packet []byte, _ gooseberrymast.Endpoint) {
		s.handlePacket(header, packet, time.Now())
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.announcePeriodically(ctx)
	return s, nil
}

// crash stops the server and drops its flows without announcing it.
func (s *server) crash() {
	s.cancel()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.checker.RecordServerEnd(s.name)
	_ = s.conn.Close()
	_ = s.health.Close()
}

// leave announces that the server is leaving, serves for the drain time,
// announces its departure and stops.
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
		time.Sleep(announceInterval / 2)
	}
	time.Sleep(drain)
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	// The server stops even if its departure can't be announced.
	_ = platform.SendDeparture(ctx, &s.client, s.settings.Announcements, s.announcement())
	s.crash()
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *server) announcePeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		// If an announcement fails, the next one replaces it.
		_ = s.announce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

func (s *server) announce(ctx context.Context) error {
	return platform.SendAnnouncement(ctx, &s.client, s.settings.Announcements, s.announcement())
}

// id returns the name that the server announces.
func (s *server) id() string {
	return strings.ReplaceAll(s.name, "/", "-")
}

func (s *server) announcement() gooseberrymast.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return gooseberrymast.Announcement{
		ID: s.id(), StartUnixMs: s.startedAt.UnixMilli(), Sequence: s.sequence, Service: s.service,
		Address: s.settings.Server, Slots: serverSlots, Leaving: s.leaving,
		WarmUpLeft: max(0, time.Until(s.coldUntil)),
	}
}

// handlePacket handles a packet from a caller.
func (s *server) handlePacket(header gooseberrymast.PacketHeader, packet []byte, now time.Time) {
	key := header.FromCaller()
	s.mu.Lock()
	defer s.mu.Unlock()
	flow := s.flows[key]
	switch {
	case s.stopped:
	case header.Opens:
		if flow == nil || flow.callerSequence != header.Sequence {
			// The caller has drawn the port of an earlier flow again.
			s.checker.CheckOpening(Opening{
				Key: key, Copy: header.Copy, Server: s.name, Agent: s.agent, Service: s.service, Zone: s.settings.Zone,
				LeavingSince: s.leavingSince,
			}, now)
			s.checkWarmUp(now)
			// If two servers answer the opening, the caller distinguishes them by
			// this number.
			first := rand.Uint32()
			flow = &serverFlow{callerSequence: header.Sequence, initialSequence: first, nextSequence: first + 1}
			s.flows[key] = flow
		}
		s.send(key, gooseberrymast.PacketHeader{Opens: true, Acknowledges: true, Sequence: flow.initialSequence}, nil)
	// Either the server doesn't hold the flow, or the caller opens it at another
	// server that answered its opening as well.
	case flow == nil || !flow.opened && header.Acknowledgement != flow.initialSequence+1:
		s.checker.CheckStray(key, s.service, s.agent, now)
		header.Returned = true
		s.write(platform.Codec{}.AppendPacket(nil, header, platform.Codec{}.Payload(packet)))
	case header.Resets:
		delete(s.flows, key)
	case flow.ended:
		s.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: flow.nextSequence}, nil)
	default:
		s.checker.RecordDelivered(key)
		s.handleFlowPacket(key, flow, header, packet, now)
	}
}

// handleFlowPacket handles a packet of an open flow. The lock must be held.
func (s *server) handleFlowPacket(key gooseberrymast.FlowKey, flow *serverFlow, header gooseberrymast.PacketHeader, packet []byte, now time.Time) {
	if !flow.opened {
		flow.opened = true
		s.checker.RecordOpened(key, s.name, s.agent, now)
	}
	switch {
	case header.Payload > 0 && flow.hasRequest && int32(header.Sequence-flow.requestSequence) < 0:
		// A late copy of an earlier request. The caller sends its next request
		// only once it has the answer, so there is nothing to send.
	case header.Payload > 0 && flow.hasRequest && header.Sequence == flow.requestSequence:
		if flow.answer != nil {
			s.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: flow.answerSequence}, flow.answer)
		}
	case header.Payload > 0:
		if flow.hasRequest {
			// The first one was counted with the opening packet.
			s.countRequest(now)
		}
		flow.hasRequest, flow.requestSequence, flow.answer = true, header.Sequence, nil
		id, once := parseRequestName(string(platform.Codec{}.Payload(packet)))
		s.checker.CheckRun(id, once, s.name, now)
		if s.drawSabotage() {
			s.checker.CheckRun(id, once, s.name, now)
			id += "-of-another"
		}
		time.AfterFunc(s.drawWorkTime(), func() { s.sendAnswer(key, flow, header.Sequence, id) })
	case header.Finishes:
		flow.ended = true
		s.checker.RecordFlowEnd(key)
		s.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Finishes: true, Sequence: flow.nextSequence}, nil)
	}
}

// sendAnswer answers a request. A leaving server closes the flow after the
// answer.
func (s *server) sendAnswer(key gooseberrymast.FlowKey, flow *serverFlow, sequence uint32, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || flow.requestSequence != sequence || s.flows[key] != flow {
		return
	}
	flow.answer = platform.FormatAnswer(http.StatusOK, id)
	flow.answerSequence = flow.nextSequence
	flow.nextSequence += uint32(len(flow.answer))
	s.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: flow.answerSequence}, flow.answer)
	if s.leaving && !flow.ended {
		flow.ended = true
		s.checker.RecordFlowEnd(key)
		s.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Finishes: true, Sequence: flow.nextSequence}, nil)
	}
}

// drawSabotage draws whether the server breaks promises with a request.
func (s *server) drawSabotage() bool {
	const oneIn = 20
	return s.sabotage && rand.IntN(oneIn) == 0
}

// send sends a packet of a flow to its caller through the agent.
func (s *server) send(key gooseberrymast.FlowKey, header gooseberrymast.PacketHeader, payload []byte) {
	header.Source, header.Destination = key.Service, key.Caller
	s.write(platform.Codec{}.AppendPacket(nil, header, payload))
}

func (s *server) write(packet []byte) {
	// The packet is lost while the agent isn't running.
	_, _ = s.conn.WriteToUDPAddrPort(packet, s.settings.Outbound.AddrPort())
}
