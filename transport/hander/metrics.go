package hander

import "github.com/prometheus/client_golang/prometheus"

// The reasons for which a stream from a peer is refused by the transport.
const (
	refusedFrame     = "bad-frame"
	refusedService   = "wrong-service"
	refusedTarget    = "wrong-target"
	refusedDuplicate = "duplicate"
)

// Metrics counts what the server refuses before it decides. Make it by
// NewMetrics; a nil pointer counts nothing.
type Metrics struct {
	// Refused counts streams by reason.
	Refused *prometheus.CounterVec
}

// NewMetrics makes the counters and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		Refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrymast_hand_over_refused_total",
			Help: "Streams from other agents that were refused before a decision, by reason.",
		}, []string{"reason"}),
	}
	registerer.MustRegister(metrics.Refused)
	return metrics
}

func (m *Metrics) refused(reason string) {
	if m != nil {
		m.Refused.WithLabelValues(reason).Inc()
	}
}
