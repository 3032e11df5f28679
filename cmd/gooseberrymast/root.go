package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

const rootHelp = `gooseberrymast is a layer-4 load balancer. A balancer forwards packets, an agent
beside each backend server decides what runs, and operators drive both through
one document for each environment.

Exit codes: 0 done, 1 failed, 2 invalid input; with 2 nothing was changed.`

// opener opens the revision store at a base URL.
type opener func(address string) (revisionStore, error)

func newRoot(open opener) *cobra.Command {
	root := &cobra.Command{
		Use:           "gooseberrymast",
		Short:         "A layer-4 load balancer that explains what it did",
		Long:          rootHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          invalidArgs(cobra.NoArgs),
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return invalidError{fmt.Errorf("%s: %w; see --help", command.CommandPath(), err)}
	})
	root.CompletionOptions.HiddenDefaultCmd = true
	root.AddCommand(
		newAgent(),
		newApply(open),
		newBackend(),
		newBalancer(),
		newCall(),
		newCheck(),
		newDiff(open),
		newExperiment(),
		newExplain(),
		newHistory(open),
		newPlatform(),
		newPromote(open),
		newSoak(),
		newStatus(),
		newTry(),
		newVersion(),
	)
	return root
}

// invalidArgs wraps a check of arguments so that its errors are reported as invalid
// input.
func invalidArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return invalidError{fmt.Errorf("%s: %w; see --help", command.CommandPath(), err)}
		}
		return nil
	}
}
