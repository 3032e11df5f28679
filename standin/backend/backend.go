// Package backend is a stand-in for a backend server, for tests and trials. It
// counts what really ran by request id, and fails, lags and lies when told to.
package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// The paths with a meaning of their own. Every other path is a unary request
// that echoes its body.
const (
	// PathHealth answers 200 or 503.
	PathHealth = "/healthz"
	// PathLoad answers with the number of requests in progress, in decimal.
	PathLoad = "/load"
	// PathPush is a stream that pushes numbered lines, one each Push, until
	// the caller leaves or the query parameter "count" is reached.
	PathPush = "/push"
	// PathConverse is a stream that sends each piece back as it comes.
	PathConverse = "/converse"
)

// The header fields that requests to the stand-in may carry.
const (
	// HeaderRequestID names the request in the counts and is echoed.
	HeaderRequestID = "Gooseberrymast-Request-Id"
	// HeaderWork is the service time of this request, as a Go duration.
	HeaderWork = "Backend-Work"
	// HeaderMode overrides the mode for this request.
	HeaderMode = "Backend-Mode"
	// HeaderInstance names the stand-in that answered.
	HeaderInstance = "Backend-Instance"
	// headerNotRun marks a 503 as an answer to a request that did not run.
	headerNotRun = "Gooseberrymast-Not-Run"
)

// Mode says how the stand-in treats requests.
type Mode string

// The modes. The zero mode answers.
const (
	// ModeRefuse answers 503 without running the request, and does not say so.
	ModeRefuse Mode = "refuse"
	// ModeShed answers 503 and says that the request did not run.
	ModeShed Mode = "shed"
	// ModeHang runs the request and never answers.
	ModeHang Mode = "hang"
	// ModeCrash runs the request and breaks the connection before the answer.
	ModeCrash Mode = "crash"
	// ModeTear runs the request and breaks the connection within the answer.
	ModeTear Mode = "tear"
	// ModeTearLong is ModeTear with an answer of 1 MiB.
	ModeTearLong Mode = "tear-long"
	// ModeFail runs the request and answers 503.
	ModeFail Mode = "fail"
)

// DefaultSlots is the number of unary requests run at once when Slots is zero.
const DefaultSlots = 4

// DefaultPush is the period of pushed lines when Push is zero.
const DefaultPush = time.Second

// Backend is one stand-in. The zero value answers at once. Exported fields must
// not change after Start; the Set methods may be called at any time.
type Backend struct {
	// Name is given in HeaderInstance.
	Name string
	// Slots bounds the unary requests run at once; more are shed.
	Slots int
	// Work is the service time of a unary request without HeaderWork.
	Work time.Duration
	// ColdFor is the time after Start during which service times are
	// multiplied by ColdFactor.
	ColdFor    time.Duration
	ColdFactor float64
	// Push is the period of pushed lines.
	Push time.Duration
	// ReportLag delays what the health and load endpoints say.
	ReportLag time.Duration

	server *http.Server
	cancel context.CancelFunc
	done   chan error
	begun  time.Time

	mu      sync.Mutex
	mode    Mode
	healthy bool
	lie     *int
	history []report
	counts  Counts
	running int
	streams int
}

// Start listens on the address and serves until Close.
func (b *Backend) Start(address netip.AddrPort) (netip.AddrPort, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("Backend.Start %s: %w", address, err)
	}
	b.begun = time.Now()
	b.SetHealthy(true)
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.done = make(chan error, 1)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	b.server = &http.Server{
		Handler:     b,
		Protocols:   protocols,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	go func() {
		b.done <- b.server.Serve(socket)
		close(b.done)
	}()
	return socket.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close breaks every connection and stops listening, as a crash would.
func (b *Backend) Close() error {
	if b.server == nil {
		return nil
	}
	b.cancel()
	err := b.server.Close()
	served, first := <-b.done
	if first && err == nil && !errors.Is(served, http.ErrServerClosed) {
		err = served
	}
	if err != nil {
		return fmt.Errorf("Backend.Close: %w", err)
	}
	return nil
}

// SetMode sets how later requests are treated.
func (b *Backend) SetMode(mode Mode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = mode
}

// SetSlots bounds the unary requests run at once; more are shed.
func (b *Backend) SetSlots(slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Slots = slots
}

// SetHealthy sets what PathHealth says, after ReportLag.
func (b *Backend) SetHealthy(healthy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthy = healthy
	b.record()
}

// SetLoadLie makes PathLoad say the given number whatever the truth is; nil
// ends the lie.
func (b *Backend) SetLoadLie(lie *int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lie = lie
	b.record()
}

func (b *Backend) slots() int {
	if b.Slots == 0 {
		return DefaultSlots
	}
	return b.Slots
}

func (b *Backend) push() time.Duration {
	if b.Push == 0 {
		return DefaultPush
	}
	return b.Push
}
