package trier

import (
	"gooseberrymast/state/asserter"
)

// ran gives the number of runs of each request over all stand-ins.
func (f *fleet) ran() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := map[string]int{}
	for _, b := range f.retired {
		for id, n := range b.Counts().Ran {
			total[id] += n
		}
	}
	for _, s := range f.servers {
		for id, n := range s.backend.Counts().Ran {
			total[id] += n
		}
	}
	return total
}

// check compares what callers were told with what ran.
func (t *tally) check(report *Report, ran map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.outcomes {
		if o.told == toldNotRun && ran[o.id] > 0 {
			report.RefusalsUntrue++
		}
		if !o.idempotent && ran[o.id] > 1 {
			report.RunTwice++
		}
	}
	report.Violations = map[string]uint64{}
	for name, n := range asserter.Violations() {
		report.Violations[string(name)] = n
	}
}
