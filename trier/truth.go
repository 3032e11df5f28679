package trier

import (
	"strings"

	"gooseberrymast/standin/backend"
	"gooseberrymast/state/asserter"
)

// truth is what the stand-in backend servers ran.
type truth struct {
	// runs gives the number of runs of each request.
	runs map[string]int
	// misdelivered counts requests that a server of another service ran.
	misdelivered int64
}

// truth gathers the counts of all stand-ins, those of replaced servers too.
func (f *fleet) truth() truth {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := truth{runs: map[string]int{}}
	for _, b := range f.retired {
		found.add(b)
	}
	for _, s := range f.servers {
		found.add(s.backend)
	}
	return found
}

func (t *truth) add(b *backend.Backend) {
	for id, n := range b.Counts().Ran {
		t.runs[id] += n
		if !belongs(id, b.Name) {
			t.misdelivered++
		}
	}
}

// belongs reports whether a request was meant for the service of a server.
func belongs(id, server string) bool {
	service, _, _ := strings.Cut(strings.TrimPrefix(id, streamPrefix), "/")
	return strings.HasPrefix(server, service+"-")
}

// runsOf counts what a stand-in began.
func runsOf(b *backend.Backend) int64 {
	counts := b.Counts()
	return int64(counts.Unary + counts.Streams)
}

// check compares what callers were told with what ran.
func (t *tally) check(report *Report, found truth) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.outcomes {
		if o.told == toldNotRun && found.runs[o.id] > 0 {
			report.RefusalsUntrue++
		}
		if !o.idempotent && found.runs[o.id] > 1 {
			report.RunTwice++
		}
	}
	report.PacketsMisdelivered = found.misdelivered
	report.Violations = map[string]uint64{}
	for name, n := range asserter.Violations() {
		report.Violations[string(name)] = n
	}
}
