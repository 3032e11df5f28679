package trier

import (
	"strings"

	"gooseberrymast/standin/backend"
	"gooseberrymast/state/asserter"
)

// runCounts holds what the stand-in backend servers ran.
type runCounts struct {
	// runs maps request IDs to the number of runs.
	runs map[string]int
	// misdelivered counts requests that a server of another service ran.
	misdelivered int64
}

// runCounts sums up the counts of all stand-ins, including replaced ones.
func (f *fleet) runCounts() runCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := runCounts{runs: map[string]int{}}
	for _, b := range f.retired {
		counts.add(b)
	}
	for _, s := range f.servers {
		counts.add(s.backend)
	}
	return counts
}

func (t *runCounts) add(b *backend.Backend) {
	for id, n := range b.Counts().Runs {
		t.runs[id] += n
		if !belongs(id, b.Name) {
			t.misdelivered++
		}
	}
}

// belongs reports whether a request was sent to the service of a server.
func belongs(id, server string) bool {
	service, _, _ := strings.Cut(strings.TrimPrefix(id, streamPrefix), "/")
	return strings.HasPrefix(server, service+"-")
}

// requestsStarted returns the number of requests and streams that a stand-in has
// started.
func requestsStarted(b *backend.Backend) int64 {
	counts := b.Counts()
	return int64(counts.Unary + counts.Streams)
}

// checkRuns compares the callers' results with what ran, and adds the violations
// to the report.
func (t *tally) checkRuns(report *Report, counts runCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.outcomes {
		if o.result == resultNotRun && counts.runs[o.id] > 0 {
			report.RefusalsUntrue++
		}
		if !o.idempotent && counts.runs[o.id] > 1 {
			report.RunTwice++
		}
	}
	report.PacketsMisdelivered = counts.misdelivered
	report.Violations = map[string]uint64{}
	for name, n := range asserter.Violations() {
		report.Violations[string(name)] = n
	}
}
