package main

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/state/recorder"
	"gooseberrymast/transport/operator"
)

// defaultOperatorsPort is the port of operators-address in the example settings.
const defaultOperatorsPort = 7002

const explainHelp = `Says why a request was refused, in the words that the caller was given. The
identifier stands in the caller's error and names the agent that refused. That
agent keeps its last few thousand refusals until it stops.

The agent is asked at the IP address in the identifier, at the port that --port
gives, by GET /refusals/ID on its operators' address. --agent names another
address to ask.

With --logs, ID is that of a request, or a flow as the logs name it, and its
timeline is printed from the log lines of the processes that forward packets.

Exit codes: 0 explained, 1 the agent can't be reached or keeps it no longer,
2 invalid input.`

func newExplain() *cobra.Command {
	command := &cobra.Command{
		Use:   "explain ID",
		Short: "Say why a request was refused",
		Long:  explainHelp,
		Args:  invalidArgs(cobra.ExactArgs(1)),
	}
	agent := command.Flags().String("agent", "", "operators' `address` of the agent, when it isn't on the identifier's IP address")
	port := command.Flags().Uint16("port", defaultOperatorsPort, "`port` of the agents' operators' addresses")
	asJSON := command.Flags().Bool("json", false, "print one JSON object")
	logs := command.Flags().StringArray("logs", nil, "`FILE` of log lines to read the timeline from; may be given again")
	command.RunE = func(command *cobra.Command, args []string) error {
		if len(*logs) > 0 {
			return explainFromLogs(newPrinter(command), args[0], *logs)
		}
		address, err := agentAddress(args[0], *agent, *port)
		if err != nil {
			return err
		}
		report, err := operator.Client{Address: address}.Refusal(command.Context(), args[0])
		if errors.Is(err, operator.ErrNotFound) {
			return fmt.Errorf("refusal %s is not kept at %s: it is too old, or the agent was restarted or is another one", args[0], address)
		}
		if err != nil {
			return fmt.Errorf("the agent can't be asked; if it was stopped, its refusals are gone with it: %w", err)
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

// agentAddress returns the operators' address of the agent that issued a refusal:
// the address in agent if set, otherwise the IP address in the id with the port.
func agentAddress(id, agent string, port uint16) (netip.AddrPort, error) {
	identity, err := recorder.Origin(id)
	if err != nil {
		return netip.AddrPort{}, gooseberrymast.Faults{{Key: "ID", Value: gooseberrymast.FaultValue(id), Want: "the identifier of a refusal"}}
	}
	if agent != "" {
		return parseAddress("agent", agent)
	}
	return netip.AddrPortFrom(identity.Address.Addr(), port), nil
}

func printRefusal(out *printer, report operator.RefusalReport) {
	out.printf("%s\n", printable(report.Sentence))
	out.printf("id %s, reason %s, at %s\n", printable(report.ID), printable(report.Reason), formatTime(report.Time))
}
