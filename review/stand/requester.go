package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// requester is a stand-in of one requester. Its flows have ports of their own; all
// packets for it arrive at its address and the port at which all machines take packets.
type requester struct {
	rec   *recorder
	fleet *fleet
	zone  string
	ip    netip.Addr
	conn  *net.UDPConn

	mu       sync.Mutex
	nextPort uint16
	flows    map[flowKey]*clientFlow
}

// clientFlow is a flow at its requester.
type clientFlow struct {
	key      flowKey
	opened   time.Time
	packets  chan packet
	next     uint32 // the requester's next sequence number
	received uint32 // the host's next sequence number
	lastUsed time.Time
}

func newRequester(f *fleet, zone string, number byte) (*requester, error) {
	at := f.addr(4, number, portDatagram)
	r := &requester{rec: f.rec, fleet: f, zone: zone, ip: at.Addr(), nextPort: 1025, flows: map[flowKey]*clientFlow{}}
	var err error
	if r.conn, err = listenUDP(at); err != nil {
		return nil, err
	}
	go receive(r.conn, r.handle)
	return r, nil
}

func (r *requester) handle(datagram []byte) {
	p, valid := decode(datagram)
	key := flowKey{src: p.dst, dst: p.src}
	if !valid && !(p.flags == flagRst && p.sum == 0 && len(p.data) == 0) {
		r.rec.breach("MIXED", "requester %s gets a packet that its sender didn't write so", key)
		return
	}
	r.mu.Lock()
	flow := r.flows[key]
	r.mu.Unlock()
	if flow != nil {
		select {
		case flow.packets <- p:
		default:
		}
	}
}

func (r *requester) send(p packet) {
	datagram := p.encode()
	hash := fnv.New32a()
	hash.Write(datagram[offDport:headBytes])
	front, err := r.fleet.route(r.zone, hash.Sum32())
	if err != nil {
		return
	}
	_, _ = r.conn.WriteToUDPAddrPort(datagram, front.datagram)
}

// open opens a flow: a SYN, and copies after 200 and 600 ms.
func (r *requester) open(to netip.AddrPort) *clientFlow {
	r.mu.Lock()
	r.nextPort++
	flow := &clientFlow{key: flowKey{netip.AddrPortFrom(r.ip, r.nextPort), to}, packets: make(chan packet, 64), next: rand.Uint32()}
	r.flows[flow.key] = flow
	r.mu.Unlock()
	syn := packet{flags: flagSyn, seq: flow.next, src: flow.key.src, dst: to}
	flow.next++
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		syn.ack = uint32(copies)
		r.send(syn)
		timeout := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-flow.packets:
				if p.has(flagRst) {
					r.close(flow)
					return nil
				}
				if p.has(flagSyn) && p.has(flagAck) {
					flow.received = p.seq + 1
					flow.opened, flow.lastUsed = time.Now(), time.Now()
					return flow
				}
			case <-timeout:
				waiting = false
			}
		}
	}
	r.close(flow)
	return nil
}

// outcome says how a request ended at its requester.
type outcome string

const (
	answered  outcome = "answered"
	reset     outcome = "reset"
	hostReset outcome = "reset by its host"
	timedOut  outcome = "no answer"
	ended     outcome = "the flow was closed"
)

// request sends a request on a flow and waits for its answer within the time budget.
func (r *requester) request(flow *clientFlow, id string, budget time.Duration) (outcome, packet) {
	text := fmt.Sprintf("GET /watch HTTP/1.1\r\nHost: pall\r\nX-Attempt-Id: %s\r\n\r\n", id)
	p := packet{flags: flagAck, seq: flow.next, ack: flow.received, src: flow.key.src, dst: flow.key.dst, data: []byte(text)}
	flow.next += uint32(len(text))
	deadline := time.After(budget)
	interval := 200 * time.Millisecond
	for {
		r.send(p)
		retransmission := time.After(interval)
		interval = min(2*interval, 1600*time.Millisecond)
		for waiting := true; waiting; {
			select {
			case got := <-flow.packets:
				switch {
				case got.has(flagRst) && got.sum == 0:
					return reset, got
				case got.has(flagRst):
					return hostReset, got
				case got.has(flagFin):
					return ended, got
				case len(got.data) > 0 && got.seq == flow.received:
					flow.received += uint32(len(got.data))
					flow.lastUsed = time.Now()
					r.send(packet{flags: flagAck, seq: flow.next, ack: flow.received, src: flow.key.src, dst: flow.key.dst})
					if !strings.Contains(string(got.data), "whole body of "+id+" ") {
						r.rec.breach("MIXED", "request %s on %s gets another answer: %q", id, flow.key, got.data)
					}
					return answered, got
				}
			case <-retransmission:
				waiting = false
			case <-deadline:
				return timedOut, packet{}
			}
		}
	}
}

// finish closes a flow.
func (r *requester) finish(flow *clientFlow) {
	r.send(packet{flags: flagFin | flagAck, seq: flow.next, ack: flow.received, src: flow.key.src, dst: flow.key.dst})
	select {
	case p := <-flow.packets:
		r.send(packet{flags: flagAck, seq: flow.next + 1, ack: p.seq + 1, src: flow.key.src, dst: flow.key.dst})
	case <-time.After(500 * time.Millisecond):
	}
	r.close(flow)
}

func (r *requester) close(flow *clientFlow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flows, flow.key)
}
