// Package reporter aggregates, along the tree of balancers, how many instances
// have each revision in force.
package reporter

import (
	"cmp"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
)

// Limits on the identities listed for one revision in a report.
const (
	// MaxIdentities is the maximum number of instances of a report that lists
	// all of them.
	MaxIdentities = 16
	// MaxStragglers bounds the identities of a larger report for each revision
	// other than its highest.
	MaxStragglers = 8
)

// DefaultInterval is the default minimum time between two reports to the
// upstream peer.
const DefaultInterval = 2 * time.Second

// Reporter holds the last report received on each downstream session.
type Reporter struct {
	// Interval is the minimum time between two reports to the upstream peer.
	Interval time.Duration

	downstream map[messenger.Session]messenger.Report
	// lastReport, lastUpstream and lastSent are the last report sent upstream,
	// its session and its time.
	lastReport   messenger.Report
	lastUpstream messenger.Session
	lastSent     time.Time
}

// Set stores the report of a downstream session: a balancer's on its subtree,
// or an agent's on itself.
func (r *Reporter) Set(session messenger.Session, report messenger.Report) {
	if r.downstream == nil {
		r.downstream = map[messenger.Session]messenger.Report{}
	}
	r.downstream[session] = report
}

// Drop removes the report of a session that ended or is no longer downstream.
func (r *Reporter) Drop(session messenger.Session) {
	delete(r.downstream, session)
}

// Single returns the report of a single instance.
func Single(identity gooseberrymast.Identity, revision uint64) messenger.Report {
	return messenger.Report{Counts: []messenger.RevisionCount{{
		Number: revision, Instances: 1, Identities: []gooseberrymast.Identity{identity},
	}}}
}

// Sum returns the sum of the downstream reports and this process, with the
// highest revision first.
func (r *Reporter) Sum(self gooseberrymast.Identity, revision uint64) messenger.Report {
	sums := map[uint64]*messenger.RevisionCount{}
	addCounts(sums, Single(self, revision))
	for _, report := range r.downstream {
		addCounts(sums, report)
	}
	var sum messenger.Report
	total := 0
	for _, count := range sums {
		total += count.Instances
		sum.Counts = append(sum.Counts, *count)
	}
	slices.SortFunc(sum.Counts, func(a, b messenger.RevisionCount) int { return cmp.Compare(b.Number, a.Number) })
	trimIdentities(sum.Counts, total)
	return sum
}

// Due returns the report to send on the upstream session. It reports false if
// there is no upstream session, if the report hasn't changed since it was last
// sent there, or if the interval hasn't passed.
func (r *Reporter) Due(now time.Time, upstream messenger.Session, self gooseberrymast.Identity, revision uint64) (messenger.Report, bool) {
	interval := r.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	if upstream == 0 || upstream == r.lastUpstream && now.Sub(r.lastSent) < interval {
		return messenger.Report{}, false
	}
	sum := r.Sum(self, revision)
	if upstream == r.lastUpstream && equalReports(sum, r.lastReport) {
		return messenger.Report{}, false
	}
	r.lastReport = sum
	r.lastUpstream = upstream
	r.lastSent = now
	return sum, true
}

func addCounts(sums map[uint64]*messenger.RevisionCount, report messenger.Report) {
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

// trimIdentities sorts the identities and removes those beyond the limits.
func trimIdentities(counts []messenger.RevisionCount, total int) {
	for i := range counts {
		limit := MaxStragglers
		if total <= MaxIdentities {
			limit = MaxIdentities
		} else if i == 0 {
			limit = 0
		}
		identities := counts[i].Identities
		slices.SortFunc(identities, compareIdentities)
		counts[i].Identities = slices.Clip(identities[:min(limit, len(identities))])
	}
}

func compareIdentities(a, b gooseberrymast.Identity) int {
	if c := a.Address.Compare(b.Address); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

func equalReports(a, b messenger.Report) bool {
	return slices.EqualFunc(a.Counts, b.Counts, func(x, y messenger.RevisionCount) bool {
		return x.Number == y.Number && x.Instances == y.Instances && slices.Equal(x.Identities, y.Identities)
	})
}
