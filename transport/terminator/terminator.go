// Package terminator terminates the callers' flows at the agent: it serves HTTP/3
// and passes each request to the driver.
package terminator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/transport/driver"
	"gooseberrymast/transport/executor"
)

// Limits of flows and requests.
const (
	// MaxHeaderBytes limits the header of a request. Header and held body
	// together fit the window of a hand-over stream.
	MaxHeaderBytes = 64 << 10
	// MaxHeldBytes limits the body that is held in memory so that it can be
	// sent again.
	MaxHeldBytes = 64 << 10
	// FlowIdleTimeout ends a flow from which no packet arrives.
	FlowIdleTimeout = time.Minute
	// KeepAlivePeriod is the interval of keep-alive packets on idle flows.
	KeepAlivePeriod = 20 * time.Second
	// MaxRequestsPerFlow limits the concurrent requests of one flow.
	MaxRequestsPerFlow = 256
	// idleCheckInterval is the interval at which a shutdown checks whether
	// requests are in progress. Idle flows outlive it by one to two intervals.
	idleCheckInterval = time.Second
)

// Receive windows of a flow, in bytes. They limit the data that a caller may send
// before the agent reads it, and so the memory of a flow.
const (
	initialStreamWindow = 64 << 10
	maxStreamWindow     = 512 << 10
	initialFlowWindow   = 128 << 10
	maxFlowWindow       = 1 << 20
)

// Terminator serves the flows of one agent. The exported fields must be set
// before Serve and must not change after it; it must not be copied.
type Terminator struct {
	// Transport reads and writes the agent's packets. Package receiver sets its
	// connection ID generator and reset key.
	Transport *quic.Transport
	// TLS holds the certificate for callers; GetCertificate allows reloading.
	TLS *tls.Config
	// QUIC replaces the result of QUICConfig; nil means QUICConfig.
	QUIC *quic.Config
	// Driver handles the requests.
	Driver *driver.Driver
	// Tag is the agent's service; tickets for others are refused.
	Tag gooseberrymast.ServiceTag
	// Keys returns the keys that seal tickets.
	Keys func() *keyer.Keys
	// Document returns the service's part of the document in force, with
	// defaults set. It is called for each request and must be fast.
	Document func() gooseberrymast.Service
	// Timer is the timer service.
	Timer gooseberrymast.Timer

	flows    flows
	mu       sync.Mutex
	listener *quic.Listener
	closed   bool
}

// QUICConfig returns the QUIC settings of callers' flows.
func QUICConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 FlowIdleTimeout,
		KeepAlivePeriod:                KeepAlivePeriod,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialFlowWindow,
		MaxConnectionReceiveWindow:     maxFlowWindow,
		MaxIncomingStreams:             MaxRequestsPerFlow,
		MaxIncomingUniStreams:          8, // HTTP/3 needs 3.
		DisablePathMTUDiscovery:        true,
	}
}

// Serve accepts flows. It returns nil after Shutdown or Close.
func (t *Terminator) Serve() error {
	config := t.QUIC
	if config == nil {
		config = QUICConfig()
	}
	listener, err := t.Transport.Listen(http3.ConfigureTLSConfig(t.TLS), config)
	if err != nil {
		return fmt.Errorf("Terminator.Serve: listen: %w", err)
	}
	if !t.setListener(listener) {
		return nil
	}
	for {
		conn, err := listener.Accept(context.Background())
		if errors.Is(err, quic.ErrServerClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("Terminator.Serve: accept: %w", err)
		}
		go t.serveFlow(conn)
	}
}

func (t *Terminator) serveFlow(conn *quic.Conn) {
	f := &flow{conn: conn, server: &http3.Server{
		Handler:        t,
		MaxHeaderBytes: MaxHeaderBytes,
	}}
	t.flows.add(f)
	defer t.flows.remove(f)
	// If GOAWAY was sent already, ServeQUICConn returns at once and the flow is
	// closed.
	defer conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	err := f.server.ServeQUICConn(conn)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Debug().Err(err).Str("caller", conn.RemoteAddr().String()).Msg("flow ended with an error")
	}
}

// Flows returns the number of open flows.
func (t *Terminator) Flows() int {
	return t.flows.count()
}

// ActiveFlows returns the number of open flows on which no GOAWAY was sent.
func (t *Terminator) ActiveFlows() int {
	return t.flows.countActive()
}

// Retire sends GOAWAY on at most n flows on which none was sent yet. Requests in
// progress on them are completed. It returns the number of these flows.
func (t *Terminator) Retire(n int) int {
	return t.flows.sendGoAway(n)
}

// Shutdown sends GOAWAY on the open flows and waits until their requests have
// ended. New flows, which balancers still send here until they have received the
// agent's new state, are accepted and get a GOAWAY at once, so that their callers
// needn't wait for a timeout. When the context ends, the remaining flows are
// closed.
func (t *Terminator) Shutdown(ctx context.Context) error {
	defer t.closeListener()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := t.Timer.Every(idleCheckInterval, t.cancelWhenIdle(cancel))
	defer stop()
	select {
	case <-t.flows.sendGoAwayToAll():
		return nil
	case <-ctx.Done():
	}
	t.flows.closeAll()
	if cause := context.Cause(ctx); !errors.Is(cause, errIdle) {
		return fmt.Errorf("Terminator.Shutdown: %w", cause)
	}
	return nil
}

// errIdle is the cause of a cancellation when only idle flows are left.
var errIdle = errors.New("no request is in progress")

// cancelWhenIdle returns a function that cancels when two consecutive calls find
// no request in progress. Callers that keep an idle flow open would otherwise
// delay the shutdown.
func (t *Terminator) cancelWhenIdle(cancel context.CancelCauseFunc) func(time.Time) {
	idle := false
	return func(time.Time) {
		if t.Driver.InProgress() > 0 {
			idle = false
			return
		}
		if idle {
			cancel(errIdle)
		}
		idle = true
	}
}

// Close closes the listener and every flow.
func (t *Terminator) Close() error {
	t.closeListener()
	t.flows.sendGoAwayToAll()
	t.flows.closeAll()
	return nil
}

func (t *Terminator) setListener(listener *quic.Listener) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		listener.Close()
		return false
	}
	t.listener = listener
	return true
}

func (t *Terminator) closeListener() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.listener != nil {
		t.listener.Close()
	}
}

// ServeHTTP handles one request.
func (t *Terminator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodConnect {
		http.Error(w, "CONNECT is not served", http.StatusNotImplemented)
		return
	}
	if r.URL.Path == encoder.TicketPath {
		t.serveTickets(w, r)
		return
	}
	exchange, err := t.newExchange(w, r)
	if err != nil {
		t.rejectRequest(w, r, err)
		return
	}
	switch t.Driver.Serve(r.Context(), exchange) {
	case executor.StatusTorn, executor.StatusCancelled:
		// Resets the stream, so that a truncated answer isn't taken as complete.
		panic(http.ErrAbortHandler)
	}
}
