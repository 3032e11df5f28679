package hander

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
	"gooseberrymast/protocol/messages/handover"
	"gooseberrymast/transport/executor"
	"gooseberrymast/transport/linker"
)

// maxChunkBytes limits the part of a body in one frame.
const maxChunkBytes = 16 << 10

// cancelTimeout limits the time to send a cancellation.
const cancelTimeout = time.Second

// handOver is one request at its origin, the agent that hands it over.
type handOver struct {
	client      *Client
	peer        gooseberrymast.Identity
	work        gooseberrymast.Work
	request     *executor.Request
	stream      *linker.Stream
	cancelAbort func() bool // Unregisters abort from the context.

	mu      sync.Mutex // Serializes the writes of frames.
	sending bool       // The body is being sent and may block the stream.
	ended   bool       // Nothing more is written.
}

// run sends the request and waits for the head of the answer.
func (h *handOver) run(ctx context.Context) (*http.Response, gooseberrymast.Result, gooseberrymast.Refusal) {
	h.cancelAbort = context.AfterFunc(ctx, h.abort)
	if h.request.Body.Replayable() {
		h.sendHeldRequest()
	} else {
		h.send(h.beginFrame())
	}
	response, refusal, err := h.readHead(ctx)
	if err != nil {
		h.close()
		return nil, attemptResult(ctx), gooseberrymast.Refusal{}
	}
	if response != nil {
		return response, 0, gooseberrymast.Refusal{}
	}
	h.close()
	return nil, gooseberrymast.ResultRefused, refusal
}

func (h *handOver) beginFrame() *handover.Request {
	return &handover.Request{Frame: &handover.Request_Begin{Begin: &handover.Begin{
		Target:       encoder.Identity(h.peer),
		Origin:       encoder.Identity(h.work.Origin),
		OriginId:     uint64(h.work.OriginID),
		Service:      uint32(h.client.Service),
		Method:       h.request.Method,
		Uri:          h.request.URI,
		Authority:    h.request.Authority,
		Headers:      encoder.Fields(h.request.Header),
		TimeoutNanos: int64(h.request.Timeout),
		OpenEnded:    h.request.OpenEnded,
		Caller:       h.work.Caller.String(),
		Ticket:       encoder.Ticket(h.work.Ticket),
		Idempotent:   h.work.Idempotent,
		Stream:       h.work.Stream,
		Displaced:    h.work.Displaced,
		BodyBytes:    h.request.Body.Size(),
		BodyFollows:  h.request.Body.Replayable(),
		TrailerNames: h.request.Body.AnnouncedTrailers(),
	}}}
}

// readHead reads frames until the answer's head or a refusal.
func (h *handOver) readHead(ctx context.Context) (*http.Response, gooseberrymast.Refusal, error) {
	for {
		reply := &handover.Reply{}
		if err := linker.ReadMessage(h.stream, reply); err != nil {
			return nil, gooseberrymast.Refusal{}, err
		}
		h.client.reportLoad(h.peer, reply)
		switch frame := reply.GetFrame().(type) {
		case *handover.Reply_Accepted:
			h.startBody()
		case *handover.Reply_Refused:
			return nil, encoder.ParseRefusal(frame.Refused), nil
		case *handover.Reply_Head:
			return h.newResponse(ctx, frame.Head), gooseberrymast.Refusal{}, nil
		default:
			return nil, gooseberrymast.Refusal{}, errUnexpectedFrame
		}
	}
}

// startBody starts to send a streamed body, unless it was started before.
func (h *handOver) startBody() {
	h.mu.Lock()
	start := !h.sending && !h.ended && !h.request.Body.Replayable()
	h.sending = h.sending || start
	h.mu.Unlock()
	if !start {
		return
	}
	h.request.Body.MarkRead()
	go h.sendBody(h.request.Body.Open())
}

// sendHeldRequest sends a request whose body is held in memory, in one write. The
// body fits the stream's window, so the write doesn't wait for the peer to read.
func (h *handOver) sendHeldRequest() {
	var frames bytes.Buffer
	body := h.request.Body
	if err := linker.WriteMessage(&frames, h.beginFrame()); err != nil {
		h.abort()
		return
	}
	if body != nil {
		for chunk := range slices.Chunk(body.Held, maxChunkBytes) {
			_ = linker.WriteMessage(&frames, bodyFrame(chunk)) // A bytes.Buffer returns no error.
		}
	}
	_ = linker.WriteMessage(&frames, h.endFrame())
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		_, _ = h.stream.Write(frames.Bytes()) // If it fails, reading the reply fails too.
	}
}

func bodyFrame(chunk []byte) *handover.Request {
	return &handover.Request{Frame: &handover.Request_Body{Body: chunk}}
}

// endFrame returns the frame that follows the body.
func (h *handOver) endFrame() *handover.Request {
	trailers := &handover.Trailers{Fields: encoder.Fields(h.request.Body.Trailers())}
	return &handover.Request{Frame: &handover.Request_End{End: trailers}}
}

// sendBody sends a streamed body in chunks, followed by its trailers. If reading
// the body fails, it cancels the request, so that the truncated body isn't taken
// as complete.
func (h *handOver) sendBody(body io.Reader) {
	chunk := make([]byte, maxChunkBytes)
	for {
		n, err := body.Read(chunk)
		if n > 0 && !h.send(bodyFrame(chunk[:n])) {
			return
		}
		if errors.Is(err, io.EOF) {
			h.send(h.endFrame())
			h.mu.Lock()
			h.sending = false
			h.mu.Unlock()
			return
		}
		if err != nil {
			h.abort()
			return
		}
	}
}

// send writes a frame and reports whether it succeeded. If it fails, reading the
// reply fails too.
func (h *handOver) send(frame *handover.Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	return linker.WriteMessage(h.stream, frame) == nil
}

// abort cancels the request at the peer and ends the reading of its reply.
func (h *handOver) abort() {
	// Unblocks a writer that holds the lock.
	h.stream.SetWriteDeadline(time.Unix(1, 0))
	h.mu.Lock()
	ended, sending := h.ended, h.sending
	h.ended = true
	if !ended && !sending {
		h.stream.SetWriteDeadline(time.Now().Add(cancelTimeout))
		_ = linker.WriteMessage(h.stream, &handover.Request{Frame: &handover.Request_Cancel{Cancel: &handover.Cancel{}}})
	}
	h.mu.Unlock()
	if !ended && sending {
		h.cancelOnOwnStream()
	}
	h.stream.SetReadDeadline(time.Unix(1, 0))
	h.stream.Close()
}

// cancelOnOwnStream cancels the request on a separate stream, because frames of
// the body may block the request's stream.
func (h *handOver) cancelOnOwnStream() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	stream, err := h.client.open(ctx, h.peer)
	if err != nil {
		return // The loss of the session cancels the request.
	}
	defer stream.Close()
	stream.SetWriteDeadline(time.Now().Add(cancelTimeout))
	_ = linker.WriteMessage(stream, &handover.Request{Frame: &handover.Request_Cancel{Cancel: &handover.Cancel{
		Origin:   encoder.Identity(h.work.Origin),
		OriginId: uint64(h.work.OriginID),
	}}})
}

// close ends a hand-over that needs no cancellation.
func (h *handOver) close() {
	h.cancelAbort()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.stream.Close()
}
