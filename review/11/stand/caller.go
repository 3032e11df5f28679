package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router is a stand-in of the platform's routers: it chooses a balancer by a hash over
// those in rotation.
type router struct {
	fronts  []*machine
	record  *record
	mu      sync.Mutex
	ready   map[*machine]bool
	misses  map[*machine]int
	stopped chan struct{}
}

func newRouter(fronts []*machine, record *record) *router {
	r := &router{fronts: fronts, record: record, ready: map[*machine]bool{}, misses: map[*machine]int{}, stopped: make(chan struct{})}
	for _, front := range fronts {
		go r.check(front)
	}
	return r
}

func (r *router) check(front *machine) {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-r.stopped:
			return
		case <-time.After(500 * time.Millisecond):
		}
		response, err := client.Get("http://" + front.at(front.ports.readiness).String() + "/readyz")
		if err == nil {
			_ = response.Body.Close()
		}
		ok := err == nil && response.StatusCode == http.StatusOK
		r.mu.Lock()
		if ok {
			r.misses[front] = 0
		} else {
			r.misses[front]++
		}
		ready := ok || r.ready[front] && r.misses[front] < 2
		if ready != r.ready[front] {
			r.record.add("balancer %s in rotation: %t", front.name, ready)
		}
		r.ready[front] = ready
		r.mu.Unlock()
	}
}

func (r *router) inRotation() []*machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []*machine
	for _, front := range r.fronts {
		if r.ready[front] {
			ready = append(ready, front)
		}
	}
	return ready
}

func (r *router) choose(flow string) (netip.AddrPort, bool) {
	ready := r.inRotation()
	if len(ready) == 0 {
		return netip.AddrPort{}, false
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(flow))
	front := ready[sum.Sum32()%uint32(len(ready))]
	return front.at(front.ports.packets), true
}

// caller is a stand-in of a requester. All of its flows share one socket.
type caller struct {
	address  netip.Addr
	conn     *net.UDPConn
	router   *router
	record   *record
	mu       sync.Mutex
	flows    map[string]*callerFlow
	lastPort uint16
	lastID   int
}

type callerFlow struct {
	stream
	owner         *caller
	name          string
	local, remote netip.AddrPort
	first         uint32
	open          bool
	openedAt      time.Time
	closed        bool
	// reset is set once an RST has arrived, and bySystem if it was a reset of the system.
	reset, bySystem bool
	resetAt         time.Time
	changed         chan struct{}
	answers         []answer
	// foreign counts packets that their sender didn't write so.
	foreign int
}

type answer struct {
	status string
	seal   string
	bytes  int
}

func newCaller(address netip.Addr, packetPort uint16, router *router, record *record) (*caller, error) {
	conn, err := listenUDP(netip.AddrPortFrom(address, packetPort))
	if err != nil {
		return nil, err
	}
	c := &caller{address: address, conn: conn, router: router, record: record, flows: map[string]*callerFlow{}, lastPort: 40000}
	go c.receive()
	go c.retransmit()
	return c, nil
}

func (c *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok {
			c.record.add("caller %s got bytes that are no packet", c.address)
			continue
		}
		c.mu.Lock()
		if f := c.flows[flowName(p.dst, p.src)]; f != nil {
			f.handlePacket(p)
		}
		c.mu.Unlock()
	}
}

