package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrymast"
)

const (
	// minIdle and maxIdle bound the pause between two requests on an idle flow: long
	// enough for a reset after a loss of everything to come first.
	minIdle = 2 * time.Second
	maxIdle = 6 * time.Second
	// resetWindow is the distance in bytes from its last acknowledgement at which a
	// caller accepts a reset.
	resetWindow = 76_800
)

// runIdle keeps a flow on a route whose requests may not run twice, and uses it from time
// to time, until the context ends.
func (c *caller) runIdle(ctx context.Context, random *rand.Rand) {
	for session := 0; ctx.Err() == nil; session++ {
		routes := slices.DeleteFunc(c.routes(), func(route gooseberrymast.Route) bool { return route.Idempotent })
		if len(routes) == 0 {
			randomPause(ctx, random)
			continue
		}
		flow, err := c.open(ctx, random, routes[random.IntN(len(routes))].Address)
		for number := 0; err == nil && ctx.Err() == nil; number++ {
			c.tally.requests.Add(1)
			err = c.sendRequest(ctx, flow, requestName(fmt.Sprintf("%s-idle-%d-%d", gooseberrymast.Endpoint{IP: c.address}, session, number), true))
			if err != nil {
				c.countFailure(err)
				break
			}
			c.tally.served.Add(1)
			if c.awaitReset(flow, minIdle+time.Duration(random.Int64N(int64(maxIdle-minIdle)))) {
				c.tally.idleResets.Add(1)
				break
			}
		}
		c.endFlow(flow)
		randomPause(ctx, random)
	}
}

// awaitReset reports whether an idle flow is reset within a time.
func (c *caller) awaitReset(flow *callerFlow, wait time.Duration) bool {
	over := time.After(wait)
	for {
		select {
		case <-over:
			return false
		case got := <-flow.packets:
			distance := int32(got.header.Sequence - flow.expectedSequence)
			if got.header.Resets && distance <= resetWindow && distance >= -resetWindow {
				c.checker.CheckIdleReset(flow.key, got.sender, time.Now())
				return true
			}
		}
	}
}

// CheckIdleReset checks a reset that a caller received from a machine while it was not
// using the flow. An agent resets flows only if its server has lost them, whatever was
// disturbed.
func (c *Checker) CheckIdleReset(key gooseberrymast.FlowKey, sender string, at time.Time) {
	c.mu.Lock()
	flow := c.flow(key)
	if sender == flow.agent && c.mustBeKept(key, flow, at) {
		c.addViolation(PromiseIdleKept, at, "idle flow %s of the living server %s reset by %s", key, flow.server, sender)
		flow.ended = true
	}
	c.mu.Unlock()
	c.CheckReset(key, sender, at)
}

// loseEverything ends all processes and all servers at once and starts them again.
func (s *soak) loseEverything(ctx context.Context, fault Fault, _ *rand.Rand) error {
	return forEachParallel(s.instances, func(i *instance) error {
		return s.withDisturbance(i, false, func() error {
			server := i.currentServer()
			if server != nil {
				server.crash()
			}
			i.process.stop(0)
			sleep(ctx, fault.Duration/4)
			if err := i.process.start(); err != nil || server == nil {
				return err
			}
			return s.startServer(i)
		})
	})
}
