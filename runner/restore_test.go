package runner

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/platform"
)

func (c *cluster) waitForEntry(store *restorableStore, endpoint gooseberrymast.Endpoint) {
	c.t.Helper()
	c.waitFor("the entry "+entryKey(endpoint)+" is in the store", func() bool {
		return slices.Contains(store.Keys(), entryKey(endpoint))
	})
}

// Entries that were written after the copy are gone. Until they are back, an instance
// that starts doesn't find those that run.
func TestEntriesAreWrittenAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	c, store := newRestorableCluster(t)
	store.setDocument(3, "ledger")
	startServer(t, 1)
	earlier := store.Copy()
	agent, _ := c.startAgent(1, 1)
	balancer, _ := c.startBalancer(1)
	c.waitFor("the balancer is registered", balancer.registered.Load)
	store.Restore(earlier)()
	is.Equal(store.Keys(), []string{platform.DocumentKey})
	c.waitForEntry(store, agent.Settings.Peers)
	c.waitForEntry(store, balancer.Settings.Peers)
}
