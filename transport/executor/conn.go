package executor

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/net/http2"
)

// dialError means that no connection was made.
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

var errSealed = errors.New("the connection was given up before anything was written")

// countedConn counts what is written, and can be given up as long as that is
// nothing.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	bytes  uint64
	sealed bool
}

// Write counts before it writes, so that a count of zero means that nothing
// can have left.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.bytes += uint64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) written() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// sealUnwritten reports whether nothing was written since the mark, and if so
// fails all later writes: the library may still hold the request.
func (c *countedConn) sealUnwritten(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes != mark {
		return false
	}
	c.sealed = true
	return true
}

// refusedStream reports whether an HTTP/2 server said that it did not process
// the stream (RFC 9113, section 8.7).
func refusedStream(err error) bool {
	var reset http2.StreamError
	return errors.As(err, &reset) && reset.Code == http2.ErrCodeRefusedStream
}
