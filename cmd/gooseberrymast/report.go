package main

import (
	"errors"
	"fmt"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/applier"
	"gooseberrymast/coordination/differ"
	"gooseberrymast/protocol/parser"
)

// printReport prints the outcome of an apply. It returns an error if the document was
// not applied or if that is unknown; the error repeats nothing that was printed.
func printReport(out *printer, report applier.Report) error {
	revision := report.Revision
	switch report.Outcome {
	case applier.OutcomeApplied:
		printApplied(out, report)
		return out.err
	case applier.OutcomeLost:
		return conflictError(out, report)
	case applier.OutcomeNotApplied:
		return fmt.Errorf("%s: not applied: %w", revision.Environment, report.Err)
	default:
		return fmt.Errorf("%s: not known whether revision %d was applied: %w\n"+
			"look for write id %s with \"gooseberrymast history --environment %s\" before you apply again",
			revision.Environment, revision.Number, report.Err, revision.WriteID, revision.Environment)
	}
}

func printApplied(out *printer, report applier.Report) {
	revision := report.Revision
	out.printf("%s: applied as revision %d by %s\n", revision.Environment, revision.Number, printable(revision.Author))
	if report.SameText {
		out.printf("  its text is that of revision %d\n", revision.Number-1)
	} else if report.Base.Number > 0 {
		printChanges(out, report.Base, revision)
	}
	if report.Newest.Number > revision.Number {
		out.printf("  since then %s is the newest\n", describeRevision(report.Newest))
	}
	if report.HistoryPending {
		out.printf("  its copy in the history is not written yet; the next apply writes it\n")
	}
}

var errNotApplied = errors.New("not applied")

// conflictError prints the revision that was written first, with the changes from the
// newest known revision to the operator's document, and returns the error to report.
func conflictError(out *printer, report applier.Report) error {
	environment := report.Revision.Environment
	winner := report.Winner
	if winner.Number == 0 {
		return fmt.Errorf("%s: %w: another revision came first, or there is none yet; whose it is could not be read: %w",
			environment, errNotApplied, errorOrNotFound(report.Err))
	}
	out.printf("%s: %s came first\n", environment, describeRevision(winner))
	if report.Newest.Number > winner.Number {
		out.printf("  since then %s is the newest\n", describeRevision(report.Newest))
	}
	latest := winner
	if report.Newest.Number > latest.Number {
		latest = report.Newest
	}
	out.printf("what your document would change in revision %d:\n", latest.Number)
	printChanges(out, latest, report.Revision)
	return fmt.Errorf("%s: %w: revision %d came first", environment, errNotApplied, winner.Number)
}

// errorOrNotFound returns err, or an error saying that no revision was found if err
// is nil.
func errorOrNotFound(err error) error {
	if err == nil {
		return errors.New("no revision was found")
	}
	return err
}

// describeRevision returns a revision's number, author and time as text.
func describeRevision(revision gooseberrymast.Revision) string {
	return fmt.Sprintf("revision %d by %s at %s", revision.Number, printable(revision.Author), formatTime(revision.Time))
}

func formatTime(at time.Time) string {
	return at.UTC().Format(time.RFC3339)
}

// printChanges lists the changes from one revision to another, key by key.
func printChanges(out *printer, from, to gooseberrymast.Revision) {
	before, err := parser.Document(from.Text)
	if err != nil {
		out.printf("  revision %d is not valid for this version of gooseberrymast: %v\n", from.Number, err)
		return
	}
	after, err := parser.Document(to.Text)
	if err != nil {
		out.printf("  the document is not valid for this version of gooseberrymast: %v\n", err)
		return
	}
	changes := differ.Compare(before, after)
	for _, change := range changes {
		out.printf("  %s\n", change)
	}
	if len(changes) == 0 && string(from.Text) == string(to.Text) {
		out.printf("  nothing: the bytes are the same\n")
	} else if len(changes) == 0 {
		out.printf("  comments or layout only\n")
	}
}
