package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

// heard returns the peers of a role that a process counts as reporting.
func heard(m *member, role gooseberrymast.Role) []roster.Entry {
	now := m.Timer.Now()
	return m.roster.Entries(func(e roster.Entry) bool { return e.Role == role && e.Reporting(now) })
}

// Zone "b" has an agent and a balancer, zone "a" another pair. Each learns about the
// other zone by summaries; the agents report only to their own zone.
func TestZonesLearnAboutEachOtherBySummaries(t *testing.T) {
	c := newCluster(t)
	c.zones[[4]byte{127, 0, 3, 2}], c.zones[[4]byte{127, 0, 2, 2}] = "b", "b"
	startServer(t, 1)
	startServer(t, 2)
	first, _ := c.startAgent(1, 1)
	c.startAgent(2, 1)
	c.startBalancer(1)
	balancer, stopBalancer := c.startBalancer(2)
	relayed := func(entries []roster.Entry) int {
		count := 0
		for _, entry := range entries {
			if entry.Relayed {
				count++
			}
		}
		return count
	}
	c.waitFor("the balancer of zone b hears the agent of zone a through a relay", func() bool {
		agents := heard(&balancer.member, gooseberrymast.RoleAgent)
		return len(agents) == 2 && relayed(agents) == 1
	})
	c.waitFor("the agent of zone a hears the balancer of zone b through a relay", func() bool {
		balancers := heard(&first.member, gooseberrymast.RoleBalancer)
		return len(balancers) == 2 && relayed(balancers) == 1
	})
	c.openFlow(1, 4000)
	c.expectEcho(2, 4000, "through the balancer of the other zone")

	stopBalancer()
	is := is.New(t)
	c.waitFor("the agent whose zone has no balancer reports to the other zone", func() bool {
		entry, ok := first.roster.Get(gooseberrymast.Endpoint{IP: [4]byte{127, 0, 2, 2}, Port: peersPort})
		return !ok || !entry.Reporting(time.Now())
	})
	c.expectEcho(1, 4000, "while zone b has no balancer")
	is.Equal(len(heard(&first.member, gooseberrymast.RoleBalancer)), 1)
}
