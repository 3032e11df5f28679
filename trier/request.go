package trier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gooseberrymast"
	"gooseberrymast/caller"
	"gooseberrymast/standin/backend"
)

// longPath is the path of requests that are long by design.
const longPath = "/work/sync"

// streamPrefix is the prefix of the request IDs of streams.
const streamPrefix = "flow/"

// streamDeadline bounds a stream; streams of the plans are far shorter.
const streamDeadline = 5 * time.Minute

// Reasons that the caller determines itself, when it received no refusal from
// the system.
const (
	reasonCallerTimeout gooseberrymast.Reason = "caller-timeout"
	reasonNoFlow        gooseberrymast.Reason = "no-flow"
)

// requestSpec describes a request to send.
type requestSpec struct {
	id         string
	service    string
	path       string
	long       bool
	idempotent bool
	work       time.Duration
	deadline   time.Duration
	body       []byte
}

// send sends a request over a flow and compares the answer with the expected
// one byte for byte.
func send(f *flow, spec requestSpec) outcome {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), spec.deadline)
	defer cancel()
	o := outcome{id: spec.id, long: spec.long, idempotent: spec.idempotent}
	response, err := f.client.Do(newRequest(ctx, spec))
	if err == nil {
		o.result, o.reason, err = classifyResponse(response, spec)
	}
	if err != nil {
		o.result, o.reason = classifyError(ctx, err)
	}
	o.ended = time.Now()
	o.latency = o.ended.Sub(started)
	o.late = o.latency > spec.deadline
	return o
}

func newRequest(ctx context.Context, spec requestSpec) *http.Request {
	method := http.MethodPost
	if spec.idempotent {
		method = http.MethodPut
	}
	url := "https://" + spec.service + spec.path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(spec.body))
	if err != nil {
		panic(fmt.Sprintf("newRequest %s: %v", url, err))
	}
	request.Header.Set(backend.HeaderRequestID, spec.id)
	request.Header.Set(backend.HeaderServiceTime, spec.work.String())
	return request
}

// classifyResponse reads the response and classifies it.
func classifyResponse(response *http.Response, spec requestSpec) (result, gooseberrymast.Reason, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return resultCut, "", err
	}
	if response.StatusCode != http.StatusOK {
		return classifyRefusal(response)
	}
	complete := bytes.Equal(body, spec.body) &&
		response.Header.Get(backend.HeaderRequestID) == spec.id &&
		servedBy(response, spec.service)
	if !complete {
		return resultWrong, "", nil
	}
	return resultComplete, "", nil
}

// servedBy reports whether the response comes from a backend server of the
// service.
func servedBy(response *http.Response, service string) bool {
	return strings.HasPrefix(response.Header.Get(backend.HeaderInstance), service+"-")
}

func classifyRefusal(response *http.Response) (result, gooseberrymast.Reason, error) {
	refusal, ok := caller.RefusalOf(response, nil)
	if !ok {
		return resultUnknown, gooseberrymast.Reason("status-" + strconv.Itoa(response.StatusCode)), nil
	}
	return resultOf(refusal), refusal.Reason, nil
}

func resultOf(refusal gooseberrymast.Refusal) result {
	if refusal.Ran == gooseberrymast.RanNo {
		return resultNotRun
	}
	return resultUnknown
}

// classifyError classifies a request that failed without a response.
func classifyError(ctx context.Context, err error) (result, gooseberrymast.Reason) {
	var refusal gooseberrymast.Refusal
	if errors.As(err, &refusal) {
		return resultOf(refusal), refusal.Reason
	}
	if ctx.Err() != nil {
		return resultUnknown, reasonCallerTimeout
	}
	if errors.Is(err, caller.ErrNotRun) {
		return resultNotRun, reasonNoFlow
	}
	return resultCut, gooseberrymast.Reason(err.Error())
}

// streamEnd describes how a stream ended.
type streamEnd struct {
	result result
	detail string
}

// readStream opens a stream and reads its numbered lines to the end.
func readStream(f *flow, id string, lines int) streamEnd {
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	url := fmt.Sprintf("https://%s%s?count=%d", f.service.Name, backend.PathPush, lines)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		panic(fmt.Sprintf("readStream %s: %v", url, err))
	}
	request.Header.Set(backend.HeaderRequestID, id)
	response, err := f.client.Do(request)
	if err != nil {
		ended, reason := classifyError(ctx, err)
		return streamEnd{result: ended, detail: fmt.Sprintf("stream %s: %s", id, reason)}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		ended, reason, _ := classifyRefusal(response)
		return streamEnd{result: ended, detail: fmt.Sprintf("stream %s: %s", id, reason)}
	}
	return readLines(response.Body, id, lines)
}

func readLines(body io.Reader, id string, lines int) streamEnd {
	scanner := bufio.NewScanner(body)
	for n := range lines {
		if !scanner.Scan() {
			return streamEnd{result: resultCut, detail: fmt.Sprintf("stream %s: cut after %d of %d lines: %v", id, n, lines, scanner.Err())}
		}
		if scanner.Text() != strconv.Itoa(n) {
			return streamEnd{result: resultWrong, detail: fmt.Sprintf("stream %s: line %d reads %q", id, n, scanner.Text())}
		}
	}
	return streamEnd{result: resultComplete}
}
