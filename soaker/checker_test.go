package soaker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var (
	epoch   = time.Unix(1000, 0)
	address = routeAddress(0)
	key     = gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{127, 0, 3, 1}, Port: 5000}, Service: address}
	opening = Opening{Key: key, Server: "agent-1/1", Agent: "agent-1", Service: "ledger"}
)

// openingAt returns a new flow's opening packet at a server of a zone.
func openingAt(zone string) Opening {
	opened := opening
	opened.Zone = zone
	return opened
}

func after(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// checkerWithOpenFlow returns a checker with an open flow.
func checkerWithOpenFlow() *Checker {
	c := &Checker{}
	c.RecordDocument(map[gooseberrymast.Endpoint][]string{address: {"ledger"}}, epoch)
	c.RecordSent(key, "balancer-1", true, epoch)
	c.CheckOpening(opening, epoch)
	c.RecordOpened(key, "agent-1/1", "agent-1", epoch)
	return c
}

// Checks that each promise can be found broken, and that similar cases in which
// it holds are not reported.
func TestCheckerDetectsBrokenPromises(t *testing.T) {
	moved := map[gooseberrymast.Endpoint][]string{address: {"receipts"}}
	tests := []struct {
		name string
		do   func(c *Checker)
		want Promise
	}{
		{"a flow at a service that was never allowed", func(c *Checker) {
			other := opening
			other.Service = "receipts"
			c.CheckOpening(other, after(1))
		}, PromiseDelivery},
		{"a packet at a service that was never allowed", func(c *Checker) { c.CheckStray(key, "receipts", "agent-2", after(1)) }, PromiseDelivery},
		{"a request that may not run twice runs twice", func(c *Checker) {
			c.CheckRun("a", true, "agent-1/1", after(1))
			c.CheckRun("a", true, "agent-2/1", after(1))
		}, PromiseRunOnce},
		{"a request that may run twice", func(c *Checker) {
			c.CheckRun("a", false, "agent-1/1", after(1))
			c.CheckRun("a", false, "agent-2/1", after(1))
		}, ""},
		{"a new flow in a zone that is evacuated", func(c *Checker) {
			c.RecordEvacuation("a", after(0))
			c.CheckOpening(openingAt("a"), after(5.1))
		}, PromiseEvacuated},
		{"a new flow in a zone that is not yet evacuated", func(c *Checker) {
			c.RecordEvacuation("a", after(0))
			c.CheckOpening(openingAt("a"), after(5))
		}, ""},
		{"a new flow in another zone", func(c *Checker) {
			c.RecordEvacuation("b", after(0))
			c.CheckOpening(openingAt("a"), after(6))
		}, ""},
		{"a new flow in a zone that has returned", func(c *Checker) {
			c.RecordEvacuation("a", after(0))(after(7))
			c.CheckOpening(openingAt("a"), after(7.1))
		}, ""},
		{"a new flow of a balancer that is cut off in an evacuated zone", func(c *Checker) {
			c.RecordEvacuation("a", after(0))
			c.BeginDisturbance("balancer-1", false, after(0))
			c.CheckOpening(openingAt("a"), after(6))
		}, PromiseEvacuated},
		{"a new flow in an evacuated zone while its agent is cut off", func(c *Checker) {
			c.RecordEvacuation("a", after(0))
			c.BeginDisturbance("agent-1", false, after(0))
			c.CheckOpening(openingAt("a"), after(6))
		}, ""},
		{"a cold server gets too many requests", func(c *Checker) { c.CheckWarmUp("agent-1/1", "agent-1", warmUpLimit+1, after(1)) }, PromiseWarmUp},
		{"a cold server gets its limit", func(c *Checker) { c.CheckWarmUp("agent-1/1", "agent-1", warmUpLimit, after(1)) }, ""},
		{"an open flow is reset", func(c *Checker) { c.CheckReset(key, "balancer-1", after(1)) }, PromiseFlowKept},
		{"an open flow is reset in planned work", func(c *Checker) {
			c.BeginDisturbance("balancer-1", true, after(0.5))
			c.CheckReset(key, "balancer-1", after(1))
		}, PromiseFlowKept},
		{"an open flow is reset by a paused balancer", func(c *Checker) {
			c.BeginDisturbance("balancer-1", false, after(0.5))(after(0.8))
			c.CheckReset(key, "balancer-1", after(1))
		}, ""},
		{"an open flow is reset long after a pause", func(c *Checker) {
			c.BeginDisturbance("balancer-1", false, after(0.5))(after(0.8))
			c.CheckReset(key, "balancer-1", after(5))
		}, PromiseFlowKept},
		{"an agent resets an idle flow of its living server after it was killed", func(c *Checker) {
			c.BeginDisturbance("agent-1", false, after(0.5))(after(0.8))
			c.CheckIdleReset(key, "agent-1", after(1))
		}, PromiseIdleKept},
		{"an agent resets an idle flow of its server that crashed", func(c *Checker) {
			c.RecordServerEnd("agent-1/1")
			c.CheckIdleReset(key, "agent-1", after(1))
		}, ""},
		{"a flow is reset after its server crashed", func(c *Checker) {
			c.RecordServerEnd("agent-1/1")
			c.CheckReset(key, "balancer-1", after(1))
		}, ""},
		{"a flow is reset after its route was dropped", func(c *Checker) {
			c.RecordDocument(nil, after(0.5))
			c.CheckReset(key, "balancer-1", after(1))
		}, ""},
		{"a flow is reset while it opens", func(c *Checker) {
			other := key
			other.Caller.Port++
			c.CheckReset(other, "balancer-1", after(1))
		}, ""},
		{"packets of a flow keep reaching another server", func(c *Checker) {
			for second := range 4 {
				c.CheckStray(key, "ledger", "agent-2", after(float64(second)))
			}
		}, PromiseOwner},
		{"packets of a flow reach another server and its own", func(c *Checker) {
			for second := range 4 {
				c.CheckStray(key, "ledger", "agent-2", after(float64(second)))
				c.RecordDelivered(key)
			}
		}, ""},
		{"the answer to another request", func(c *Checker) { c.CheckAnswer(key, "a", "b", after(1)) }, PromiseAnswer},
		{"the answer to the same request", func(c *Checker) { c.CheckAnswer(key, "a", "a", after(1)) }, ""},
		{"a new flow at a leaving server", func(c *Checker) {
			late := opening
			late.Copy, late.LeavingSince = 1, epoch
			c.RecordSent(key, "balancer-1", true, after(3.5))
			c.CheckOpening(late, after(3.6))
		}, PromiseLeaving},
		{"a new flow at a server that has just begun to leave", func(c *Checker) {
			late := opening
			late.Copy, late.LeavingSince = 1, epoch
			c.RecordSent(key, "balancer-1", true, after(2.5))
			c.CheckOpening(late, after(3.6))
		}, ""},
		{"a document in force too late", func(c *Checker) {
			c.RecordDocument(moved, after(1))
			c.RecordSent(key, "balancer-1", true, after(5))
			late := opening
			late.Copy = 1
			c.CheckOpening(late, after(5))
		}, PromiseDocument},
		{"a document in force too late while the store is down", func(c *Checker) {
			c.RecordDocument(moved, after(1))
			c.BeginDisturbance(storeName, false, after(2))
			c.RecordSent(key, "balancer-1", true, after(5))
			late := opening
			late.Copy = 1
			c.CheckOpening(late, after(5))
		}, ""},
		{"a document in force in time", func(c *Checker) {
			c.RecordDocument(moved, after(1))
			c.RecordSent(key, "balancer-1", true, after(3.9))
			late := opening
			late.Copy = 1
			c.CheckOpening(late, after(3.9))
		}, ""},
		{"a process returns to an earlier document", func(c *Checker) {
			c.CheckVersion("balancer-1/1", 7, after(1))
			c.CheckVersion("balancer-1/1", 6, after(2))
		}, PromiseVersionRises},
		{"a new incarnation starts at an earlier document", func(c *Checker) {
			c.CheckVersion("balancer-1/1", 7, after(1))
			c.CheckVersion("balancer-1/2", 0, after(2))
		}, ""},
		{"too few requests served at the end", func(c *Checker) { c.CheckRecovery(24, 100, after(1)) }, PromiseRecovery},
		{"no requests at the end", func(c *Checker) { c.CheckRecovery(0, 0, after(1)) }, PromiseRecovery},
		{"enough requests served at the end", func(c *Checker) { c.CheckRecovery(25, 100, after(1)) }, ""},
		{"a process exits by itself", func(c *Checker) { c.RecordExit("balancer-1", "exit status 2", after(1)) }, PromiseExit},
		{"too many descriptors", func(c *Checker) { c.CheckResources("balancer-1", maxDescriptors+1, 10, after(1)) }, PromiseResources},
		{"too much memory", func(c *Checker) { c.CheckResources("balancer-1", 20, maxMebibytes+1, after(1)) }, PromiseResources},
		{"descriptors and memory within limits", func(c *Checker) { c.CheckResources("balancer-1", 20, 20, after(1)) }, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := checkerWithOpenFlow()
			test.do(c)
			violations := c.Violations()
			if test.want == "" {
				is.Equal(len(violations), 0)
				return
			}
			is.Equal(len(violations), 1)
			is.Equal(violations[0].Promise, test.want)
		})
	}
}

func TestScheduleIsRepeatableAndLeavesRecoveryWindow(t *testing.T) {
	is := is.New(t)
	const length = 60 * time.Second
	kinds := map[string]bool{}
	for seed := range uint64(40) {
		faults := Schedule(seed, length)
		is.Equal(faults, Schedule(seed, length))
		is.True(len(faults) > 0)
		for _, fault := range faults {
			kinds[fault.Kind] = true
			is.True(fault.At+fault.Duration <= length-recoveryWindow)
		}
	}
	is.Equal(len(kinds), len(faultKinds())) // every kind is drawn
}
