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
// The head waits for the first piece of the body or a flush. A small answer of
// known length goes out in one write, at its end.
type replyWriter struct {
	incoming *incoming
	header   http.Header
	status   int
	headSent bool
	// small is set while frames are gathered in pending.
	small   bool
	pending bytes.Buffer
}

// Header gives the fields of the head; those with http.TrailerPrefix that are
// set after the body become trailers.
func (w *replyWriter) Header() http.Header {
	return w.header
}

// WriteHeader sets the status.
func (w *replyWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write sends a piece of the body.
func (w *replyWriter) Write(p []byte) (int, error) {
	if err := w.sendHead(); err != nil {
		return 0, err
	}
	sent := 0
	for sent < len(p) {
		piece := p[sent:min(sent+pieceBytes, len(p))]
		if err := w.send(&handover.Reply{Frame: &handover.Reply_Body{Body: piece}}); err != nil {
			return sent, err
		}
		sent += len(piece)
	}
	return sent, nil
}

// FlushError sends what was written so far.
func (w *replyWriter) FlushError() error {
	if err := w.sendHead(); err != nil {
		return err
	}
	return w.sendPending()
}

// send sends a frame, or gathers it.
func (w *replyWriter) send(reply *handover.Reply) error {
	if w.small {
		return linker.WriteMessage(&w.pending, w.incoming.withLoad(reply))
	}
	return w.incoming.send(reply)
}

func (w *replyWriter) sendPending() error {
	if w.pending.Len() == 0 {
		return nil
	}
	w.small = false
	w.incoming.writes.Lock()
	defer w.incoming.writes.Unlock()
	_, err := w.pending.WriteTo(w.incoming.stream)
	return err
}

// SetWriteDeadline bounds the writes to the origin.
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
	w.small = length >= 0 && length <= executor.MaxHeldAnswerBytes
	return w.send(&handover.Reply{Frame: &handover.Reply_Head{Head: &handover.Head{
		Status:    int32(w.status),
		Headers:   encoder.Fields(w.header),
		BodyBytes: length,
	}}})
}

// finish sends the trailers and so says that the answer is whole.
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
	_ = w.sendPending() // The origin sees that the stream ended early.
}
