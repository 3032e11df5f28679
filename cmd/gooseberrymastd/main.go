// Command gooseberrymastd runs the processes of the load balancer that forward
// packets on the users' platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"gooseberrymast"
)

// Exit codes of all commands.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "gooseberrymastd",
		Short:         "The processes that forward packets",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(newBalancer(), newAgent())
	err := root.ExecuteContext(ctx)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var faults gooseberrymast.Faults
	if errors.As(err, &faults) {
		os.Exit(exitInvalid)
	}
	os.Exit(exitFailed)
}
