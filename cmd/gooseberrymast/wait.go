package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/coordination/applier"
	"gooseberrymast/transport/operator"
)

// waitInterval is the time between two looks at a status.
const waitInterval = 500 * time.Millisecond

const waitHelp = `With --wait DURATION the command then asks a balancer of the environment until the
revision is in force everywhere, and fails when it isn't by then. The revision
stays applied all the same.`

// waiter waits for a revision to be in force everywhere.
type waiter struct {
	// limit is zero when the command does not wait.
	limit   time.Duration
	address netip.AddrPort
	// wait sleeps unless the context ends first.
	wait func(ctx context.Context, delay time.Duration) error
}

func waitFlag(command *cobra.Command) *time.Duration {
	return command.Flags().Duration("wait", 0, "wait at most this `duration` until the revision is in force everywhere")
}

func newWaiter(limit time.Duration, flag, balancer string) (waiter, error) {
	if limit == 0 {
		return waiter{}, nil
	}
	if limit < 0 {
		return waiter{}, invalidFlag("wait", limit.String(), "a duration above zero")
	}
	address, err := parseAddress(flag, balancer)
	return waiter{limit: limit, address: address}, err
}

// run waits for a revision and says when it was in force everywhere.
func (w waiter) run(ctx context.Context, out *printer, revision gooseberrymast.Revision) error {
	if w.limit == 0 {
		return nil
	}
	var last error
	for waited := time.Duration(0); ; waited += waitInterval {
		if last = w.look(ctx, revision); last == nil {
			out.printf("%s: revision %d is in force everywhere\n", revision.Environment, revision.Number)
			return out.err
		}
		if waited >= w.limit {
			break
		}
		if err := w.wait(ctx, waitInterval); err != nil {
			return fmt.Errorf("waiter.run: %w", err)
		}
	}
	return fmt.Errorf("%s: revision %d is applied, but after %s: %w", revision.Environment, revision.Number, w.limit, last)
}

// look gives nil once the revision, or a later one, is in force everywhere.
func (w waiter) look(ctx context.Context, revision gooseberrymast.Revision) error {
	status, err := operator.Client{Address: w.address}.Status(ctx, gooseberrymast.StatusFilter{Summary: true})
	if err != nil {
		return err
	}
	if status.Newest > revision.Number {
		revision.Number = status.Newest
	}
	return applier.Promotion{Source: revision, Status: status}.Check()
}
