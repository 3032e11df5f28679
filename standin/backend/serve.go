package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderInstance, b.Name)
	if id := r.Header.Get(HeaderRequestID); id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	switch r.URL.Path {
	case PathHealth:
		b.serveHealth(w)
		return
	case PathLoad:
		b.serveLoad(w)
		return
	}
	mode := b.requestMode(r)
	switch mode {
	case ModeRefuse:
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	case ModeShed:
		b.shed(w)
		return
	}
	stream := r.URL.Path == PathPush || r.URL.Path == PathEcho
	if !b.beginRequest(r.Header.Get(HeaderRequestID), stream) {
		b.shed(w)
		return
	}
	defer b.endRequest(stream)
	b.run(w, r, mode)
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request, mode Mode) {
	switch mode {
	case ModeHang:
		// net/http detects a closed connection only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		b.countCancelled()
		return
	case ModeCrash:
		panic(http.ErrAbortHandler)
	case ModeFail:
		http.Error(w, "failed", http.StatusServiceUnavailable)
		return
	case ModeTruncate:
		sendTruncatedAnswer(w, 100)
	case ModeTruncateLong:
		sendTruncatedAnswer(w, 1<<20)
	}
	switch r.URL.Path {
	case PathPush:
		b.servePush(w, r)
	case PathEcho:
		b.serveEcho(w, r)
	default:
		b.serveUnary(w, r)
	}
}

// sendTruncatedAnswer sends the start of an answer of the given length and
// aborts the connection.
func sendTruncatedAnswer(w http.ResponseWriter, length int) {
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.Write([]byte("a part of the answer"))
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// prereadBytes is how much of a unary request's body is read before the service
// time starts.
const prereadBytes = 64 << 10

// serveUnary waits for the service time and echoes the body, its type and its
// trailers.
func (b *Backend) serveUnary(w http.ResponseWriter, r *http.Request) {
	http.NewResponseController(w).EnableFullDuplex()
	preread, err := io.ReadAll(io.LimitReader(r.Body, prereadBytes))
	if err != nil || !sleep(r.Context(), b.serviceTime(r)) {
		b.countCancelled()
		return
	}
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	if r.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	w.Write(preread)
	if len(r.Trailer) > 0 {
		// HTTP/1.1 allows trailers only after a chunked body.
		http.NewResponseController(w).Flush()
	}
	if _, err := io.Copy(w, r.Body); err != nil {
		b.countCancelled()
		return
	}
	for name, values := range r.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// servePush streams numbered lines.
func (b *Backend) servePush(w http.ResponseWriter, r *http.Request) {
	count, _ := strconv.Atoi(r.URL.Query().Get("count"))
	controller := http.NewResponseController(w)
	controller.Flush()
	for line := 0; count == 0 || line < count; line++ {
		if line > 0 && !sleep(r.Context(), b.pushInterval()) {
			b.countCancelled()
			return
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			b.countCancelled()
			return
		}
		controller.Flush()
	}
}

// serveEcho echoes the body as it arrives.
func (b *Backend) serveEcho(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	controller.EnableFullDuplex()
	controller.Flush()
	buffer := make([]byte, 4<<10)
	for {
		n, err := r.Body.Read(buffer)
		if n > 0 {
			w.Write(buffer[:n])
			controller.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			b.countCancelled()
			return
		}
	}
}

func (b *Backend) shed(w http.ResponseWriter) {
	b.countShed()
	w.Header().Set(headerNotRun, "true")
	http.Error(w, "overloaded", http.StatusServiceUnavailable)
}

func (b *Backend) requestMode(r *http.Request) Mode {
	if mode := r.Header.Get(HeaderMode); mode != "" {
		return Mode(mode)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mode
}

func (b *Backend) serviceTime(r *http.Request) time.Duration {
	duration := b.ServiceTime
	if requested, err := time.ParseDuration(r.Header.Get(HeaderServiceTime)); err == nil {
		duration = requested
	}
	if b.ColdFactor > 0 && time.Since(b.startedAt) < b.ColdFor {
		return time.Duration(float64(duration) * b.ColdFactor)
	}
	return duration
}

// sleep waits for the given time. It returns false if the context ended first.
func sleep(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
