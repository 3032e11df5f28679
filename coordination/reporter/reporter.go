// Package reporter counts which revisions the instances below a balancer in
// the tree of peers have in force.
package reporter

import (
	"cmp"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
)

// The bounds on the identities that a report names for one revision.
const (
	// MaxAll bounds a report that names all of its instances.
	MaxAll = 16
	// MaxStragglers bounds the identities of a revision that isn't the
	// highest of the report.
	MaxStragglers = 8
)

// DefaultInterval is the least time between two reports upwards.
const DefaultInterval = 2 * time.Second

// Reporter holds the last report of each session that reports here.
type Reporter struct {
	// Interval is the least time between two reports upwards.
	Interval time.Duration

	below map[messenger.Session]messenger.Report
	sent  messenger.Report
	to    messenger.Session
	at    time.Time
}

// Set takes the report of a session: a balancer's about its part of the tree,
// or an agent's about itself.
func (r *Reporter) Set(session messenger.Session, report messenger.Report) {
	if r.below == nil {
		r.below = map[messenger.Session]messenger.Report{}
	}
	r.below[session] = report
}

// Drop forgets a session that ended or reports elsewhere.
func (r *Reporter) Drop(session messenger.Session) {
	delete(r.below, session)
}

// One is the report of a single instance.
func One(identity gooseberrymast.Identity, revision uint64) messenger.Report {
	return messenger.Report{Counts: []messenger.RevisionCount{{
		Number: revision, Instances: 1, Identities: []gooseberrymast.Identity{identity},
	}}}
}

// Sum adds up the reports, this process's own included, highest revision first.
func (r *Reporter) Sum(self gooseberrymast.Identity, revision uint64) messenger.Report {
	sums := map[uint64]*messenger.RevisionCount{}
	add(sums, One(self, revision))
	for _, report := range r.below {
		add(sums, report)
	}
	var sum messenger.Report
	total := 0
	for _, count := range sums {
		total += count.Instances
		sum.Counts = append(sum.Counts, *count)
	}
	slices.SortFunc(sum.Counts, func(a, b messenger.RevisionCount) int { return cmp.Compare(b.Number, a.Number) })
	trim(sum.Counts, total)
	return sum
}

// Due gives the report to send on the session upwards, when it changed since
// the last one that was sent there.
func (r *Reporter) Due(now time.Time, up messenger.Session, self gooseberrymast.Identity, revision uint64) (messenger.Report, bool) {
	interval := r.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	if up == 0 || up == r.to && now.Sub(r.at) < interval {
		return messenger.Report{}, false
	}
	sum := r.Sum(self, revision)
	if up == r.to && equal(sum, r.sent) {
		return messenger.Report{}, false
	}
	r.sent = sum
	r.to = up
	r.at = now
	return sum, true
}

func add(sums map[uint64]*messenger.RevisionCount, report messenger.Report) {
	for _, count := range report.Counts {
		sum := sums[count.Number]
		if sum == nil {
			sum = &messenger.RevisionCount{Number: count.Number}
			sums[count.Number] = sum
		}
		sum.Instances += count.Instances
		sum.Identities = append(sum.Identities, count.Identities...)
	}
}

// trim sorts the identities and drops those that a report has no room for.
func trim(counts []messenger.RevisionCount, total int) {
	for i := range counts {
		limit := MaxStragglers
		if total <= MaxAll {
			limit = MaxAll
		} else if i == 0 {
			limit = 0
		}
		identities := counts[i].Identities
		slices.SortFunc(identities, compare)
		counts[i].Identities = slices.Clip(identities[:min(limit, len(identities))])
	}
}

func compare(a, b gooseberrymast.Identity) int {
	if c := a.Address.Compare(b.Address); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

func equal(a, b messenger.Report) bool {
	return slices.EqualFunc(a.Counts, b.Counts, func(x, y messenger.RevisionCount) bool {
		return x.Number == y.Number && x.Instances == y.Instances && slices.Equal(x.Identities, y.Identities)
	})
}
