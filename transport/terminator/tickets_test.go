package terminator_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"gooseberrymast"
	"gooseberrymast/caller"
	"gooseberrymast/protocol/encoder"
	"gooseberrymast/standin/backend"
)

// closeFlows closes an agent's flows as a crash would. Its control listener keeps
// running unless it is closed too.
func (a *agent) closeFlows(t *testing.T) {
	t.Helper()
	is.New(t).NoErr(a.terminator.Close())
}

func TestRequestDoesNotRunTwiceAfterFlowLoss(t *testing.T) {
	for _, issuerGone := range []bool{false, true} {
		is := is.New(t)
		s := newService(t, 2, nil)
		client := s.caller(s.agents...)
		sent := request(t.Context(), http.MethodPost, "/loans", "lost", "body")
		sent.Header.Set(backend.HeaderMode, string(backend.ModeHang))
		done := make(chan gooseberrymast.Refusal, 1)
		go func() {
			response, err := client.Do(sent)
			is.NoErr(err)
			refusal, _ := caller.RefusalOf(response, nil)
			done <- refusal
		}()
		eventually(t, func() bool { return s.runs("lost") == 1 })
		if issuerGone {
			s.agents[0].listener.Close()
		}
		s.agents[0].closeFlows(t)
		refusal := <-done
		is.Equal(refusal.Ran, gooseberrymast.RanUnknown)
		want := gooseberrymast.ReasonTicketUsed
		if issuerGone {
			want = gooseberrymast.ReasonIssuerGone
		}
		is.Equal(refusal.Reason, want)
		is.Equal(s.runs("lost"), 1) // no second run
	}
}

func TestNextRequestSucceedsAfterFlowLoss(t *testing.T) {
	for _, issuerGone := range []bool{false, true} {
		is := is.New(t)
		s := newService(t, 2, nil)
		client := s.caller(s.agents...)
		flows := make(chan *quic.Conn, 2)
		client.OnFlow = func(flow *quic.Conn) { flows <- flow }
		is.Equal(sendAndClassify(t, client, request(t.Context(), http.MethodPost, "/loans", "first", "a"), "a"), outcomeAnswer)
		if issuerGone {
			s.agents[0].listener.Close()
		}
		s.agents[0].closeFlows(t)
		<-(<-flows).Context().Done() // Wait until the client has noticed the loss.
		is.Equal(sendAndClassify(t, client, request(t.Context(), http.MethodPost, "/loans", "second", "b"), "b"), outcomeAnswer)
		is.Equal(s.runs("second"), 1)
	}
}

func TestFlowLossWithoutTicketIsReportedUnknown(t *testing.T) {
	is := is.New(t)
	s := newService(t, 2, nil)
	client := s.caller(s.agents...)
	sent := request(t.Context(), http.MethodPost, "/loans", "lost", "")
	sent.Header.Set(backend.HeaderMode, string(backend.ModeHang))
	sent.Body = io.NopCloser(strings.NewReader("of unknown length"))
	sent.ContentLength = -1
	done := make(chan error, 1)
	go func() {
		_, err := client.Do(sent)
		done <- err
	}()
	eventually(t, func() bool { return s.runs("lost") == 1 })
	s.agents[0].closeFlows(t)
	is.True(errors.Is(<-done, caller.ErrUnknown))
	is.Equal(s.runs("lost"), 1)
}

func TestRequestIsNotRunWithoutAReachableAgent(t *testing.T) {
	is := is.New(t)
	s := newService(t, 1, nil)
	client := s.caller(s.agents[0])
	s.agents[0].closeFlows(t)
	_, err := client.Do(request(t.Context(), http.MethodPost, "/loans", "none", "body"))
	is.True(errors.Is(err, caller.ErrNotRun))
	is.Equal(s.runs("none"), 0)
}

func TestTicketAllowsOneRunOnly(t *testing.T) {
	is := is.New(t)
	s := newService(t, 2, nil)
	client := s.newPlainClient(s.agents[0])
	response, err := client.Do(request(t.Context(), http.MethodPost, encoder.TicketPath+"?n=2", "", ""))
	is.NoErr(err)
	body, err := readText(response)
	is.NoErr(err)
	tickets := strings.Fields(body)
	is.Equal(len(tickets), 2)
	send := func(a *agent, id, ticket string) (gooseberrymast.Refusal, bool) {
		sent := request(t.Context(), http.MethodPost, "/loans", id, "body")
		sent.Header.Set(encoder.HeaderTicket, ticket)
		response, err := s.newPlainClient(a).Do(sent)
		is.NoErr(err)
		response.Body.Close()
		return caller.RefusalOf(response, nil)
	}
	_, refused := send(s.agents[1], "one", tickets[0]) // an agent that isn't the issuer
	is.True(!refused)
	for _, a := range s.agents {
		refusal, _ := send(a, "one", tickets[0])
		is.Equal(refusal.Reason, gooseberrymast.ReasonTicketUsed)
	}
	is.Equal(s.runs("one"), 1)
	refusal, _ := send(s.agents[0], "forged", tickets[1][1:]+tickets[1][:1])
	is.Equal(refusal.Reason, gooseberrymast.ReasonTicketUnknown)
	is.Equal(refusal.Ran, gooseberrymast.RanNo)
	is.Equal(s.runs("forged"), 0)
}

func TestTicketEndpointRejectsInvalidRequests(t *testing.T) {
	s := newService(t, 1, nil)
	client := s.newPlainClient(s.agents[0])
	tests := []struct {
		method string
		query  string
		want   int
	}{
		{http.MethodPost, "", http.StatusOK},
		{http.MethodPost, "?n=64", http.StatusOK},
		{http.MethodPost, "?n=65", http.StatusBadRequest},
		{http.MethodPost, "?n=0", http.StatusBadRequest},
		{http.MethodPost, "?n=many", http.StatusBadRequest},
		{http.MethodGet, "", http.StatusMethodNotAllowed},
	}
	for _, test := range tests {
		is := is.New(t)
		response, err := client.Do(request(t.Context(), test.method, encoder.TicketPath+test.query, "", ""))
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, test.want)
	}
}
