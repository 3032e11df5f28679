// Package counter exports the counts of a data path to Prometheus: the packets
// handled by kind, and the packets dropped by reason.
package counter

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics describe the two metrics of one kind of process.
type Metrics struct {
	packets, drops *prometheus.Desc
}

// New describes the metrics by their whole names, so that a search for one in
// the code finds it.
func New(packets, packetsHelp, drops string) *Metrics {
	return &Metrics{
		packets: prometheus.NewDesc(packets, packetsHelp, []string{"kind"}, nil),
		drops:   prometheus.NewDesc(drops, "Packets dropped, by reason.", []string{"reason"}, nil),
	}
}

// Describe gives the descriptions, as a prometheus.Collector does.
func (m *Metrics) Describe(out chan<- *prometheus.Desc) {
	out <- m.packets
	out <- m.drops
}

// Packets gives the count of the packets of a kind.
func (m *Metrics) Packets(out chan<- prometheus.Metric, kind string, count *atomic.Uint64) {
	collect(out, m.packets, kind, count)
}

// Drops gives the counts of the packets dropped. The reason of dropped[i] is
// called reasons[i]; both have the same length.
func (m *Metrics) Drops(out chan<- prometheus.Metric, reasons []string, dropped []atomic.Uint64) {
	for i, reason := range reasons {
		collect(out, m.drops, reason, &dropped[i])
	}
}

func collect(out chan<- prometheus.Metric, desc *prometheus.Desc, label string, count *atomic.Uint64) {
	out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(count.Load()), label)
}
