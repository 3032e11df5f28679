package executor

import (
	"net/http"

	"gooseberrymast"
)

// Exchange is one request together with the way back to its sender, which is a
// caller's flow or the agent that handed the request over.
type Exchange struct {
	// Work is what the deciding code knows. Its ID is set by the driver, and
	// so are Origin and OriginID when the request came on a caller's flow.
	Work gooseberrymast.Work
	// Request is what is passed on.
	Request *Request
	// Writer takes the answer.
	Writer http.ResponseWriter
	// Refuse answers with a refusal instead. It is called at most once, and
	// never after Writer was used.
	Refuse func(refusal gooseberrymast.Refusal)
}

// Status says how an exchange ended.
type Status uint8

// The ends of an exchange.
const (
	// StatusAnswered: the whole answer was written.
	StatusAnswered Status = iota + 1
	// StatusRefused: a refusal was written.
	StatusRefused
	// StatusTorn: a part of the answer was written; the stream must be reset.
	StatusTorn
	// StatusCancelled: the sender went away; nothing more is to be written.
	StatusCancelled
)

// String gives the status in kebab case.
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
