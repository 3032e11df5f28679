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
	// everywhere yet, or that nobody could say so.
	ErrNotInForce = errors.New("the revision is not in force everywhere")
)

// Promotion decides whether a revision of one environment may be applied to
// another.
type Promotion struct {
	// Source is the newest revision of the environment to promote from.
	Source gooseberrymast.Revision
	// Status is a balancer's view of that environment.
	Status gooseberrymast.Status
	// StatusErr is set when there is no such view.
	StatusErr error
}

// Check gives nil when the revision may be promoted, and otherwise why not.
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
		return fmt.Errorf("%w: %s knows revision %d as the newest, the store has %d",
			ErrNotInForce, p.Status.Instance, p.Status.Newest, p.Source.Number)
	}
	if !p.Status.InForceEverywhere() {
		return fmt.Errorf("%w: %s", ErrNotInForce, behind(p.Status))
	}
	return nil
}

// behind counts the instances without the newest revision.
func behind(status gooseberrymast.Status) string {
	late, all := 0, 0
	for _, revision := range status.Revisions {
		all += revision.Instances
		if revision.Number != status.Newest {
			late += revision.Instances
		}
	}
	if late == 0 {
		return fmt.Sprintf("%s has revision %d in force, not %d", status.Instance, status.Revision, status.Newest)
	}
	return fmt.Sprintf("%d of %d instances don't have revision %d in force", late, all, status.Newest)
}
