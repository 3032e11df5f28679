package executor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
)

// Classify tells from the head of an answer how the attempt ended:
// ResultShed, ResultFailed, or ResultAnswered when the answer is to be passed
// on. A 500 is the backend server's own answer; 502, 503, 504 and the gRPC
// status unavailable say that it could not do its work.
func Classify(response *http.Response) gooseberrymast.Result {
	switch response.StatusCode {
	case http.StatusServiceUnavailable:
		if response.Header.Get(encoder.HeaderNotRun) == "true" {
			return gooseberrymast.ResultShed
		}
		return gooseberrymast.ResultFailed
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return gooseberrymast.ResultFailed
	}
	if response.Header.Get("Grpc-Status") == grpcUnavailable {
		return gooseberrymast.ResultFailed
	}
	return gooseberrymast.ResultAnswered
}

// grpcUnavailable is the gRPC status of a server that can't do its work.
const grpcUnavailable = "14"

// MaxHeldAnswerBytes is the largest answer that is received whole before its
// head is passed on.
const MaxHeldAnswerBytes = 16 << 10

// Hold receives a small answer of known length whole. It gives zero, or the
// result of an attempt whose answer broke before anything was passed on. Such
// a request can still be run again or refused, unlike one whose answer tears.
func Hold(ctx context.Context, response *http.Response) gooseberrymast.Result {
	if response.ContentLength < 0 || response.ContentLength > MaxHeldAnswerBytes {
		return 0
	}
	defer response.Body.Close()
	held, err := io.ReadAll(response.Body)
	if err == nil {
		response.Body = io.NopCloser(bytes.NewReader(held))
		return 0
	}
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return gooseberrymast.ResultBroken
	case errors.Is(cause, context.DeadlineExceeded):
		return gooseberrymast.ResultTimedOut
	}
	return gooseberrymast.ResultCancelled
}

// Pass writes an answer to the writer, each piece as it comes, and closes it.
// It gives ResultAnswered, ResultTorn when the answer broke, or
// ResultCancelled when the writer failed. In the last two cases the writer's
// stream must be reset, so that nobody takes the part for the whole.
func Pass(writer http.ResponseWriter, response *http.Response) gooseberrymast.Result {
	defer response.Body.Close()
	header := writer.Header()
	for name, values := range encoder.EndToEnd(response.Header) {
		header[name] = values
	}
	delete(header, encoder.HeaderNotRun)
	delete(header, encoder.HeaderRefusal) // Only this system's own word counts.
	writer.WriteHeader(response.StatusCode)
	// An answer of known length is short of nothing that a flush would show.
	streamed := response.ContentLength < 0
	flush := http.NewResponseController(writer).Flush
	if streamed {
		if err := flush(); err != nil {
			return gooseberrymast.ResultCancelled
		}
	}
	if result := copyBody(writer, response.Body, streamed, flush); result != gooseberrymast.ResultAnswered {
		return result
	}
	for name, values := range response.Trailer {
		if len(values) > 0 {
			header[http.TrailerPrefix+name] = values
		}
	}
	return gooseberrymast.ResultAnswered
}

// The buffers by which bodies are copied, in bytes. Idle streams wait with the
// small one.
const (
	smallBufferBytes = 1 << 10
	largeBufferBytes = 16 << 10
)

var largeBuffers = sync.Pool{New: func() any { return new([largeBufferBytes]byte) }}

func copyBody(writer io.Writer, body io.Reader, streamed bool, flush func() error) gooseberrymast.Result {
	small := make([]byte, smallBufferBytes)
	for {
		n, readErr := body.Read(small)
		full := n == len(small)
		result := writePiece(writer, small[:n], streamed, flush)
		for full && readErr == nil && result == gooseberrymast.ResultAnswered {
			full, result, readErr = copyLarge(writer, body, streamed, flush)
		}
		if result != gooseberrymast.ResultAnswered {
			return result
		}
		if errors.Is(readErr, io.EOF) {
			return gooseberrymast.ResultAnswered
		}
		if readErr != nil {
			return gooseberrymast.ResultTorn
		}
	}
}

// copyLarge copies one piece with a large buffer, which it holds only while
// more is known to be on its way.
func copyLarge(writer io.Writer, body io.Reader, streamed bool, flush func() error) (full bool, result gooseberrymast.Result, readErr error) {
	buffer := largeBuffers.Get().(*[largeBufferBytes]byte)
	defer largeBuffers.Put(buffer)
	n, readErr := body.Read(buffer[:])
	result = writePiece(writer, buffer[:n], streamed, flush)
	return n >= smallBufferBytes, result, readErr
}

func writePiece(writer io.Writer, piece []byte, streamed bool, flush func() error) gooseberrymast.Result {
	if len(piece) == 0 {
		return gooseberrymast.ResultAnswered
	}
	if _, err := writer.Write(piece); err != nil {
		return gooseberrymast.ResultCancelled
	}
	if !streamed {
		return gooseberrymast.ResultAnswered
	}
	if err := flush(); err != nil {
		return gooseberrymast.ResultCancelled
	}
	return gooseberrymast.ResultAnswered
}
