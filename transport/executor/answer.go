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

// Classify returns the result of an attempt by the head of its response:
// ResultShed, ResultFailed, or ResultAnswered if the response is to be forwarded.
// A 500 counts as an answer of the backend server; 502, 503, 504 and the gRPC
// status unavailable mean that it could not process the request.
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

// grpcUnavailable is the gRPC status code UNAVAILABLE.
const grpcUnavailable = "14"

// MaxBufferedResponseBytes is the largest response body that is buffered before the
// head is forwarded.
const MaxBufferedResponseBytes = 16 << 10

// BufferResponse buffers a small response of known length. It returns zero, or the
// result of the attempt if the response broke. As nothing was forwarded by then,
// such a request can still be retried or refused.
func BufferResponse(ctx context.Context, response *http.Response) gooseberrymast.Result {
	if response.ContentLength < 0 || response.ContentLength > MaxBufferedResponseBytes {
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

// CopyResponse copies a response to the writer, each piece as it arrives, and
// closes it. It returns ResultAnswered, ResultTruncated if the response broke, or
// ResultCancelled if the writer failed. In the last two cases the writer's stream
// must be reset, so that a truncated response isn't taken for a complete one.
func CopyResponse(writer http.ResponseWriter, response *http.Response) gooseberrymast.Result {
	defer response.Body.Close()
	header := writer.Header()
	for name, values := range encoder.EndToEnd(response.Header) {
		header[name] = values
	}
	delete(header, encoder.HeaderNotRun)
	delete(header, encoder.HeaderRefusal) // Only agents may set it, not a backend server.
	writer.WriteHeader(response.StatusCode)
	// A response of known length is not a stream and needs no flush.
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

// The sizes of the buffers to copy bodies, in bytes. An idle stream holds only
// the small one.
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
			return gooseberrymast.ResultTruncated
		}
	}
}

// copyLarge copies one piece with a large buffer, which is used only after a
// read that filled the buffer before, so that more data is likely available.
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
