// Package applier writes one document as an environment's next revision to a
// store whose responses may be lost, late or stale.
//
// A revision is written conditionally on the version of its predecessor. Before
// that, the predecessor is copied to the history, so that its author can find
// its write there once it is no longer the newest.
package applier

import (
	"bytes"
	"errors"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
)

// The limits of retries of store calls.
const (
	// DefaultAttempts bounds the calls without progress.
	DefaultAttempts = 8
	// MinDelay and MaxDelay bound the delay before a retry.
	MinDelay = 100 * time.Millisecond
	MaxDelay = 2 * time.Second
)

// ErrStale means that the store kept returning an older version than before.
var ErrStale = errors.New("the store returned only old versions")

// StepKind selects what the driver of the store does next.
type StepKind uint8

// The kinds of steps.
const (
	// StepReadDocument reads the object at DocumentKey.
	StepReadDocument StepKind = iota + 1
	// StepReadHistory reads the object at HistoryKey of Number.
	StepReadHistory
	// StepWriteDocument puts Revision at DocumentKey, expecting Expected.
	StepWriteDocument
	// StepWriteHistory puts Revision at its HistoryKey, expecting the key to be
	// absent.
	StepWriteHistory
	// StepDone ends the run with Report.
	StepDone
)

// Step is one instruction to the driver of the store.
type Step struct {
	Kind StepKind
	// Delay is the time to wait before the step.
	Delay time.Duration
	// Number is set for StepReadHistory.
	Number uint64
	// Revision is set for the writing steps.
	Revision gooseberrymast.Revision
	// Expected is the version that StepWriteDocument expects.
	Expected uint64
	// Report is set for StepDone.
	Report Report
}

// Result is the store's response to a step. The driver must send the write of a
// step at most once.
type Result struct {
	// Revision is what was read; zero with an error.
	Revision gooseberrymast.Revision
	// Version is the version that was read; zero with an error.
	Version uint64
	// Err wraps one of the errors of gooseberrymast.Store. Any other error
	// of a write means that its outcome is unknown.
	Err error
}

// Applier is the state machine of one apply. Its exported fields must be set
// before Start.
type Applier struct {
	// Environment is the environment's name.
	Environment string
	// Text is the document, byte for byte.
	Text []byte
	// Author is the operator who applies the document.
	Author string
	// WriteID is unique to this apply.
	WriteID string
	// Time is when the apply began.
	Time time.Time
	// Conditional is set when the apply must follow revision Seen.
	Conditional bool
	// Seen is the revision that the operator last saw; used when Conditional.
	Seen uint64
	// Attempts bounds the calls without progress; zero is DefaultAttempts.
	Attempts int

	stage stage
	// base is the predecessor of the new revision, read at baseVersion.
	base        gooseberrymast.Revision
	baseVersion uint64
	// outcomeUnknown is set once the response to a write was lost.
	outcomeUnknown bool
	// conflicted is set once a conflict showed that base is no longer newest.
	conflicted bool
	// newest is the last revision that was read back.
	newest gooseberrymast.Revision
	// failures counts the calls without progress.
	failures int
	lastErr  error
}

type stage uint8

const (
	stageReading stage = iota
	stageSavingBase
	stageWriting
	stageReadingBack
	stageReadingHistory
	stageSavingOwn
	stageDone
)

// Start starts the apply and returns its first step.
func (a *Applier) Start() Step {
	a.stage = stageReading
	return Step{Kind: StepReadDocument}
}

// Advance handles the result of the last step and returns the next step.
func (a *Applier) Advance(result Result) Step {
	switch a.stage {
	case stageReading:
		return a.handleRead(result)
	case stageSavingBase:
		return a.handleBaseSaved(result)
	case stageWriting:
		return a.handleWritten(result)
	case stageReadingBack:
		return a.handleReadBack(result)
	case stageReadingHistory:
		return a.handleHistoryRead(result)
	case stageSavingOwn:
		return a.finish(Report{Outcome: OutcomeApplied, HistoryPending: copyMayBeMissing(result.Err)})
	default:
		return a.finish(Report{Outcome: OutcomeUnknown, Err: result.Err})
	}
}

