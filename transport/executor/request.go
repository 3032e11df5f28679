package executor

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Request is one request in the form in which the transport forwards it, whether
// it came on a caller's flow or by a hand-over.
type Request struct {
	// Method is an HTTP method other than CONNECT.
	Method string
	// URI is the path and query, starting with a slash.
	URI string
	// Authority is the host that the caller requested.
	Authority string
	// Header has no hop-by-hop fields.
	Header http.Header
	// Body is nil if the request has none.
	Body *Body
	// Timeout is the time left when an attempt starts. Within it the response
	// must be complete or, if OpenEnded is set, must have begun. Zero means no
	// limit.
	Timeout time.Duration
	// OpenEnded is set for streams, which may last longer than Timeout.
	OpenEnded bool
}

// Path returns the URI without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.URI, "?")
	return path
}

// Body is the body of a request. It is either held in memory, and can be sent
// any number of times, or streamed once.
type Body struct {
	// Held is the complete body; it is not used if Stream is set.
	Held []byte
	// Stream reads a body that can be sent only once.
	Stream io.Reader
	// Length is the length of Stream in bytes, or -1 if unknown.
	Length int64
	// TrailerNames lists the trailers that the caller announced.
	TrailerNames []string
	// Trailer returns the trailers once the body was read to its end; nil
	// means that there are none.
	Trailer func() http.Header

	mu          sync.Mutex
	readStarted bool
}

// Replayable reports whether the body can be sent again.
func (b *Body) Replayable() bool {
	return b == nil || b.Stream == nil
}

// Unread reports whether the next attempt can send the body from its start.
func (b *Body) Unread() bool {
	if b.Replayable() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.readStarted
}

// Size returns the length in bytes, or -1 if unknown.
func (b *Body) Size() int64 {
	if b == nil {
		return 0
	}
	if b.Stream == nil {
		return int64(len(b.Held))
	}
	return b.Length
}

// AnnouncedTrailers returns the names of the announced trailers.
func (b *Body) AnnouncedTrailers() []string {
	if b == nil {
		return nil
	}
	return b.TrailerNames
}

// Trailers returns the trailers. The body must have been read to its end.
func (b *Body) Trailers() http.Header {
	if b == nil || b.Trailer == nil {
		return nil
	}
	return b.Trailer()
}

// Open returns a reader from the body's start. The reader of a streamed body may
// be used only after MarkRead.
func (b *Body) Open() io.Reader {
	if b == nil {
		return bytes.NewReader(nil)
	}
	if b.Stream == nil {
		return bytes.NewReader(b.Held)
	}
	return b.Stream
}

// MarkRead marks a streamed body as read.
func (b *Body) MarkRead() {
	if b.Replayable() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readStarted = true
}
