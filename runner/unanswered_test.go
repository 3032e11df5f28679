package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/retainer"
	"gooseberrymast/state/timer"
)

// Guards against searches that end at an agent whose server has fallen silent: the flow's own
// agent is behind it and never gets the packet.
func TestFlowIsFoundBehindSilentServer(t *testing.T) {
	c := newCluster(t)
	startServer(t, 2)
	_, stopAgent := c.startAgent(2, 1)
	_, stopBalancer := c.startBalancer(1)
	c.openFlow(1, 2000)
	c.expectEcho(1, 2000, "before")
	silent := startServer(t, 1)
	// The agent has not seen its server start, and so can't tell what that holds.
	c.startAgent(1, 5)
	is.New(t).NoErr(silent.conn.Close())
	stopBalancer()
	stopAgent()
	c.startAgent(2, 5)
	balancer, _ := c.startBalancer(2)
	c.waitFor("the balancer hears both agents", func() bool {
		ready := 0
		for _, entry := range balancer.roster.Entries(nil) {
			if entry.Role == gooseberrymast.RoleAgent && entry.State == gooseberrymast.StateReady && entry.Reporting(time.Now()) {
				ready++
			}
		}
		return ready == 2
	})
	c.expectEcho(2, 2000, "through a balancer that knows no owner")
}

// An idle process must not be woken up.
func TestTicksEndWhenNothingIsKept(t *testing.T) {
	is := is.New(t)
	var clock timer.Manual
	kept := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ticked, ended := make(chan bool), make(chan struct{})
	go func() {
		defer close(ended)
		tickWhileKept(ctx, &clock, kept, func(time.Time) bool { return <-ticked })
	}()
	wake(kept)
	wake(kept) // doesn't wait
	ticked <- true
	for more := true; more; {
		clock.Advance(retainer.TickInterval)
		select {
		case ticked <- false:
			more = false
		case <-time.After(time.Millisecond):
		}
	}
	clock.Advance(time.Second)
	select {
	case ticked <- true:
		is.Fail() // nothing is kept
	case <-time.After(50 * time.Millisecond):
	}
	cancel()
	<-ended
}
