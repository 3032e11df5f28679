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

// Unlimited stands in for the deadline of a stream that has none.
const Unlimited = 10 * 365 * 24 * time.Hour

// idempotentMethods lists the methods of which a second run does no harm
// (RFC 9110, section 9.2.2).
var idempotentMethods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodOptions,
	http.MethodTrace,
	http.MethodPut,
	http.MethodDelete,
}

// exchange turns a request into work. It reads a small body whole, so that a
// slow caller holds no slot of the backend server.
func (t *Terminator) exchange(w http.ResponseWriter, r *http.Request) (*executor.Exchange, error) {
	service := t.Document()
	work := gooseberrymast.Work{
		Caller:     callerOf(r),
		Path:       r.URL.Path,
		Stream:     hasPrefix(r.URL.Path, service.Streams),
		Idempotent: slices.Contains(idempotentMethods, r.Method) || hasPrefix(r.URL.Path, service.Idempotent),
	}
	request := &executor.Request{
		Method:    r.Method,
		URI:       r.URL.RequestURI(),
		Authority: r.Host,
		Header:    passedHeader(r, work.Caller),
	}
	if err := t.setDeadline(&work, request, r, service.Limits); err != nil {
		return nil, err
	}
	ticket, err := t.ticket(r)
	if err != nil {
		return nil, err
	}
	work.Ticket = ticket
	request.Body, err = t.body(w, r, work.Deadline)
	if err != nil {
		return nil, err
	}
	work.Replayable = request.Body.Replayable()
	return &executor.Exchange{
		Work:    work,
		Request: request,
		Writer:  w,
		Refuse: func(refusal gooseberrymast.Refusal) {
			_ = encoder.WriteRefusal(w, r, refusal) // A caller that is gone needs none.
		},
	}, nil
}

// setDeadline takes the caller's timeout, capped, or the document's. A stream
// has a deadline only if its caller asks for one.
func (t *Terminator) setDeadline(work *gooseberrymast.Work, request *executor.Request, r *http.Request, limits gooseberrymast.Limits) error {
	timeout, asked, err := encoder.Timeout(r.Header)
	switch {
	case err != nil:
		return err
	case work.Stream && !asked:
		timeout = Unlimited
		request.OpenEnded = true
	case work.Stream:
		timeout = min(timeout, Unlimited)
	case !asked:
		timeout = limits.Deadline.Std()
	default:
		timeout = min(timeout, limits.MaxDeadline.Std())
	}
	work.Deadline = t.Timer.Now().Add(timeout)
	return nil
}

// The errors of a request's body.
var (
	// errBody means that the caller went away within it.
	errBody = errors.New("the request's body broke off")
	// errSlowBody means that it did not come before the deadline.
	errSlowBody = errors.New("the request's body did not come before the deadline")
)

// body holds a small body and leaves a large one, or one of unknown length, in
// its stream.
func (t *Terminator) body(w http.ResponseWriter, r *http.Request, deadline time.Time) (*executor.Body, error) {
	unknown := r.ContentLength < 0
	small := r.ContentLength >= 0 && r.ContentLength <= MaxHeldBytes
	if unknown && usuallyEmpty(r.Method) {
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
		return nil, errSlowBody
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errBody, err)
	}
	return held, nil
}

// usuallyEmpty reports whether requests of a method have no body as a rule,
// also when they don't say so by a length of zero.
func usuallyEmpty(method string) bool {
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

// passedHeader gives the header for the backend server.
func passedHeader(r *http.Request, caller netip.Addr) http.Header {
	header := encoder.EndToEnd(r.Header)
	delete(header, encoder.HeaderTicket)
	if caller.IsValid() {
		header.Add("X-Forwarded-For", caller.String())
	}
	return header
}

func callerOf(r *http.Request) netip.Addr {
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
