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
	// openTimeout is the time after which an unanswered opening fails.
	openTimeout = 1400 * time.Millisecond
	// requestDeadline is the deadline of one request.
	requestDeadline = 2 * time.Second
	// minResendDelay is the time until a packet is first resent. It doubles
	// with each resend up to maxResendDelay.
	minResendDelay = 200 * time.Millisecond
	maxResendDelay = 1600 * time.Millisecond
	// maxTries is the maximum number of tries per request.
	maxTries = 3
	// minPause and maxPause bound the random pause between two requests.
	minPause = 60 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// maxLongIdle bounds the time for which a flow is left idle.
	maxLongIdle = 40 * time.Second
	// meanFlowRequests is the mean number of requests on a reused flow.
	meanFlowRequests = 40
)

// openingDelays are the times, from the start of an opening, at which copies of
// the opening packet are sent.
var openingDelays = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// caller is a stand-in caller with its own address and several flows.
type caller struct {
	zone       string
	address    [4]byte
	listenPort uint16
	fabric     *fabric
	checker    *Checker
	tally      *tally
	conn       *net.UDPConn
	// routes returns the routes of the current document.
	routes func() []gooseberrymast.Route
	// machineAt returns the name of the machine with an address.
	machineAt func(address [4]byte) string

	mu       sync.Mutex
	flows    map[uint16]*callerFlow
	lastPort uint16
}

// tally counts requests and the outcomes of tries.
type tally struct {
	requests, served, refused, cut, timeouts, idleResets atomic.Int64
}

// receivedPacket is a packet of a flow with the machine that sent it.
type receivedPacket struct {
	header  gooseberrymast.PacketHeader
	payload string
	sender  string
}

type callerFlow struct {
	key     gooseberrymast.FlowKey
	packets chan receivedPacket
	// initialSequence is drawn, so that a server can tell a flow from an earlier one of the
	// same port.
	initialSequence  uint32
	nextSequence     uint32
	expectedSequence uint32
}

// The reasons for which a try fails.
var (
	// errRefused is also the result of an opening without an answer.
	errRefused  = errors.New("the flow was not opened")
	errReset    = errors.New("the flow was reset")
	errNoAnswer = errors.New("no answer within the deadline")
	errClosed   = errors.New("the server closed the flow")
)

// listen opens the caller's socket and starts to receive packets.
func (c *caller) listen() error {
	at := gooseberrymast.Endpoint{IP: c.address, Port: c.listenPort}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at.AddrPort()))
	if err != nil {
		return fmt.Errorf("caller %s: %w", at, err)
	}
	c.conn, c.flows = conn, map[uint16]*callerFlow{}
	go receive(c.conn, c.handlePacket)
	return nil
}

// handlePacket passes a packet to its flow.
func (c *caller) handlePacket(header gooseberrymast.PacketHeader, packet []byte, sender gooseberrymast.Endpoint) {
	c.mu.Lock()
	flow := c.flows[header.Destination.Port]
	c.mu.Unlock()
	if flow == nil || header.FromServer() != flow.key {
		return
	}
	select {
	case flow.packets <- receivedPacket{header, string(platform.Codec{}.Payload(packet)), c.machineAt(sender.IP)}:
	default:
		// The channel is full: the packet is dropped, as from a full socket buffer.
	}
}

// run sends requests until the context ends. Every third flow number opens a new
// flow per request; the others send many requests on one flow. One of them leaves its
// flow idle for long after some requests.
func (c *caller) run(ctx context.Context, random *rand.Rand, number int) {
	keepsFlow := number%3 != 0
	for session := 0; ctx.Err() == nil; session++ {
		routes := c.routes()
		if len(routes) == 0 {
			randomPause(ctx, random)
			continue
		}
		route := routes[random.IntN(len(routes))]
		requests := 1
		if keepsFlow {
			requests = 1 + random.IntN(2*meanFlowRequests)
		}
		c.runSession(ctx, random, number, route, fmt.Sprintf("%s-%d-%d", gooseberrymast.Endpoint{IP: c.address}.AddrPort().Addr(), number, session), requests)
		randomPause(ctx, random)
	}
}

// runSession sends requests to a route on one flow and replaces the flow after
// each failed try.
func (c *caller) runSession(ctx context.Context, random *rand.Rand, flowNumber int, route gooseberrymast.Route, name string, requests int) {
	var flow *callerFlow
	defer func() { c.endFlow(flow) }()
	for number := range requests {
		// Callers learn from the operators that a route is removed and stop calling
		// it.
		routed := slices.ContainsFunc(c.routes(), func(r gooseberrymast.Route) bool { return r.Address == route.Address })
		if ctx.Err() != nil || !routed {
			return
		}
		c.tally.requests.Add(1)
		request := requestName(fmt.Sprintf("%s-%d", name, number), !route.Idempotent)
		for range maxTries {
			opens := flow == nil
			err := error(nil)
			if opens {
				flow, err = c.open(ctx, random, route.Address)
			}
			if err == nil {
				err = c.sendRequest(ctx, flow, request)
			}
			if err == nil {
				c.tally.served.Add(1)
				break
			}
			c.countFailure(err)
			c.endFlow(flow)
			flow = nil
			if !route.Idempotent && !errors.Is(err, errRefused) {
				break
			}
		}
		const idleFlowNumber, idleShare = 2, 4
		if flowNumber == idleFlowNumber && random.IntN(idleShare) == 0 {
			sleep(ctx, time.Duration(random.Int64N(int64(maxLongIdle))))
		}
		randomPause(ctx, random)
	}
}

