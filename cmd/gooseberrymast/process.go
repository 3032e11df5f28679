package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/assembler"
	"gooseberrymast/transport/operator"
)

// operatorsShutdown bounds the wait for questions on the operators' address.
const operatorsShutdown = 2 * time.Second

// process is what the commands balancer and agent run.
type process interface {
	// Run serves until Close.
	Run(ctx context.Context) error
	// Shutdown announces the departure and waits for what is in progress.
	Shutdown(ctx context.Context) error
	// Close cuts what is left.
	Close() error
}

// processCommand is what the commands balancer and agent differ in.
type processCommand[S any] struct {
	use, short, long string
	// read gives the settings of a file, checked against the instance.
	read func(file string) (S, error)
	// level gives the log level.
	level func(settings S) string
	// run serves until a signal.
	run func(ctx context.Context, settings S, incarnation gooseberrymast.Incarnation) error
}

func newProcess[S any](chosen processCommand[S]) *cobra.Command {
	var config string
	var check bool
	command := &cobra.Command{
		Use:   chosen.use,
		Short: chosen.short,
		Long:  chosen.long,
		Args:  invalidArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := chosen.read(config)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintf(command.OutOrStdout(), "%s is valid\n", config)
				return nil
			}
			log.DefaultLogger.Level = log.ParseLevel(chosen.level(settings))
			return again(assembler.IncarnationAt(time.Now()), func(incarnation gooseberrymast.Incarnation) error {
				return chosen.run(command.Context(), settings, incarnation)
			})
		},
	}
	command.Flags().StringVar(&config, "config", "", "the settings' `FILE`, in TOML")
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return command
}

// serveProcess runs a process until it fails or a signal ends it. The first
// signal begins a graceful shutdown, the second cuts it short.
func serveProcess(ctx context.Context, running process) error {
	// A signal cancels the command's context too, which would cut the shutdown.
	ctx = context.WithoutCancel(ctx)
	first, stopFirst := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stopFirst()
	failed := make(chan error, 1)
	go func() { failed <- running.Run(ctx) }()
	select {
	case err := <-failed:
		return errors.Join(err, running.Close())
	case <-first.Done():
	}
	stopFirst()
	log.Info().Msg("leaving: no new work, what is in progress goes on; a second signal cuts it")
	second, stopSecond := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stopSecond()
	err := running.Shutdown(second)
	if err != nil {
		log.Warn().Err(err).Msg("the shutdown was cut short")
	}
	return running.Close()
}

// serveOperators answers on the operators' address until the returned function
// is called.
func serveOperators(address netip.AddrPort, server *operator.Server) (stop func(), err error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("serveOperators %s: %w", address, err)
	}
	serving := server.HTTPServer()
	go func() {
		if err := serving.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("the operators' address is no longer served")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), operatorsShutdown)
		defer cancel()
		if err := serving.Shutdown(ctx); err != nil {
			log.Warn().Err(err).Msg("a question on the operators' address was cut")
		}
	}, nil
}

// again runs a process anew with a higher incarnation as often as the
// membership asks for it.
func again(start gooseberrymast.Incarnation, run func(gooseberrymast.Incarnation) error) error {
	for {
		err := run(start)
		var raised *assembler.RaisedError
		if !errors.As(err, &raised) {
			return err
		}
		log.Warn().Err(err).Msg("starting again")
		start = raised.Identity.Incarnation
	}
}
