package main

import (
	"context"

	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/assembler"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/state/timer"
	"gooseberrymast/transport/operator"
	"gooseberrymast/transport/reloader"
	"gooseberrymast/transport/storer"
)

const balancerLong = `Runs a balancer: an entry instance behind the fabric. It forwards callers' packets
to agents and keeps nothing of a flow.

SIGTERM announces the departure, goes on forwarding while others turn away, and
stops. A second signal stops at once; flows go on through the other balancers.

Exit codes: 0 stopped by a signal or the settings are valid, 1 failed, 2 the
settings are invalid.`

func newBalancer() *cobra.Command {
	return newProcessCommand(processCommand[gooseberrymast.BalancerSettings]{
		use:          "balancer --config FILE",
		short:        "Run a balancer",
		long:         balancerLong,
		readSettings: readBalancerSettings,
		logLevel:     func(settings gooseberrymast.BalancerSettings) string { return settings.LogLevel },
		run:          runBalancer,
	})
}

func runBalancer(ctx context.Context, settings gooseberrymast.BalancerSettings, incarnation gooseberrymast.Incarnation) error {
	keys, err := keyer.Load(settings.KeyFile)
	if err != nil {
		return err
	}
	store := &storer.Storer{Address: settings.StoreAddress}
	balancer, err := assembler.NewBalancer(assembler.BalancerConfig{
		Settings:    settings,
		Incarnation: incarnation,
		Keys:        keys,
		Store:       store,
		Timer:       timer.System{},
	})
	if err != nil {
		return err
	}
	if err := store.Register(balancer.Registry); err != nil {
		return err
	}
	files := &reloader.Reloader{Files: []string{settings.KeyFile}, Timer: timer.System{}, Load: func() error {
		return loadKeys(settings.KeyFile, balancer.SetKeys)
	}}
	files.Start()
	defer files.Stop()
	stop, err := serveOperators(settings.OperatorsAddress, &operator.Server{
		Metrics: balancer.Registry,
		Ready:   balancer.Ready,
		Status:  balancer.Status,
	})
	if err != nil {
		return err
	}
	defer stop()
	return serveProcess(ctx, balancer)
}

func loadKeys(file string, set func(*keyer.Keys) error) error {
	keys, err := keyer.Load(file)
	if err != nil {
		return err
	}
	return set(keys)
}
