package applier_test

import (
	"fmt"
	"math/rand/v2"

	"gooseberrymast"
	"gooseberrymast/coordination/applier"
)

// fakeStore holds one environment's document and history. It loses, delays and
// refuses calls and returns stale reads, as the platform's store may.
type fakeStore struct {
	rng *rand.Rand
	// failureRate is the probability that a call fails or reads stale data.
	failureRate float64
	// accepted lists the document's versions; version n is accepted[n-1].
	accepted []gooseberrymast.Revision
	history  []gooseberrymast.Revision
	// delayed holds document writes that may still take effect.
	delayed []applier.Step
}

func (f *fakeStore) serve(step applier.Step) applier.Result {
	if len(f.delayed) > 0 && f.rng.IntN(4) == 0 {
		f.commitDelayed()
	}
	switch step.Kind {
	case applier.StepReadDocument:
		return f.read()
	case applier.StepReadHistory:
		return f.readHistory(step.Number)
	case applier.StepWriteHistory:
		return f.write(step, f.saveHistory)
	default:
		return f.write(step, f.accept)
	}
}

func (f *fakeStore) read() applier.Result {
	if f.rng.Float64() < f.failureRate {
		return applier.Result{Err: gooseberrymast.ErrStoreUnavailable}
	}
	version := len(f.accepted)
	if f.rng.Float64() < f.failureRate {
		version -= f.rng.IntN(version + 1)
	}
	if version == 0 {
		return applier.Result{Err: gooseberrymast.ErrStoreNotFound}
	}
	return applier.Result{Revision: f.accepted[version-1], Version: uint64(version)}
}

func (f *fakeStore) readHistory(number uint64) applier.Result {
	if f.rng.Float64() < f.failureRate {
		return applier.Result{Err: gooseberrymast.ErrStoreUnavailable}
	}
	for _, revision := range f.history {
		if revision.Number == number && f.rng.Float64() >= f.failureRate {
			return applier.Result{Revision: revision, Version: 1}
		}
	}
	return applier.Result{Err: gooseberrymast.ErrStoreNotFound}
}

func (f *fakeStore) write(step applier.Step, commit func(applier.Step) error) applier.Result {
	if f.rng.Float64() >= f.failureRate {
		return applier.Result{Err: commit(step)}
	}
	switch f.rng.IntN(4) {
	case 0:
		return applier.Result{Err: gooseberrymast.ErrStoreUnavailable}
	case 1:
		_ = commit(step)
	case 2:
		if step.Kind == applier.StepWriteDocument {
			f.delayed = append(f.delayed, step)
		}
	}
	return applier.Result{Err: gooseberrymast.ErrStoreUnknown}
}

func (f *fakeStore) accept(step applier.Step) error {
	if step.Expected != uint64(len(f.accepted)) {
		return gooseberrymast.ErrStoreConflict
	}
	f.accepted = append(f.accepted, step.Revision)
	return nil
}

func (f *fakeStore) saveHistory(step applier.Step) error {
	for _, revision := range f.history {
		if revision.Number == step.Revision.Number {
			return gooseberrymast.ErrStoreConflict
		}
	}
	f.history = append(f.history, step.Revision)
	return nil
}

// commitDelayed commits one delayed write.
func (f *fakeStore) commitDelayed() {
	i := f.rng.IntN(len(f.delayed))
	_ = f.accept(f.delayed[i])
	f.delayed = append(f.delayed[:i], f.delayed[i+1:]...)
}

func (f *fakeStore) commitAllDelayed() {
	for len(f.delayed) > 0 {
		f.commitDelayed()
	}
}

// check compares a report with the final content of the store.
func (f *fakeStore) check(report applier.Report) error {
	copies := 0
	for _, revision := range f.accepted {
		if revision.WriteID == report.Revision.WriteID {
			copies++
		}
	}
	switch {
	case copies > 1:
		return fmt.Errorf("applied %d times", copies)
	case report.Outcome == applier.OutcomeApplied && copies == 0:
		return fmt.Errorf("reported applied, and was not")
	case (report.Outcome == applier.OutcomeLost || report.Outcome == applier.OutcomeNotApplied) && copies > 0:
		return fmt.Errorf("reported %s, and was applied", report.Outcome)
	case report.Outcome == applier.OutcomeUnknown && f.failureRate == 0:
		return fmt.Errorf("reported unknown by a store without faults")
	}
	if winner := report.Winner; winner.Number > 0 && f.accepted[winner.Number-1].WriteID != winner.WriteID {
		return fmt.Errorf("named %s as the winner, which is %s", winner.WriteID, f.accepted[winner.Number-1].WriteID)
	}
	return nil
}

// checkChain checks that revisions rise by one and that all but the newest are in
// the history.
func (f *fakeStore) checkChain() error {
	for i, revision := range f.accepted {
		if revision.Number != uint64(i+1) {
			return fmt.Errorf("version %d holds revision %d", i+1, revision.Number)
		}
	}
	inHistory := map[uint64]string{}
	for _, revision := range f.history {
		inHistory[revision.Number] = revision.WriteID
	}
	for _, revision := range f.accepted[:max(len(f.accepted)-1, 0)] {
		if inHistory[revision.Number] != revision.WriteID {
			return fmt.Errorf("revision %d is missing from the history", revision.Number)
		}
	}
	return nil
}
