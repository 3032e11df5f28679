// Package caller is a client for services behind the load balancer. A Client
// implements connect.HTTPClient over HTTP/3. It keeps one flow open and opens a new
// one when the agent asks for it or the flow is lost. A request that is not idempotent
// carries a ticket if its body can be read again, so that it can be resent without
// running twice. RefusalOf returns refusals as typed records. Plain HTTP/3 clients
// work too.
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

// Timeouts and limits of a client.
const (
	// FlowIdleTimeout is the time without a received packet after which a flow is lost.
	FlowIdleTimeout = 20 * time.Second
	// KeepAlivePeriod is the time without traffic after which a keep-alive packet is
	// sent, so that an idle flow stays open.
	KeepAlivePeriod = 8 * time.Second
	// DialTimeout bounds one attempt to open a flow.
	DialTimeout = 5 * time.Second
	// MaxSends is the largest number of times that one request is sent.
	MaxSends = 3
	// SilentRetireInterval is the least time between two flows being retired because
	// they are silent.
	SilentRetireInterval = 5 * time.Second
	// resendDelay is the base of the delay before a request is sent again, which
	// doubles with each sending.
	resendDelay = 50 * time.Millisecond
)

// ErrUnknown means that a request was sent and it is unknown whether it ran.
var ErrUnknown = errors.New("whether the request ran is unknown")

// ErrNotRun means that a request did not reach any backend server.
var ErrNotRun = errors.New("the request was not run")

// Client sends requests to one service. Its fields must not be changed after the
// first request, and it must not be copied.
type Client struct {
	// Addresses are the service's addresses. Flows use them in turn.
	Addresses []netip.AddrPort
	// TLS is the TLS configuration; nil verifies the host in the request's URL against
	// the system's roots.
	TLS *tls.Config
	// QUIC replaces the QUIC configuration; nil uses this package's defaults.
	QUIC *quic.Config
	// Conn sends and receives the packets; nil opens a UDP socket, which
	// Close closes.
	Conn net.PacketConn
	// OnFlow, unless nil, is called after a flow was opened.
	OnFlow func(flow *quic.Conn)

	// Timer provides the time; nil uses the system's clock.
	Timer gooseberrymast.Timer

	once      sync.Once
	initErr   error
	transport *quic.Transport
	owned     net.PacketConn

	mu      sync.Mutex
	next    int
	tickets []string
	// currentDial is the attempt that opened, or is opening, the flow for new requests.
	currentDial *dialAttempt
	// flows are the flows that were opened and may still be open.
	flows []*flow
	// silentRetiredAt is when a flow was last retired because it was silent.
	silentRetiredAt time.Time
}

// Do sends a request and returns its answer, which may be a refusal: see RefusalOf.
// An error wraps ErrNotRun or ErrUnknown, and the context's error if that ended the
// request. If the flow is lost, the request is sent again if its body can be read
// again and it is idempotent, carries a ticket or can't have run.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	c.once.Do(c.init)
	if c.initErr != nil {
		return nil, fmt.Errorf("Client.Do: %w: %w", ErrNotRun, c.initErr)
	}
	outgoing, err := prepare(request)
	if err != nil {
		return nil, fmt.Errorf("Client.Do: %w: %w", ErrNotRun, err)
	}
	if outgoing.needsTicket() {
		if err := c.attachTicket(outgoing); err != nil {
			return nil, fmt.Errorf("Client.Do: ticket: %w: %w", ErrNotRun, err)
		}
	}
	return c.send(outgoing)
}

// Close closes all flows and aborts the requests on them.
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

// CloseIdle closes the current flow if it has no open request, so that the next
// request opens a new flow.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	current := c.currentDial
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

// dialError means that no flow could be opened, so the request was not sent.
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

// refusalOf returns the refusal in the headers of an answer, if there is one.
func refusalOf(response *http.Response) (gooseberrymast.Refusal, bool) {
	if response == nil {
		return gooseberrymast.Refusal{}, false
	}
	return encoder.RefusalFromHeader(response.Header)
}
