// Package caller is a client for services behind the load balancer. A Client is
// a connect.HTTPClient: it speaks HTTP/3, keeps its flow and moves to a new one
// when the agent asks for it or the flow is lost, sends requests that are not
// idempotent with a ticket, so that they can be sent again without running
// twice, and gives refusals as typed records. Plain HTTP/3 clients work too.
package caller

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
	"gooseberrymast/state/timer"
)

// The settings of a client's flow.
const (
	// FlowIdleTimeout is the time without a packet after which a flow is lost.
	FlowIdleTimeout = 20 * time.Second
	// KeepAlivePeriod keeps the flow through quiet times.
	KeepAlivePeriod = 8 * time.Second
	// DialTimeout bounds one attempt to open a flow.
	DialTimeout = 5 * time.Second
	// MaxSends is the number of times that one request is sent.
	MaxSends = 3
	// DoubtInterval is the least time between two flows that are given up for
	// their silence.
	DoubtInterval = 5 * time.Second
	// resendPause is the wait before a request is sent again; it doubles.
	resendPause = 50 * time.Millisecond
)

// ErrUnknown means that a request was sent and nothing tells whether it ran.
var ErrUnknown = errors.New("whether the request ran is unknown")

// ErrNotRun means that a request was never given to a server.
var ErrNotRun = errors.New("the request was not run")

// Client sends requests to one service. Its fields must not change after the
// first request; it must not be copied.
type Client struct {
	// Addresses are the service's addresses, of which each flow takes one.
	Addresses []netip.AddrPort
	// TLS is the TLS configuration; nil verifies the host of the request's URL
	// with the system's roots.
	TLS *tls.Config
	// QUIC overrides the flow's settings; nil takes this package's.
	QUIC *quic.Config
	// Conn sends and receives the packets; nil opens a UDP socket, which
	// Close closes.
	Conn net.PacketConn
	// OnFlow, unless nil, is called when a flow was opened.
	OnFlow func(flow *quic.Conn)

	// Timer is the timer service; nil means the system's.
	Timer gooseberrymast.Timer

	once      sync.Once
	initErr   error
	transport *quic.Transport
	owned     net.PacketConn

	mu      sync.Mutex
	next    int
	tickets []string
	// current opens or holds the present flow.
	current *dialing
	// flows are those that were opened and perhaps still live.
	flows []*flow
	// doubtedAt is when a flow was last given up for its silence.
	doubtedAt time.Time
}

// Do sends a request and gives its answer, which may be a refusal; RefusalOf
// tells. An error wraps ErrNotRun, ErrUnknown or the context's error. The
// request is sent again when the flow was lost, if that does no harm.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	c.once.Do(c.init)
	if c.initErr != nil {
		return nil, fmt.Errorf("Client.Do: %w: %w", ErrNotRun, c.initErr)
	}
	prepared, err := prepare(request)
	if err != nil {
		return nil, fmt.Errorf("Client.Do: %w: %w", ErrNotRun, err)
	}
	if prepared.needsTicket() {
		if err := c.attachTicket(prepared); err != nil {
			return nil, fmt.Errorf("Client.Do: ticket: %w: %w", ErrNotRun, err)
		}
	}
	return c.send(prepared)
}

// Close ends the flows and the requests on them.
func (c *Client) Close() error {
	c.once.Do(c.init)
	if c.transport == nil {
		return nil
	}
	c.mu.Lock()
	flows := c.flows
	c.flows = nil
	c.mu.Unlock()
	for _, f := range flows {
		f.close()
	}
	err := c.transport.Close()
	if c.owned != nil {
		err = errors.Join(err, c.owned.Close())
	}
	if err != nil {
		return fmt.Errorf("Client.Close: %w", err)
	}
	return nil
}

// CloseIdle ends the flow if it has no request, so that the next one opens a
// new flow.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	current := c.current
	c.mu.Unlock()
	if current == nil {
		return
	}
	<-current.done
	if current.flow != nil {
		current.flow.retireIfIdle()
	}
}

func (c *Client) init() {
	conn := c.Conn
	if conn == nil {
		socket, err := net.ListenUDP("udp4", nil)
		if err != nil {
			c.initErr = fmt.Errorf("Client.init: %w", err)
			return
		}
		c.owned = socket
		conn = socket
	}
	c.transport = &quic.Transport{Conn: conn}
}

func (c *Client) address() (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.Addresses) == 0 {
		return netip.AddrPort{}, &dialError{cause: errNoAddress}
	}
	address := c.Addresses[c.next%len(c.Addresses)]
	c.next++
	return address, nil
}

func (c *Client) timer() gooseberrymast.Timer {
	if c.Timer == nil {
		return timer.System{}
	}
	return c.Timer
}

var (
	errNoAddress = errors.New("no address of the service is set")
	errScheme    = errors.New("the URL's scheme is not https")
)

// dialError means that no flow could be opened.
type dialError struct {
	address netip.AddrPort
	cause   error
}

func (e *dialError) Error() string {
	return fmt.Sprintf("Client.dial %s: %v", e.address, e.cause)
}

func (e *dialError) Unwrap() error {
	return e.cause
}

// refusalOf reads the refusal of an answer.
func refusalOf(response *http.Response) (gooseberrymast.Refusal, bool) {
	if response == nil {
		return gooseberrymast.Refusal{}, false
	}
	return encoder.RefusalOfHeader(response.Header)
}
