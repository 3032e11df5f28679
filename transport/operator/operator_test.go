package operator_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast"
	"gooseberrymast/transport/operator"
)

type refusalMap map[string]gooseberrymast.Refusal

func (f refusalMap) Find(id string) (gooseberrymast.Refusal, bool) {
	refusal, ok := f[id]
	return refusal, ok
}

func serve(t *testing.T, server *operator.Server) operator.Client {
	t.Helper()
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return operator.Client{Address: netip.MustParseAddrPort(strings.TrimPrefix(listener.URL, "http://"))}
}

func get(t *testing.T, client operator.Client, path string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + client.Address.String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

func TestServerRespondsOnEachPath(t *testing.T) {
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "gooseberrymast_test_total"})
	registry.MustRegister(counter)
	counter.Inc()
	server := &operator.Server{
		Metrics: registry,
		Ready:   func() error { return errors.New("no document is in force yet") },
	}
	tests := []struct {
		name   string
		server *operator.Server
		path   string
		code   int
		text   string
	}{
		{"health", server, operator.PathHealth, http.StatusOK, "ok\n"},
		{"not ready", server, operator.PathReady, http.StatusServiceUnavailable, "not ready: no document is in force yet\n"},
		{"metrics", server, operator.PathMetrics, http.StatusOK, "gooseberrymast_test_total 1"},
		{"no status", server, operator.PathStatus, http.StatusNotFound, "no status"},
		{"no refusals", server, operator.PathRefusals + "x", http.StatusNotFound, "no refusal with this identifier"},
		{"elsewhere", server, "/", http.StatusNotFound, ""},
		{"zero value", &operator.Server{}, operator.PathReady, http.StatusOK, "ready\n"},
		{"zero value's metrics", &operator.Server{}, operator.PathMetrics, http.StatusOK, "go_goroutines"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			code, text := get(t, serve(t, test.server), test.path)
			is.Equal(code, test.code)
			is.True(strings.Contains(text, test.text))
		})
	}
}

func TestRefusalIsReadBackByID(t *testing.T) {
	is := is.New(t)
	refusal := gooseberrymast.Refusal{
		ID: "abc", Reason: gooseberrymast.ReasonQueueFull, Ran: gooseberrymast.RanNo, Service: "ledger",
		Limit: "queue", Value: "32 requests", Revision: 7, Instance: "10.0.0.1:7000", Time: time.Unix(1, 0).UTC(),
	}
	client := serve(t, &operator.Server{Refusals: refusalMap{"abc": refusal}})
	report, err := client.Refusal(context.Background(), "abc")
	is.NoErr(err)
	is.Equal(report.Sentence, refusal.Sentence()) // the same text as in the refusal itself
	is.Equal(report.Limit, "queue")
	is.Equal(report.Time, refusal.Time)
	_, err = client.Refusal(context.Background(), "../status")
	is.True(errors.Is(err, operator.ErrNotFound))
}

func TestStatusIsFilteredAndSummarised(t *testing.T) {
	is := is.New(t)
	identity := gooseberrymast.Identity{Address: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 3}
	want := gooseberrymast.Status{
		Instance: identity, Environment: "trial", Revision: 2, Newest: 2,
		Revisions: []gooseberrymast.RevisionStatus{{Number: 2, Instances: 5}},
	}
	client := serve(t, &operator.Server{Status: func() gooseberrymast.Status { return want }})
	status, err := client.Status(context.Background(), gooseberrymast.StatusFilter{})
	is.NoErr(err)
	is.Equal(status, want)
	_, text := get(t, client, operator.PathStatus)
	is.True(strings.Contains(text, `"instance": "10.0.0.1:7000#3"`))

	want.Services = []gooseberrymast.ServiceStatus{{Name: "ledger", Members: make([]gooseberrymast.MemberStatus, 1000)}, {Name: "receipts"}}
	code, text := get(t, client, operator.PathStatus+"?service=receipts")
	is.Equal(code, http.StatusOK)
	is.True(!strings.Contains(text, "ledger"))
	code, text = get(t, client, operator.PathStatus+"?summary=true")
	is.Equal(code, http.StatusOK)
	is.True(strings.Contains(text, `"count": 1000`))
	is.True(len(text) < 2000)                     // less than two bytes for each process
	is.Equal(len(want.Services[0].Members), 1000) // the unfiltered status is not modified
	code, _ = get(t, client, operator.PathStatus+"?service=loans")
	is.Equal(code, http.StatusNotFound)
	code, _ = get(t, client, operator.PathStatus+"?summary=yes")
	is.Equal(code, http.StatusBadRequest)

	agent := gooseberrymast.AgentStatus{Instance: identity, Service: "ledger", State: "leaving", Streams: 12}
	client = serve(t, &operator.Server{AgentStatus: func() gooseberrymast.AgentStatus { return agent }})
	got, err := client.AgentStatus(context.Background())
	is.NoErr(err)
	is.Equal(got, agent)
}
