package main

import (
	"context"
	"net/http"

	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/platform"
	"gooseberrymast/runner"
)

func newAgent() *cobra.Command {
	return processCommand{
		use:   "agent",
		short: "Deliver packets to the backend server of this instance",
		role:  gooseberrymast.RoleAgent,
		run: func(ctx context.Context, environment runner.Environment) error {
			agent := runner.NewAgent(environment)
			agent.Health = platform.CheckHealth
			agent.AnnouncementHandler = newAnnouncementHandler
			return agent.Run(ctx)
		},
	}.command()
}

func newAnnouncementHandler(announce func(gooseberrymast.Announcement) error, depart func(id string, startUnixMs int64) error,
	malformed func(id string, err error)) http.Handler {
	announcements := platform.Announcements{Announce: announce, Depart: depart, Malformed: malformed}
	return announcements.Handler()
}
