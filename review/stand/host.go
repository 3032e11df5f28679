package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// flowKey names a flow by its requester's end and its route's address.
type flowKey struct{ src, dst netip.AddrPort }

func (k flowKey) String() string { return k.src.String() + "->" + k.dst.String() }

// hostFlow is a flow at a host.
type hostFlow struct {
	first    uint32 // the host's initial sequence number
	next     uint32 // the host's next sequence number
	received uint32 // the next byte that is expected of the requester
	open     bool
	closed   bool
	answer   []byte // the last response as a datagram
}

// host is a stand-in of one boot of a host.
type host struct {
	rec     *recorder
	id      string
	service string
	machine *machine
	born    int64

	conn   *net.UDPConn
	health net.Listener
	done   chan struct{}

	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	sequence uint64
	// acked is the sequence of the last ping that was acknowledged.
	acked    uint64
	draining bool
	ended    bool
}

func startHost(rec *recorder, m *machine, service string) (*host, error) {
	h := &host{
		rec: rec, service: service, machine: m, born: time.Now().UnixMilli(), id: fmt.Sprintf("i-%08x", rand.Uint32()),
		flows: map[flowKey]*hostFlow{}, done: make(chan struct{}),
	}
	var err error
	if h.conn, err = listenUDP(m.app); err != nil {
		return nil, err
	}
	if h.health, err = net.Listen("tcp4", m.app.String()); err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(h.health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Instance-Id", h.id)
			if h.isDraining() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
	}()
	go receive(h.conn, h.handle)
	go h.ping()
	rec.line("host %s of %s starts on %s", h.id, service, m.name)
	return h, nil
}

func (h *host) isDraining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// ping announces the host at each interval.
func (h *host) ping() {
	for {
		h.announce()
		select {
		case <-h.done:
			return
		case <-time.After(pingInterval):
		}
	}
}

func (h *host) announce() bool {
	sequence, body := h.nextPing()
	if h.call(http.MethodPut, body) != http.StatusOK {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acked = sequence
	return true
}

// nextPing returns the next ping and its sequence.
func (h *host) nextPing() (sequence uint64, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	return h.sequence, string(format("ping.json", pingValues{
		Service: h.service, Address: h.machine.app, Zone: h.machine.zone, State: state, Sequence: h.sequence, Born: h.born,
	}))
}

// heldUpPing returns a ping that the host sends and that doesn't arrive yet.
func (h *host) heldUpPing() string {
	_, body := h.nextPing()
	return body
}

// acknowledged returns the sequence of the last ping that was acknowledged.
func (h *host) acknowledged() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acked
}

func (h *host) call(method, body string) int {
	return callControl(method, h.machine.control, h.id, body)
}

// callControl calls the control address of a machine and returns the status, or 0.
func callControl(method string, control netip.AddrPort, id, body string) int {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s/instances/%s", control, id), strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// drain reports that the host leaves, serves on for a while and ends.
func (h *host) drain(serveFor time.Duration) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	for !h.announce() {
		time.Sleep(100 * time.Millisecond)
	}
	h.rec.line("host %s on %s: draining is acknowledged", h.id, h.machine.name)
	time.Sleep(serveFor)
	h.rec.line("host %s on %s: DELETE: %d", h.id, h.machine.name, h.call(http.MethodDelete, fmt.Sprintf(`{"born":%d}`, h.born)))
	h.end()
}

// end ends the host with all of its flows.
func (h *host) end() {
	close(h.done)
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	_ = h.conn.Close()
	_ = h.health.Close()
	h.rec.line("host %s on %s has ended", h.id, h.machine.name)
}

// holds reports whether the host lives and holds a flow that is open.
func (h *host) holds(key flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	flow := h.flows[key]
	return !h.ended && flow != nil && flow.open && !flow.closed
}

func (h *host) send(key flowKey, p packet) []byte {
	p.src, p.dst = key.dst, key.src
	datagram := p.encode()
	h.write(datagram)
	return datagram
}

func (h *host) write(datagram []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(datagram, h.machine.outbound)
}

func (h *host) handle(datagram []byte) {
	p, valid := decode(datagram)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !valid {
		h.rec.breach("UNASKED", "host %s gets a packet that its sender didn't write so", h.id)
		return
	}
	key := flowKey{p.src, p.dst}
	flow := h.flows[key]
	switch {
	case p.has(flagSyn) && !p.has(flagAck):
		if flow == nil {
			if !h.rec.allowed(p.dst, h.service) {
				h.rec.breach("ROUTE", "host %s of %s takes flow %s, which no manifest allows", h.id, h.service, key)
			}
			first := rand.Uint32()
			flow = &hostFlow{first: first, next: first + 1, received: p.seq + 1}
			h.flows[key] = flow
		}
		if !flow.open {
			h.send(key, packet{flags: flagSyn | flagAck, seq: flow.first, ack: flow.received})
		}
	case flow == nil, !flow.open && p.ack != flow.first+1:
		datagram[offFlags] |= flagReturned
		h.write(datagram)
	default:
		flow.open = true
		h.handleOpen(key, flow, p)
	}
}

// handleOpen handles a packet of an open flow.
func (h *host) handleOpen(key flowKey, flow *hostFlow, p packet) {
	switch {
	case flow.closed && len(p.data) > 0:
		h.send(key, packet{flags: flagRst, seq: flow.next})
	case p.has(flagFin):
		if !flow.closed {
			flow.closed = true
			flow.received = p.seq + uint32(len(p.data)) + 1
		}
		h.send(key, packet{flags: flagFin | flagAck, seq: flow.next, ack: flow.received})
	case len(p.data) > 0 && p.seq == flow.received:
		flow.received += uint32(len(p.data))
		id := attemptID(p.data)
		h.rec.ran(id, h, key)
		content := fmt.Sprintf("whole body of %s by %s", id, h.id)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(content), content)
		flow.answer = h.send(key, packet{flags: flagAck, seq: flow.next, ack: flow.received, data: []byte(text)})
		flow.next += uint32(len(text))
		if h.draining {
			// The requester ends its half, too, once it has the FIN.
			h.send(key, packet{flags: flagFin | flagAck, seq: flow.next, ack: flow.received})
		}
	case len(p.data) > 0 && flow.answer != nil:
		h.write(flow.answer)
	}
}

// attemptID returns the X-Attempt-Id of a request.
func attemptID(data []byte) string {
	_, rest, _ := bytes.Cut(data, []byte("X-Attempt-Id: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(id)
}
