package terminator_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"gooseberrymast"
	"gooseberrymast/caller"
	"gooseberrymast/standin/backend"
)

// A connect-go client that uses caller.Client as its HTTP client receives answers,
// refusals and timeouts as Connect responses. The stand-in echoes the message.
func TestConnectClientReceivesAnswersAndRefusals(t *testing.T) {
	protocols := map[string][]connect.ClientOption{
		"proto": nil,
		"json":  {connect.WithProtoJSON()},
	}
	for name, options := range protocols {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newService(t, 2, nil)
			client := connect.NewClient[wrapperspb.StringValue, wrapperspb.StringValue](
				s.caller(s.agents...), "https://ledger.example/loans.v1/Reserve", options...)
			call := func(ctx context.Context, mode backend.Mode, id string) (string, error) {
				sent := connect.NewRequest(wrapperspb.String("a pall"))
				sent.Header().Set(backend.HeaderMode, string(mode))
				sent.Header().Set(backend.HeaderRequestID, id)
				response, err := client.CallUnary(ctx, sent)
				if err != nil {
					return "", err
				}
				return response.Msg.GetValue(), nil
			}
			got, err := call(t.Context(), "", "answered")
			is.NoErr(err)
			is.Equal(got, "a pall")

			_, err = call(t.Context(), backend.ModeCrash, "crashed")
			refusal, ok := caller.RefusalOf(nil, err)
			is.True(ok)
			is.Equal(connect.CodeOf(err), connect.CodeUnknown)
			is.Equal(refusal.Reason, gooseberrymast.ReasonServerBroke)
			is.Equal(refusal.Service, serviceName)
			var failure *connect.Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Message(), refusal.Sentence()) // the same text
			is.Equal(s.runs("crashed"), 1)

			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err = call(ctx, backend.ModeHang, "hung")
			is.Equal(connect.CodeOf(err), connect.CodeDeadlineExceeded)
			eventually(t, s.idle)
			is.True(s.runs("hung") <= 1)
		})
	}
}
