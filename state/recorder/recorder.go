// Package recorder keeps the latest refusals and counts refusals, retries and
// hand-overs by reason.
package recorder

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberrymast"
)

// Capacity is the number of refusals that a recorder keeps.
const Capacity = 4096

// Audience is the kind of the refusal's recipient.
type Audience string

// The audiences of a refusal.
const (
	AudienceCaller Audience = "caller"
	AudiencePeer   Audience = "peer"
)

// RetryReason is why a request was retried, or not retried.
type RetryReason string

// The reasons of a retry.
const (
	RetryShed        RetryReason = "server-shed"
	RetryFailed      RetryReason = "server-failed"
	RetryNotSent     RetryReason = "not-sent"
	RetryBroken      RetryReason = "attempt-broken"
	RetryNotRun      RetryReason = "peer-did-not-run"
	RetryRefused     RetryReason = "peer-refused"
	RetryBudgetSpent RetryReason = "budget-spent"
)

// Recorder keeps the last Capacity refusals. The zero value is ready for use.
// Its methods may be called from several goroutines.
type Recorder struct {
	mu sync.Mutex
	// ring grows to Capacity; after that the refusal at next is overwritten.
	ring []gooseberrymast.Refusal
	next int
	// byID holds the index in ring of each kept refusal.
	byID     map[string]int
	refusals map[refusalKey]uint64
	retries  map[RetryReason]uint64
}

type refusalKey struct {
	reason   gooseberrymast.Reason
	ran      gooseberrymast.Ran
	audience Audience
}

// Record keeps and counts one refusal.
func (r *Recorder) Record(refusal gooseberrymast.Refusal, audience Audience) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusals == nil {
		r.refusals = map[refusalKey]uint64{}
		r.byID = map[string]int{}
	}
	r.refusals[refusalKey{refusal.Reason, refusal.Ran, audience}]++
	if len(r.ring) < Capacity {
		r.ring = append(r.ring, refusal)
	} else {
		r.removeFromIndex(r.ring[r.next].ID, r.next)
		r.ring[r.next] = refusal
	}
	r.byID[refusal.ID] = r.next
	r.next = (r.next + 1) % Capacity
}

// Find returns the refusal with an identifier, if it is still kept.
func (r *Recorder) Find(id string) (gooseberrymast.Refusal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.byID[id]
	if !ok {
		return gooseberrymast.Refusal{}, false
	}
	return r.ring[at], true
}

// Recent returns up to n refusals, newest first.
func (r *Recorder) Recent(n int) []gooseberrymast.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = min(n, len(r.ring))
	recent := make([]gooseberrymast.Refusal, 0, n)
	for back := 1; back <= n; back++ {
		recent = append(recent, r.ring[(r.next-back+len(r.ring))%len(r.ring)])
	}
	return recent
}

// CountRetry counts a retry, or one that the retry budget prevented.
func (r *Recorder) CountRetry(reason RetryReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retries == nil {
		r.retries = map[RetryReason]uint64{}
	}
	r.retries[reason]++
}

// Refusals returns the number of refusals for a reason, over all audiences.
func (r *Recorder) Refusals(reason gooseberrymast.Reason) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := uint64(0)
	for key, n := range r.refusals {
		if key.reason == reason {
			total += n
		}
	}
	return total
}

// Retries returns the number of retries for a reason.
func (r *Recorder) Retries(reason RetryReason) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retries[reason]
}

// removeFromIndex removes an overwritten refusal from byID. A refusal that a
// peer passed on may have been recorded twice, and then byID may refer to the
// newer copy, which stays.
func (r *Recorder) removeFromIndex(id string, at int) {
	if r.byID[id] == at {
		delete(r.byID, id)
	}
}

var (
	refusalsDesc = prometheus.NewDesc("gooseberrymast_refusals_total",
		"Refused requests.", []string{"reason", "ran", "audience"}, nil)
	retriesDesc = prometheus.NewDesc("gooseberrymast_retries_total",
		"Requests that were sent again, and those that the budget forbade.", []string{"reason"}, nil)
)

// Describe implements prometheus.Collector.
func (r *Recorder) Describe(descs chan<- *prometheus.Desc) {
	descs <- refusalsDesc
	descs <- retriesDesc
}

// Collect implements prometheus.Collector.
func (r *Recorder) Collect(metrics chan<- prometheus.Metric) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, n := range r.refusals {
		metrics <- prometheus.MustNewConstMetric(refusalsDesc, prometheus.CounterValue, float64(n),
			string(key.reason), string(key.ran), string(key.audience))
	}
	for reason, n := range r.retries {
		metrics <- prometheus.MustNewConstMetric(retriesDesc, prometheus.CounterValue, float64(n), string(reason))
	}
}
