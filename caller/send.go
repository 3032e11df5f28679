package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
)

// maxBufferedBytes is the largest body of known length that is buffered, so that it
// can be sent again, when the request has no GetBody. It also limits the size of a
// batch of tickets.
const maxBufferedBytes = 64 << 10

// outgoingRequest is a request that may be sent several times.
type outgoingRequest struct {
	request *http.Request
	// replayable is set if the body can be read again for another sending.
	replayable bool
	idempotent bool
	ticket     string
	sends      int
}

// prepare copies a request and buffers its body if it is small, so that the request
// can be sent again.
func prepare(request *http.Request) (*outgoingRequest, error) {
	copied := request.Clone(request.Context())
	outgoing := &outgoingRequest{request: copied, idempotent: isIdempotent(request.Method)}
	setTimeout(copied)
	switch {
	case copied.Body == nil || copied.Body == http.NoBody:
		copied.Body = nil
		outgoing.replayable = true
	case copied.GetBody != nil:
		outgoing.replayable = true
	case copied.ContentLength >= 0 && copied.ContentLength <= maxBufferedBytes:
		buffered, err := io.ReadAll(copied.Body)
		copied.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("prepare: body: %w", err)
		}
		copied.GetBody = func() (io.ReadCloser, error) {
			return io.NopCloser(bytes.NewReader(buffered)), nil
		}
		copied.Body, _ = copied.GetBody()
		outgoing.replayable = true
	}
	return outgoing, nil
}

// setTimeout sends the context's deadline to the service in a header, unless the
// request already has one.
func setTimeout(request *http.Request) {
	deadline, ok := request.Context().Deadline()
	if !ok {
		return
	}
	if _, present, err := encoder.Timeout(request.Header); present || err != nil {
		return
	}
	encoder.SetTimeout(request.Header, time.Until(deadline))
}

func isIdempotent(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// needsTicket reports whether the request needs a ticket to be sent again safely. A
// request whose body can't be read again is never resent, so a ticket would be
// useless.
func (o *outgoingRequest) needsTicket() bool {
	return !o.idempotent && o.replayable && o.request.Header.Get(encoder.HeaderTicket) == ""
}

// mayResend reports whether the request can be sent again without the risk that it
// runs twice. mayHaveRun says that an earlier sending may have run.
func (o *outgoingRequest) mayResend(mayHaveRun bool) bool {
	if !o.replayable || o.sends >= MaxSends {
		return false
	}
	return !mayHaveRun || o.idempotent || o.request.Header.Get(encoder.HeaderTicket) != ""
}

// copy returns a copy of the request, with a fresh body, for one sending.
func (o *outgoingRequest) copy() (*http.Request, error) {
	sent := o.request.Clone(o.request.Context())
	if o.request.GetBody != nil {
		body, err := o.request.GetBody()
		if err != nil {
			return nil, fmt.Errorf("outgoing.copy: %w", err)
		}
		sent.Body = body
	}
	return sent, nil
}

// send sends a request until it is answered, until sending it again is unsafe, or
// until its context ends.
func (c *Client) send(outgoing *outgoingRequest) (*http.Response, error) {
	ctx := outgoing.request.Context()
	mayHaveRun := false
	for {
		sent, err := outgoing.copy()
		if err != nil {
			return nil, fmt.Errorf("Client.send: %w", wrapOutcome(mayHaveRun, err))
		}
		outgoing.sends++
		response, err := c.roundTrip(sent, outgoing.mayResend(true))
		if err == nil {
			if !mayHaveRun && outgoing.hasStaleTicket(response) {
				response.Body.Close()
				if err := c.attachTicket(outgoing); err != nil {
					return nil, fmt.Errorf("Client.send: ticket: %w: %w", ErrNotRun, err)
				}
				continue
			}
			return response, nil
		}
		mayHaveRun = mayHaveRun || !neverSent(err)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("Client.send: %w", wrapOutcome(mayHaveRun, ctx.Err()))
		}
		if wasReset(err) || !outgoing.mayResend(mayHaveRun) {
			return nil, fmt.Errorf("Client.send: %w", wrapOutcome(mayHaveRun, err))
		}
		if err := sleep(ctx, resendDelay<<outgoing.sends); err != nil {
			return nil, fmt.Errorf("Client.send: %w", wrapOutcome(mayHaveRun, err))
		}
	}
}

