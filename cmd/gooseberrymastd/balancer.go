package main

import (
	"context"

	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/platform"
	"gooseberrymast/runner"
)

func newBalancer() *cobra.Command {
	return processCommand{
		use:   "balancer",
		short: "Forward the packets that the fabric hands to this instance",
		role:  gooseberrymast.RoleBalancer,
		run: func(ctx context.Context, environment runner.Environment) error {
			return runner.NewBalancer(environment).Run(ctx, platform.ReadinessHandler)
		},
	}.command()
}
