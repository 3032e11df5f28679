package terminator

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
	"gooseberrymast/transport/executor"
)

// UnlimitedTimeout is the timeout of a stream without a deadline.
const UnlimitedTimeout = 10 * 365 * 24 * time.Hour

// idempotentMethods lists the idempotent methods (RFC 9110, section 9.2.2).
var idempotentMethods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodOptions,
	http.MethodTrace,
	http.MethodPut,
	http.MethodDelete,
}

// newExchange converts a request to an exchange for the driver. It reads a small
// body in full, so that a slow caller doesn't occupy a slot of the backend server.
func (t *Terminator) newExchange(w http.ResponseWriter, r *http.Request) (*executor.Exchange, error) {
	service := t.Document()
	work := gooseberrymast.Work{
		Caller:     callerAddress(r),
		Path:       r.URL.Path,
		Stream:     hasPrefix(r.URL.Path, service.Streams),
		Idempotent: slices.Contains(idempotentMethods, r.Method) || hasPrefix(r.URL.Path, service.Idempotent),
	}
	request := &executor.Request{
		Method:    r.Method,
		URI:       r.URL.RequestURI(),
		Authority: r.Host,
		Header:    forwardedHeader(r, work.Caller),
	}
	if err := t.setDeadline(&work, request, r, service.Limits); err != nil {
		return nil, err
	}
	ticket, err := t.parseTicket(r)
	if err != nil {
		return nil, err
	}
	work.Ticket = ticket
	request.Body, err = t.readBody(w, r, work.Deadline)
	if err != nil {
		return nil, err
	}
	work.Replayable = request.Body.Replayable()
	return &executor.Exchange{
		Work:    work,
		Request: request,
		Writer:  w,
		Refuse: func(refusal gooseberrymast.Refusal) {
			_ = encoder.WriteRefusal(w, r, refusal) // Fails only if the caller has gone.
		},
	}, nil
}

// setDeadline sets the deadline from the caller's timeout, capped by the
// document's limit, or from the document's default. A stream has a deadline only
// if its caller sets a timeout.
func (t *Terminator) setDeadline(work *gooseberrymast.Work, request *executor.Request, r *http.Request, limits gooseberrymast.Limits) error {
	timeout, hasTimeout, err := encoder.Timeout(r.Header)
	switch {
	case err != nil:
		return err
	case work.Stream && !hasTimeout:
		timeout = UnlimitedTimeout
		request.OpenEnded = true
	case work.Stream:
		timeout = min(timeout, UnlimitedTimeout)
	case !hasTimeout:
		timeout = limits.Deadline.Std()
	default:
		timeout = min(timeout, limits.MaxDeadline.Std())
	}
	work.Deadline = t.Timer.Now().Add(timeout)
	return nil
}

// Errors of reading a request's body.
var (
	// errBodyAborted means that the body ended early.
	errBodyAborted = errors.New("request body was aborted")
	// errBodyTimeout means that the body was incomplete at the deadline.
	errBodyTimeout = errors.New("request body was not complete before the deadline")
)

// readBody reads a body of at most MaxHeldBytes into memory. It leaves a larger
// one in its stream, and one of unknown length unless the method usually has none.
func (t *Terminator) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (*executor.Body, error) {
	unknown := r.ContentLength < 0
	small := r.ContentLength >= 0 && r.ContentLength <= MaxHeldBytes
	if unknown && usuallyWithoutBody(r.Method) {
		small = true
	}
	if !small {
		return streamedBody(r, r.Body), nil
	}
	held, err := t.readHeld(w, r, deadline)
	if err != nil {
		return nil, err
	}
	if len(held) > MaxHeldBytes {
		return streamedBody(r, io.MultiReader(strings.NewReader(string(held)), r.Body)), nil
	}
	if len(held) == 0 && len(r.Trailer) == 0 {
		return nil, nil
	}
	return &executor.Body{
		Held:         held,
		TrailerNames: trailerNames(r),
		Trailer:      func() http.Header { return r.Trailer },
	}, nil
}

func (t *Terminator) readHeld(w http.ResponseWriter, r *http.Request, deadline time.Time) ([]byte, error) {
	controller := http.NewResponseController(w)
	stop := t.Timer.After(deadline.Sub(t.Timer.Now()), func(time.Time) {
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	held, err := io.ReadAll(io.LimitReader(r.Body, MaxHeldBytes+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errBodyTimeout
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errBodyAborted, err)
	}
	return held, nil
}

// usuallyWithoutBody reports whether requests of a method usually have no body,
// even if they don't declare a length of 0.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete:
		return true
	}
	return false
}

func streamedBody(r *http.Request, stream io.Reader) *executor.Body {
	return &executor.Body{
		Stream:       stream,
		Length:       r.ContentLength,
		TrailerNames: trailerNames(r),
		Trailer:      func() http.Header { return r.Trailer },
	}
}

func trailerNames(r *http.Request) []string {
	names := make([]string, 0, len(r.Trailer))
	for name := range r.Trailer {
		names = append(names, name)
	}
	return names
}

// forwardedHeader returns the header for the backend server.
func forwardedHeader(r *http.Request, caller netip.Addr) http.Header {
	header := encoder.EndToEnd(r.Header)
	delete(header, encoder.HeaderTicket)
	if caller.IsValid() {
		header.Add("X-Forwarded-For", caller.String())
	}
	return header
}

func callerAddress(r *http.Request) netip.Addr {
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

func hasPrefix(path string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool {
		return strings.HasPrefix(path, prefix)
	})
}
