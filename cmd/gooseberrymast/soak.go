package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"gooseberrymast/soaker"
)

const soakHelp = `Runs gooseberrymastd as many separate processes on loopback under random faults,
and checks what must hold from what callers and servers see: pauses, kills and
restarts, links that are cut, slow or lossy, a store that is down, slow, loses
answers or refuses some, documents that change, servers that crash and leave.
docs/SOAK.md lists the checks.

The seed draws the faults, so a seed is played again by naming it. Logs and the
schedule of a seed stay in the folder when a promise was broken.

Exit codes: 0 every promise held, 1 one was broken or the soak failed, 2 invalid
input.`

// errPromiseBroken is returned when a soak found a violation.
var errPromiseBroken = errors.New("a promise was broken")

type soakFlags struct {
	program   string
	folder    string
	seed      uint64
	seeds     int
	seconds   int
	instances int
	network   uint8
	keep      bool
	json      bool
}

func newSoak() *cobra.Command {
	var flags soakFlags
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run the real processes under random faults and check what must hold",
		Long:  soakHelp,
		Args:  invalidArgs(cobra.NoArgs),
		RunE:  func(command *cobra.Command, _ []string) error { return runSoak(command, flags) },
	}
	flagSet := command.Flags()
	flagSet.StringVar(&flags.program, "program", "", "the `PATH` of gooseberrymastd; empty: beside this program")
	flagSet.StringVar(&flags.folder, "folder", filepath.Join(os.TempDir(), "gooseberrymast-soak"), "the `FOLDER` of logs")
	flagSet.Uint64Var(&flags.seed, "seed", 1, "the first seed")
	flagSet.IntVar(&flags.seeds, "seeds", 1, "the number of seeds, played one after the other")
	flagSet.IntVar(&flags.seconds, "seconds", 60, "how long traffic is sent for each seed, from 14")
	flagSet.IntVar(&flags.instances, "instances", 16, "the number of processes, 6 to 250")
	flagSet.Uint8Var(&flags.network, "network", 30, "the second octet of the loopback addresses, so that soaks run side by side")
	flagSet.BoolVar(&flags.keep, "keep", false, "keep the logs of every seed")
	flagSet.BoolVar(&flags.json, "json", false, "print one JSON object a seed")
	return command
}

func runSoak(command *cobra.Command, flags soakFlags) error {
	if flags.program == "" {
		executable, err := os.Executable()
		if err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		flags.program = filepath.Join(filepath.Dir(executable), "gooseberrymastd")
	}
	if _, err := os.Stat(flags.program); err != nil {
		return invalidError{fmt.Errorf("soak: --program: %w", err)}
	}
	if flags.seeds < 1 {
		return invalidError{fmt.Errorf("--seeds %d: want 1 or more", flags.seeds)}
	}
	out := newPrinter(command)
	broken := false
	for seed := flags.seed; seed < flags.seed+uint64(flags.seeds) && command.Context().Err() == nil; seed++ {
		report, err := soakSeed(command, flags, seed)
		if err != nil {
			return err
		}
		broken = broken || len(report.Violations) > 0
		if flags.json {
			out.printJSON(report)
		} else {
			printSoak(out, report)
		}
	}
	if broken {
		return errPromiseBroken
	}
	return out.err
}

// soakSeed runs the soak with one seed. It deletes the seed's folder of logs unless
// the run failed, a promise was broken, or --keep is set.
func soakSeed(command *cobra.Command, flags soakFlags, seed uint64) (soaker.Report, error) {
	folder, err := soaker.MakeFolder(flags.folder, seed)
	if err != nil {
		return soaker.Report{}, err
	}
	report, err := soaker.Run(command.Context(), soaker.Options{
		Program: flags.program, Folder: folder, Network: flags.network, Seed: seed,
		Length: time.Duration(flags.seconds) * time.Second, Instances: flags.instances,
		OnFault: func(fault soaker.Fault) {
			_, _ = fmt.Fprintf(command.ErrOrStderr(), "seed %d, %s: %s for %s\n", seed, fault.At, fault.Kind, fault.Duration)
		},
	})
	if err != nil {
		return report, fmt.Errorf("seed %d: %w; logs in %s", seed, err, folder)
	}
	if len(report.Violations) == 0 && !flags.keep {
		return report, os.RemoveAll(folder)
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return report, fmt.Errorf("seed %d: %w", seed, err)
	}
	return report, os.WriteFile(filepath.Join(folder, "report.json"), text, 0o644)
}

func printSoak(out *printer, report soaker.Report) {
	out.printf("seed %d: %d processes, %d starts, %d faults, %d of %d requests served, %d refused, %d cut, %d timed out, %d violations\n",
		report.Seed, report.Instances, report.Starts, total(report.Faults), report.Served, report.Requests, report.Refused,
		report.Cut, report.TimedOut, len(report.Violations))
	if report.Interrupted {
		out.printf("  interrupted\n")
	}
	slices.SortFunc(report.Violations, func(a, b soaker.Violation) int { return a.At.Compare(b.At) })
	for _, violation := range report.Violations {
		out.printf("  %s %s: %s\n", violation.At.Format(time.TimeOnly), violation.Promise, violation.What)
	}
}

func total(counts map[string]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}
