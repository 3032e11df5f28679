package terminator_test

import (
	"bufio"
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast/standin/backend"
)

// With four flows that each have an open stream, Retire(2) moves the next requests
// of two callers to the other agent and interrupts no stream.
func TestRetireMovesOnlySomeFlows(t *testing.T) {
	const (
		callers   = 4
		moved     = 2
		maxRounds = 100
	)
	is := is.New(t)
	s := newService(t, 2, nil)
	var streams []*http.Response
	var clients []interface {
		Do(*http.Request) (*http.Response, error)
	}
	for range callers {
		client := s.caller(s.agents[0], s.agents[1])
		stream, err := client.Do(request(context.Background(), http.MethodGet, backend.PathEcho, "", "kept"))
		is.NoErr(err)
		streams = append(streams, stream)
		clients = append(clients, client)
	}
	first, second := s.agents[0].terminator, s.agents[1].terminator
	is.Equal(first.Flows(), callers)

	is.Equal(first.Retire(moved), moved)
	// A request may be sent on the old flow before its caller receives the GOAWAY.
	for round := 0; second.Flows() < moved && round < maxRounds; round++ {
		for _, client := range clients {
			answer, err := client.Do(request(context.Background(), http.MethodPut, "/after", "", ""))
			is.NoErr(err)
			answer.Body.Close()
		}
	}
	is.Equal(second.Flows(), moved)                // the moved callers opened new flows
	is.Equal(first.Retire(callers), callers-moved) // GOAWAY is sent once per flow
	for _, stream := range streams {
		line, err := bufio.NewReader(stream.Body).ReadString('t')
		is.NoErr(err)
		is.Equal(line, "kept")
	}
}
