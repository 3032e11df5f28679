package terminator_test

import (
	"bufio"
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast/standin/backend"
)

// TestRetireMovesSingleFlows asks two of four flows to move while each holds a
// stream: their callers' next requests go elsewhere and no stream is cut.
func TestRetireMovesSingleFlows(t *testing.T) {
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
		stream, err := client.Do(request(context.Background(), http.MethodGet, backend.PathConverse, "", "kept"))
		is.NoErr(err)
		streams = append(streams, stream)
		clients = append(clients, client)
	}
	first, second := s.agents[0].terminator, s.agents[1].terminator
	is.Equal(first.Flows(), callers)

	is.Equal(first.Retire(moved), moved)
	// A request may be taken before its caller has heard that it is to move.
	for round := 0; second.Flows() < moved && round < maxRounds; round++ {
		for _, client := range clients {
			answer, err := client.Do(request(context.Background(), http.MethodPut, "/after", "", ""))
			is.NoErr(err)
			answer.Body.Close()
		}
	}
	is.Equal(second.Flows(), moved)                // the moved callers opened new flows
	is.Equal(first.Retire(callers), callers-moved) // no flow is asked twice
	for _, stream := range streams {
		line, err := bufio.NewReader(stream.Body).ReadString('t')
		is.NoErr(err)
		is.Equal(line, "kept")
	}
}
