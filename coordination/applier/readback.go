package applier

import (
	"errors"

	"gooseberrymast"
)

// handleReadBack checks whether the newest revision is the own write.
func (a *Applier) handleReadBack(result Result) Step {
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

// writeAgain repeats the write with the same write id and expected version: the
// first copy to arrive takes effect and the others conflict. This is the only way
// to keep a write that is still in transit from taking effect after the report.
func (a *Applier) writeAgain() Step {
	step := a.retry(a.lastErr, Step{})
	if step.Kind == StepDone {
		return step
	}
	return a.write(step.Delay)
}

// handleHistoryRead checks whether the revision that followed base is the own
// write. The process that wrote the next revision copied it to the history first.
func (a *Applier) handleHistoryRead(result Result) Step {
	if result.Err != nil {
		return a.retry(result.Err, Step{Kind: StepReadHistory, Number: a.base.Number + 1})
	}
	if result.Revision.WriteID == a.WriteID {
		return a.finish(Report{Outcome: OutcomeApplied, Newest: a.newest})
	}
	return a.finish(Report{Outcome: OutcomeLost, Winner: result.Revision, Newest: a.newest})
}
