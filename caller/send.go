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

// maxHeldBytes is the largest body of known length that is held to be sent
// again when the request has no GetBody.
const maxHeldBytes = 64 << 10

// outgoing is a request that may be sent several times.
type outgoing struct {
	request *http.Request
	// replayable is set when the body can be had again.
	replayable bool
	idempotent bool
	ticket     string
	sends      int
}

// prepare copies a request and makes its body replayable where that is cheap.
func prepare(request *http.Request) (*outgoing, error) {
	copied := request.Clone(request.Context())
	prepared := &outgoing{request: copied, idempotent: isIdempotent(request.Method)}
	setTimeout(copied)
	switch {
	case copied.Body == nil || copied.Body == http.NoBody:
		copied.Body = nil
		prepared.replayable = true
	case copied.GetBody != nil:
		prepared.replayable = true
	case copied.ContentLength >= 0 && copied.ContentLength <= maxHeldBytes:
		held, err := io.ReadAll(copied.Body)
		copied.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("prepare: body: %w", err)
		}
		copied.GetBody = func() (io.ReadCloser, error) {
			return io.NopCloser(bytes.NewReader(held)), nil
		}
		copied.Body, _ = copied.GetBody()
		prepared.replayable = true
	}
	return prepared, nil
}

// setTimeout tells the service the context's deadline, unless the request says
// it already.
func setTimeout(request *http.Request) {
	deadline, ok := request.Context().Deadline()
	if !ok {
		return
	}
	if _, told, err := encoder.Timeout(request.Header); told || err != nil {
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

// needsTicket reports whether only a ticket makes it safe to send the request
// again. A body that can't be had again makes a ticket useless.
func (o *outgoing) needsTicket() bool {
	return !o.idempotent && o.replayable && o.request.Header.Get(encoder.HeaderTicket) == ""
}

// mayResend reports whether the request can be sent again without harm.
func (o *outgoing) mayResend(mayHaveRun bool) bool {
	if !o.replayable || o.sends >= MaxSends {
		return false
	}
	return !mayHaveRun || o.idempotent || o.request.Header.Get(encoder.HeaderTicket) != ""
}

// copy gives the request for one sending.
func (o *outgoing) copy() (*http.Request, error) {
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

// send sends a request until there is an answer or sending again could harm.
func (c *Client) send(prepared *outgoing) (*http.Response, error) {
	ctx := prepared.request.Context()
	mayHaveRun := false
	for {
		sent, err := prepared.copy()
		if err != nil {
			return nil, fmt.Errorf("Client.send: %w", outcome(mayHaveRun, err))
		}
		prepared.sends++
		response, err := c.roundTrip(sent, prepared.mayResend(true))
		if err == nil {
			if !mayHaveRun && prepared.staleTicket(response) {
				response.Body.Close()
				if err := c.attachTicket(prepared); err != nil {
					return nil, fmt.Errorf("Client.send: ticket: %w: %w", ErrNotRun, err)
				}
				continue
			}
			return response, nil
		}
		mayHaveRun = mayHaveRun || !neverSent(err)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("Client.send: %w", outcome(mayHaveRun, ctx.Err()))
		}
		if wasReset(err) || !prepared.mayResend(mayHaveRun) {
			return nil, fmt.Errorf("Client.send: %w", outcome(mayHaveRun, err))
		}
		if err := pause(ctx, resendPause<<prepared.sends); err != nil {
			return nil, fmt.Errorf("Client.send: %w", outcome(mayHaveRun, err))
		}
	}
}

// maxFlows bounds the flows that one sending tries when each refuses it.
const maxFlows = 3

// roundTrip sends a request, on the present flow or on the next one if that
// takes no new requests; an agent is given it at most once. The request's body is closed in any case.
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
	for range maxFlows {
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

// errSilent means that a flow showed no activity after a request was sent.
var errSilent = errors.New("nothing came on the flow since the request was sent")

// sendOn sends a request on a flow and watches for the agent's acknowledgement.
// When that doesn't come the flow is given up, and so is the request if it may
// be sent again; otherwise its answer is waited for.
func (c *Client) sendOn(f *flow, request *http.Request, resend bool) (*http.Response, error) {
	ctx, abandon := context.WithCancelCause(request.Context())
	sent, received := time.Now(), f.received()
	watch := time.AfterFunc(f.patience(), func() {
		if f.received() == received && c.doubt(f) && resend {
			abandon(errSilent)
		}
	})
	defer watch.Stop()
	response, err := f.roundTrip(request.WithContext(ctx), func() { abandon(nil) })
	if err == nil {
		return response, nil
	}
	if errors.Is(err, context.DeadlineExceeded) && f.silentSince(sent, received) {
		c.doubt(f)
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		err = errSilent
	}
	abandon(nil)
	return nil, err
}

// staleTicket reports whether the first sending was refused for a ticket that
// came from an agent that is gone. A fresh one is then safe: no server was
// given the request, which was sent this once.
func (o *outgoing) staleTicket(response *http.Response) bool {
	refusal, ok := refusalOf(response)
	if !ok || o.ticket == "" || o.sends >= MaxSends {
		return false
	}
	return refusal.Reason == gooseberrymast.ReasonIssuerGone || refusal.Reason == gooseberrymast.ReasonTicketUnknown
}

// neverSent reports whether an error came before anything of the request went
// out, or says that the agent did not take it.
func neverSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, errNotSent) || wasRejected(err)
}

func wasRejected(err error) bool {
	var failure *http3.Error
	return errors.As(err, &failure) && failure.ErrorCode == http3.ErrCodeRequestRejected
}

// wasReset reports whether the agent gave the request up while the flow goes on.
// The agent has then done all that can be done for it.
func wasReset(err error) bool {
	var reset *quic.StreamError
	return errors.As(err, &reset) && !wasRejected(err)
}

func outcome(mayHaveRun bool, err error) error {
	if mayHaveRun {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrNotRun, err)
}

func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// RefusalOf gives the refusal of what Do or a connect-go client returned. The
// answer, the error or both may be given.
func RefusalOf(response *http.Response, err error) (gooseberrymast.Refusal, bool) {
	if refusal, ok := refusalOf(response); ok {
		return refusal, true
	}
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return gooseberrymast.Refusal{}, false
	}
	if refusal, ok := encoder.RefusalOfError(failure); ok {
		return refusal, true
	}
	return encoder.RefusalOfHeader(failure.Meta())
}