// Abort ends the run early, for example when the operator interrupts it. The
// outcome of a write in progress counts as unknown.
func (a *Applier) Abort(err error) Step {
	a.lastErr = err
	if a.stage == stageSavingOwn {
		return a.finish(Report{Outcome: OutcomeApplied, HistoryPending: true})
	}
	if a.stage == stageWriting {
		a.outcomeUnknown = true
	}
	return a.finishEarly()
}

func (a *Applier) handleRead(result Result) Step {
	if result.Err != nil && !errors.Is(result.Err, gooseberrymast.ErrStoreNotFound) {
		return a.retry(result.Err, Step{Kind: StepReadDocument})
	}
	a.base, a.baseVersion = result.Revision, result.Version
	if a.Conditional && a.base.Number != a.Seen {
		return a.finish(Report{Outcome: OutcomeLost, Winner: a.base, Newest: a.base})
	}
	if a.base.Number == 0 {
		return a.write(0)
	}
	a.stage = stageSavingBase
	return Step{Kind: StepWriteHistory, Revision: a.base}
}

func (a *Applier) handleBaseSaved(result Result) Step {
	if copyMayBeMissing(result.Err) {
		return a.retry(result.Err, Step{Kind: StepWriteHistory, Revision: a.base})
	}
	return a.write(0)
}

func (a *Applier) write(delay time.Duration) Step {
	a.stage = stageWriting
	revision := a.revision()
	asserter.Holds(revision.Number == a.base.Number+1, "revision-only-rises",
		"%s: revision %d would follow %d", a.Environment, revision.Number, a.base.Number)
	return Step{Kind: StepWriteDocument, Delay: delay, Revision: revision, Expected: a.baseVersion}
}

func (a *Applier) handleWritten(result Result) Step {
	switch {
	case result.Err == nil:
		return a.saveOwn()
	case errors.Is(result.Err, gooseberrymast.ErrStoreConflict):
		a.conflicted = true
		a.stage = stageReadingBack
		return Step{Kind: StepReadDocument}
	case !errors.Is(result.Err, gooseberrymast.ErrStoreUnavailable):
		a.outcomeUnknown = true
	}
	a.stage = stageReadingBack
	return a.retry(result.Err, Step{Kind: StepReadDocument})
}

func (a *Applier) saveOwn() Step {
	a.stage = stageSavingOwn
	return Step{Kind: StepWriteHistory, Revision: a.revision()}
}

func (a *Applier) revision() gooseberrymast.Revision {
	return gooseberrymast.Revision{
		Number:      a.base.Number + 1,
		Environment: a.Environment,
		WriteID:     a.WriteID,
		Author:      a.Author,
		Time:        a.Time,
		Text:        a.Text,
	}
}

// retry repeats a step after a delay, or ends the run when no attempts are left.
func (a *Applier) retry(err error, step Step) Step {
	a.lastErr = err
	a.failures++
	attempts := a.Attempts
	if attempts <= 0 {
		attempts = DefaultAttempts
	}
	if a.failures >= attempts {
		return a.finishEarly()
	}
	step.Delay = min(MinDelay<<min(a.failures-1, 10), MaxDelay)
	return step
}

// finishEarly ends the run with the outcome that is certain without another call.
func (a *Applier) finishEarly() Step {
	report := Report{Outcome: OutcomeNotApplied, Newest: a.newest, Err: a.lastErr}
	switch {
	case a.outcomeUnknown:
		report.Outcome = OutcomeUnknown
	case a.conflicted:
		report.Outcome = OutcomeLost
	}
	return a.finish(report)
}

func (a *Applier) finish(report Report) Step {
	a.stage = stageDone
	report.Revision = a.revision()
	report.Base = a.base
	report.SameText = a.base.Number > 0 && bytes.Equal(a.base.Text, a.Text)
	return Step{Kind: StepDone, Report: report}
}

// copyMayBeMissing reports whether a revision may be missing from the history
// after a write there returned err. A conflict means that another process has
// already copied it.
func copyMayBeMissing(err error) bool {
	return err != nil && !errors.Is(err, gooseberrymast.ErrStoreConflict)
}
