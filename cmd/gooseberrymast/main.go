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

// The exit codes of every command.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

// invalidError marks an error of the command line or of its input.
type invalidError struct {
	err error
}

// Error gives the error's text.
func (i invalidError) Error() string {
	return i.err.Error()
}

// Unwrap gives the error itself.
func (i invalidError) Unwrap() error {
	return i.err
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, openStore, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and gives its exit code. The context ends when
// the process is asked to stop.
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
