package executor

import (
	"net/http"

	"gooseberrymast"
)

// Exchange is one request with the means to answer its sender, which is a
// caller or the agent that handed the request over.
type Exchange struct {
	// Work describes the request to the dispatcher. The driver sets its ID,
	// and also Origin and OriginID if the request came on a caller's flow.
	Work gooseberrymast.Work
	// Request is the request to forward.
	Request *Request
	// Writer receives the response.
	Writer http.ResponseWriter
	// Refuse sends a refusal instead of a response. It is called at most once,
	// and never after Writer was used.
	Refuse func(refusal gooseberrymast.Refusal)
}

// Status is the outcome of an exchange.
type Status uint8

// The outcomes of an exchange.
const (
	// StatusAnswered: the complete response was written.
	StatusAnswered Status = iota + 1
	// StatusRefused: a refusal was written.
	StatusRefused
	// StatusTorn: only part of the response was written; the stream must be
	// reset.
	StatusTorn
	// StatusCancelled: the sender disconnected; nothing more is to be written.
	StatusCancelled
)

// String returns the status in kebab case.
func (s Status) String() string {
	switch s {
	case StatusAnswered:
		return "answered"
	case StatusRefused:
		return "refused"
	case StatusTorn:
		return "torn"
	case StatusCancelled:
		return "cancelled"
	}
	return "unknown"
}
