// Package counter exports the packet counts of a data path to Prometheus:
// packets handled, by kind, and packets dropped, by reason.
package counter

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics describes the two metrics of an agent or a balancer.
type Metrics struct {
	packets, drops *prometheus.Desc
}

// New takes the full names of the metrics, rather than a prefix, so that they
// can be found by a text search.
func New(packets, packetsHelp, drops string) *Metrics {
	return &Metrics{
		packets: prometheus.NewDesc(packets, packetsHelp, []string{"kind"}, nil),
		drops:   prometheus.NewDesc(drops, "Packets dropped, by reason.", []string{"reason"}, nil),
	}
}

// Describe sends the descriptions, as prometheus.Collector requires.
func (m *Metrics) Describe(out chan<- *prometheus.Desc) {
	out <- m.packets
	out <- m.drops
}

// Packets sends the count of packets of a kind.
func (m *Metrics) Packets(out chan<- prometheus.Metric, kind string, count *atomic.Uint64) {
	collect(out, m.packets, kind, count)
}

// Drops sends the counts of packets dropped. reasons[i] is the reason counted by
// dropped[i]; both slices must have the same length.
func (m *Metrics) Drops(out chan<- prometheus.Metric, reasons []string, dropped []atomic.Uint64) {
	for i, reason := range reasons {
		collect(out, m.drops, reason, &dropped[i])
	}
}

func collect(out chan<- prometheus.Metric, desc *prometheus.Desc, label string, count *atomic.Uint64) {
	out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(count.Load()), label)
}
