// Package backend is a stand-in for a backend server, for tests and trials. It
// counts the requests that actually ran, by request id, and can be set to fail,
// to report its state late and to report a false load.
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

// Paths with special handling. A request to any other path is unary and echoes
// its body.
const (
	// PathHealth answers 200 or 503.
	PathHealth = "/healthz"
	// PathLoad answers with the number of requests in progress, in decimal.
	PathLoad = "/load"
	// PathPush streams numbered lines every PushInterval, until the caller
	// disconnects or the number in the query parameter "count" is reached.
	PathPush = "/push"
	// PathEcho is a bidirectional stream that echoes the body as it arrives.
	PathEcho = "/converse"
)

// Header fields that the stand-in reads from requests or sets on answers.
const (
	// HeaderRequestID identifies the request in the counts and is echoed.
	HeaderRequestID = "Gooseberrymast-Request-Id"
	// HeaderServiceTime is the service time of this request, as a Go duration.
	HeaderServiceTime = "Backend-Work"
	// HeaderMode overrides the mode for this request.
	HeaderMode = "Backend-Mode"
	// HeaderInstance is the name of the stand-in that answered.
	HeaderInstance = "Backend-Instance"
	// headerNotRun marks a 503 answer to a request that did not run.
	headerNotRun = "Gooseberrymast-Not-Run"
)

// Mode selects how the stand-in handles requests.
type Mode string

// The modes. The zero mode answers requests normally.
const (
	// ModeRefuse answers 503 without running the request and without marking
	// the answer as not run.
	ModeRefuse Mode = "refuse"
	// ModeShed answers 503 without running the request and marks the answer as
	// not run.
	ModeShed Mode = "shed"
	// ModeHang runs the request and never answers.
	ModeHang Mode = "hang"
	// ModeCrash runs the request and aborts the connection before the answer.
	ModeCrash Mode = "crash"
	// ModeTruncate runs the request and aborts the connection in the middle of the
	// answer.
	ModeTruncate Mode = "tear"
	// ModeTruncateLong is ModeTruncate with an answer of 1 MiB.
	ModeTruncateLong Mode = "tear-long"
	// ModeFail runs the request and answers 503.
	ModeFail Mode = "fail"
)

// DefaultSlots is the number of concurrent unary requests if Slots is zero.
const DefaultSlots = 4

// DefaultPushInterval is the interval between pushed lines if PushInterval is zero.
const DefaultPushInterval = time.Second

// Backend is a stand-in backend server. The zero value answers immediately.
// Exported fields must not be modified after Start; the Set methods may be
// called at any time.
type Backend struct {
	// Name is sent in HeaderInstance.
	Name string
	// Slots limits concurrent unary requests; further ones are shed.
	Slots int
	// ServiceTime is the service time of a unary request without HeaderServiceTime.
	ServiceTime time.Duration
	// ColdFor is the time after Start during which service times are multiplied
	// by ColdFactor, to simulate a cold start.
	ColdFor    time.Duration
	ColdFactor float64
	// PushInterval is the interval between lines on PathPush.
	PushInterval time.Duration
	// ReportLag is the age of the state that PathHealth and PathLoad report.
	ReportLag time.Duration

	server    *http.Server
	cancel    context.CancelFunc
	done      chan error
	startedAt time.Time

	mu           sync.Mutex
	mode         Mode
	healthy      bool
	loadOverride *int
	history      []report
	counts       Counts
	running      int
	streams      int
}

// Start listens on the address, returns the bound address and serves until
// Close.
func (b *Backend) Start(address netip.AddrPort) (netip.AddrPort, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("Backend.Start %s: %w", address, err)
	}
	b.startedAt = time.Now()
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

// Close closes every connection and stops listening, as a crash would.
func (b *Backend) Close() error {
	if b.server == nil {
		return nil
	}
	b.cancel()
	err := b.server.Close()
	served, wasRunning := <-b.done
	if wasRunning && err == nil && !errors.Is(served, http.ErrServerClosed) {
		err = served
	}
	if err != nil {
		return fmt.Errorf("Backend.Close: %w", err)
	}
	return nil
}

// SetMode sets the mode for later requests.
func (b *Backend) SetMode(mode Mode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = mode
}

// SetSlots limits concurrent unary requests; further ones are shed.
func (b *Backend) SetSlots(slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Slots = slots
}

// SetHealthy sets the health that PathHealth reports once ReportLag has passed.
func (b *Backend) SetHealthy(healthy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthy = healthy
	b.recordReport()
}

// SetReportedLoad makes PathLoad report the given load instead of the actual
// one; nil restores the actual load.
func (b *Backend) SetReportedLoad(load *int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadOverride = load
	b.recordReport()
}

func (b *Backend) slots() int {
	if b.Slots == 0 {
		return DefaultSlots
	}
	return b.Slots
}

func (b *Backend) pushInterval() time.Duration {
	if b.PushInterval == 0 {
		return DefaultPushInterval
	}
	return b.PushInterval
}
