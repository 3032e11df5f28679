package hander

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
	"gooseberrymast/protocol/messages/handover"
	"gooseberrymast/transport/executor"
	"gooseberrymast/transport/linker"
)

// incoming is one request at the agent that was given it.
type incoming struct {
	server *Server
	stream *linker.Stream
	begin  *handover.Begin
	cancel context.CancelCauseFunc

	writes   sync.Mutex // Serializes the writes of frames.
	mu       sync.Mutex
	trailers http.Header
}

func (i *incoming) serve(ctx context.Context, work gooseberrymast.Work) {
	body, feed := io.Pipe()
	read := make(chan struct{})
	go func() {
		defer close(read)
		i.readFrames(feed)
	}()
	writer := &replyWriter{incoming: i, header: http.Header{}}
	status := i.server.Local.ServeHandOver(ctx, &executor.Exchange{
		Work:    work,
		Request: i.request(body),
		Writer:  writer,
		Refuse: func(refusal gooseberrymast.Refusal) {
			i.send(&handover.Reply{Frame: &handover.Reply_Refused{Refused: encoder.Refusal(refusal)}})
		},
	})
	switch status {
	case executor.StatusAnswered:
		writer.finish()
	case executor.StatusTorn:
		i.send(&handover.Reply{Frame: &handover.Reply_Torn{Torn: &handover.Torn{}}})
	}
	i.stream.Close()
	i.stream.SetReadDeadline(time.Unix(1, 0))
	body.CloseWithError(io.ErrClosedPipe)
	<-read
}

func (i *incoming) request(body *io.PipeReader) *executor.Request {
	request := &executor.Request{
		Method:    i.begin.GetMethod(),
		URI:       i.begin.GetUri(),
		Authority: i.begin.GetAuthority(),
		Header:    encoder.ParseFields(i.begin.GetHeaders()),
		Timeout:   time.Duration(i.begin.GetTimeoutNanos()),
		OpenEnded: i.begin.GetOpenEnded(),
	}
	if i.begin.GetBodyBytes() == 0 && len(i.begin.GetTrailerNames()) == 0 {
		return request
	}
	request.Body = &executor.Body{
		Stream:       &wantedBody{incoming: i, pipe: body},
		Length:       i.begin.GetBodyBytes(),
		TrailerNames: i.begin.GetTrailerNames(),
		Trailer: func() http.Header {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.trailers
		},
	}
	return request
}

// readFrames feeds the body and watches for the origin's departure.
func (i *incoming) readFrames(feed *io.PipeWriter) {
	for {
		frame := &handover.Request{}
		if err := linker.ReadMessage(i.stream, frame); err != nil {
			i.cancel(errCancelled)
			feed.CloseWithError(errCancelled)
			return
		}
		switch frame := frame.GetFrame().(type) {
		case *handover.Request_Body:
			feed.Write(frame.Body) // A body that nobody wants is dropped.
		case *handover.Request_End:
			i.mu.Lock()
			i.trailers = encoder.ParseFields(frame.End.GetFields())
			i.mu.Unlock()
			feed.Close()
		default:
			i.cancel(errCancelled)
			feed.CloseWithError(errCancelled)
			return
		}
	}
}

// send writes one frame, with the agent's load unless it is a piece of a body.
func (i *incoming) send(reply *handover.Reply) error {
	if _, piece := reply.GetFrame().(*handover.Reply_Body); !piece {
		reply.Load = encoder.Load(i.server.Local.Load())
	}
	i.writes.Lock()
	defer i.writes.Unlock()
	return linker.WriteMessage(i.stream, reply)
}

// wantedBody tells the origin, at the first read, that the body is wanted, so
// that a request that is refused leaves its body at the origin.
type wantedBody struct {
	incoming *incoming
	pipe     *io.PipeReader
	once     sync.Once
}

func (w *wantedBody) Read(p []byte) (int, error) {
	w.once.Do(func() {
		if !w.incoming.begin.GetBodyFollows() {
			w.incoming.send(&handover.Reply{Frame: &handover.Reply_Accepted{Accepted: &handover.Accepted{}}})
		}
	})
	return w.pipe.Read(p)
}
