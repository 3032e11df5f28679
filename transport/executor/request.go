package executor

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Request is one request as the transport passes it on, whether it came on a
// caller's flow or by a hand-over.
type Request struct {
	// Method is an HTTP method other than CONNECT.
	Method string
	// URI is the path and query, starting with a slash.
	URI string
	// Authority is the host that the caller named.
	Authority string
	// Header has no hop-by-hop fields.
	Header http.Header
	// Body is nil when the request has none.
	Body *Body
	// Timeout is the time that is left when an attempt starts. Within it the
	// answer must be whole or, when OpenEnded is set, must have begun. Zero
	// is no limit.
	Timeout time.Duration
	// OpenEnded is set for streams.
	OpenEnded bool
}

// Path gives the URI without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.URI, "?")
	return path
}

// Body is the body of a request. It is either held whole, and can be sent any
// number of times, or streamed once.
type Body struct {
	// Held is the whole body; it is not used when Stream is set.
	Held []byte
	// Stream gives the body once.
	Stream io.Reader
	// Length is the length of Stream in bytes, or -1 when it is not known.
	Length int64
	// TrailerNames lists the trailers that the caller announced.
	TrailerNames []string
	// Trailer gives the trailers once the body was read to its end; nil
	// means that there are none.
	Trailer func() http.Header

	mu    sync.Mutex
	taken bool
}

// Replayable reports whether the body can be sent again.
func (b *Body) Replayable() bool {
	return b == nil || b.Stream == nil
}

// Whole reports whether an attempt can still send the body from its start.
func (b *Body) Whole() bool {
	if b.Replayable() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.taken
}

// Size gives the length in bytes, or -1 when it is not known.
func (b *Body) Size() int64 {
	if b == nil {
		return 0
	}
	if b.Stream == nil {
		return int64(len(b.Held))
	}
	return b.Length
}

// Names lists the announced trailers.
func (b *Body) Names() []string {
	if b == nil {
		return nil
	}
	return b.TrailerNames
}

// Trailers gives the trailers; the body must have been read to its end.
func (b *Body) Trailers() http.Header {
	if b == nil || b.Trailer == nil {
		return nil
	}
	return b.Trailer()
}

// Open gives a reader from the body's start. The reader of a streamed body may
// be used only after Take.
func (b *Body) Open() io.Reader {
	if b == nil {
		return bytes.NewReader(nil)
	}
	if b.Stream == nil {
		return bytes.NewReader(b.Held)
	}
	return b.Stream
}

// Take marks a streamed body as read.
func (b *Body) Take() {
	if b.Replayable() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken = true
}
