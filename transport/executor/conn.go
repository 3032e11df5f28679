package executor

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/net/http2"
)

// dialError means that no connection was established.
type dialError struct {
	address netip.AddrPort
	cause   error
}

func (e *dialError) Error() string {
	return fmt.Sprintf("Executor.dial %s: %v", e.address, e.cause)
}

func (e *dialError) Unwrap() error {
	return e.cause
}

var errWritesBlocked = errors.New("the connection was abandoned before the request was written")

// countingConn counts the bytes written, so that an attempt that has written
// none can be abandoned.
type countingConn struct {
	net.Conn

	mu            sync.Mutex
	bytes         uint64
	writesBlocked bool
}

// Write counts before it writes: if the count is unchanged, nothing can have
// been sent.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.bytes += uint64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countingConn) written() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// blockWritesIfNoneSince reports whether nothing was written since written
// returned mark. In that case it makes all later writes fail, since net/http may
// still hold the request.
func (c *countingConn) blockWritesIfNoneSince(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes != mark {
		return false
	}
	c.writesBlocked = true
	return true
}

// isRefusedStream reports whether an HTTP/2 server signalled that it did not
// process the stream (RFC 9113, section 8.7).
func isRefusedStream(err error) bool {
	var reset http2.StreamError
	return errors.As(err, &reset) && reset.Code == http2.ErrCodeRefusedStream
}
