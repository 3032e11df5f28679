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

// attempt tracks whether one request was sent. It is the request body that
// net/http reads.
type attempt struct {
	source      *Body
	body        io.Reader
	multiplexed bool // The connection carries other requests at the same time.
	trailer     http.Header
	trailers    func() http.Header

	mu          sync.Mutex
	conn        *countingConn
	bytesBefore uint64
	abandoned   bool
	bodyFailed  bool
}

// Read reads the request's body and sets the trailers at its end.
func (a *attempt) Read(p []byte) (int, error) {
	if !a.claimBody() {
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
		a.recordBodyError()
	}
	return n, err
}

// Close does nothing: the body belongs to the request, not to the attempt.
func (a *attempt) Close() error {
	return nil
}

// claimBody marks the body as read, unless the attempt has ended. net/http may
// still read when the next attempt already uses the body.
func (a *attempt) claimBody() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned {
		return false
	}
	a.source.MarkRead()
	return true
}

func (a *attempt) recordBodyError() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodyFailed = true
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	a.bytesBefore = conn.written()
}

// result ends an attempt without a response and classifies it.
func (a *attempt) result(ctx context.Context, err error) gooseberrymast.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
	cause := context.Cause(ctx)
	timedOut := errors.Is(cause, context.DeadlineExceeded)
	switch {
	case a.bodyFailed && !timedOut:
		return gooseberrymast.ResultCancelled
	case a.ensureUnsent(err):
		return gooseberrymast.ResultNotSent
	case timedOut:
		return gooseberrymast.ResultTimedOut
	case cause != nil:
		return gooseberrymast.ResultCancelled
	}
	return gooseberrymast.ResultBroken
}

// ensureUnsent reports whether no byte of the request can have reached the
// backend server, and in that case prevents later writes.
func (a *attempt) ensureUnsent(err error) bool {
	var dial *dialError
	if errors.As(err, &dial) {
		return true
	}
	if a.multiplexed {
		return isRefusedStream(err)
	}
	return a.conn == nil || a.conn.blockWritesIfNoneSince(a.bytesBefore)
}
