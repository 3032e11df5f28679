package executor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/standin/backend"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func newPost(body string) *Request {
	return &Request{
		Method:    http.MethodPost,
		URI:       "/loans?kind=pall",
		Authority: "ledger.example",
		Header:    http.Header{},
		Body:      &Body{Held: []byte(body)},
		Timeout:   time.Minute,
	}
}

// startServer accepts connections and calls serve for each, which determines how
// the backend server fails. It counts the bytes that it received.
func startServer(t *testing.T, serve func(conn *net.TCPConn, lines *bufio.Reader)) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	socket, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(loopback))
	is.New(t).NoErr(err)
	var received atomic.Int64
	go func() {
		for {
			conn, err := socket.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(&countingReader{conn, &received}))
			}()
		}
	}()
	t.Cleanup(func() { socket.Close() })
	return socket.Addr().(*net.TCPAddr).AddrPort(), &received
}

type countingReader struct {
	io.Reader
	count *atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.count.Add(int64(n))
	return n, err
}

// readRequest reads one request to its end.
func readRequest(lines *bufio.Reader) {
	request, err := http.ReadRequest(lines)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
}

func TestIncompleteResponseIsBroken(t *testing.T) {
	tests := []struct {
		name  string
		serve func(conn *net.TCPConn, lines *bufio.Reader)
	}{
		{"closed after the first byte", func(_ *net.TCPConn, lines *bufio.Reader) { _, _ = lines.ReadByte() }},
		{"reset after the first byte", func(conn *net.TCPConn, lines *bufio.Reader) {
			_, _ = lines.ReadByte()
			_ = conn.SetLinger(0)
		}},
		{"closed after the request", func(_ *net.TCPConn, lines *bufio.Reader) { readRequest(lines) }},
		{"closed within the head", func(conn *net.TCPConn, lines *bufio.Reader) {
			readRequest(lines)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
		}},
		{"no HTTP", func(conn *net.TCPConn, lines *bufio.Reader) {
			readRequest(lines)
			_, _ = io.WriteString(conn, "hello\r\n\r\n")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, received := startServer(t, test.serve)
			x := &Executor{Address: address}
			defer x.Close()
			response, result := x.Run(t.Context(), newPost(strings.Repeat("body", 1000)))
			is.Equal(response, nil)
			is.Equal(result, gooseberrymast.ResultBroken)
			is.True(received.Load() > 0)
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		is := is.New(t)
		socket, err := net.Listen("tcp", loopback.String())
		is.NoErr(err)
		socket.Close()
		x := &Executor{Address: socket.Addr().(*net.TCPAddr).AddrPort(), HTTP2: http2}
		_, result := x.Run(t.Context(), newPost("body"))
		is.Equal(result, gooseberrymast.ResultNotSent)
	}
}

// The server closes an idle connection at the moment of its next use. The result
// may be not-sent only if no byte reached the server.
func TestNotSentOnClosedIdleConnectionMeansNothingReachedServer(t *testing.T) {
	results := map[gooseberrymast.Result]int{}
	for range 200 {
		is := is.New(t)
		hangUp, drained := make(chan struct{}), make(chan struct{})
		var used atomic.Bool
		address, received := startServer(t, func(conn *net.TCPConn, lines *bufio.Reader) {
			if used.Swap(true) {
				return // Further connections are closed at once.
			}
			readRequest(lines)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			<-hangUp
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, lines) // Late bytes are counted.
			close(drained)
		})
		x := &Executor{Address: address}
		response, _ := x.Run(t.Context(), newPost("first"))
		response.Body.Close()
		before := received.Load()
		close(hangUp)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		response, result := x.Run(ctx, newPost("second"))
		is.Equal(response, nil)
		x.Close()
		<-drained
		if result == gooseberrymast.ResultNotSent {
			is.Equal(received.Load(), before)
		} else {
			is.True(result == gooseberrymast.ResultBroken)
		}
		results[result]++
		cancel()
	}
	t.Log(results)
}

func TestHTTPLibraryDoesNotRetry(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprint("h2c ", http2), func(t *testing.T) {
			is := is.New(t)
			server := &backend.Backend{}
			address, err := server.Start(loopback)
			is.NoErr(err)
			defer server.Close()
			x := &Executor{Address: address, HTTP2: http2}
			request := &Request{Method: http.MethodGet, URI: "/", Authority: "a", Header: http.Header{}}
			for range 3 {
				response, result := x.Run(t.Context(), request)
				is.Equal(result, gooseberrymast.Result(0))
				_, err := io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				response.Body.Close()
			}
			request.Header.Set(backend.HeaderRequestID, "crash")
			request.Header.Set(backend.HeaderMode, string(backend.ModeCrash))
			_, result := x.Run(t.Context(), request)
			is.Equal(result, gooseberrymast.ResultBroken)
			is.Equal(server.Counts().Runs["crash"], 1) // a GET on a kept connection too
		})
	}
}

