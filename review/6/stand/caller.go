//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

const (
	// openTimeout is the time after which a caller gives up the opening of a flow.
	openTimeout = 1400 * time.Millisecond
	// deadline is the time that a caller waits for an answer.
	deadline = 1500 * time.Millisecond
	// longThink is the pause between two requests on a long flow.
	longThink = 250 * time.Millisecond
)

// resetWindow is the distance from its last acknowledgement in which a caller takes a reset.
const resetWindow = 76_800

func distance(a, b uint32) uint32 {
	return min(a-b, b-a)
}

// received is a packet that a caller got, and the address that sent it.
type received struct {
	header gooseberrymast.PacketHeader
	packet []byte
	from   netip.Addr
}

// caller is one requester with an address of its own.
type caller struct {
	world *world
	zone  string
	ip    [4]byte
	conn  *net.UDPConn
	mu    sync.Mutex
	port  uint16
	flows map[gooseberrymast.FlowKey]chan received
}

func (w *world) newCaller(number byte, zone string) (*caller, error) {
	at := w.at(netCallers, number, packetsPort)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at.AddrPort()))
	if err != nil {
		return nil, err
	}
	c := &caller{world: w, zone: zone, ip: at.IP, conn: conn, port: 1024, flows: map[gooseberrymast.FlowKey]chan received{}}
	go c.receive()
	return c, nil
}

func (c *caller) receive() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet := append([]byte(nil), buffer[:n]...)
		header, err := codec.Decode(packet)
		if err != nil {
			continue
		}
		key := header.FromServer()
		if isSystemReset(header, packet) {
			c.world.judgeReset(key, from.Addr())
		} else if !genuine(packet) {
			c.world.log("a caller gets a packet that nobody wrote: %x", packet[:min(n, 31)])
			continue
		}
		c.mu.Lock()
		inbox := c.flows[key]
		c.mu.Unlock()
		select {
		case inbox <- received{header, packet, from.Addr()}:
		default:
		}
	}
}

// send sends a packet through the balancer that the routers choose.
func (c *caller) send(key gooseberrymast.FlowKey, header gooseberrymast.PacketHeader, payload []byte) {
	via := c.world.route(c.zone, key)
	if via == nil {
		return
	}
	c.world.mu.Lock()
	c.world.lastVia[key] = via
	c.world.mu.Unlock()
	header.Source, header.Destination = key.Caller, key.Service
	_, _ = c.conn.WriteToUDPAddrPort(newPacket(header, payload), via.settings.Packets.AddrPort())
}

// use opens a flow, sends requests on it for a time and closes it.
func (c *caller) use(service gooseberrymast.Endpoint, length, think time.Duration) {
	c.mu.Lock()
	c.port++
	key := gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: c.ip, Port: c.port}, Service: service}
	inbox := make(chan received, 64)
	c.flows[key] = inbox
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, key)
		c.mu.Unlock()
	}()
	sequence := rand.Uint32()
	acknowledgement, open := c.open(key, inbox, sequence)
	if !open {
		return
	}
	sequence++
	until := time.Now().Add(length)
	for n := 0; time.Now().Before(until); n++ {
		id := fmt.Sprintf("%s/%d", key.Caller, n)
		request := platform.FormatRequest("GET", "/feed", id)
		next, ok := c.exchange(key, inbox, sequence, acknowledgement, id, request)
		if !ok {
			return
		}
		sequence, acknowledgement = sequence+uint32(len(request)), next
		time.Sleep(think)
	}
	c.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Finishes: true, Sequence: sequence, Acknowledgement: acknowledgement}, nil)
}

// idle opens a flow, sends a request on it, leaves it idle until a time and sends another.
func (c *caller) idle(service gooseberrymast.Endpoint, until time.Time) {
	c.mu.Lock()
	c.port++
	key := gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: c.ip, Port: c.port}, Service: service}
	inbox := make(chan received, 64)
	c.flows[key] = inbox
	c.mu.Unlock()
	sequence := rand.Uint32()
	acknowledgement, open := c.open(key, inbox, sequence)
	if !open {
		return
	}
	sequence++
	for n := range 2 {
		id := fmt.Sprintf("%s/%d", key.Caller, n)
		request := platform.FormatRequest("GET", "/feed", id)
		next, ok := c.exchange(key, inbox, sequence, acknowledgement, id, request)
		if !ok {
			return
		}
		sequence, acknowledgement = sequence+uint32(len(request)), next
		time.Sleep(time.Until(until))
	}
}

// open opens a flow: a SYN, and copies after 200 and 600 ms.
func (c *caller) open(key gooseberrymast.FlowKey, inbox chan received, sequence uint32) (acknowledgement uint32, ok bool) {
	began := time.Now()
	for copyNumber, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, openTimeout} {
		for wait := time.Until(began.Add(at)); wait > 0; wait = time.Until(began.Add(at)) {
			select {
			case got := <-inbox:
				if got.header.Resets {
					return 0, false
				}
				if got.header.Accepts {
					acknowledgement = got.header.Sequence + 1
					c.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: sequence + 1, Acknowledgement: acknowledgement}, nil)
					return acknowledgement, true
				}
			case <-time.After(wait):
			}
		}
		if at < openTimeout {
			c.send(key, gooseberrymast.PacketHeader{Opens: true, Sequence: sequence, Copy: copyNumber}, nil)
		}
	}
	return 0, false
}

// exchange sends a request and waits for its answer.
func (c *caller) exchange(key gooseberrymast.FlowKey, inbox chan received, sequence, acknowledgement uint32, id string, request []byte) (next uint32, ok bool) {
	c.world.mu.Lock()
	c.world.sent++
	c.world.mu.Unlock()
	c.world.log("send    %s", id)
	end := time.Now().Add(deadline)
	retransmit := 200 * time.Millisecond
	for time.Now().Before(end) {
		c.send(key, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: sequence, Acknowledgement: acknowledgement}, request)
		timer := time.After(min(retransmit, time.Until(end)))
		retransmit = min(2*retransmit, 1600*time.Millisecond)
	waiting:
		for {
			select {
			case got := <-inbox:
				switch {
				case got.header.Resets && distance(got.header.Sequence, acknowledgement) > resetWindow:
					c.world.log("request %s: a reset beyond the window is ignored", id)
				case got.header.Resets:
					c.world.log("request %s ends with a reset", id)
					return 0, false
				case got.header.Payload > 0 && got.header.Sequence == acknowledgement:
					if answerOf(codec.Payload(got.packet)) != id {
						c.world.log("MIXED   %s gets another answer", id)
					}
					c.world.mu.Lock()
					c.world.answered++
					c.world.mu.Unlock()
					c.world.log("answer  %s", id)
					return got.header.Sequence + uint32(got.header.Payload), true
				}
			case <-timer:
				break waiting
			}
		}
	}
	c.world.log("request %s gets no answer in time", id)
	return 0, false
}
