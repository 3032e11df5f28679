package terminator_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestRequestsAreAnsweredOverBothBackendProtocols(t *testing.T) {
	for _, protocol := range []string{"http1", "h2c"} {
		t.Run(protocol, func(t *testing.T) {
			is := is.New(t)
			s := newService(t, 0, nil)
			s.http2 = protocol == "h2c"
			a := s.startAgent(newBackend())
			client := s.caller(a)
			response, err := client.Do(request(t.Context(), http.MethodPost, "/loans", "one", "a black pall"))
			is.NoErr(err)
			body, err := readText(response)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, "a black pall")
			is.Equal(s.runs("one"), 1)
			response, err = client.Do(request(t.Context(), http.MethodGet, "/loans", "two", ""))
			is.NoErr(err)
			body, err = readText(response)
			is.NoErr(err)
			is.Equal(body, "")
			is.Equal(s.runs("two"), 1)
		})
	}
}