func TestContextEndSetsResult(t *testing.T) {
	tests := []struct {
		name  string
		cause error
		want  gooseberrymast.Result
	}{
		{"deadline", context.DeadlineExceeded, gooseberrymast.ResultTimedOut},
		{"cancelled", context.Canceled, gooseberrymast.ResultCancelled},
	}
	for _, test := range tests {
		for _, http2 := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, " h2c ", http2), func(t *testing.T) {
				is := is.New(t)
				server := &backend.Backend{}
				address, err := server.Start(loopback)
				is.NoErr(err)
				defer server.Close()
				x := &Executor{Address: address, HTTP2: http2}
				ctx, cancel := context.WithCancelCause(t.Context())
				request := newPost("body")
				request.Header.Set(backend.HeaderMode, string(backend.ModeHang))
				go func() {
					for server.Counts().Unary == 0 {
						time.Sleep(time.Millisecond)
					}
					cancel(test.cause)
				}()
				_, result := x.Run(ctx, request)
				is.Equal(result, test.want)
			})
		}
	}
}

func TestEndedContextIsNotSent(t *testing.T) {
	for _, cause := range []error{context.DeadlineExceeded, context.Canceled} {
		is := is.New(t)
		address, received := startServer(t, func(_ *net.TCPConn, lines *bufio.Reader) { readRequest(lines) })
		x := &Executor{Address: address}
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(cause)
		_, result := x.Run(ctx, newPost("body"))
		is.Equal(result, gooseberrymast.ResultNotSent)
		is.Equal(received.Load(), int64(0))
	}
}

func TestFailedRequestBodyIsCancelled(t *testing.T) {
	is := is.New(t)
	server := &backend.Backend{}
	address, err := server.Start(loopback)
	is.NoErr(err)
	defer server.Close()
	x := &Executor{Address: address}
	request := newPost("")
	request.Body = &Body{Stream: iotest.ErrReader(errors.New("the caller disconnected")), Length: 10}
	_, result := x.Run(t.Context(), request)
	is.Equal(result, gooseberrymast.ResultCancelled)
	is.True(!request.Body.Unread())
}

func TestClassify(t *testing.T) {
	tests := []struct {
		status int
		header http.Header
		want   gooseberrymast.Result
	}{
		{200, nil, gooseberrymast.ResultAnswered},
		{404, nil, gooseberrymast.ResultAnswered},
		{500, nil, gooseberrymast.ResultAnswered},
		{502, nil, gooseberrymast.ResultFailed},
		{503, nil, gooseberrymast.ResultFailed},
		{503, http.Header{"Gooseberrymast-Not-Run": {"yes"}}, gooseberrymast.ResultFailed},
		{503, http.Header{"Gooseberrymast-Not-Run": {"true"}}, gooseberrymast.ResultShed},
		{500, http.Header{"Gooseberrymast-Not-Run": {"true"}}, gooseberrymast.ResultAnswered},
		{200, http.Header{"Grpc-Status": {"14"}}, gooseberrymast.ResultFailed},
		{200, http.Header{"Grpc-Status": {"5"}}, gooseberrymast.ResultAnswered},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.status, test.header), func(t *testing.T) {
			is := is.New(t)
			is.Equal(Classify(&http.Response{StatusCode: test.status, Header: test.header}), test.want)
		})
	}
}