// maxFlowAttempts is the number of flows that one sending tries while flows accept no
// new requests.
const maxFlowAttempts = 3

// roundTrip sends a request on the current flow, or on the next one if that accepts
// no new requests. At most one agent accepts the request. The request's body is
// always closed. With resend set, the request is aborted if its flow is silent.
func (c *Client) roundTrip(request *http.Request, resend bool) (*http.Response, error) {
	response, err := c.tryFlows(request, resend)
	if err != nil && request.Body != nil {
		request.Body.Close()
	}
	return response, err
}

func (c *Client) tryFlows(request *http.Request, resend bool) (*http.Response, error) {
	if request.URL.Scheme != "https" {
		return nil, &dialError{cause: errScheme}
	}
	for range maxFlowAttempts {
		f, err := c.flowFor(request.Context(), request.URL.Hostname())
		if err != nil {
			return nil, err
		}
		response, err := c.sendOn(f, request, resend)
		if errors.Is(err, errNotSent) {
			continue
		}
		if wasRejected(err) {
			f.retire()
			if request.Body == nil {
				continue
			}
		}
		return response, err
	}
	return nil, errNotSent
}

// errSilent means that no packet was received on a flow after a request was sent.
var errSilent = errors.New("nothing came on the flow since the request was sent")

// sendOn sends a request on a flow. If no packet is received within the flow's
// ackTimeout, the flow is retired; the request is then aborted if resend is set, and
// otherwise still waits for its answer.
func (c *Client) sendOn(f *flow, request *http.Request, resend bool) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	sent, received := time.Now(), f.packetsReceived()
	ackTimer := time.AfterFunc(f.ackTimeout(), func() {
		if f.packetsReceived() == received && c.retireSilent(f) && resend {
			cancel(errSilent)
		}
	})
	defer ackTimer.Stop()
	response, err := f.roundTrip(request.WithContext(ctx), func() { cancel(nil) })
	if err == nil {
		return response, nil
	}
	if errors.Is(err, context.DeadlineExceeded) && f.silentSince(sent, received) {
		c.retireSilent(f)
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		err = errSilent
	}
	cancel(nil)
	return nil, err
}

// hasStaleTicket reports whether an answer refuses the request because the agent that
// issued its ticket has stopped, or because the service did not issue the ticket. If
// no earlier sending may have run, no backend server received the request, so sending
// it again with a fresh ticket is safe.
func (o *outgoingRequest) hasStaleTicket(response *http.Response) bool {
	refusal, ok := refusalOf(response)
	if !ok || o.ticket == "" || o.sends >= MaxSends {
		return false
	}
	return refusal.Reason == gooseberrymast.ReasonIssuerGone || refusal.Reason == gooseberrymast.ReasonTicketUnknown
}

// neverSent reports whether an error means that no part of the request was sent, or
// that the agent rejected it unprocessed.
func neverSent(err error) bool {
	var dialErr *dialError
	return errors.As(err, &dialErr) || errors.Is(err, errNotSent) || wasRejected(err)
}

func wasRejected(err error) bool {
	var http3Err *http3.Error
	return errors.As(err, &http3Err) && http3Err.ErrorCode == http3.ErrCodeRequestRejected
}

// wasReset reports whether the agent aborted the request while the flow stays open.
// Such a request is not sent again: the agent has already done what it could for it.
func wasReset(err error) bool {
	var streamErr *quic.StreamError
	return errors.As(err, &streamErr) && !wasRejected(err)
}

func wrapOutcome(mayHaveRun bool, err error) error {
	if mayHaveRun {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrNotRun, err)
}

func sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// RefusalOf returns the refusal in an answer from Do or in an error from a connect-go
// client. Either argument may be nil.
func RefusalOf(response *http.Response, err error) (gooseberrymast.Refusal, bool) {
	if refusal, ok := refusalOf(response); ok {
		return refusal, true
	}
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return gooseberrymast.Refusal{}, false
	}
	if refusal, ok := encoder.RefusalFromError(connectErr); ok {
		return refusal, true
	}
	return encoder.RefusalFromHeader(connectErr.Meta())
}
