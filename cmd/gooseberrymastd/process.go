package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/platform"
	"gooseberrymast/protocol/parser"
	"gooseberrymast/runner"
	"gooseberrymast/state/timer"
	"gooseberrymast/transport/journaler"
)

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
	var file string
	command := &cobra.Command{
		Use:   p.use,
		Short: p.short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			path := platform.SettingsFile()
			settings, err := platform.ReadSettings(path, p.role)
			own, ownErr := readOwn(file)
			if err := joinFaults(err, ownErr); err != nil {
				return err
			}
			if check {
				fmt.Fprintf(command.OutOrStdout(), "%s is valid\n", path)
				return nil
			}
			journal := journaler.New(os.Stdout, settings.Name, float64(own.LogRate), own.LogBurst)
			defer journal.Close()
			store := platform.NewStore(settings.Store, own.StoreTimeout.Std())
			stop := watchSettings(path, settings, journal, store)
			defer stop()
			return p.run(command.Context(), runner.Environment{
				Settings:    settings,
				Codec:       platform.Codec{},
				Store:       store,
				Timer:       timer.System{},
				DocumentKey: platform.DocumentKey,
				ReadRoutes:  platform.ReadRoutes,
				PeersListen: peersListen(own),
				MetricsPort: own.MetricsPort,
				Log:         journal,
			})
		},
	}
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	command.Flags().StringVar(&file, "settings", "", "the `FILE` of our own settings, in TOML; without one the defaults hold")
	return command
}

// peersListen converts the checked setting; nothing stands for no translation.
func peersListen(own gooseberrymast.ForwardingSettings) gooseberrymast.Endpoint {
	endpoint, _ := gooseberrymast.EndpointOf(own.PeersListen)
	return endpoint
}

// watchSettings reads the settings again on SIGHUP and now and then, and
// directs calls to the store where they say. Other changes take effect with
// the next start, since peers and the platform know the instance by its
// addresses.
func watchSettings(path string, settings gooseberrymast.InstanceSettings, journal *journaler.Journaler, store *platform.Store) (stop func()) {
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
				journal.Error(gooseberrymast.EventSettingsInvalid).Str("cause", cause).Err(err).Msg("the settings in force stay")
				continue
			}
			if cause == "signal" || latest != settings {
				journal.Info(gooseberrymast.EventSettingsReloaded).Str("cause", cause).Bool("changed", latest != settings).
					Str("store", latest.Store.String()).Msg("")
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

// readOwn reads the settings of our own.
func readOwn(file string) (gooseberrymast.ForwardingSettings, error) {
	if file == "" {
		return parser.Forwarding(file, nil)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return gooseberrymast.ForwardingSettings{}, fmt.Errorf("read settings: %w", err)
	}
	return parser.Forwarding(file, text)
}

// joinFaults gives the faults of both files together, or the first other error.
func joinFaults(errs ...error) error {
	var all gooseberrymast.Faults
	for _, err := range errs {
		var faults gooseberrymast.Faults
		if err != nil && !errors.As(err, &faults) {
			return err
		}
		all = append(all, faults...)
	}
	return all.Err()
}
