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

// flow is one flow to an agent and the requests on it.
type flow struct {
	conn *quic.Conn
	http *http3.ClientConn

	mu sync.Mutex
	// requests counts those whose answers have not been read to the end.
	requests int
	// retired is set once no new request may use the flow. It is closed with
	// its last request.
	retired bool
}

func newFlow(conn *quic.Conn) *flow {
	transport := &http3.Transport{DisableCompression: true}
	return &flow{conn: conn, http: transport.NewClientConn(conn)}
}

// begin counts a request, unless the flow is of no use for new ones.
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

// retire keeps new requests off the flow; those in progress go on to their end.
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

// received counts the packets that came on the flow.
func (f *flow) received() uint64 {
	return f.conn.ConnectionStats().PacketsReceived
}

// minSilence is the least time without a packet that makes a flow doubtful. It
// lets a flow of a short round trip lose several packets in a row.
const minSilence = 100 * time.Millisecond

// watchTime is the least time after which a request that nothing was heard of
// makes its flow doubtful, before its deadline.
const watchTime = 500 * time.Millisecond

// patience is how long the acknowledgement of a request may take.
func (f *flow) patience() time.Duration {
	return max(watchTime, 8*f.conn.ConnectionStats().SmoothedRTT)
}

// silentSince reports whether nothing came since a request was sent, although
// an agent that runs acknowledges it within a round trip.
func (f *flow) silentSince(sent time.Time, received uint64) bool {
	patience := max(minSilence, 4*f.conn.ConnectionStats().SmoothedRTT)
	return f.received() == received && time.Since(sent) >= patience
}

// errNotSent means that a flow took nothing of a request.
var errNotSent = errors.New("the flow takes no new requests")

// roundTrip sends a request on the flow. The flow counts it until its answer
// has been read to the end or closed, when done is called.
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
			f.retire() // GOAWAY came, or the flow is lost.
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

// countedBody tells the flow when an answer's body has ended.
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

// dialing is one attempt to open a flow, which its requests share.
type dialing struct {
	done chan struct{}
	flow *flow
	err  error
}

// flowFor gives the flow for a request to the host, and opens one if there is
// none.
func (c *Client) flowFor(ctx context.Context, host string) (*flow, error) {
	attempt := c.attempt(host)
	select {
	case <-attempt.done:
		return attempt.flow, attempt.err
	case <-ctx.Done():
		return nil, &dialError{cause: ctx.Err()}
	}
}

// attempt gives the attempt that opened the present flow or opens the next one.
func (c *Client) attempt(host string) *dialing {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && c.current.useful() {
		return c.current
	}
	// The tickets of the flow before were issued by an agent that is perhaps
	// gone.
	c.tickets = nil
	attempt := &dialing{done: make(chan struct{})}
	c.current = attempt
	go c.dial(attempt, host)
	return attempt
}

// useful reports whether an attempt is in progress or gave a flow that takes
// requests.
func (d *dialing) useful() bool {
	select {
	case <-d.done:
	default:
		return true
	}
	if d.err != nil {
		return false
	}
	d.flow.mu.Lock()
	defer d.flow.mu.Unlock()
	return !d.flow.retired && d.flow.conn.Context().Err() == nil
}

func (c *Client) dial(attempt *dialing, host string) {
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
	c.keep(attempt.flow)
	if c.OnFlow != nil {
		c.OnFlow(conn)
	}
}

// keep notes a flow for Close and forgets those that have ended.
func (c *Client) keep(opened *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool { return f.conn.Context().Err() != nil })
	c.flows = append(c.flows, opened)
}

func (c *Client) tlsConfig(host string) *tls.Config {
	secure := c.TLS.Clone()
	if secure == nil {
		secure = &tls.Config{MinVersion: tls.VersionTLS13}
	}
	secure.NextProtos = []string{http3.NextProtoH3}
	if secure.ServerName == "" {
		secure.ServerName = host
	}
	return secure
}

func (c *Client) quicConfig() *quic.Config {
	if c.QUIC != nil {
		return c.QUIC
	}
	return &quic.Config{
		MaxIdleTimeout:          FlowIdleTimeout,
		KeepAlivePeriod:         KeepAlivePeriod,
		DisablePathMTUDiscovery: true,
		MaxIncomingStreams:      -1, // HTTP/3 servers open none.
	}
}

// doubt retires a flow that is silent, but not too often: where all is silent,
// new flows don't help. It reports whether the flow is retired.
func (c *Client) doubt(f *flow) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.isRetired() {
		return true
	}
	now := c.timer().Now()
	if !c.doubtedAt.IsZero() && now.Sub(c.doubtedAt) < DoubtInterval {
		return false
	}
	c.doubtedAt = now
	c.tickets = nil
	f.retire()
	return true
}
