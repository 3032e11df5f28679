package driver

import (
	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast"
	"gooseberrymast/transport/executor"
)

// Metrics counts requests and attempts; refusals and retries are counted by the
// dispatcher. Use NewMetrics to create it; a nil pointer counts nothing.
type Metrics struct {
	// Requests counts ended requests by status.
	Requests *prometheus.CounterVec
	// Attempts counts attempts at the agent's own backend server or at a peer,
	// by result.
	Attempts *prometheus.CounterVec
}

// NewMetrics creates the counters and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrymast_requests_total",
			Help: "Requests that have ended, by how they ended.",
		}, []string{"status"}),
		Attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrymast_attempts_total",
			Help: "Attempts at the own backend server or at a peer, by result.",
		}, []string{"result"}),
	}
	registerer.MustRegister(metrics.Requests, metrics.Attempts)
	return metrics
}

func (m *Metrics) countRequest(status executor.Status) {
	if m != nil {
		m.Requests.WithLabelValues(status.String()).Inc()
	}
}

func (m *Metrics) countAttempt(result gooseberrymast.Result) {
	if m != nil {
		m.Attempts.WithLabelValues(resultNames[result]).Inc()
	}
}

var resultNames = map[gooseberrymast.Result]string{
	gooseberrymast.ResultAnswered:  "answered",
	gooseberrymast.ResultShed:      "shed",
	gooseberrymast.ResultFailed:    "failed",
	gooseberrymast.ResultNotSent:   "not-sent",
	gooseberrymast.ResultBroken:    "broken",
	gooseberrymast.ResultTruncated: "torn",
	gooseberrymast.ResultRefused:   "refused",
	gooseberrymast.ResultTimedOut:  "timed-out",
	gooseberrymast.ResultCancelled: "cancelled",
}
