package applier

import (
	"errors"

	"gooseberrymast"
)

// readBack looks for the own write in the newest revision.
func (a *Applier) readBack(result Result) Step {
	if result.Err != nil && !errors.Is(result.Err, gooseberrymast.ErrStoreNotFound) {
		return a.retry(result.Err, Step{Kind: StepReadDocument})
	}
	if result.Err == nil && result.Revision.WriteID == a.WriteID {
		return a.saveOwn()
	}
	if result.Version == a.baseVersion && !a.conflicted {
		return a.writeAgain()
	}
	if result.Version <= a.baseVersion || result.Revision.Number <= a.base.Number {
		return a.retry(ErrStale, Step{Kind: StepReadDocument})
	}
	a.newest = result.Revision
	if result.Revision.Number == a.base.Number+1 {
		return a.finish(Report{Outcome: OutcomeLost, Winner: result.Revision, Newest: result.Revision})
	}
	a.stage = stageReadingHistory
	return Step{Kind: StepReadHistory, Number: a.base.Number + 1}
}

// writeAgain repeats the write under the same write id and expected version:
// whichever copy arrives first takes effect and the others conflict. Only so
// can a write that is still under way be kept from landing after the report.
func (a *Applier) writeAgain() Step {
	step := a.retry(a.lastErr, Step{})
	if step.Kind == StepDone {
		return step
	}
	return a.write(step.Delay)
}

// readHistory looks for the own write in the revision that followed base. Its
// successor's author copied it to the history before writing.
func (a *Applier) readHistory(result Result) Step {
	if result.Err != nil {
		return a.retry(result.Err, Step{Kind: StepReadHistory, Number: a.base.Number + 1})
	}
	if result.Revision.WriteID == a.WriteID {
		return a.finish(Report{Outcome: OutcomeApplied, Newest: a.newest})
	}
	return a.finish(Report{Outcome: OutcomeLost, Winner: result.Revision, Newest: a.newest})
}
