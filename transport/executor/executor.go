// Package executor runs requests on the agent's own backend server, over
// HTTP/1.1 or cleartext HTTP/2, and classifies the result of each attempt. It
// reports a request as not sent only if no byte of it can have reached the server.
package executor

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
)

// The bounds of the connections to the backend server.
const (
	// DialTimeout bounds one connection attempt, which stays within the
	// agent's own instance.
	DialTimeout = 2 * time.Second
	// IdleTimeout is the time after which an unused connection is closed. It is
	// below the idle timeout of common servers, since the outcome of a request
	// is unknown if the server closes the connection while it is written.
	IdleTimeout = 4 * time.Second
	// MaxIdleConnections is the number of unused HTTP/1.1 connections kept.
	MaxIdleConnections = 32
	// connectionBufferBytes sizes the buffers of each HTTP/1.1 connection.
	connectionBufferBytes = 1 << 10
)

// Executor runs requests on one backend server. Its fields must not change
// after the first use; it must not be copied.
type Executor struct {
	// Address is where the backend server listens. It must be set.
	Address netip.AddrPort
	// HTTP2 selects cleartext HTTP/2 instead of HTTP/1.1. Bidirectional
	// streams need it.
	HTTP2 bool

	once      sync.Once
	transport *http.Transport
}

// Run sends the request and returns the response once its head has arrived, or
// the result of the attempt if there is no response. The response body must be
// closed. The end of the context ends the attempt at any time, also while the
// response body is read; after its deadline the result is ResultTimedOut.
func (x *Executor) Run(ctx context.Context, request *Request) (*http.Response, gooseberrymast.Result) {
	x.once.Do(x.createTransport)
	attempt := &attempt{source: request.Body, body: request.Body.Open(), multiplexed: x.HTTP2}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: attempt.gotConn})
	outgoing, err := x.newHTTPRequest(ctx, request, attempt)
	if err != nil {
		return nil, gooseberrymast.ResultNotSent
	}
	response, err := x.transport.RoundTrip(outgoing)
	if err != nil {
		return nil, attempt.result(ctx, err)
	}
	return response, 0
}

// Close closes the idle connections.
func (x *Executor) Close() {
	x.once.Do(x.createTransport)
	x.transport.CloseIdleConnections()
}

func (x *Executor) createTransport() {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!x.HTTP2)
	protocols.SetUnencryptedHTTP2(x.HTTP2)
	x.transport = &http.Transport{
		DialContext:         x.dial,
		Protocols:           protocols,
		DisableCompression:  true,
		MaxIdleConns:        MaxIdleConnections,
		MaxIdleConnsPerHost: MaxIdleConnections,
		IdleConnTimeout:     IdleTimeout,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,
	}
}

func (x *Executor) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", x.Address.String())
	if err != nil {
		return nil, &dialError{address: x.Address, cause: err}
	}
	return &countingConn{Conn: conn}, nil
}

func (x *Executor) newHTTPRequest(ctx context.Context, request *Request, attempt *attempt) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, fmt.Errorf("Executor.newHTTPRequest: %w", err)
	}
	target.Scheme = "http"
	target.Host = x.Address.String()
	header := request.Header.Clone()
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // An empty value keeps net/http from adding its own.
	}
	delete(header, "Expect")
	if request.Timeout > 0 && !request.OpenEnded {
		encoder.SetTimeout(header, request.Timeout)
	}
	outgoing := &http.Request{
		Method: request.Method,
		URL:    target,
		Host:   request.Authority,
		Header: header,
		// A body without GetBody, even for a request without a body, keeps
		// net/http from retrying the request by itself.
		Body:          attempt,
		ContentLength: request.Body.Size(),
	}
	if names := request.Body.AnnouncedTrailers(); len(names) > 0 {
		outgoing.Trailer = make(http.Header, len(names))
		for _, name := range names {
			outgoing.Trailer[http.CanonicalHeaderKey(name)] = nil
		}
		outgoing.ContentLength = -1 // Trailers need a body of unknown length in HTTP/1.1.
		attempt.trailer = outgoing.Trailer
		attempt.trailers = request.Body.Trailers
	}
	return outgoing.WithContext(ctx), nil
}
