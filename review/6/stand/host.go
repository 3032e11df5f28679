//go:build review

package main

import (
	"bytes"
	"context"
	_ "embed" // For the forms of the platform's texts.
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
	// heartbeat is the time between two pings of a host, as in the site file.
	heartbeat = 1200 * time.Millisecond
	hostSlots = 5
	// workTime is the time that a host takes for a request.
	workTime = 30 * time.Millisecond
)

// pingFormat is the body of a ping, with all fields of the page.
//
//go:embed ping.json
var pingFormat string

// host is one boot of a backend server beside an agent.
type host struct {
	machine  *machine
	id       string
	born     time.Time
	conn     *net.UDPConn
	health   *http.Server
	client   http.Client
	cancel   context.CancelFunc
	world    *world
	mu       sync.Mutex
	flows    map[gooseberrymast.FlowKey]*hostFlow
	sequence uint64
	ended    bool
}

// hostFlow is a flow that a host holds.
type hostFlow struct {
	opened      bool
	first, next uint32
	request     uint32
	hasRequest  bool
	answer      []byte
	answerAt    uint32
}

// startHost starts a boot of the host on a machine.
func (w *world) startHost(m *machine) (*host, error) {
	h := &host{
		machine: m, id: fmt.Sprintf("i-%s-%d", m.settings.Name, time.Now().UnixMilli()), born: time.Now(), world: w,
		flows: map[gooseberrymast.FlowKey]*hostFlow{}, client: http.Client{Timeout: time.Second},
	}
	var err error
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.settings.Server.AddrPort())); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", m.settings.Server.String())
	if err != nil {
		return nil, err
	}
	h.health = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = h.health.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go h.receive()
	go func() {
		for ctx.Err() == nil {
			h.ping(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(heartbeat):
			}
		}
	}()
	m.host = h
	w.log("host %s of %s starts on %s", h.id, m.settings.Service, m.settings.Name)
	return h, nil
}

// stop ends the host at once.
func (h *host) stop() {
	h.cancel()
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	_ = h.conn.Close()
	_ = h.health.Close()
}

func (h *host) ping(ctx context.Context) {
	h.mu.Lock()
	h.sequence++
	sequence := h.sequence
	h.mu.Unlock()
	settings := h.machine.settings
	body := fmt.Sprintf(pingFormat, settings.Service, settings.Server, settings.Zone, hostSlots, sequence, h.born.UnixMilli())
	url := fmt.Sprintf("http://%s/%s/%s", settings.Announcements, "instances", h.id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	// A ping that fails is followed by the next one.
	if response, err := h.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

func (h *host) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet := append([]byte(nil), buffer[:n]...)
		header, err := codec.Decode(packet)
		if err != nil || !genuine(packet) {
			h.world.log("host %s gets a packet that nobody wrote: %x", h.id, packet[:min(n, 31)])
			continue
		}
		h.handle(header, packet)
	}
}

func (h *host) handle(header gooseberrymast.PacketHeader, packet []byte) {
	key := header.FromCaller()
	h.mu.Lock()
	defer h.mu.Unlock()
	flow := h.flows[key]
	switch {
	case h.ended:
	case header.Opens:
		if flow == nil {
			first := rand.Uint32()
			flow = &hostFlow{first: first, next: first + 1}
			h.flows[key] = flow
		}
		h.send(key, gooseberrymast.PacketHeader{Opens: true, Acknowledges: true, Sequence: flow.first, Acknowledgement: header.Sequence + 1}, nil)
	case flow == nil || !flow.opened && header.Acknowledgement != flow.first+1:
		// A packet of a flow that the host doesn't hold goes back with its echo.
		packet[offsetFlags] |= flagReturned
		h.write(packet)
	case header.Resets:
		delete(h.flows, key)
	case header.Finishes:
		h.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Finishes: true, Sequence: flow.next, Acknowledgement: header.Sequence + 1}, nil)
		h.world.closed(key)
		delete(h.flows, key)
	default:
		if !flow.opened {
			flow.opened = true
			h.world.opened(key, h)
		}
		if header.Payload > 0 {
			h.handleRequest(key, flow, header, packet)
		}
	}
}

func (h *host) handleRequest(key gooseberrymast.FlowKey, flow *hostFlow, header gooseberrymast.PacketHeader, packet []byte) {
	if flow.hasRequest && flow.request == header.Sequence {
		if flow.answer != nil {
			h.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: flow.answerAt, Acknowledgement: header.Sequence + uint32(header.Payload)}, flow.answer)
		}
		return
	}
	if flow.hasRequest && int32(header.Sequence-flow.request) < 0 {
		return
	}
	flow.hasRequest, flow.request, flow.answer = true, header.Sequence, nil
	id := codec.RequestID(packet)
	h.world.ran(id, key, h)
	time.AfterFunc(workTime, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.ended || h.flows[key] != flow || flow.request != header.Sequence {
			return
		}
		flow.answer = platform.FormatAnswer(http.StatusOK, id)
		flow.answerAt = flow.next
		flow.next += uint32(len(flow.answer))
		h.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: flow.answerAt, Acknowledgement: header.Sequence + uint32(header.Payload)}, flow.answer)
	})
}

func (h *host) send(key gooseberrymast.FlowKey, header gooseberrymast.PacketHeader, payload []byte) {
	header.Source, header.Destination = key.Service, key.Caller
	h.write(newPacket(header, payload))
}

func (h *host) write(packet []byte) {
	// The packet is lost while the agent isn't running.
	_, _ = h.conn.WriteToUDPAddrPort(packet, h.machine.settings.Outbound.AddrPort())
}

// holds reports whether the host has a flow open.
func (h *host) holds(key gooseberrymast.FlowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	flow := h.flows[key]
	return !h.ended && flow != nil && flow.opened
}

// answerOf returns the id in an answer's body.
func answerOf(payload []byte) string {
	_, body, _ := bytes.Cut(payload, []byte("\r\n\r\n"))
	return string(body)
}
