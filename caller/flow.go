package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// flow is a QUIC connection to an agent, with a count of the requests on it.
type flow struct {
	conn *quic.Conn
	http *http3.ClientConn

	mu sync.Mutex
	// requests is the number of requests whose answers have not been read to the end.
	requests int
	// retired is set once no new request may use the flow. The flow is closed when its
	// last request has ended.
	retired bool
}

func newFlow(conn *quic.Conn) *flow {
	transport := &http3.Transport{DisableCompression: true}
	return &flow{conn: conn, http: transport.NewClientConn(conn)}
}

// begin registers a request on the flow. It reports whether the flow still accepts
// new requests.
func (f *flow) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retired || f.conn.Context().Err() != nil {
		return false
	}
	f.requests++
	return true
}

func (f *flow) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests--
	f.closeIfDone()
}

// retire stops new requests on the flow. Requests in progress continue; the flow is
// closed after the last of them.
func (f *flow) retire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired = true
	f.closeIfDone()
}

func (f *flow) isRetired() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retired
}

// retireIfIdle retires the flow if it has no request.
func (f *flow) retireIfIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired = f.retired || f.requests == 0
	f.closeIfDone()
}

func (f *flow) closeIfDone() {
	if f.retired && f.requests == 0 {
		f.close()
	}
}

func (f *flow) close() {
	_ = f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
}

// packetsReceived returns the number of packets received on the flow.
func (f *flow) packetsReceived() uint64 {
	return f.conn.ConnectionStats().PacketsReceived
}

// minSilence is the least time without a packet after which a flow counts as silent
// when a request's deadline has passed. It lets a flow with a short round trip lose
// several packets in a row.
const minSilence = 100 * time.Millisecond

// minAckTimeout is the least time to wait for any packet after sending a request
// before its flow counts as silent, even though the request's deadline has not
// passed.
const minAckTimeout = 500 * time.Millisecond

// ackTimeout returns how long the acknowledgement of a request may take.
func (f *flow) ackTimeout() time.Duration {
	return max(minAckTimeout, 8*f.conn.ConnectionStats().SmoothedRTT)
}

// silentSince reports whether no packet was received since a request was sent,
// although a running agent acknowledges it within a round trip.
func (f *flow) silentSince(sent time.Time, received uint64) bool {
	silence := max(minSilence, 4*f.conn.ConnectionStats().SmoothedRTT)
	return f.packetsReceived() == received && time.Since(sent) >= silence
}

// errNotSent means that no part of a request was sent on a flow.
var errNotSent = errors.New("the flow takes no new requests")

// roundTrip sends a request on the flow. The request stays registered on the flow
// until the body of its answer has been read to the end or closed; then done is
// called.
func (f *flow) roundTrip(request *http.Request, done func()) (*http.Response, error) {
	if !f.begin() {
		return nil, errNotSent
	}
	var started atomic.Bool
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { started.Store(true) },
	})
	response, err := f.http.RoundTrip(request.WithContext(ctx))
	if err != nil {
		f.end()
		if !started.Load() && request.Context().Err() == nil {
			f.retire() // The agent sent GOAWAY, or the flow is lost.
			return nil, errNotSent
		}
		return nil, err
	}
	response.Body = &countedBody{ReadCloser: response.Body, end: sync.OnceFunc(func() {
		f.end()
		done()
	})}
	return response, nil
}

// countedBody is the body of an answer. It calls end when it has been read to the end
// or closed.
type countedBody struct {
	io.ReadCloser
	end func()
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end()
	}
	return n, err
}

func (b *countedBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}

// dialAttempt is one attempt to open a flow. All requests that need the flow wait for
// the same attempt.
type dialAttempt struct {
	done chan struct{}
	flow *flow
	err  error
}

// flowFor returns the flow for a request to the host. It opens one if there is none.
func (c *Client) flowFor(ctx context.Context, host string) (*flow, error) {
	attempt := c.currentAttempt(host)
	select {
	case <-attempt.done:
		return attempt.flow, attempt.err
	case <-ctx.Done():
		return nil, &dialError{cause: ctx.Err()}
	}
}

// currentAttempt returns the attempt that opened, or is opening, the current flow. It
// starts a new attempt if that flow is no longer usable.
func (c *Client) currentAttempt(host string) *dialAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentDial != nil && c.currentDial.usable() {
		return c.currentDial
	}
	// The tickets in stock were issued by the previous flow's agent, which may have
	// stopped.
	c.tickets = nil
	attempt := &dialAttempt{done: make(chan struct{})}
	c.currentDial = attempt
	go c.dial(attempt, host)
	return attempt
}

// usable reports whether an attempt is in progress or has opened a flow that still
// accepts requests.
func (a *dialAttempt) usable() bool {
	select {
	case <-a.done:
	default:
		return true
	}
	if a.err != nil {
		return false
	}
	a.flow.mu.Lock()
	defer a.flow.mu.Unlock()
	return !a.flow.retired && a.flow.conn.Context().Err() == nil
}

func (c *Client) dial(attempt *dialAttempt, host string) {
	defer close(attempt.done)
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	address, err := c.address()
	if err != nil {
		attempt.err = err
		return
	}
	conn, err := c.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), c.tlsConfig(host), c.quicConfig())
	if err != nil {
		attempt.err = &dialError{address: address, cause: err}
		return
	}
	attempt.flow = newFlow(conn)
	c.trackFlow(attempt.flow)
	if c.OnFlow != nil {
		c.OnFlow(conn)
	}
}

// trackFlow records a flow for Close and removes those that have ended.
func (c *Client) trackFlow(opened *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool { return f.conn.Context().Err() != nil })
	c.flows = append(c.flows, opened)
}

func (c *Client) tlsConfig(host string) *tls.Config {
	config := c.TLS.Clone()
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS13}
	}
	config.NextProtos = []string{http3.NextProtoH3}
	if config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

func (c *Client) quicConfig() *quic.Config {
	if c.QUIC != nil {
		return c.QUIC
	}
	return &quic.Config{
		MaxIdleTimeout:          FlowIdleTimeout,
		KeepAlivePeriod:         KeepAlivePeriod,
		DisablePathMTUDiscovery: true,
		MaxIncomingStreams:      -1, // HTTP/3 servers open no bidirectional streams.
	}
}

// retireSilent retires a silent flow and reports whether the flow is retired. It
// retires at most one flow in each SilentRetireInterval: if every flow is silent,
// opening new ones does not help.
func (c *Client) retireSilent(f *flow) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.isRetired() {
		return true
	}
	now := c.timer().Now()
	if !c.silentRetiredAt.IsZero() && now.Sub(c.silentRetiredAt) < SilentRetireInterval {
		return false
	}
	c.silentRetiredAt = now
	c.tickets = nil
	f.retire()
	return true
}