func (f *callerFlow) handlePacket(p packet) {
	systemReset := p.flags == flagRst && p.sum == 0 && len(p.data) == 0
	if !systemReset && p.sum != p.checksum() {
		f.foreign++
		f.owner.record.add("caller got a packet that its sender didn't write so: %s", f.name)
		return
	}
	switch {
	case f.closed || f.reset:
		return
	case p.flags&flagRst != 0:
		if distance := int32(p.seq - f.expected); f.open && (distance > 76800 || distance < -76800) {
			return
		}
		f.reset, f.bySystem, f.resetAt = true, systemReset, time.Now()
		f.owner.record.add("reset of %s, open %t, by the system %t", f.name, f.open, systemReset)
	case p.flags&flagSyn != 0:
		if !f.open {
			f.open, f.openedAt, f.expected = true, time.Now(), p.seq+1
		}
		f.send(flagAck, f.next, f.expected, nil)
	case f.open:
		f.stream.handle(p)
		for head, body, ok := f.message(); ok; head, body, ok = f.message() {
			f.answers = append(f.answers, answer{status: head[9:12], seal: headerOf(head, "X-Response-Seal"), bytes: len(body)})
		}
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("timeout")
)

// dial opens a flow.
func (c *caller) dial(remote netip.AddrPort) (*callerFlow, error) {
	c.mu.Lock()
	c.lastPort++
	f := &callerFlow{owner: c, local: netip.AddrPortFrom(c.address, c.lastPort), remote: remote, first: rand.Uint32(), changed: make(chan struct{}, 1)}
	f.name = flowName(f.local, remote)
	f.next = f.first + 1
	f.send = func(flags byte, seq, ack uint32, data []byte) {
		p := packet{flags: flags, seq: seq, ack: ack, src: f.local, dst: f.remote, data: data}
		if to, ok := c.router.choose(f.name); ok {
			_, _ = c.conn.WriteToUDPAddrPort(p.seal(), to)
		}
	}
	c.flows[f.name] = f
	f.send(flagSyn, f.first, 0, nil)
	c.mu.Unlock()
	began := time.Now()
	copies := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for i := 0; ; {
		wait := copies[i] - time.Since(began)
		select {
		case <-f.changed:
			c.mu.Lock()
			open, reset := f.open, f.reset
			c.mu.Unlock()
			if reset {
				return f, errReset
			}
			if open {
				return f, nil
			}
		case <-time.After(max(wait, 0)):
			if i++; i == len(copies) {
				c.mu.Lock()
				f.closed = true
				c.mu.Unlock()
				return f, errTimeout
			}
			c.mu.Lock()
			f.send(flagSyn, f.first, uint32(i), nil)
			c.mu.Unlock()
		}
	}
}

// request sends a request and waits for its answer.
func (f *callerFlow) request(method string, budget time.Duration) (id string, err error) {
	c := f.owner
	c.mu.Lock()
	c.lastID++
	id = fmt.Sprintf("%s-%d", c.address, c.lastID)
	before := len(f.answers)
	f.write(httpMessage(method+" /work HTTP/1.1", nil, "X-Attempt-Id: "+id))
	c.mu.Unlock()
	c.record.add("sent %s on %s", id, f.name)
	deadline := time.After(budget)
	for {
		c.mu.Lock()
		reset := f.reset
		var got *answer
		if len(f.answers) > before {
			got = &f.answers[before]
		}
		c.mu.Unlock()
		switch {
		case got != nil:
			c.record.add("answered %s: %s seal %s", id, got.status, got.seal)
			if got.seal != id {
				return id, fmt.Errorf("%s got the answer to %s", id, got.seal)
			}
			return id, nil
		case reset:
			c.record.add("reset before the answer: %s on %s", id, f.name)
			return id, errReset
		}
		select {
		case <-f.changed:
		case <-deadline:
			c.record.add("no answer in time: %s on %s", id, f.name)
			c.mu.Lock()
			f.closed = true
			c.mu.Unlock()
			return id, errTimeout
		}
	}
}

func (f *callerFlow) state() (open, reset, bySystem bool) {
	f.owner.mu.Lock()
	defer f.owner.mu.Unlock()
	return f.open, f.reset, f.bySystem
}

func (f *callerFlow) end() {
	f.owner.mu.Lock()
	defer f.owner.mu.Unlock()
	if f.open && !f.reset {
		f.send(flagFin|flagAck, f.next, f.expected, nil)
	}
	f.closed = true
}

func (c *caller) retransmit() {
	for now := range time.Tick(20 * time.Millisecond) {
		c.mu.Lock()
		for _, f := range c.flows {
			if f.open && !f.closed && !f.reset {
				f.retransmit(now)
			}
		}
		c.mu.Unlock()
	}
}
