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

// maxHeldBytes bounds a body that follows at once. Origins hold less.
const maxHeldBytes = 128 << 10

// lingerTimeout bounds the wait for an origin that has been sent its answer.
const lingerTimeout = 2 * time.Second

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

// serve treats the request. A body that follows at once is read whole before
// the request counts as arrived, so that one that breaks within it has not run.
func (i *incoming) serve(ctx context.Context, work gooseberrymast.Work) {
	var body *executor.Body
	if i.begin.GetBodyFollows() {
		held, err := i.readHeld()
		if err != nil {
			return
		}
		body = held
	}
	pipe, feed := io.Pipe()
	read := make(chan struct{})
	go func() {
		defer close(read)
		i.readFrames(feed)
	}()
	if !i.begin.GetBodyFollows() {
		body = i.streamed(pipe)
	}
	writer := &replyWriter{incoming: i, header: http.Header{}}
	i.finish(writer, i.server.Local.ServeHandOver(ctx, &executor.Exchange{
		Work:    work,
		Request: i.request(body),
		Writer:  writer,
		Refuse: func(refusal gooseberrymast.Refusal) {
			_ = i.send(&handover.Reply{Frame: &handover.Reply_Refused{Refused: encoder.Refusal(refusal)}})
		},
	}))
	pipe.CloseWithError(io.ErrClosedPipe)
	<-read
}

// finish sends what is left and ends the reading of frames. The origin closes
// its side once it has read the answer; that is waited for, so that a process
// that stops does not cut an answer on its way.
func (i *incoming) finish(writer *replyWriter, status executor.Status) {
	switch status {
	case executor.StatusAnswered:
		writer.finish()
	case executor.StatusTorn:
		_ = i.send(&handover.Reply{Frame: &handover.Reply_Torn{Torn: &handover.Torn{}}})
	}
	i.stream.Close()
	i.stream.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func (i *incoming) request(body *executor.Body) *executor.Request {
	return &executor.Request{
		Method:    i.begin.GetMethod(),
		URI:       i.begin.GetUri(),
		Authority: i.begin.GetAuthority(),
		Header:    encoder.ParseFields(i.begin.GetHeaders()),
		Body:      body,
		Timeout:   time.Duration(i.begin.GetTimeoutNanos()),
		OpenEnded: i.begin.GetOpenEnded(),
	}
}

// readHeld reads the frames of a body that the origin holds, up to its end.
func (i *incoming) readHeld() (*executor.Body, error) {
	i.stream.SetReadDeadline(time.Now().Add(linker.HandshakeTimeout))
	defer i.stream.SetReadDeadline(time.Time{})
	var held []byte
	for {
		frame := &handover.Request{}
		if err := linker.ReadMessage(i.stream, frame); err != nil {
			return nil, err
		}
		switch frame := frame.GetFrame().(type) {
		case *handover.Request_Body:
			held = append(held, frame.Body...)
			if len(held) > maxHeldBytes {
				return nil, errProtocol
			}
		case *handover.Request_End:
			return i.held(held, encoder.ParseFields(frame.End.GetFields())), nil
		default:
			return nil, errProtocol
		}
	}
}

func (i *incoming) held(held []byte, trailers http.Header) *executor.Body {
	names := i.begin.GetTrailerNames()
	if len(held) == 0 && len(names) == 0 {
		return nil
	}
	return &executor.Body{
		Held:         held,
		TrailerNames: names,
		Trailer:      func() http.Header { return trailers },
	}
}

func (i *incoming) streamed(pipe *io.PipeReader) *executor.Body {
	return &executor.Body{
		Stream:       &wantedBody{incoming: i, pipe: pipe},
		Length:       i.begin.GetBodyBytes(),
		TrailerNames: i.begin.GetTrailerNames(),
		Trailer: func() http.Header {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.trailers
		},
	}
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
			_, _ = feed.Write(frame.Body) // A body that nobody wants is dropped.
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

// send writes one frame.
func (i *incoming) send(reply *handover.Reply) error {
	i.withLoad(reply)
	i.writes.Lock()
	defer i.writes.Unlock()
	return linker.WriteMessage(i.stream, reply)
}

// withLoad adds the agent's load to every frame but the pieces of a body.
func (i *incoming) withLoad(reply *handover.Reply) *handover.Reply {
	if _, piece := reply.GetFrame().(*handover.Reply_Body); !piece {
		reply.Load = encoder.Load(i.server.Local.Load())
	}
	return reply
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
		_ = w.incoming.send(&handover.Reply{Frame: &handover.Reply_Accepted{Accepted: &handover.Accepted{}}})
	})
	return w.pipe.Read(p)
}
