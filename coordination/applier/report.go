package applier

import "gooseberrymast"

// Outcome says what became of an apply.
type Outcome uint8

// The outcomes of an apply.
const (
	// OutcomeApplied: the revision was accepted.
	OutcomeApplied Outcome = iota + 1
	// OutcomeLost: another revision came first; this one was not applied and
	// will not be.
	OutcomeLost
	// OutcomeNotApplied: the store refused or could not be reached; this
	// revision was not applied and will not be.
	OutcomeNotApplied
	// OutcomeUnknown: the answer to the write was lost and the store could
	// not be read since; the revision may be in force or come into force.
	OutcomeUnknown
)

// String gives the outcome in kebab case.
func (o Outcome) String() string {
	switch o {
	case OutcomeApplied:
		return "applied"
	case OutcomeLost:
		return "lost"
	case OutcomeNotApplied:
		return "not-applied"
	}
	return "unknown"
}

// Report is what an operator is told at the end.
type Report struct {
	Outcome Outcome
	// Revision is what was or would have been written. Its Number is the
	// one after the revision that was read, zero-based before any read.
	Revision gooseberrymast.Revision
	// Base is the revision that was read, and zero when there was none.
	Base gooseberrymast.Revision
	// Winner is set for OutcomeLost once it could be read: the revision that
	// took the place of this one.
	Winner gooseberrymast.Revision
	// Newest is the newest revision when it is not Revision and was read.
	Newest gooseberrymast.Revision
	// SameText is set when the revision that was read had the same bytes. It
	// is written again all the same: a stale read may have shown an old one.
	SameText bool
	// HistoryPending is set when the copy to the history may be missing; the
	// next apply writes it.
	HistoryPending bool
	// Err is the last error of the store when it decided the outcome.
	Err error
}
