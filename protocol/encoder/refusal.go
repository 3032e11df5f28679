package encoder

import (
	"encoding/base64"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/handover"
)

// Code gives the Connect code of a refusal. A refusal whose outcome is unknown
// never has the code unavailable, which clients take as leave to send again.
func Code(refusal gooseberrymast.Refusal) connect.Code {
	switch refusal.Reason {
	case gooseberrymast.ReasonDeadlineTooClose, gooseberrymast.ReasonDeadlinePassed:
		return connect.CodeDeadlineExceeded
	case gooseberrymast.ReasonCallerRate:
		return connect.CodeResourceExhausted
	case gooseberrymast.ReasonTicketUsed:
		return connect.CodeAborted
	case gooseberrymast.ReasonTicketUnknown:
		return connect.CodeInvalidArgument
	case gooseberrymast.ReasonWrongService:
		return connect.CodeFailedPrecondition
	case gooseberrymast.ReasonCancelled:
		return connect.CodeCanceled
	}
	if refusal.Ran != gooseberrymast.RanNo {
		return connect.CodeUnknown
	}
	return connect.CodeUnavailable
}

// ConnectError gives the refusal as an error whose message is the sentence and
// whose detail is the record.
func ConnectError(refusal gooseberrymast.Refusal) *connect.Error {
	failure := connect.NewError(Code(refusal), refusal)
	if detail, err := connect.NewErrorDetail(Refusal(refusal)); err == nil {
		failure.AddDetail(detail)
	}
	return failure
}

// errorWriter writes Connect, gRPC and gRPC-Web errors by the request's
// content type, and JSON with the matching HTTP status for other requests.
var errorWriter = connect.NewErrorWriter()

// WriteRefusal answers a request with a refusal. HeaderRefusal carries the
// record whatever the request's protocol is.
func WriteRefusal(writer http.ResponseWriter, request *http.Request, refusal gooseberrymast.Refusal) error {
	text, err := RefusalText(refusal)
	if err != nil {
		return fmt.Errorf("encoder.WriteRefusal: %w", err)
	}
	writer.Header().Set(HeaderRefusal, text)
	if err := errorWriter.Write(writer, request, ConnectError(refusal)); err != nil {
		return fmt.Errorf("encoder.WriteRefusal: %w", err)
	}
	return nil
}

// RefusalText gives the value of HeaderRefusal.
func RefusalText(refusal gooseberrymast.Refusal) (string, error) {
	encoded, err := proto.Marshal(Refusal(refusal))
	if err != nil {
		return "", fmt.Errorf("encoder.RefusalText: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(encoded), nil
}

// RefusalOfHeader reads the refusal from the header of an answer.
func RefusalOfHeader(header http.Header) (gooseberrymast.Refusal, bool) {
	text := header.Get(HeaderRefusal)
	if text == "" {
		return gooseberrymast.Refusal{}, false
	}
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return gooseberrymast.Refusal{}, false
	}
	var message handover.Refusal
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return gooseberrymast.Refusal{}, false
	}
	return ParseRefusal(&message), true
}

// RefusalOfError reads the refusal from the details of a Connect error.
func RefusalOfError(failure *connect.Error) (gooseberrymast.Refusal, bool) {
	for _, detail := range failure.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if message, ok := value.(*handover.Refusal); ok {
			return ParseRefusal(message), true
		}
	}
	return gooseberrymast.Refusal{}, false
}
