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

// pieceBytes is the largest piece of a body in one frame.
const pieceBytes = 16 << 10

// cancelTimeout bounds the sending of a cancellation.
const cancelTimeout = time.Second

// handOver is one request at the agent that hands it over.
type handOver struct {
	client  *Client
	peer    gooseberrymast.Identity
	work    gooseberrymast.Work
	request *executor.Request
	stream  *linker.Stream
	stop    func() bool

	mu      sync.Mutex // Serializes the writes of frames.
	sending bool       // The body is on its way and may hold up the stream.
	ended   bool       // Nothing more is written.
}

// run sends the request and waits for the head of the answer.
func (h *handOver) run(ctx context.Context) (*http.Response, gooseberrymast.Result, gooseberrymast.Refusal) {
	h.stop = context.AfterFunc(ctx, h.abort)
	if h.request.Body.Replayable() {
		h.sendWhole()
	} else {
		h.send(h.begin())
	}
	response, refusal, err := h.head(ctx)
	if err != nil {
		h.close()
		return nil, broken(ctx), gooseberrymast.Refusal{}
	}
	if response != nil {
		return response, 0, gooseberrymast.Refusal{}
	}
	h.close()
	return nil, gooseberrymast.ResultRefused, refusal
}

func (h *handOver) begin() *handover.Request {
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
		TrailerNames: h.request.Body.Names(),
	}}}
}

// head reads frames until the answer's head or a refusal.
func (h *handOver) head(ctx context.Context) (*http.Response, gooseberrymast.Refusal, error) {
	for {
		reply := &handover.Reply{}
		if err := linker.ReadMessage(h.stream, reply); err != nil {
			return nil, gooseberrymast.Refusal{}, err
		}
		h.client.note(h.peer, reply)
		switch frame := reply.GetFrame().(type) {
		case *handover.Reply_Accepted:
			h.accepted()
		case *handover.Reply_Refused:
			return nil, encoder.ParseRefusal(frame.Refused), nil
		case *handover.Reply_Head:
			return h.response(ctx, frame.Head), gooseberrymast.Refusal{}, nil
		default:
			return nil, gooseberrymast.Refusal{}, errProtocol
		}
	}
}

// accepted starts to send a streamed body, once.
func (h *handOver) accepted() {
	h.mu.Lock()
	first := !h.sending && !h.ended && !h.request.Body.Replayable()
	h.sending = h.sending || first
	h.mu.Unlock()
	if !first {
		return
	}
	h.request.Body.Take()
	go h.sendBody(h.request.Body.Open())
}

// sendWhole sends a request whose body is held, in one write: the body fits
// the stream's window, so this does not wait for the peer to read it.
func (h *handOver) sendWhole() {
	var frames bytes.Buffer
	body := h.request.Body
	if err := linker.WriteMessage(&frames, h.begin()); err != nil {
		h.abort()
		return
	}
	if body != nil {
		for piece := range slices.Chunk(body.Held, pieceBytes) {
			_ = linker.WriteMessage(&frames, bodyFrame(piece)) // A buffer takes all.
		}
	}
	_ = linker.WriteMessage(&frames, h.end())
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		_, _ = h.stream.Write(frames.Bytes()) // A failure shows in the reading of the reply.
	}
}

func bodyFrame(piece []byte) *handover.Request {
	return &handover.Request{Frame: &handover.Request_Body{Body: piece}}
}

// end gives the frame that follows the body.
func (h *handOver) end() *handover.Request {
	trailers := &handover.Trailers{Fields: encoder.Fields(h.request.Body.Trailers())}
	return &handover.Request{Frame: &handover.Request_End{End: trailers}}
}

// sendBody sends a streamed body in pieces and its trailers. A body that breaks
// cancels the request, so that nobody takes the part for the whole.
func (h *handOver) sendBody(body io.Reader) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := body.Read(piece)
		if n > 0 && !h.send(bodyFrame(piece[:n])) {
			return
		}
		if errors.Is(err, io.EOF) {
			h.send(h.end())
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

// send writes a frame. A failure shows in the reading of the reply.
func (h *handOver) send(frame *handover.Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	return linker.WriteMessage(h.stream, frame) == nil
}

// abort tells the peer to stop and ends the reading of its reply.
func (h *handOver) abort() {
	// The deadline releases a writer that holds the lock.
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
		h.cancelBeside()
	}
	h.stream.SetReadDeadline(time.Unix(1, 0))
	h.stream.Close()
}

// cancelBeside cancels on a stream of its own, since frames of the body may
// wait in this one.
func (h *handOver) cancelBeside() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	stream, err := h.client.open(ctx, h.peer)
	if err != nil {
		return // A lost session cancels the request by itself.
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
	h.stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.stream.Close()
}
