// Command gooseberrymast runs the processes of the load balancer and lets
// operators check, apply and promote documents and read the fleet's status.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"gooseberrymast"
)

// Exit codes of all commands.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

// invalidError marks an error in the command line or in an input file; the exit code
// is then exitInvalid.
type invalidError struct {
	err error
}

// Error returns the text of the wrapped error.
func (i invalidError) Error() string {
	return i.err.Error()
}

// Unwrap returns the wrapped error.
func (i invalidError) Unwrap() error {
	return i.err
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, openStore, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code. The context is cancelled
// by SIGINT or SIGTERM.
func run(ctx context.Context, open opener, args []string, stdout, stderr io.Writer) int {
	root := newRoot(open)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var faults gooseberrymast.Faults
	var invalid invalidError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &faults), errors.As(err, &invalid):
		return exitInvalid
	default:
		return exitFailed
	}
}