func (c *caller) countFailure(err error) {
	switch {
	case errors.Is(err, errRefused):
		c.tally.refused.Add(1)
	case errors.Is(err, errReset), errors.Is(err, errClosed):
		c.tally.cut.Add(1)
	default:
		c.tally.timeouts.Add(1)
	}
}

// open opens a flow from a random unused port.
func (c *caller) open(ctx context.Context, random *rand.Rand, address gooseberrymast.Endpoint) (*callerFlow, error) {
	c.mu.Lock()
	for {
		const firstPort = 1024
		c.lastPort = firstPort + uint16(random.IntN(1<<16-firstPort))
		if c.flows[c.lastPort] == nil {
			break
		}
	}
	initial := random.Uint32()
	flow := &callerFlow{
		key:     gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: c.address, Port: c.lastPort}, Service: address},
		packets: make(chan receivedPacket, 64), initialSequence: initial, nextSequence: initial + 1,
	}
	c.flows[c.lastPort] = flow
	c.mu.Unlock()
	began := time.Now()
	for copies := 0; ; {
		due := openTimeout
		if copies < len(openingDelays) {
			due = openingDelays[copies]
		}
		select {
		case <-ctx.Done():
			return flow, errRefused
		case got := <-flow.packets:
			switch {
			case got.header.Resets:
				return flow, errRefused
			case got.header.Acknowledges:
				flow.expectedSequence = got.header.Sequence + 1
				c.send(flow, gooseberrymast.PacketHeader{Acknowledges: true, Sequence: flow.nextSequence}, nil)
				return flow, nil
			}
		case <-time.After(time.Until(began.Add(due))):
			if copies == len(openingDelays) {
				return flow, errRefused
			}
			c.send(flow, gooseberrymast.PacketHeader{Opens: true, Sequence: flow.initialSequence, Copy: copies}, nil)
			copies++
		}
	}
}

// sendRequest sends a request and waits for its answer.
func (c *caller) sendRequest(ctx context.Context, flow *callerFlow, request string) error {
	payload := platform.FormatRequest(http.MethodGet, "/"+request, request)
	began, resend := time.Now(), minResendDelay
	from := flow.nextSequence
	flow.nextSequence += uint32(len(payload))
	header := gooseberrymast.PacketHeader{Acknowledges: true, Sequence: from}
	c.send(flow, header, payload)
	again := time.After(resend)
	for {
		select {
		case <-ctx.Done():
			return errNoAnswer
		case <-time.After(time.Until(began.Add(requestDeadline))):
			return errNoAnswer
		case <-again:
			resend = min(2*resend, maxResendDelay)
			again = time.After(resend)
			c.send(flow, header, payload)
		case got := <-flow.packets:
			switch {
			case got.header.Resets:
				c.checker.CheckReset(flow.key, got.sender, time.Now())
				return errReset
			case got.payload != "" && got.header.Sequence == flow.expectedSequence:
				flow.expectedSequence += uint32(len(got.payload))
				_, body, _ := strings.Cut(got.payload, "\r\n\r\n")
				c.checker.CheckAnswer(flow.key, request, body, time.Now())
				return nil
			case got.header.Finishes:
				return errClosed
			}
		}
	}
}

// endFlow closes a flow and forgets it.
func (c *caller) endFlow(flow *callerFlow) {
	if flow == nil {
		return
	}
	c.checker.RecordFlowEnd(flow.key)
	c.send(flow, gooseberrymast.PacketHeader{Acknowledges: true, Finishes: true, Sequence: flow.nextSequence}, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, flow.key.Caller.Port)
}

// send sends a packet to the balancer that the fabric chooses.
func (c *caller) send(flow *callerFlow, header gooseberrymast.PacketHeader, payload []byte) {
	header.Source, header.Destination = flow.key.Caller, flow.key.Service
	if !header.Opens {
		header.Acknowledgement = flow.expectedSequence
	}
	to, name, ok := c.fabric.choose(c.zone, flow.key)
	if !ok {
		return
	}
	c.checker.RecordSent(flow.key, name, header.Opens, time.Now())
	// Lost packets are resent, so a failed write is ignored.
	_, _ = c.conn.WriteToUDPAddrPort(platform.Codec{}.AppendPacket(nil, header, payload), to.AddrPort())
}

func randomPause(ctx context.Context, random *rand.Rand) {
	select {
	case <-ctx.Done():
	case <-time.After(minPause + time.Duration(random.Int64N(int64(maxPause-minPause)))):
	}
}

// oncePrefix begins the name of a request that may run at most once.
const oncePrefix = "once-"

func requestName(name string, once bool) string {
	if once {
		return oncePrefix + name
	}
	return name
}

// parseRequestName returns the name of a request from its HTTP text, and whether
// it may run at most once.
func parseRequestName(text string) (name string, once bool) {
	_, rest, _ := strings.Cut(text, " /")
	name, _, _ = strings.Cut(rest, " ")
	return name, strings.HasPrefix(name, oncePrefix)
}
