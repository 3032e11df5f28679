package main

import (
	"crypto/rand"
	"time"

	"github.com/spf13/cobra"

	"gooseberrymast/coordination/applier"
)

const applyHelp = `Makes a document the next revision of an environment.

The document is checked first, as by "check". The write is conditional: when
another operator's revision came between, nothing is changed and you are told
who applied it, when, and what differs. With --seen N the document is applied
only when N is still the newest revision, for example the one that "diff"
compared with; without it, the newest revision at the start of the command.

When the answer of the store is lost, the command reads the store until it knows
whether the document was applied. If the store stays down it says that this is
not known; "history" shows it later by the write id.

` + waitHelp + `

` + storeHelp + `
` + balancerHelp + `

Exit codes: 0 applied, 1 not applied, not known, or not in force everywhere by
--wait, 2 invalid input.`

func newApply(open opener) *cobra.Command {
	command := &cobra.Command{
		Use:   "apply --environment E FILE",
		Short: "Make a document the next revision of an environment",
		Long:  applyHelp,
		Args:  invalidArgs(cobra.ExactArgs(1)),
	}
	store, author, environment, seen := storeFlag(command), authorFlag(command), environmentFlag(command), seenFlag(command)
	balancer, limit := balancerFlag(command), waitFlag(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		_, text, err := readDocument(args[0])
		if err != nil {
			return err
		}
		if err := checkEnvironment("environment", *environment); err != nil {
			return err
		}
		if err := checkAuthor(*author); err != nil {
			return err
		}
		waiter, err := newWaiter(*limit, "balancer", *balancer)
		if err != nil {
			return err
		}
		revisions, err := openStoreFlag(open, *store)
		if err != nil {
			return err
		}
		a := &applier.Applier{
			Environment: *environment,
			Text:        text,
			Author:      *author,
			Conditional: command.Flags().Changed("seen"),
			Seen:        *seen,
		}
		return applyAndReport(command, revisions, a, waiter)
	}
	return command
}

// applyAndReport runs an applier, prints its report and, with --wait, waits until
// the revision is in force everywhere.
func applyAndReport(command *cobra.Command, revisions revisionStore, a *applier.Applier, waiter waiter) error {
	a.WriteID = rand.Text()
	a.Time = time.Now().UTC()
	if err := revisions.checkSize(a); err != nil {
		return err
	}
	report := revisions.run(command.Context(), a)
	out := newPrinter(command)
	if err := printReport(out, report); err != nil {
		return err
	}
	revisions.prune(command.Context(), a.Environment, report.Revision.Number)
	waiter.sleep = revisions.sleep
	return waiter.run(command.Context(), out, report.Revision)
}
