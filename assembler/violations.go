package assembler

import (
	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast/state/asserter"
)

var violationsDesc = prometheus.NewDesc("gooseberrymast_invariant_violations_total",
	"Violations of invariants inside the program since its start.", []string{"invariant"}, nil)

// violations exports the counts of violated invariants.
type violations struct{}

// Describe implements prometheus.Collector.
func (violations) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- violationsDesc
}

// Collect implements prometheus.Collector.
func (violations) Collect(metrics chan<- prometheus.Metric) {
	for name, n := range asserter.Violations() {
		metrics <- prometheus.MustNewConstMetric(violationsDesc, prometheus.CounterValue, float64(n), string(name))
	}
}
