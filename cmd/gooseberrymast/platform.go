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

	"github.com/spf13/cobra"

	"gooseberrymast/standin/platform"
)

const platformHelp = `Runs a stand-in for the platform's object API, for trying things out. It keeps
everything in memory and loses it when it stops. It is not for production.

PUT /faults with a JSON body makes it fail: down, delay, lost-answers, lost-writes,
cut-watches and stale-reads.

Exit codes: 0 stopped by a signal, 1 failed, 2 invalid input.`

// platformHeaderTimeout is the longest time to read a request's header.
const platformHeaderTimeout = 5 * time.Second

func newPlatform() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's object API",
		Long:  platformHelp,
		Args:  invalidArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			address, err := netip.ParseAddrPort(listen)
			if err != nil || !address.Addr().IsLoopback() {
				return invalidError{fmt.Errorf("--listen %q: want an IP address and port of the loopback interface", listen)}
			}
			return runPlatform(command, address)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "the loopback `ADDRESS` to listen on")
	return command
}

func runPlatform(command *cobra.Command, address netip.AddrPort) error {
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("runPlatform: %w", err)
	}
	store := &platform.Platform{FirstVersion: uint64(time.Now().UnixMilli())}
	server := &http.Server{
		Handler:           store.Handler(),
		Protocols:         platform.Protocols(),
		ReadHeaderTimeout: platformHeaderTimeout,
	}
	fmt.Fprintf(command.OutOrStdout(), "a stand-in, in memory only: http://%s\n", listener.Addr())
	cancelClose := context.AfterFunc(ctx, func() { server.Close() })
	defer cancelClose()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("runPlatform: %w", err)
	}
	return nil
}
