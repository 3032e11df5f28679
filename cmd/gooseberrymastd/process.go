package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
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

// settingsInterval is how often the settings file is read again, since it may
// change without a signal. Nothing in it is urgent.
const settingsInterval = 5 * time.Second

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
			store := platform.NewStore(settings.Store, storeTimeout)
			environment := environment(settings, store)
			stop := watchSettings(path, settings, environment.Log, store)
			defer stop()
			return p.run(command.Context(), environment)
		},
	}
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return command
}

// watchSettings reads the settings again on SIGHUP and now and then, and
// directs calls to the store where they say. Other changes take effect with
// the next start, since peers and the platform know the instance by its
// addresses.
func watchSettings(path string, settings gooseberrymast.InstanceSettings, logger *log.Logger, store *platform.Store) (stop func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	done := make(chan struct{})
	go func() {
		for {
			cause := "interval"
			select {
			case <-done:
				return
			case <-hangup:
				cause = "signal"
			case <-ticker.C:
			}
			latest, err := platform.ReadSettings(path, settings.Role)
			if err != nil {
				logger.Error().Str("event", "settings-invalid").Str("cause", cause).Err(err).Msg("the settings in force stay")
				continue
			}
			if cause == "signal" || latest != settings {
				logger.Info().Str("event", "settings-reloaded").Str("cause", cause).Bool("changed", latest != settings).
					Stringer("store", latest.Store).Msg("")
			}
			settings = latest
			store.SetAddress(latest.Store)
		}
	}()
	return func() {
		signal.Stop(hangup)
		ticker.Stop()
		close(done)
	}
}

func environment(settings gooseberrymast.InstanceSettings, store *platform.Store) runner.Environment {
	logger := &log.Logger{
		Level:   log.InfoLevel,
		Writer:  log.IOWriter{Writer: os.Stdout},
		Context: log.NewContext(nil).Str("instance", settings.Name).Value(),
	}
	return runner.Environment{
		Settings:    settings,
		Codec:       platform.Codec{},
		Store:       store,
		Timer:       timer.System{},
		DocumentKey: platform.DocumentKey,
		ReadRoutes:  platform.ReadRoutes,
		Log:         logger,
	}
}
