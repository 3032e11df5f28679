// Package operator is the server and the client of the HTTP API for operators,
// which provides the metrics, health, refusals and status of a process.
package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gooseberrymast"
)

// The paths of the operators' address.
const (
	PathMetrics  = "/metrics"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathStatus   = "/status"
	PathRefusals = "/refusals/"
)

// The query parameters of PathStatus at a balancer.
const (
	// QueryService selects one service by name.
	QueryService = "service"
	// QuerySummary is "true" for counts instead of lists of processes.
	QuerySummary = "summary"
)

// Finder finds the refusals that a process still holds.
type Finder interface {
	// Find returns the refusal with the identifier and whether it was found.
	Find(id string) (gooseberrymast.Refusal, bool)
}

// Server serves the operators' address of one process. The zero value serves
// the default Prometheus metrics and is always ready.
type Server struct {
	// Metrics is served at PathMetrics; nil means the default gatherer.
	Metrics prometheus.Gatherer
	// Ready returns nil while the process accepts new requests, and otherwise
	// the reason why not. If Ready itself is nil, the process is always ready.
	Ready func() error
	// Refusals finds the process's refusals; nil finds none.
	Refusals Finder
	// Status is set for a balancer.
	Status func() gooseberrymast.Status
	// AgentStatus is set for an agent.
	AgentStatus func() gooseberrymast.AgentStatus
}

// Handler returns a handler for all paths. Metrics must be set before.
func (s *Server) Handler() http.Handler {
	metrics := s.Metrics
	if metrics == nil {
		metrics = prometheus.DefaultGatherer
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathHealth, serveHealth)
	mux.HandleFunc("GET "+PathReady, s.serveReady)
	mux.HandleFunc("GET "+PathStatus, s.serveStatus)
	mux.HandleFunc("GET "+PathRefusals+"{id}", s.serveRefusal)
	return mux
}

// HTTPServer returns an HTTP server for Handler with time limits set. The caller
// must listen, serve and shut it down.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      30 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
}

func serveHealth(writer http.ResponseWriter, _ *http.Request) {
	serveText(writer, http.StatusOK, "ok")
}

func (s *Server) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if s.Ready == nil {
		serveText(writer, http.StatusOK, "ready")
		return
	}
	if err := s.Ready(); err != nil {
		serveText(writer, http.StatusServiceUnavailable, "not ready: "+err.Error())
		return
	}
	serveText(writer, http.StatusOK, "ready")
}

func (s *Server) serveStatus(writer http.ResponseWriter, request *http.Request) {
	switch {
	case s.Status != nil:
		s.serveBalancerStatus(writer, request)
	case s.AgentStatus != nil:
		serveJSON(writer, s.AgentStatus())
	default:
		serveText(writer, http.StatusNotFound, "this process has no status")
	}
}

// serveBalancerStatus serves a balancer's status, filtered by the query.
func (s *Server) serveBalancerStatus(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	filter := gooseberrymast.StatusFilter{Service: query.Get(QueryService)}
	if text := query.Get(QuerySummary); text != "" {
		summary, err := strconv.ParseBool(text)
		if err != nil {
			serveText(writer, http.StatusBadRequest, QuerySummary+": want true or false")
			return
		}
		filter.Summary = summary
	}
	status, ok := s.Status().Filter(filter)
	if !ok {
		serveText(writer, http.StatusNotFound, "no service of this name is known here")
		return
	}
	serveJSON(writer, status)
}

func (s *Server) serveRefusal(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	if s.Refusals != nil {
		if refusal, ok := s.Refusals.Find(id); ok {
			serveJSON(writer, newRefusalReport(refusal))
			return
		}
	}
	serveText(writer, http.StatusNotFound, "no refusal with this identifier is kept here")
}

func serveText(writer http.ResponseWriter, code int, text string) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.Header().Set("X-Content-Type-Options", "nosniff")
	writer.WriteHeader(code)
	_, _ = writer.Write([]byte(text + "\n"))
}

func serveJSON(writer http.ResponseWriter, value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		serveText(writer, http.StatusInternalServerError, err.Error())
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(append(text, '\n'))
}
