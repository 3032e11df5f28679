package main

import (
	"errors"
	"fmt"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"gooseberrymast/trier"
)

const tryHelp = `Run a whole system on loopback in this one process: callers, a fabric that hands
any packet to any balancer, balancers, agents and stand-in backend servers. Send
traffic while the scenario changes the system, then report what callers were told
and what the backend servers really ran.

Nothing is needed beforehand and nothing is left behind.

Exit codes: 0 every invariant held, 1 one broke or the trial failed, 2 invalid
input.`

// errInvariantBroken is returned when a trial broke an invariant.
var errInvariantBroken = errors.New("the trial broke an invariant")

type tryFlags struct {
	deployment string
	scenario   string
	seconds    int
	seed       uint64
	flows      int
	json       bool
	baseline   bool
}

func newTry() *cobra.Command {
	var flags tryFlags
	command := &cobra.Command{
		Use:   "try",
		Short: "Run a whole system on loopback under traffic and changes",
		Long:  tryHelp,
		Args:  invalidArgs(cobra.NoArgs),
		RunE:  func(command *cobra.Command, _ []string) error { return runTry(command, flags) },
	}
	flagSet := command.Flags()
	flagSet.StringVar(&flags.deployment, "deployment", "nilebridge", "the sizes to run: nilebridge or magnolia")
	flagSet.StringVar(&flags.scenario, "scenario", trier.DefaultScenario, "one of "+strings.Join(trier.ScenarioNames(), ", "))
	flagSet.IntVar(&flags.seconds, "seconds", 20, "how long traffic is sent")
	flagSet.Uint64Var(&flags.seed, "seed", 1, "the seed of traffic and faults")
	flagSet.IntVar(&flags.flows, "flows", 0, "callers for each backend server; 0 takes the scenario's")
	flagSet.BoolVar(&flags.json, "json", false, "end with one JSON object on the last line")
	flagSet.BoolVar(&flags.baseline, "baseline", false, "run the plain policy: no hand-over, an unbounded queue, retries without a budget")
	return command
}

func runTry(command *cobra.Command, flags tryFlags) error {
	deployment, err := trier.DeploymentByName(flags.deployment)
	if err != nil {
		return invalidError{err}
	}
	if flags.flows < 0 {
		return invalidError{fmt.Errorf("--flows %d: want 0 or more", flags.flows)}
	}
	if flags.seconds < 1 {
		return invalidError{fmt.Errorf("--seconds %d: want 1 or more", flags.seconds)}
	}
	log.DefaultLogger.Level = log.WarnLevel
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := trier.Run(ctx, trier.Options{
		Deployment: deployment,
		Scenario:   flags.scenario,
		Length:     time.Duration(flags.seconds) * time.Second,
		Seed:       flags.seed,
		Baseline:   flags.baseline,
		Progress:   command.ErrOrStderr(),

		FlowsPerServer: flags.flows,
	})
	if err != nil {
		return err
	}
	return printTrialReport(command, report, flags.json)
}

func printTrialReport(command *cobra.Command, report *trier.Report, asJSON bool) error {
	write := report.WriteTable
	if asJSON {
		write = report.WriteJSON
	}
	if err := write(command.OutOrStdout()); err != nil {
		return err
	}
	broken := report.Broken()
	if len(broken) == 0 {
		return nil
	}
	return fmt.Errorf("%w:\n  %s", errInvariantBroken, strings.Join(broken, "\n  "))
}
