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

// operatorsShutdownTimeout bounds the wait for open requests on the operators'
// address at shutdown.
const operatorsShutdownTimeout = 2 * time.Second

// process is a balancer or an agent.
type process interface {
	// Run serves until Close.
	Run(ctx context.Context) error
	// Shutdown announces that the process leaves and waits for the work in progress.
	// Cancelling the context ends the wait.
	Shutdown(ctx context.Context) error
	// Close aborts the remaining work and closes the sockets.
	Close() error
}

// processCommand holds what differs between the commands balancer and agent.
type processCommand[S any] struct {
	use, short, long string
	// readSettings reads a settings file and validates it, including the files that it
	// names and the addresses to listen on.
	readSettings func(file string) (S, error)
	// logLevel returns the log level in the settings.
	logLevel func(settings S) string
	// run serves until a signal ends the process.
	run func(ctx context.Context, settings S, incarnation gooseberrymast.Incarnation) error
}

func newProcessCommand[S any](spec processCommand[S]) *cobra.Command {
	var config string
	var check bool
	command := &cobra.Command{
		Use:   spec.use,
		Short: spec.short,
		Long:  spec.long,
		Args:  invalidArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := spec.readSettings(config)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintf(command.OutOrStdout(), "%s is valid\n", config)
				return nil
			}
			log.DefaultLogger.Level = log.ParseLevel(spec.logLevel(settings))
			return runWithIncarnation(assembler.IncarnationAt(time.Now()), func(incarnation gooseberrymast.Incarnation) error {
				return spec.run(command.Context(), settings, incarnation)
			})
		},
	}
	command.Flags().StringVar(&config, "config", "", "the settings' `FILE`, in TOML")
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return command
}

// serveProcess runs a process until it fails or receives a signal. The first signal
// starts a graceful shutdown, the second one aborts it.
func serveProcess(ctx context.Context, p process) error {
	// The command's context is cancelled by the first signal, which would abort the
	// graceful shutdown.
	ctx = context.WithoutCancel(ctx)
	first, stopFirst := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stopFirst()
	failed := make(chan error, 1)
	go func() { failed <- p.Run(ctx) }()
	select {
	case err := <-failed:
		return errors.Join(err, p.Close())
	case <-first.Done():
	}
	stopFirst()
	log.Info().Msg("leaving: no new work, what is in progress goes on; a second signal cuts it")
	second, stopSecond := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stopSecond()
	err := p.Shutdown(second)
	if err != nil {
		log.Warn().Err(err).Msg("the shutdown was cut short")
	}
	return p.Close()
}

// serveOperators serves the operators' address until stop is called.
func serveOperators(address netip.AddrPort, server *operator.Server) (stop func(), err error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("serveOperators %s: %w", address, err)
	}
	httpServer := server.HTTPServer()
	go func() {
		if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("the operators' address is no longer served")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), operatorsShutdownTimeout)
		defer cancel()
		if err := httpServer.Shutdown(ctx); err != nil {
			log.Warn().Err(err).Msg("an open request on the operators' address was cut off at shutdown")
		}
	}, nil
}

// runWithIncarnation runs a process. Each time the membership rejects its incarnation
// as too low, it starts the process again with the incarnation in the error.
func runWithIncarnation(incarnation gooseberrymast.Incarnation, run func(gooseberrymast.Incarnation) error) error {
	for {
		err := run(incarnation)
		var staleErr *assembler.StaleIncarnationError
		if !errors.As(err, &staleErr) {
			return err
		}
		log.Warn().Err(err).Msg("starting again with a higher incarnation")
		incarnation = staleErr.Identity.Incarnation
	}
}
