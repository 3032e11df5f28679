// Package operator serves metrics, health, refusals and status on a process's
// operators' address, and reads them again for the command line.
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

// The query of PathStatus at a balancer.
const (
	// QueryService names the one service that is wanted.
	QueryService = "service"
	// QuerySummary is "true" for counts in place of lists of processes.
	QuerySummary = "summary"
)

// Finder finds the refusals that a process still keeps.
type Finder interface {
	// Find gives the refusal with the identifier, if it is still kept.
	Find(id string) (gooseberrymast.Refusal, bool)
}

// Server answers on the operators' address of one process. The zero value
// serves Prometheus' default metrics and is always ready.
type Server struct {
	// Metrics is what PathMetrics serves; nil is the default gatherer.
	Metrics prometheus.Gatherer
	// Ready gives nil while the process takes new work and says otherwise
	// why it doesn't; a nil Ready is always ready.
	Ready func() error
	// Refusals finds the process's refusals; nil finds none.
	Refusals Finder
	// Status is set for a balancer.
	Status func() gooseberrymast.Status
	// AgentStatus is set for an agent.
	AgentStatus func() gooseberrymast.AgentStatus
}

// Handler serves all paths. It reads the server's fields when it is made.
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

// HTTPServer gives a server with time limits for Handler. The caller listens,
// serves and shuts it down.
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
		s.serveFiltered(writer, request)
	case s.AgentStatus != nil:
		serveJSON(writer, s.AgentStatus())
	default:
		serveText(writer, http.StatusNotFound, "this process has no status")
	}
}

// serveFiltered serves the part of a balancer's status that is asked for.
func (s *Server) serveFiltered(writer http.ResponseWriter, request *http.Request) {
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
			serveJSON(writer, reportOf(refusal))
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
