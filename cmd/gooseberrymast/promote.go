package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/coordination/applier"
	"gooseberrymast/protocol/parser"
	"gooseberrymast/transport/operator"
)

const promoteHelp = `Applies the newest revision of one environment to another, byte for byte.

The revision must be in force at every instance of the first environment, as one
of its balancers reports; otherwise nothing is changed and you are told how many
instances lack it. With --force REASON it is promoted all the same; the reason is
kept with the author's name. Races are settled as by "apply".

` + waitHelp + ` That balancer is
named by --to-balancer.

` + storeHelp + `
` + balancerHelp + `
It must be a balancer of the environment that --from names.

Exit codes: 0 applied, 1 refused, not applied, not known, or not in force
everywhere by --wait, 2 invalid input.`

func newPromote(open opener) *cobra.Command {
	command := &cobra.Command{
		Use:   "promote --from A --to B",
		Short: "Apply one environment's revision to another",
		Long:  promoteHelp,
		Args:  invalidArgs(cobra.NoArgs),
	}
	store, balancer := storeFlag(command), balancerFlag(command)
	author, seen := authorFlag(command), seenFlag(command)
	from := command.Flags().String("from", "", "`name` of the environment to promote from")
	to := command.Flags().String("to", "", "`name` of the environment to promote to")
	limit := waitFlag(command)
	target := command.Flags().String("to-balancer", "", "operators' `address` of a balancer of the environment to promote to, for --wait")
	force := command.Flags().String("force", "", "promote whatever is in force, for this `reason`")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkPromotion(*from, *to, *author); err != nil {
			return err
		}
		recordedAuthor, err := authorWithReason(*author, *force, command.Flags().Changed("force"))
		if err != nil {
			return err
		}
		waiter, err := newWaiter(*limit, "to-balancer", *target)
		if err != nil {
			return err
		}
		revisions, err := openStoreFlag(open, *store)
		if err != nil {
			return err
		}
		source, err := readPromotable(command, revisions, *from, *balancer, *force)
		if err != nil {
			return err
		}
		out := newPrinter(command)
		out.printf("%s: promoting %s\n", *from, describeRevision(source))
		return applyAndReport(command, revisions, &applier.Applier{
			Environment: *to,
			Text:        source.Text,
			Author:      recordedAuthor,
			Conditional: command.Flags().Changed("seen"),
			Seen:        *seen,
		}, waiter)
	}
	return command
}

func checkPromotion(from, to, author string) error {
	if err := errors.Join(checkEnvironment("from", from), checkEnvironment("to", to)); err != nil {
		return err
	}
	if from == to {
		return invalidFlag("to", to, "another environment than --from")
	}
	return checkAuthor(author)
}

// authorWithReason returns the author to record with the revision: the name and, if
// the promotion is forced, the reason.
func authorWithReason(author, reason string, forced bool) (string, error) {
	if !forced {
		return author, nil
	}
	if reason == "" {
		return "", missingFlag("force", "the reason")
	}
	text := author + ", forced: " + reason
	if len(text) > 2*maxAuthorBytes || text != printable(text) {
		return "", invalidFlag("force", reason, fmt.Sprintf("at most %d bytes of printable text", maxAuthorBytes))
	}
	return text, nil
}

// readPromotable reads the newest revision of an environment and checks that it may
// be promoted: it must be valid and, unless a reason to force the promotion is
// given, in force everywhere.
func readPromotable(command *cobra.Command, revisions revisionStore, from, balancer, reason string) (gooseberrymast.Revision, error) {
	source, err := revisions.newest(command.Context(), from)
	if err != nil {
		return source, err
	}
	if _, err := parser.DocumentFile(fmt.Sprintf("revision %d of %s", source.Number, from), source.Text); err != nil {
		return source, err
	}
	if reason != "" {
		return source, nil
	}
	address, err := parseAddress("balancer", balancer)
	if err != nil {
		return source, err
	}
	status, err := operator.Client{Address: address}.Status(command.Context(), gooseberrymast.StatusFilter{Summary: true})
	promotion := applier.Promotion{Source: source, Status: status, StatusErr: err}
	if err := promotion.Check(); err != nil {
		return source, fmt.Errorf("%s: revision %d was not promoted: %w", from, source.Number, err)
	}
	return source, nil
}
