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

// streamPrefix starts the request ids of streams.
const streamPrefix = "flow/"

// streamDeadline bounds a stream; the plans' streams are far shorter.
const streamDeadline = 5 * time.Minute

// Reasons that a caller finds by itself.
const (
	reasonCallerTimeout gooseberrymast.Reason = "caller-timeout"
	reasonNoFlow        gooseberrymast.Reason = "no-flow"
)

// requestSpec is one request to send.
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

// send sends one request over a flow and checks the answer byte for byte.
func send(f *flow, spec requestSpec) outcome {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), spec.deadline)
	defer cancel()
	result := outcome{id: spec.id, long: spec.long, idempotent: spec.idempotent}
	response, err := f.client.Do(newRequest(ctx, spec))
	if err == nil {
		result.told, result.reason, err = judge(response, spec)
	}
	if err != nil {
		result.told, result.reason = judgeError(ctx, err)
	}
	result.ended = time.Now()
	result.latency = result.ended.Sub(begun)
	result.late = result.latency > spec.deadline
	return result
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
	request.Header.Set(backend.HeaderWork, spec.work.String())
	return request
}

// judge reads the answer and says what the caller was told by it.
func judge(response *http.Response, spec requestSpec) (told, gooseberrymast.Reason, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return toldCut, "", err
	}
	if response.StatusCode != http.StatusOK {
		return judgeRefusal(response)
	}
	whole := bytes.Equal(body, spec.body) &&
		response.Header.Get(backend.HeaderRequestID) == spec.id &&
		servedBy(response, spec.service)
	if !whole {
		return toldWrong, "", nil
	}
	return toldWhole, "", nil
}

// servedBy reports whether a backend server of the service gave the answer.
func servedBy(response *http.Response, service string) bool {
	return strings.HasPrefix(response.Header.Get(backend.HeaderInstance), service+"-")
}

func judgeRefusal(response *http.Response) (told, gooseberrymast.Reason, error) {
	refusal, ok := caller.RefusalOf(response, nil)
	if !ok {
		return toldUnknown, gooseberrymast.Reason("status-" + strconv.Itoa(response.StatusCode)), nil
	}
	return toldOf(refusal), refusal.Reason, nil
}

func toldOf(refusal gooseberrymast.Refusal) told {
	if refusal.Ran == gooseberrymast.RanNo {
		return toldNotRun
	}
	return toldUnknown
}

// judgeError says what the caller learned from a failed attempt.
func judgeError(ctx context.Context, err error) (told, gooseberrymast.Reason) {
	var refusal gooseberrymast.Refusal
	if errors.As(err, &refusal) {
		return toldOf(refusal), refusal.Reason
	}
	if ctx.Err() != nil {
		return toldUnknown, reasonCallerTimeout
	}
	if errors.Is(err, caller.ErrNotRun) {
		return toldNotRun, reasonNoFlow
	}
	return toldCut, gooseberrymast.Reason(err.Error())
}

// streamEnd is how a stream ended.
type streamEnd struct {
	told  told
	fault string
}

// readStream opens a stream and reads its numbered lines to the last.
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
		said, reason := judgeError(ctx, err)
		return streamEnd{told: said, fault: fmt.Sprintf("stream %s: %s", id, reason)}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		said, reason, _ := judgeRefusal(response)
		return streamEnd{told: said, fault: fmt.Sprintf("stream %s: %s", id, reason)}
	}
	return readLines(response.Body, id, lines)
}

func readLines(body io.Reader, id string, lines int) streamEnd {
	scanner := bufio.NewScanner(body)
	for n := range lines {
		if !scanner.Scan() {
			return streamEnd{told: toldCut, fault: fmt.Sprintf("stream %s: cut after %d of %d lines: %v", id, n, lines, scanner.Err())}
		}
		if scanner.Text() != strconv.Itoa(n) {
			return streamEnd{told: toldWrong, fault: fmt.Sprintf("stream %s: line %d reads %q", id, n, scanner.Text())}
		}
	}
	return streamEnd{told: toldWhole}
}
