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

// waitInterval is the time between two queries of a balancer's status.
const waitInterval = 500 * time.Millisecond

const waitHelp = `With --wait DURATION the command then asks a balancer of the environment until the
revision is in force everywhere, and fails when it isn't by then. The revision
stays applied all the same.`

// waiter waits until a revision is in force everywhere.
type waiter struct {
	// limit is the longest time to wait; zero means that the command does not wait.
	limit   time.Duration
	address netip.AddrPort
	// sleep waits for a delay; it returns the context's error if that is cancelled
	// first.
	sleep func(ctx context.Context, delay time.Duration) error
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

// run queries the balancer's status until the revision is in force everywhere, and
// returns an error if it isn't within the limit.
func (w waiter) run(ctx context.Context, out *printer, revision gooseberrymast.Revision) error {
	if w.limit == 0 {
		return nil
	}
	var lastErr error
	for waited := time.Duration(0); ; waited += waitInterval {
		if lastErr = w.check(ctx, revision); lastErr == nil {
			out.printf("%s: revision %d is in force everywhere\n", revision.Environment, revision.Number)
			return out.err
		}
		if waited >= w.limit {
			break
		}
		if err := w.sleep(ctx, waitInterval); err != nil {
			return fmt.Errorf("waiter.run: %w", err)
		}
	}
	return fmt.Errorf("%s: revision %d is applied, but after %s: %w", revision.Environment, revision.Number, w.limit, lastErr)
}

// check queries the balancer once. It returns nil if the revision, or a newer one, is
// in force everywhere.
func (w waiter) check(ctx context.Context, revision gooseberrymast.Revision) error {
	status, err := operator.Client{Address: w.address}.Status(ctx, gooseberrymast.StatusFilter{Summary: true})
	if err != nil {
		return err
	}
	if status.Newest > revision.Number {
		revision.Number = status.Newest
	}
	return applier.Promotion{Source: revision, Status: status}.Check()
}
