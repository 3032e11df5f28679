package main

import (
	"fmt"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"gooseberrymast/standin/backend"
)

const backendLong = `Runs a stand-in for a backend server, for trying things out. It answers every
request with the request's own body, /push with numbered lines, and has /health and
/load for its agent. It is not for production.

Exit codes: 0 stopped by a signal, 1 failed, 2 invalid input.`

func newBackend() *cobra.Command {
	var listen, name string
	var slots int
	command := &cobra.Command{
		Use:   "backend",
		Short: "Run a stand-in for a backend server",
		Long:  backendLong,
		Args:  invalidArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			address, err := netip.ParseAddrPort(listen)
			if err != nil || !address.Addr().IsLoopback() {
				return invalidError{fmt.Errorf("--listen %q: want an IP address and port of the loopback interface", listen)}
			}
			return runBackend(command, address, &backend.Backend{Name: name, Slots: slots})
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:8080", "the loopback `ADDRESS` to listen on")
	command.Flags().StringVar(&name, "name", "backend", "the `NAME` given in each answer")
	command.Flags().IntVar(&slots, "slots", backend.DefaultSlots, "the number of requests run at once")
	return command
}

func runBackend(command *cobra.Command, address netip.AddrPort, server *backend.Backend) error {
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bound, err := server.Start(address)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.OutOrStdout(), "a stand-in for a backend server: http://%s\n", bound)
	<-ctx.Done()
	return server.Close()
}
