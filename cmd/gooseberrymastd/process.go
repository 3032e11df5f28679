package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/platform"
	"gooseberrymast/runner"
	"gooseberrymast/state/timer"
)

// storeTimeout bounds each call to the store: a hundred times the usual answer
// of 4 ms, and well below the time in which a change must be in force.
const storeTimeout = 700 * time.Millisecond

// process is what the commands differ in.
type process struct {
	use, short string
	role       gooseberrymast.Role
	run        func(ctx context.Context, environment runner.Environment) error
}

func (p process) command() *cobra.Command {
	var check bool
	command := &cobra.Command{
		Use:   p.use,
		Short: p.short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			path := platform.SettingsFile()
			settings, err := platform.ReadSettings(path, p.role)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintf(command.OutOrStdout(), "%s is valid\n", path)
				return nil
			}
			return p.run(command.Context(), environment(settings))
		},
	}
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return command
}

func environment(settings gooseberrymast.InstanceSettings) runner.Environment {
	logger := &log.Logger{
		Level:   log.InfoLevel,
		Writer:  log.IOWriter{Writer: os.Stdout},
		Context: log.NewContext(nil).Str("instance", settings.Name).Value(),
	}
	return runner.Environment{
		Settings:    settings,
		Codec:       platform.Codec{},
		Store:       platform.NewStore(settings.Store, storeTimeout),
		Timer:       timer.System{},
		DocumentKey: platform.DocumentKey,
		ReadRoutes:  platform.ReadRoutes,
		Log:         logger,
	}
}
