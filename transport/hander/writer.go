package hander

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gooseberrymast/protocol/encoder"
	"gooseberrymast/protocol/messages/handover"
	"gooseberrymast/transport/executor"
	"gooseberrymast/transport/linker"
)

// replyWriter is the http.ResponseWriter of a request that was handed over.
// The head is sent with the first part of the body or at a flush. A small answer
// of known length is sent in one write, at its end.
type replyWriter struct {
	incoming *incoming
	header   http.Header
	status   int
	headSent bool
	// buffering is set while frames are collected in pending.
	buffering bool
	pending   bytes.Buffer
}

// Header implements http.ResponseWriter. Fields with http.TrailerPrefix that are
// set after the body are sent as trailers.
func (w *replyWriter) Header() http.Header {
	return w.header
}

// WriteHeader implements http.ResponseWriter. It sets the status of the head.
func (w *replyWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter. It sends a part of the body.
func (w *replyWriter) Write(p []byte) (int, error) {
	if err := w.sendHead(); err != nil {
		return 0, err
	}
	sent := 0
	for sent < len(p) {
		chunk := p[sent:min(sent+maxChunkBytes, len(p))]
		if err := w.send(&handover.Reply{Frame: &handover.Reply_Body{Body: chunk}}); err != nil {
			return sent, err
		}
		sent += len(chunk)
	}
	return sent, nil
}

// FlushError sends everything written so far.
func (w *replyWriter) FlushError() error {
	if err := w.sendHead(); err != nil {
		return err
	}
	return w.sendPending()
}

// send sends a frame, or adds it to pending while buffering.
func (w *replyWriter) send(reply *handover.Reply) error {
	if w.buffering {
		return linker.WriteMessage(&w.pending, w.incoming.withLoad(reply))
	}
	return w.incoming.send(reply)
}

func (w *replyWriter) sendPending() error {
	if w.pending.Len() == 0 {
		return nil
	}
	w.buffering = false
	w.incoming.writes.Lock()
	defer w.incoming.writes.Unlock()
	_, err := w.pending.WriteTo(w.incoming.stream)
	return err
}

// SetWriteDeadline sets the deadline for writes to the origin.
func (w *replyWriter) SetWriteDeadline(deadline time.Time) error {
	return w.incoming.stream.SetWriteDeadline(deadline)
}

func (w *replyWriter) sendHead() error {
	if w.headSent {
		return nil
	}
	w.headSent = true
	w.WriteHeader(http.StatusOK)
	length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	if err != nil {
		length = -1
	}
	w.buffering = length >= 0 && length <= executor.MaxBufferedResponseBytes
	return w.send(&handover.Reply{Frame: &handover.Reply_Head{Head: &handover.Head{
		Status:    int32(w.status),
		Headers:   encoder.Fields(w.header),
		BodyBytes: length,
	}}})
}

// finish sends the end frame with the trailers, which marks the answer as complete.
func (w *replyWriter) finish() {
	if err := w.sendHead(); err != nil {
		return
	}
	trailers := http.Header{}
	for name, values := range w.header {
		if trailer, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			trailers[trailer] = values
		}
	}
	end := &handover.Trailers{Fields: encoder.Fields(trailers)}
	if err := w.send(&handover.Reply{Frame: &handover.Reply_End{End: end}}); err != nil {
		return
	}
	_ = w.sendPending() // If it fails, the origin notices the early end of the stream.
}
