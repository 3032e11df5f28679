package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"gooseberrymast"
)

const diffHelp = `Says what a document would change in an environment, key by key, and which
revision it was compared with; give that number to "apply --seen".

With --from and --to instead of a file: what a promotion would change.

` + storeHelp + `

Exit codes: 0 compared, whether or not anything differs, 1 failed, 2 invalid input.`

func newDiff(open opener) *cobra.Command {
	command := &cobra.Command{
		Use:   "diff (--environment E FILE | --from A --to B)",
		Short: "Say what a document would change",
		Long:  diffHelp,
		Args:  invalidArgs(cobra.MaximumNArgs(1)),
	}
	store, environment := storeFlag(command), environmentFlag(command)
	from := command.Flags().String("from", "", "`name` of the environment to promote from")
	to := command.Flags().String("to", "", "`name` of the environment to promote to")
	command.RunE = func(command *cobra.Command, args []string) error {
		if len(args) == 1 && *from == "" && *to == "" {
			return diffFile(command, open, *store, *environment, args[0])
		}
		if len(args) == 0 && *environment == "" {
			return diffEnvironments(command, open, *store, *from, *to)
		}
		return invalidError{errors.New("diff: give either --environment and a file, or --from and --to; see --help")}
	}
	return command
}

func diffFile(command *cobra.Command, open opener, store, environment, file string) error {
	_, text, err := readDocument(file)
	if err != nil {
		return err
	}
	if err := checkEnvironment("environment", environment); err != nil {
		return err
	}
	revisions, err := openStoreFlag(open, store)
	if err != nil {
		return err
	}
	return printDiff(command, revisions, environment, gooseberrymast.Revision{Text: text}, file)
}

func diffEnvironments(command *cobra.Command, open opener, store, from, to string) error {
	if err := errors.Join(checkEnvironment("from", from), checkEnvironment("to", to)); err != nil {
		return err
	}
	revisions, err := openStoreFlag(open, store)
	if err != nil {
		return err
	}
	source, err := revisions.newest(command.Context(), from)
	if err != nil {
		return err
	}
	return printDiff(command, revisions, to, source, fmt.Sprintf("revision %d of %s", source.Number, from))
}

// printDiff prints the changes from the newest revision of an environment to another
// revision or document, which otherName describes.
func printDiff(command *cobra.Command, revisions revisionStore, environment string, other gooseberrymast.Revision, otherName string) error {
	out := newPrinter(command)
	newest, err := revisions.newest(command.Context(), environment)
	if errors.Is(err, gooseberrymast.ErrStoreNotFound) {
		out.printf("%s has no revision; %s would be the first\n", environment, otherName)
		return out.err
	}
	if err != nil {
		return err
	}
	out.printf("from %s of %s to %s:\n", describeRevision(newest), environment, otherName)
	printChanges(out, newest, other)
	return out.err
}
