package emulator

import (
	"slices"
	"time"
)

// Result holds the counts, the worth and the latencies of one run.
type Result struct {
	Pattern string `json:"pattern"`
	Policy  Policy `json:"policy"`
	Seed    uint64 `json:"seed"`
	// Requests is the sum of InTime, Late and Failed.
	Requests int `json:"requests"`
	InTime   int `json:"in-time"`
	Late     int `json:"late"`
	Failed   int `json:"failed"`
	// Shed counts attempts that a full server refused.
	Shed int `json:"shed"`
	// Errors counts attempts that a server answered with an error.
	Errors int `json:"errors"`
	// Lost counts non-idempotent requests that a server answered with an error.
	Lost int `json:"lost"`
	// Refused counts attempts whose flow no agent took.
	Refused int `json:"refused"`
	// ColdPeak is the largest number of requests that a cold server got in a second.
	ColdPeak int `json:"cold-peak"`
	// Passed counts the times that an agent passed a new flow on to another.
	Passed int `json:"passed"`
	// Crossed counts the requests that were sent to another availability zone.
	Crossed int `json:"crossed"`
	// SlowArrivals is the mean number of arrivals at a server of the pattern's SlowSpeed
	// as a multiple of that at the others.
	SlowArrivals float64 `json:"slow-arrivals,omitempty"`
	// Owed is the worth if every request were answered in time, Earned the worth
	// of the answers.
	Owed   float64 `json:"owed"`
	Earned float64 `json:"earned"`
	// Worth is Earned as a share of Owed.
	Worth float64 `json:"worth"`
	// Median and P99 are the latencies of answers in milliseconds.
	Median float64 `json:"median-ms"`
	P99    float64 `json:"p99-ms"`
}

// summarise fills in the worth and the latencies; it sorts its argument.
func (r *Result) summarise(latencies []time.Duration) {
	if r.Owed > 0 {
		r.Worth = r.Earned / r.Owed
	}
	slices.Sort(latencies)
	quantile := func(share float64) float64 {
		if len(latencies) == 0 {
			return 0
		}
		return float64(latencies[int(share*float64(len(latencies)-1))].Microseconds()) / 1000
	}
	r.Median, r.P99 = quantile(0.5), quantile(0.99)
}
