package executor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"gooseberrymast"
)

var errAbandoned = errors.New("the attempt has ended")

// attempt watches one request on its way out. It is the body that the library
// reads.
type attempt struct {
	source   *Body
	body     io.Reader
	shared   bool // The connection carries other requests too.
	trailer  http.Header
	trailers func() http.Header

	mu        sync.Mutex
	conn      *countedConn
	mark      uint64
	abandoned bool
	failed    bool
}

// Read gives the request's body and sets the trailers at its end.
func (a *attempt) Read(p []byte) (int, error) {
	if !a.claim() {
		return 0, errAbandoned
	}
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) && a.trailers != nil {
		for name, values := range a.trailers() {
			if _, announced := a.trailer[name]; announced {
				a.trailer[name] = values
			}
		}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		a.fail()
	}
	return n, err
}

// Close leaves the body to its owner.
func (a *attempt) Close() error {
	return nil
}

// claim marks the body as read, unless the attempt has ended. The library may
// read late, when the body already belongs to the next attempt.
func (a *attempt) claim() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned {
		return false
	}
	a.source.Take()
	return true
}

func (a *attempt) fail() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed = true
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	a.mark = conn.written()
}

// result ends an attempt that gave no answer and classifies it.
func (a *attempt) result(ctx context.Context, err error) gooseberrymast.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
	cause := context.Cause(ctx)
	timedOut := errors.Is(cause, context.DeadlineExceeded)
	switch {
	case a.failed && !timedOut:
		return gooseberrymast.ResultCancelled
	case a.unsent(err):
		return gooseberrymast.ResultNotSent
	case timedOut:
		return gooseberrymast.ResultTimedOut
	case cause != nil:
		return gooseberrymast.ResultCancelled
	}
	return gooseberrymast.ResultBroken
}

// unsent reports whether no byte of the request can have reached the backend
// server, and makes sure that none will.
func (a *attempt) unsent(err error) bool {
	var dial *dialError
	if errors.As(err, &dial) {
		return true
	}
	if a.shared {
		return refusedStream(err)
	}
	return a.conn == nil || a.conn.sealUnwritten(a.mark)
}
