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

// processCommand describes the command that runs one kind of process.
type processCommand struct {
	use, short string
	role       gooseberrymast.Role
	run        func(ctx context.Context, environment runner.Environment) error
}

// settingsReloadInterval is how often the settings file is read again, since it may
// change without a signal. Its settings are not urgent.
const settingsReloadInterval = 5 * time.Second

func (p processCommand) command() *cobra.Command {
	var check bool
	var file string
	command := &cobra.Command{
		Use:   p.use,
		Short: p.short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			path := platform.SettingsFile()
			settings, err := platform.ReadSettings(path, p.role)
			forwarding, forwardingErr := readForwardingSettings(file)
			if err := joinFaults(err, forwardingErr); err != nil {
				return err
			}
			if check {
				fmt.Fprintf(command.OutOrStdout(), "%s is valid\n", path)
				return nil
			}
			journal := journaler.New(os.Stdout, settings.Name, float64(forwarding.LogRate), forwarding.LogBurst)
			defer journal.Close()
			store := platform.NewStore(settings.Store, forwarding.StoreTimeout.Std())
			stop := watchSettings(path, settings, journal, store)
			defer stop()
			return p.run(command.Context(), runner.Environment{
				Settings:    settings,
				Codec:       platform.Codec{},
				Store:       store,
				StoreEra:    store.Era,
				Timer:       timer.System{},
				DocumentKey: platform.DocumentKey,
				ReadRoutes:  platform.ReadRoutes,

				ReadEvacuations: store.Evacuations,
				PeersListen:     peersListenEndpoint(forwarding),
				MetricsPort:     forwarding.MetricsPort,
				Placement:       forwarding.PlacementRule(),
				FlowRecords:     forwarding.FlowRecords,
				AdmissionRule:   forwarding.AdmissionRule(),
				Log:             journal,
			})
		},
	}
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	command.Flags().StringVar(&file, "settings", "", "the TOML `FILE` with the process's own settings; without one the defaults apply")
	return command
}

// peersListenEndpoint converts the validated setting; a missing one becomes zero,
// which means that the process listens where peers send to.
func peersListenEndpoint(forwarding gooseberrymast.ForwardingSettings) gooseberrymast.Endpoint {
	endpoint, _ := gooseberrymast.EndpointOf(forwarding.PeersListen)
	return endpoint
}

// watchSettings reads the settings again on SIGHUP and at an interval, and applies a
// new address of the store. Other changes need a restart, since peers and the
// platform identify the instance by its addresses.
func watchSettings(path string, settings gooseberrymast.InstanceSettings, journal *journaler.Journaler, store *platform.Store) (stop func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsReloadInterval)
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
				journal.Error(gooseberrymast.EventSettingsInvalid).Str("cause", cause).Err(err).Msg("the current settings stay in force")
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

// readForwardingSettings reads the project's own settings; without a file it returns
// the defaults.
func readForwardingSettings(file string) (gooseberrymast.ForwardingSettings, error) {
	if file == "" {
		return parser.Forwarding(file, nil)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return gooseberrymast.ForwardingSettings{}, fmt.Errorf("read settings: %w", err)
	}
	return parser.Forwarding(file, text)
}

// joinFaults returns the faults of both files together, or the first other error.
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
