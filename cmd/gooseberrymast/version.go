package main

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

const versionHelp = `Prints the version of the program, the commit it was built from and the version
of Go that built it.`

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Long:  versionHelp,
		Args:  invalidArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			out := newPrinter(command)
			out.printf("%s\n", versionText())
			return out.err
		},
	}
}

func versionText() string {
	version, commit := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				commit = setting.Value
			}
		}
	}
	return fmt.Sprintf("gooseberrymast %s commit %s %s", version, commit, runtime.Version())
}
