// Package executor runs requests on the backend server beside the agent, over
// HTTP/1.1 or cleartext HTTP/2, and says truthfully how each attempt ended.
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
	// DialTimeout bounds one connection attempt on the agent's own instance.
	DialTimeout = 2 * time.Second
	// IdleTimeout closes unused connections. It is below the idle timeout of
	// common servers, since a connection that the server closes while a
	// request is written leaves the outcome unknown.
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
	// HTTP2 selects cleartext HTTP/2, without which requests go over
	// HTTP/1.1. Streams in both directions at once need it.
	HTTP2 bool

	once      sync.Once
	transport *http.Transport
}

// Run starts the request and gives the answer once its head has arrived, or
// the result of the attempt when there is no answer. The answer's body must be
// closed. The context ends the attempt at any time, also while the body of the
// answer is read; its deadline ends it with ResultTimedOut.
func (x *Executor) Run(ctx context.Context, request *Request) (*http.Response, gooseberrymast.Result) {
	x.once.Do(x.start)
	attempt := &attempt{source: request.Body, body: request.Body.Open(), shared: x.HTTP2}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: attempt.gotConn})
	outgoing, err := x.outgoing(ctx, request, attempt)
	if err != nil {
		return nil, gooseberrymast.ResultNotSent
	}
	response, err := x.transport.RoundTrip(outgoing)
	if err != nil {
		return nil, attempt.result(ctx, err)
	}
	return response, 0
}

// Close drops the idle connections.
func (x *Executor) Close() {
	x.once.Do(x.start)
	x.transport.CloseIdleConnections()
}

func (x *Executor) start() {
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
	return &countedConn{Conn: conn}, nil
}

func (x *Executor) outgoing(ctx context.Context, request *Request, attempt *attempt) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, fmt.Errorf("Executor.outgoing: %w", err)
	}
	target.Scheme = "http"
	target.Host = x.Address.String()
	header := request.Header.Clone()
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // An empty value keeps the library from adding its own.
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
		// A body without GetBody, even for a request that has none, keeps
		// the library from sending the request a second time by itself.
		Body:          attempt,
		ContentLength: request.Body.Size(),
	}
	if names := request.Body.Names(); len(names) > 0 {
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
