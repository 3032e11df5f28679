package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"gooseberrymast/transport/operator"
)

const explainHelp = `Says why a request was refused, in the words that the caller was given. The
identifier stands in the caller's error; the agent that refused keeps its last few
thousand refusals until it stops.

--agent is that agent's operators' address, for example 10.0.1.1:7002. The agent
answers on GET /refusals/ID.

Exit codes: 0 explained, 1 the agent can't be reached or keeps it no longer,
2 invalid input.`

func newExplain() *cobra.Command {
	command := &cobra.Command{
		Use:   "explain ID --agent ADDRESS",
		Short: "Say why a request was refused",
		Long:  explainHelp,
		Args:  invalidArgs(cobra.ExactArgs(1)),
	}
	agent := command.Flags().String("agent", "", "operators' `address` of the agent that refused")
	asJSON := command.Flags().Bool("json", false, "print one JSON object")
	command.RunE = func(command *cobra.Command, args []string) error {
		address, err := parseAddress("agent", *agent)
		if err != nil {
			return err
		}
		report, err := operator.Client{Address: address}.Refusal(command.Context(), args[0])
		if errors.Is(err, operator.ErrNotFound) {
			return fmt.Errorf("refusal %s is not kept at %s: it is too old, or the agent was restarted or is another one", args[0], address)
		}
		if err != nil {
			return err
		}
		out := newPrinter(command)
		if *asJSON {
			out.printJSON(report)
		} else {
			printRefusal(out, report)
		}
		return out.err
	}
	return command
}

func printRefusal(out *printer, report operator.RefusalReport) {
	out.printf("%s\n", printable(report.Sentence))
	out.printf("id %s, reason %s, at %s\n", printable(report.ID), printable(report.Reason), formatTime(report.Time))
}
