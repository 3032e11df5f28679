package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/transport/operator"
)

const statusHelp = `Prints a balancer's view of its environment: each revision with the number of
instances that have it in force and those that don't, each service's agents by
state and why one gets no new flows, the balancers, and the cells with their
holders. The counts are a few seconds old.

--service prints one service alone, without balancers and cells. --summary prints
counts by availability zone and state instead of one line for each process. Both
keep the answer short where the environment is large.

With --agent instead: what one agent reports of itself, such as the streams and
requests that a drain still waits for. --json prints one JSON object.

` + balancerHelp + `

Exit codes: 0 printed, 1 failed, 2 invalid input.`

func newStatus() *cobra.Command {
	command := &cobra.Command{
		Use:   "status (--balancer ADDRESS | --agent ADDRESS)",
		Short: "Print the state of an environment",
		Long:  statusHelp,
		Args:  invalidArgs(cobra.NoArgs),
	}
	balancer := balancerFlag(command)
	agent := command.Flags().String("agent", "", "operators' `address` of an agent")
	var filter gooseberrymast.StatusFilter
	command.Flags().StringVar(&filter.Service, "service", "", "`name` of the one service to print")
	command.Flags().BoolVar(&filter.Summary, "summary", false, "print counts instead of each process")
	asJSON := command.Flags().Bool("json", false, "print one JSON object")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if *agent != "" && command.Flags().Changed("balancer") {
			return invalidError{errors.New("status: give --balancer or --agent, not both")}
		}
		if *agent != "" && filter != (gooseberrymast.StatusFilter{}) {
			return invalidError{errors.New("status: --service and --summary are for balancers")}
		}
		if filter.Service != "" && !gooseberrymast.IsValidName(filter.Service) {
			return invalidError{fmt.Errorf("status: --service: got %q, want the name of a service", filter.Service)}
		}
		if *agent != "" {
			return agentStatus(command, *agent, *asJSON)
		}
		return balancerStatus(command, *balancer, filter, *asJSON)
	}
	return command
}

func balancerStatus(command *cobra.Command, balancer string, filter gooseberrymast.StatusFilter, asJSON bool) error {
	address, err := parseAddress("balancer", balancer)
	if err != nil {
		return err
	}
	status, err := operator.Client{Address: address}.Status(command.Context(), filter)
	if err != nil {
		return err
	}
	out := newPrinter(command)
	if asJSON {
		out.printJSON(status)
		return out.err
	}
	return printStatus(out, status, filter)
}

func agentStatus(command *cobra.Command, agent string, asJSON bool) error {
	address, err := parseAddress("agent", agent)
	if err != nil {
		return err
	}
	status, err := operator.Client{Address: address}.AgentStatus(command.Context())
	if err != nil {
		return err
	}
	out := newPrinter(command)
	if asJSON {
		out.printJSON(status)
	} else {
		printAgentStatus(out, status)
	}
	return out.err
}
