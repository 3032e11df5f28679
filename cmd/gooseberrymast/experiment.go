package main

import (
	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/emulator"
)

const experimentHelp = `Plays a load pattern in virtual time under several policies of placing new flows,
with several seeds, and compares them. "product" is what the balancers do,
"random" the baseline, "ideal" an upper bound with full knowledge.

Exit codes: 0 done, 1 failed, 2 invalid input.`

func newExperiment() *cobra.Command {
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Compare policies of placing flows in virtual time",
		Long:  experimentHelp,
		Args:  invalidArgs(cobra.NoArgs),
	}
	patterns := command.Flags().StringSlice("pattern", nil, "load `patterns`; all when left out")
	policies := command.Flags().StringSlice("policy", nil, "`policies`; all when left out")
	seeds := command.Flags().Int("seeds", 3, "`number` of seeds, from 1")
	asJSON := command.Flags().Bool("json", false, "print one JSON object a run")
	command.RunE = func(command *cobra.Command, _ []string) error {
		results, err := experiment(*patterns, *policies, *seeds)
		if err != nil {
			return err
		}
		out := newPrinter(command)
		if !*asJSON {
			out.printf("%-14s %-14s %4s %9s %7s %7s %7s %7s %8s %9s %9s\n",
				"pattern", "policy", "seed", "requests", "worth", "late", "failed", "shed", "crossed", "p50 ms", "p99 ms")
		}
		for _, result := range results {
			if *asJSON {
				out.printJSON(result)
				continue
			}
			out.printf("%-14s %-14s %4d %9d %7.3f %7d %7d %7d %8d %9.1f %9.1f\n", result.Pattern, result.Policy, result.Seed,
				result.Requests, result.Worth, result.Late, result.Failed, result.Shed, result.Crossed, result.Median, result.P99)
		}
		return out.err
	}
	return command
}

// experiment runs every combination of pattern, policy and seed. An empty list of
// patterns or policies selects all of them.
func experiment(patternNames, policies []string, seeds int) ([]emulator.Result, error) {
	if len(patternNames) == 0 {
		for _, pattern := range emulator.Patterns() {
			patternNames = append(patternNames, pattern.Name)
		}
	}
	if len(policies) == 0 {
		for _, policy := range emulator.Policies {
			policies = append(policies, string(policy))
		}
	}
	if seeds < 1 {
		return nil, gooseberrymast.Faults{{Key: "seeds", Value: gooseberrymast.FaultValue(seeds), Want: "1 or more"}}
	}
	var results []emulator.Result
	for _, name := range patternNames {
		pattern, err := emulator.PatternByName(name)
		if err != nil {
			return nil, invalidError{err}
		}
		for _, policy := range policies {
			for seed := range seeds {
				result, err := emulator.Run(pattern, emulator.Policy(policy), uint64(seed)+1)
				if err != nil {
					return nil, invalidError{err}
				}
				results = append(results, result)
			}
		}
	}
	return results, nil
}
