package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// host is a stand-in of one application host.
type host struct {
	id, service, zone      string
	app, outbound, control netip.AddrPort
	slots                  int
	work                   time.Duration
	interval               time.Duration
	record                 *record

	born     int64
	sequence uint64
	conn     *net.UDPConn
	server   *http.Server
	stopped  chan struct{}

	mu       sync.Mutex
	draining bool
	dead     bool
	flows    map[string]*hostFlow
	running  chan struct{}
	// resets holds the flows to which the host itself has sent an RST.
	resets map[string]bool
	ran    map[string]int
	// arrived holds when packets of each flow reached the host.
	arrived map[string][]time.Time
	// pinged is when the last ping was acknowledged.
	pinged time.Time
}

type hostFlow struct {
	stream
	caller, service netip.AddrPort
	open            bool
	first           uint32
}

func flowName(caller, service netip.AddrPort) string {
	return caller.String() + ">" + service.String()
}

func (h *host) start() error {
	h.born, h.sequence = time.Now().UnixMilli(), 0
	h.flows, h.resets, h.ran = map[string]*hostFlow{}, map[string]bool{}, map[string]int{}
	h.arrived = map[string][]time.Time{}
	h.running, h.stopped, h.dead = make(chan struct{}, h.slots), make(chan struct{}), false
	var err error
	if h.conn, err = listenUDP(h.app); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", h.app.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", h.id)
		h.mu.Lock()
		draining := h.draining
		h.mu.Unlock()
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	h.server = &http.Server{Handler: mux}
	go func() { _ = h.server.Serve(listener) }()
	go h.receive()
	go h.announceEvery()
	go h.retransmit()
	h.record.add("host %s born %d runs %s at %s", h.id, h.born, h.service, h.app)
	return nil
}

// crash ends the host without a word.
func (h *host) crash() {
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	close(h.stopped)
	_ = h.conn.Close()
	_ = h.server.Close()
	h.record.add("host %s born %d has ended", h.id, h.born)
}

func (h *host) announceEvery() {
	client := &http.Client{Timeout: time.Second}
	for {
		h.announce(client)
		select {
		case <-h.stopped:
			return
		case <-time.After(h.interval):
		}
	}
}

func (h *host) announce(client *http.Client) {
	h.mu.Lock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	sent := ping{
		Service: h.service, Address: h.app.String(), Zone: h.zone, State: state, Slots: h.slots, Sequence: h.sequence, Born: h.born,
	}
	h.mu.Unlock()
	status, err := sendPing(client, h.control, h.id, format("ping.json", sent))
	if status == http.StatusOK {
		h.mu.Lock()
		h.pinged = time.Now()
		h.mu.Unlock()
	}
	h.record.add("ping %s sequence %d state %s -> %d %v", h.id, sent.Sequence, state, status, err)
}

// sendPing sends a ping to the control address of a machine.
func sendPing(client *http.Client, control netip.AddrPort, id string, body []byte) (status int, err error) {
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/instances/%s", control, id), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

func (h *host) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok || p.sum != p.checksum() {
			h.record.add("host %s got a packet that its sender didn't write so", h.id)
			continue
		}
		h.mu.Lock()
		h.handle(p)
		h.mu.Unlock()
	}
}

func (h *host) handle(p packet) {
	name := flowName(p.src, p.dst)
	h.arrived[name] = append(h.arrived[name], time.Now())
	f := h.flows[name]
	switch {
	case p.flags&flagSyn != 0 && p.flags&flagAck == 0:
		if f == nil {
			f = &hostFlow{caller: p.src, service: p.dst, first: rand.Uint32()}
			f.next, f.expected = f.first+1, p.seq+1
			f.send = func(flags byte, seq, ack uint32, data []byte) { h.send(f, flags, seq, ack, data) }
			h.flows[name] = f
		}
		if !f.open {
			h.send(f, flagSyn|flagAck, f.first, f.expected, nil)
		}
		return
	case f == nil || !f.open && p.ack != f.next:
		p.flags |= flagBounced
		_, _ = h.conn.WriteToUDPAddrPort(p.encode(), h.outbound)
		return
	case p.flags&(flagRst|flagFin) != 0:
		if p.flags&flagFin != 0 {
			h.send(f, flagFin|flagAck, f.next, p.seq+1, nil)
		}
		delete(h.flows, name)
		return
	}
	f.open = true
	f.handle(p)
	for head, _, ok := f.message(); ok; head, _, ok = f.message() {
		go h.run(f, headerOf(head, "X-Attempt-Id"))
	}
}

func (h *host) run(f *hostFlow, id string) {
	h.running <- struct{}{}
	h.mu.Lock()
	h.ran[id]++
	h.mu.Unlock()
	h.record.add("run %s at %s", id, h.id)
	time.Sleep(h.work)
	<-h.running
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead || h.flows[flowName(f.caller, f.service)] != f {
		return
	}
	f.write(httpMessage("HTTP/1.1 200 OK", bytes.Repeat([]byte{'x'}, 600), "X-Response-Seal: "+id))
}

func (h *host) retransmit() {
	for {
		select {
		case <-h.stopped:
			return
		case now := <-time.After(20 * time.Millisecond):
			h.mu.Lock()
			for name, f := range h.flows {
				if !f.retransmit(now) {
					delete(h.flows, name)
				}
			}
			h.mu.Unlock()
		}
	}
}

func (h *host) send(f *hostFlow, flags byte, seq, ack uint32, data []byte) {
	if flags&flagRst != 0 {
		h.resets[flowName(f.caller, f.service)] = true
	}
	p := packet{flags: flags, seq: seq, ack: ack, src: f.service, dst: f.caller, data: data}
	_, _ = h.conn.WriteToUDPAddrPort(p.seal(), h.outbound)
}

// holds reports whether the host lives and holds an open flow that it has not reset.
func (h *host) holds(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[name]
	return !h.dead && f != nil && f.open && !h.resets[name]
}

// lastPing returns when the last ping was acknowledged.
func (h *host) lastPing() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pinged
}

// arrivals returns when packets of a flow reached the host after a time.
func (h *host) arrivals(name string, after time.Time) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []time.Time
	for _, at := range h.arrived[name] {
		if at.After(after) {
			found = append(found, at)
		}
	}
	return found
}
