package hander

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"gooseberrymast/protocol/encoder"
	"gooseberrymast/protocol/messages/handover"
	"gooseberrymast/transport/linker"
)

// newResponse returns the answer with the head that the peer sent.
func (h *handOver) newResponse(ctx context.Context, head *handover.Head) *http.Response {
	response := &http.Response{
		StatusCode:    int(head.GetStatus()),
		Status:        strconv.Itoa(int(head.GetStatus())) + " " + http.StatusText(int(head.GetStatus())),
		Proto:         "HTTP/2.0",
		ProtoMajor:    2,
		Header:        encoder.ParseFields(head.GetHeaders()),
		ContentLength: head.GetBodyBytes(),
		Trailer:       http.Header{},
	}
	response.Body = &answerBody{handOver: h, ctx: ctx, response: response}
	return response
}

// answerBody is the body of an answer, read from frames.
type answerBody struct {
	handOver *handOver
	ctx      context.Context
	response *http.Response
	chunk    []byte
	err      error
}

// Read returns io.EOF only after the peer sent the end frame. A stream that ends
// without it returns io.ErrUnexpectedEOF.
func (a *answerBody) Read(p []byte) (int, error) {
	for len(a.chunk) == 0 {
		if a.err != nil {
			return 0, a.err
		}
		a.err = a.next()
	}
	n := copy(p, a.chunk)
	a.chunk = a.chunk[n:]
	return n, nil
}

func (a *answerBody) next() error {
	reply := &handover.Reply{}
	if err := linker.ReadMessage(a.handOver.stream, reply); err != nil {
		if cause := context.Cause(a.ctx); cause != nil {
			return cause
		}
		return io.ErrUnexpectedEOF
	}
	a.handOver.client.reportLoad(a.handOver.peer, reply)
	switch frame := reply.GetFrame().(type) {
	case *handover.Reply_Accepted:
		a.handOver.startBody()
	case *handover.Reply_Body:
		a.chunk = frame.Body
	case *handover.Reply_End:
		for name, values := range encoder.ParseFields(frame.End.GetFields()) {
			a.response.Trailer[name] = values
		}
		return io.EOF
	default:
		return io.ErrUnexpectedEOF
	}
	return nil
}

// Close ends the hand-over. It cancels the request unless its answer was read to
// the end.
func (a *answerBody) Close() error {
	if errors.Is(a.err, io.EOF) {
		a.handOver.close()
		return nil
	}
	a.handOver.cancelAbort()
	a.handOver.abort()
	return nil
}
