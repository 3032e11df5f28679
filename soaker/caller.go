package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

const (
	// openTimeout ends an opening without an answer.
	openTimeout = 1400 * time.Millisecond
	// requestDeadline bounds one request.
	requestDeadline = 2 * time.Second
	// firstResend is the time after which a packet is sent again; it doubles up
	// to lastResend.
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
	// maxTries bounds the tries of one request.
	maxTries = 3
	// shortPause and longPause bound the pause between two requests.
	shortPause = 60 * time.Millisecond
	longPause  = 500 * time.Millisecond
	// flowRequests is the mean number of requests on a flow that is kept.
	flowRequests = 40
)

// copyTimes are when copies of an opening packet are sent, after the first.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// caller is a stand-in caller with an address of its own, which keeps several
// flows.
type caller struct {
	zone    string
	address [4]byte
	packets uint16
	fabric  *fabric
	checker *Checker
	tally   *tally
	conn    *net.UDPConn
	// routes gives the addresses that may be called at the moment.
	routes func() []gooseberrymast.Route
	// nameOf gives the machine of an address.
	nameOf func(address [4]byte) string

	mu    sync.Mutex
	flows map[uint16]*callerFlow
	port  uint16
}

// tally counts what callers asked and got.
type tally struct {
	asked, served, refused, cut, timeouts atomic.Int64
}

// arrival is a packet for a flow with the machine that sent it.
type arrival struct {
	header  gooseberrymast.PacketHeader
	payload string
	sender  string
}

type callerFlow struct {
	key      gooseberrymast.FlowKey
	arrivals chan arrival
	next     uint32
	heard    uint32
}

// The ends of a try.
var (
	errRefused = errors.New("the flow was not opened")
	errCut     = errors.New("the flow was reset")
	errSilent  = errors.New("no answer within the deadline")
	errClosed  = errors.New("the server closed the flow")
)

// listen begins to receive packets.
func (c *caller) listen() error {
	at := gooseberrymast.Endpoint{IP: c.address, Port: c.packets}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at.AddrPort()))
	if err != nil {
		return fmt.Errorf("caller %s: %w", at, err)
	}
	c.conn, c.flows = conn, map[uint16]*callerFlow{}
	go receive(c.conn, c.take)
	return nil
}

// take hands a packet to its flow.
func (c *caller) take(header gooseberrymast.PacketHeader, packet []byte, sender gooseberrymast.Endpoint) {
	c.mu.Lock()
	flow := c.flows[header.Destination.Port]
	c.mu.Unlock()
	if flow == nil || header.FromServer() != flow.key {
		return
	}
	select {
	case flow.arrivals <- arrival{header, string(platform.Codec{}.Payload(packet)), c.nameOf(sender.IP)}:
	default:
		// A caller that doesn't keep up loses packets as any would.
	}
}

// run sends requests until the context ends: each on a flow of its own, or many
// on one that is kept.
func (c *caller) run(ctx context.Context, random *rand.Rand, number int) {
	keeps := number%3 != 0
	for serial := 0; ctx.Err() == nil; serial++ {
		routes := c.routes()
		if len(routes) == 0 {
			pause(ctx, random)
			continue
		}
		route := routes[random.IntN(len(routes))]
		requests := 1
		if keeps {
			requests = 1 + random.IntN(2*flowRequests)
		}
		c.session(ctx, random, route, fmt.Sprintf("%s-%d-%d", gooseberrymast.Endpoint{IP: c.address}.AddrPort().Addr(), number, serial), requests)
		pause(ctx, random)
	}
}

// session sends requests to a route on one flow, and on further ones as tries
// of a request need them.
func (c *caller) session(ctx context.Context, random *rand.Rand, route gooseberrymast.Route, name string, requests int) {
	var flow *callerFlow
	defer func() { c.drop(flow) }()
	for number := range requests {
		// A caller learns from operators that a route is dropped.
		routed := slices.ContainsFunc(c.routes(), func(each gooseberrymast.Route) bool { return each.Address == route.Address })
		if ctx.Err() != nil || !routed {
			return
		}
		c.tally.asked.Add(1)
		request := requestName(fmt.Sprintf("%s-%d", name, number), !route.Idempotent)
		for range maxTries {
			fresh := flow == nil
			err := error(nil)
			if fresh {
				flow, err = c.open(ctx, random, route.Address)
			}
			if err == nil {
				err = c.ask(ctx, flow, request)
			}
			if err == nil {
				c.tally.served.Add(1)
				break
			}
			c.count(err)
			c.drop(flow)
			flow = nil
			if !route.Idempotent && !errors.Is(err, errRefused) {
				break
			}
		}
		pause(ctx, random)
	}
}

