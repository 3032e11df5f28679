package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"gooseberrymast"
)

const historyHelp = `Lists the last revisions of an environment, the newest first: number, time,
author, length and write id. The store keeps 500. With --show N it prints the
document of revision N, byte for byte; to go back to it, apply that text again
as a new revision.

` + storeHelp + `

Exit codes: 0 listed, 1 failed or no such revision, 2 invalid input.`

func newHistory(open opener) *cobra.Command {
	command := &cobra.Command{
		Use:   "history --environment E",
		Short: "List the revisions of an environment",
		Long:  historyHelp,
		Args:  invalidArgs(cobra.NoArgs),
	}
	store, environment := storeFlag(command), environmentFlag(command)
	show := command.Flags().Uint64("show", 0, "print the document of this `revision`")
	limit := command.Flags().Int("limit", 20, "list at most this `number` of revisions; 0: all")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkEnvironment("environment", *environment); err != nil {
			return err
		}
		revisions, err := openStoreFlag(open, *store)
		if err != nil {
			return err
		}
		list, err := revisions.list(command.Context(), *environment)
		if err != nil {
			return err
		}
		if *show > 0 {
			return printText(newPrinter(command), list, *show)
		}
		if *limit > 0 && len(list) > *limit {
			list = list[:*limit]
		}
		return printHistory(newPrinter(command), list)
	}
	return command
}

func printText(out *printer, list []gooseberrymast.Revision, number uint64) error {
	for _, revision := range list {
		if revision.Number == number {
			out.printf("%s", revision.Text)
			return out.err
		}
	}
	return fmt.Errorf("no revision %d in the history", number)
}

func printHistory(out *printer, list []gooseberrymast.Revision) error {
	table := newTable(out)
	table.printf("REVISION\tTIME\tAUTHOR\tBYTES\tWRITE ID\n")
	for _, revision := range list {
		table.printf("%d\t%s\t%s\t%d\t%s\n", revision.Number, formatTime(revision.Time),
			printable(revision.Author), len(revision.Text), printable(revision.WriteID))
	}
	return table.flush()
}
