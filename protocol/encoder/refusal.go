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

// Code returns the Connect code of a refusal. A refusal whose outcome is
// unknown never has the code unavailable, on which clients retry.
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

// ConnectError returns the refusal as a Connect error. Its message is the
// refusal's sentence and its detail the encoded record.
func ConnectError(refusal gooseberrymast.Refusal) *connect.Error {
	failure := connect.NewError(Code(refusal), refusal)
	if detail, err := connect.NewErrorDetail(Refusal(refusal)); err == nil {
		failure.AddDetail(detail)
	}
	return failure
}

// errorWriter writes errors in the format of the request's content type:
// Connect, gRPC or gRPC-Web, and for others JSON with the matching HTTP status.
var errorWriter = connect.NewErrorWriter()

// WriteRefusal answers a request with a refusal. In every protocol,
// HeaderRefusal carries the record.
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

// RefusalText returns the value of HeaderRefusal for a refusal.
func RefusalText(refusal gooseberrymast.Refusal) (string, error) {
	encoded, err := proto.Marshal(Refusal(refusal))
	if err != nil {
		return "", fmt.Errorf("encoder.RefusalText: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(encoded), nil
}

// RefusalFromHeader decodes the refusal in the header of an answer. It reports
// whether there is a valid one.
func RefusalFromHeader(header http.Header) (gooseberrymast.Refusal, bool) {
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

// RefusalFromError decodes the refusal in the details of a Connect error. It
// reports whether there is one.
func RefusalFromError(failure *connect.Error) (gooseberrymast.Refusal, bool) {
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
