package hander

import "github.com/prometheus/client_golang/prometheus"

// Reasons for which the transport refuses a stream from a peer.
const (
	refusedFrame     = "bad-frame"
	refusedService   = "wrong-service"
	refusedTarget    = "wrong-target"
	refusedDuplicate = "duplicate"
)

// Metrics counts the streams that the server refuses before Local decides. Use
// NewMetrics to create it; a nil pointer counts nothing.
type Metrics struct {
	// Refused counts refused streams by reason.
	Refused *prometheus.CounterVec
}

// NewMetrics creates the counters and registers them.
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

func (m *Metrics) countRefused(reason string) {
	if m != nil {
		m.Refused.WithLabelValues(reason).Inc()
	}
}