func (c *caller) count(err error) {
	switch {
	case errors.Is(err, errRefused):
		c.tally.refused.Add(1)
	case errors.Is(err, errCut), errors.Is(err, errClosed):
		c.tally.cut.Add(1)
	default:
		c.tally.timeouts.Add(1)
	}
}

// open opens a flow from a new port.
func (c *caller) open(ctx context.Context, random *rand.Rand, address gooseberrymast.Endpoint) (*callerFlow, error) {
	c.mu.Lock()
	for {
		const firstPort = 1024
		c.port = firstPort + uint16(random.IntN(1<<16-firstPort))
		if c.flows[c.port] == nil {
			break
		}
	}
	flow := &callerFlow{
		key:      gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: c.address, Port: c.port}, Service: address},
		arrivals: make(chan arrival, 64), next: firstSequence + 1,
	}
	c.flows[c.port] = flow
	c.mu.Unlock()
	began := time.Now()
	for copies := 0; ; {
		due := openTimeout
		if copies < len(copyTimes) {
			due = copyTimes[copies]
		}
		select {
		case <-ctx.Done():
			return flow, errRefused
		case got := <-flow.arrivals:
			switch {
			case got.header.Resets:
				return flow, errRefused
			case got.header.Acknowledges:
				flow.heard = got.header.Sequence + 1
				c.send(flow, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: flow.next}, nil)
				return flow, nil
			}
		case <-time.After(time.Until(began.Add(due))):
			if copies == len(copyTimes) {
				return flow, errRefused
			}
			c.send(flow, gooseberrymast.PacketHeader{Opens: true, Sequence: firstSequence, Copy: copies}, nil)
			copies++
		}
	}
}

// ask sends a request and waits for its answer.
func (c *caller) ask(ctx context.Context, flow *callerFlow, request string) error {
	payload := platform.FormatRequest(http.MethodGet, "/"+request, request)
	began, resend := time.Now(), firstResend
	from := flow.next
	flow.next += uint32(len(payload))
	header := gooseberrymast.PacketHeader{Acknowledges: true, Sequence: from}
	c.send(flow, header, payload)
	again := time.After(resend)
	for {
		select {
		case <-ctx.Done():
			return errSilent
		case <-time.After(time.Until(began.Add(requestDeadline))):
			return errSilent
		case <-again:
			resend = min(2*resend, lastResend)
			again = time.After(resend)
			c.send(flow, header, payload)
		case got := <-flow.arrivals:
			switch {
			case got.header.Resets:
				c.checker.Reset(flow.key, got.sender, time.Now())
				return errCut
			case got.payload != "" && got.header.Sequence == flow.heard:
				flow.heard += uint32(len(got.payload))
				_, body, _ := strings.Cut(got.payload, "\r\n\r\n")
				c.checker.Answered(flow.key, request, body, time.Now())
				return nil
			case got.header.Finishes:
				return errClosed
			}
		}
	}
}

// drop ends a flow.
func (c *caller) drop(flow *callerFlow) {
	if flow == nil {
		return
	}
	c.checker.Ended(flow.key)
	c.send(flow, gooseberrymast.PacketHeader{Acknowledges: true, Finishes: true, Sequence: flow.next}, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, flow.key.Caller.Port)
}

// send sends a packet by the fabric.
func (c *caller) send(flow *callerFlow, header gooseberrymast.PacketHeader, payload []byte) {
	header.Source, header.Destination = flow.key.Caller, flow.key.Service
	if !header.Opens {
		header.Acknowledgement = flow.heard
	}
	to, name, ok := c.fabric.choose(c.zone, flow.key)
	if !ok {
		return
	}
	c.checker.Sent(flow.key, name, header.Opens, time.Now())
	// What doesn't arrive is sent again.
	_, _ = c.conn.WriteToUDPAddrPort(platform.Codec{}.AppendPacket(nil, header, payload), to.AddrPort())
}

func pause(ctx context.Context, random *rand.Rand) {
	select {
	case <-ctx.Done():
	case <-time.After(shortPause + time.Duration(random.Int64N(int64(longPause-shortPause)))):
	}
}

// onceMark begins the name of a request that may not run twice.
const onceMark = "once-"

func requestName(name string, once bool) string {
	if once {
		return onceMark + name
	}
	return name
}

// readRequest gives the name of a request from its bytes.
func readRequest(text string) (name string, once bool) {
	_, rest, _ := strings.Cut(text, " /")
	name, _, _ = strings.Cut(rest, " ")
	return name, strings.HasPrefix(name, onceMark)
}
