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

func after(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// opened is a checker with an open flow.
func opened() *Checker {
	c := &Checker{}
	c.Document(map[gooseberrymast.Endpoint][]string{address: {"ledger"}}, epoch)
	c.Sent(key, "balancer-1", true, epoch)
	c.Taken(opening, epoch)
	c.Opened(key, "agent-1/1", "agent-1", epoch)
	return c
}

// TestEachPromiseCanBreak breaks each promise, and shows the cases beside it that
// break none.
func TestEachPromiseCanBreak(t *testing.T) {
	moved := map[gooseberrymast.Endpoint][]string{address: {"receipts"}}
	tests := []struct {
		name string
		do   func(c *Checker)
		want Promise
	}{
		{"a flow at a service that was never allowed", func(c *Checker) {
			other := opening
			other.Service = "receipts"
			c.Taken(other, after(1))
		}, PromiseService},
		{"a packet at a service that was never allowed", func(c *Checker) { c.Stray(key, "receipts", "agent-2", after(1)) }, PromiseService},
		{"a request that may not run twice runs twice", func(c *Checker) {
			c.Ran("a", true, "agent-1/1", after(1))
			c.Ran("a", true, "agent-2/1", after(1))
		}, PromiseOnce},
		{"a request that may run twice", func(c *Checker) {
			c.Ran("a", false, "agent-1/1", after(1))
			c.Ran("a", false, "agent-2/1", after(1))
		}, ""},
		{"an open flow is reset", func(c *Checker) { c.Reset(key, "balancer-1", after(1)) }, PromiseFlow},
		{"an open flow is reset in planned work", func(c *Checker) {
			c.Disturb("balancer-1", true, after(0.5))
			c.Reset(key, "balancer-1", after(1))
		}, PromiseFlow},
		{"an open flow is reset by a paused balancer", func(c *Checker) {
			c.Disturb("balancer-1", false, after(0.5))(after(0.8))
			c.Reset(key, "balancer-1", after(1))
		}, ""},
		{"an open flow is reset long after a pause", func(c *Checker) {
			c.Disturb("balancer-1", false, after(0.5))(after(0.8))
			c.Reset(key, "balancer-1", after(5))
		}, PromiseFlow},
		{"a flow is reset after its server crashed", func(c *Checker) {
			c.ServerEnded("agent-1/1")
			c.Reset(key, "balancer-1", after(1))
		}, ""},
		{"a flow is reset after its route was dropped", func(c *Checker) {
			c.Document(nil, after(0.5))
			c.Reset(key, "balancer-1", after(1))
		}, ""},
		{"a flow is reset while it opens", func(c *Checker) {
			other := key
			other.Caller.Port++
			c.Reset(other, "balancer-1", after(1))
		}, ""},
		{"a flow strays", func(c *Checker) {
			for second := range 4 {
				c.Stray(key, "ledger", "agent-2", after(float64(second)))
			}
		}, PromiseOwner},
		{"a flow strays and is found", func(c *Checker) {
			for second := range 4 {
				c.Stray(key, "ledger", "agent-2", after(float64(second)))
				c.Own(key)
			}
		}, ""},
		{"an answer of another request", func(c *Checker) { c.Answered(key, "a", "b", after(1)) }, PromiseAnswer},
		{"its own answer", func(c *Checker) { c.Answered(key, "a", "a", after(1)) }, ""},
		{"a new flow at a leaving server", func(c *Checker) {
			late := opening
			late.Copy, late.LeavingSince = 1, epoch
			c.Sent(key, "balancer-1", true, after(3.5))
			c.Taken(late, after(3.6))
		}, PromiseLeaving},
		{"a new flow at a server that has just begun to leave", func(c *Checker) {
			late := opening
			late.Copy, late.LeavingSince = 1, epoch
			c.Sent(key, "balancer-1", true, after(2.5))
			c.Taken(late, after(3.6))
		}, ""},
		{"a late document", func(c *Checker) {
			c.Document(moved, after(1))
			c.Sent(key, "balancer-1", true, after(5))
			late := opening
			late.Copy = 1
			c.Taken(late, after(5))
		}, PromiseDocument},
		{"a late document while the store is down", func(c *Checker) {
			c.Document(moved, after(1))
			c.Disturb(storeName, false, after(2))
			c.Sent(key, "balancer-1", true, after(5))
			late := opening
			late.Copy = 1
			c.Taken(late, after(5))
		}, ""},
		{"a document in time", func(c *Checker) {
			c.Document(moved, after(1))
			c.Sent(key, "balancer-1", true, after(3.9))
			late := opening
			late.Copy = 1
			c.Taken(late, after(3.9))
		}, ""},
		{"a document goes back", func(c *Checker) {
			c.InForce("balancer-1/1", 7, after(1))
			c.InForce("balancer-1/1", 6, after(2))
		}, PromiseForward},
		{"a new incarnation begins anew", func(c *Checker) {
			c.InForce("balancer-1/1", 7, after(1))
			c.InForce("balancer-1/2", 0, after(2))
		}, ""},
		{"service is not back", func(c *Checker) { c.Served(24, 100, after(1)) }, PromiseRecovery},
		{"nobody asks", func(c *Checker) { c.Served(0, 0, after(1)) }, PromiseRecovery},
		{"service is back", func(c *Checker) { c.Served(25, 100, after(1)) }, ""},
		{"a process ends", func(c *Checker) { c.Exited("balancer-1", "exit status 2", after(1)) }, PromiseExit},
		{"too many descriptors", func(c *Checker) { c.Uses("balancer-1", maxDescriptors+1, 10, after(1)) }, PromiseBounded},
		{"too much memory", func(c *Checker) { c.Uses("balancer-1", 20, maxMebibytes+1, after(1)) }, PromiseBounded},
		{"usual use", func(c *Checker) { c.Uses("balancer-1", 20, 20, after(1)) }, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := opened()
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

func TestScheduleRepeatsAndLeavesAQuietEnd(t *testing.T) {
	is := is.New(t)
	const length = 60 * time.Second
	kinds := map[string]bool{}
	for seed := range uint64(40) {
		faults := Schedule(seed, length)
		is.Equal(faults, Schedule(seed, length))
		is.True(len(faults) > 0)
		for _, fault := range faults {
			kinds[fault.Kind] = true
			is.True(fault.At+fault.For <= length-quietEnd)
		}
	}
	is.Equal(len(kinds), len(faultKinds())) // every kind comes
}
