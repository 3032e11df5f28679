package applier

import "gooseberrymast"

// Outcome is the outcome of an apply.
type Outcome uint8

// The outcomes of an apply.
const (
	// OutcomeApplied: the revision was accepted.
	OutcomeApplied Outcome = iota + 1
	// OutcomeLost: another revision was accepted first; this one was not applied
	// and will not be.
	OutcomeLost
	// OutcomeNotApplied: the store refused the write or could not be reached;
	// this revision was not applied and will not be.
	OutcomeNotApplied
	// OutcomeUnknown: the response to the write was lost and the store could
	// not be read since; the revision may be in force or come into force.
	OutcomeUnknown
)

// String returns the outcome in kebab case.
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

// Report is the result of an apply for the operator.
type Report struct {
	Outcome Outcome
	// Revision is what was or would have been written. Its Number is one above
	// that of Base.
	Revision gooseberrymast.Revision
	// Base is the predecessor that was read; zero when there was none.
	Base gooseberrymast.Revision
	// Winner is the revision that was accepted in place of this one. It is set
	// for OutcomeLost if it could be read.
	Winner gooseberrymast.Revision
	// Newest is the newest revision if it was read and differs from Revision.
	Newest gooseberrymast.Revision
	// SameText is set when Base has the same text. The document is written all
	// the same, since a stale read may have returned an old Base.
	SameText bool
	// HistoryPending is set when the copy to the history may be missing; the
	// next apply writes it.
	HistoryPending bool
	// Err is the last error of the store if it determined the outcome.
	Err error
}
