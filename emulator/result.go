package emulator

import (
	"slices"
	"time"
)

// Result is what came of a run.
type Result struct {
	Pattern string `json:"pattern"`
	Policy  Policy `json:"policy"`
	Seed    uint64 `json:"seed"`
	// Requests is the sum of InTime, Late and Failed.
	Requests int `json:"requests"`
	InTime   int `json:"in-time"`
	Late     int `json:"late"`
	Failed   int `json:"failed"`
	// Shed counts tries that a full server refused.
	Shed int `json:"shed"`
	// Errors counts tries that a server failed.
	Errors int `json:"errors"`
	// Lost counts requests that a server failed and that may not run twice.
	Lost int `json:"lost"`
	// Passed counts the times that an agent passed a new flow on.
	Passed int `json:"passed"`
	// Crossed counts the requests that were sent to another availability zone.
	Crossed int `json:"crossed"`
	// Owed is the worth of all requests in time, Earned what was reached.
	Owed   float64 `json:"owed"`
	Earned float64 `json:"earned"`
	// Worth is Earned as a share of Owed.
	Worth float64 `json:"worth"`
	// Median and P99 are those of the answers' latencies, in milliseconds.
	Median float64 `json:"median-ms"`
	P99    float64 `json:"p99-ms"`
}

func (r *Result) finish(latencies []time.Duration) {
	if r.Owed > 0 {
		r.Worth = r.Earned / r.Owed
	}
	slices.Sort(latencies)
	at := func(share float64) float64 {
		if len(latencies) == 0 {
			return 0
		}
		return float64(latencies[int(share*float64(len(latencies)-1))].Microseconds()) / 1000
	}
	r.Median, r.P99 = at(0.5), at(0.99)
}
