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

// maxHeldBytes limits a body that follows the begin frame at once. Origins hold
// smaller bodies only.
const maxHeldBytes = 128 << 10

// lingerTimeout limits the wait for the origin to close its side after the answer
// was sent.
const lingerTimeout = 2 * time.Second

// incoming is one request at the agent that received it.
type incoming struct {
	server *Server
	stream *linker.Stream
	begin  *handover.Begin
	cancel context.CancelCauseFunc

	writes   sync.Mutex // Serializes the writes of frames.
	mu       sync.Mutex
	trailers http.Header
}

// serve handles the request. A body that follows at once is read in full first, so
// that a request whose body is truncated doesn't run.
func (i *incoming) serve(ctx context.Context, work gooseberrymast.Work) {
	var body *executor.Body
	if i.begin.GetBodyFollows() {
		held, err := i.readHeld()
		if err != nil {
			return
		}
		body = held
	}
	pipeReader, pipeWriter := io.Pipe()
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		i.readFrames(pipeWriter)
	}()
	if !i.begin.GetBodyFollows() {
		body = i.streamedBody(pipeReader)
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
	pipeReader.CloseWithError(io.ErrClosedPipe)
	<-readDone
}

// finish sends the end of the answer and limits the time for reading further
// frames. serve waits until the origin has read the answer and closed its side, so
// that a stopping process doesn't cut off an answer in flight.
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

// readHeld reads the frames of a body that the origin holds in memory, up to the
// end frame.
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
				return nil, errUnexpectedFrame
			}
		case *handover.Request_End:
			return i.heldBody(held, encoder.ParseFields(frame.End.GetFields())), nil
		default:
			return nil, errUnexpectedFrame
		}
	}
}

func (i *incoming) heldBody(held []byte, trailers http.Header) *executor.Body {
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

func (i *incoming) streamedBody(pipeReader *io.PipeReader) *executor.Body {
	return &executor.Body{
		Stream:       &requestedBody{incoming: i, pipeReader: pipeReader},
		Length:       i.begin.GetBodyBytes(),
		TrailerNames: i.begin.GetTrailerNames(),
		Trailer: func() http.Header {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.trailers
		},
	}
}

// readFrames writes the body to the pipe. It cancels the request if the stream
// ends or an unexpected frame arrives.
func (i *incoming) readFrames(pipeWriter *io.PipeWriter) {
	for {
		frame := &handover.Request{}
		if err := linker.ReadMessage(i.stream, frame); err != nil {
			i.cancel(errCancelled)
			pipeWriter.CloseWithError(errCancelled)
			return
		}
		switch frame := frame.GetFrame().(type) {
		case *handover.Request_Body:
			_, _ = pipeWriter.Write(frame.Body) // After serve has closed the pipe, the body is dropped.
		case *handover.Request_End:
			i.mu.Lock()
			i.trailers = encoder.ParseFields(frame.End.GetFields())
			i.mu.Unlock()
			pipeWriter.Close()
		default:
			i.cancel(errCancelled)
			pipeWriter.CloseWithError(errCancelled)
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

// withLoad adds the agent's load to every frame except those of a body.
func (i *incoming) withLoad(reply *handover.Reply) *handover.Reply {
	if _, isBody := reply.GetFrame().(*handover.Reply_Body); !isBody {
		reply.Load = encoder.Load(i.server.Local.Load())
	}
	return reply
}

// requestedBody requests the body from the origin at the first read. The origin of
// a refused request therefore still has the body and can send it to another agent.
type requestedBody struct {
	incoming   *incoming
	pipeReader *io.PipeReader
	once       sync.Once
}

func (w *requestedBody) Read(p []byte) (int, error) {
	w.once.Do(func() {
		_ = w.incoming.send(&handover.Reply{Frame: &handover.Reply_Accepted{Accepted: &handover.Accepted{}}})
	})
	return w.pipeReader.Read(p)
}
