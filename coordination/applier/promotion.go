package applier

import (
	"errors"
	"fmt"

	"gooseberrymast"
)

// The errors of a promotion.
var (
	// ErrNothingToPromote means that the source has no revision.
	ErrNothingToPromote = errors.New("no revision to promote")
	// ErrNotInForce means that the source's revision isn't in force
	// everywhere yet, or that this could not be confirmed.
	ErrNotInForce = errors.New("the revision is not in force everywhere")
)

// Promotion decides whether a revision of one environment may be applied to
// another.
type Promotion struct {
	// Source is the newest revision of the environment to promote from.
	Source gooseberrymast.Revision
	// Status is the status of that environment from one of its balancers.
	Status gooseberrymast.Status
	// StatusErr is set when the status could not be read.
	StatusErr error
}

// Check returns nil when the revision may be promoted, and else an error with
// the reason.
func (p Promotion) Check() error {
	if p.Source.Number == 0 {
		return fmt.Errorf("%s: %w", p.Source.Environment, ErrNothingToPromote)
	}
	if p.StatusErr != nil {
		return fmt.Errorf("%w: its status can't be read: %w", ErrNotInForce, p.StatusErr)
	}
	if p.Status.Environment != p.Source.Environment {
		return fmt.Errorf("%w: %s answered for environment %q, not %q",
			ErrNotInForce, p.Status.Instance, p.Status.Environment, p.Source.Environment)
	}
	if p.Status.Newest != p.Source.Number {
		return fmt.Errorf("%w: %s has revision %d as the newest, the store has %d",
			ErrNotInForce, p.Status.Instance, p.Status.Newest, p.Source.Number)
	}
	if !p.Status.InForceEverywhere() {
		return fmt.Errorf("%w: %s", ErrNotInForce, describeLagging(p.Status))
	}
	return nil
}

// describeLagging describes how many instances, or which, don't have the newest
// revision in force.
func describeLagging(status gooseberrymast.Status) string {
	lagging, total := 0, 0
	for _, revision := range status.Revisions {
		total += revision.Instances
		if revision.Number != status.Newest {
			lagging += revision.Instances
		}
	}
	if lagging == 0 {
		return fmt.Sprintf("%s has revision %d in force, not %d", status.Instance, status.Revision, status.Newest)
	}
	return fmt.Sprintf("%d of %d instances don't have revision %d in force", lagging, total, status.Newest)
}
