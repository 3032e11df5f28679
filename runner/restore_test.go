package runner

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// standinStore is a stand-in for the platform's store at an address.
type standinStore struct {
	platform.StandinStore
	address gooseberrymast.Endpoint
}

// useStandinStore makes the instances that a cluster starts from then on use a store
// that can be restored. It holds the operators' document.
func (c *cluster) useStandinStore() {
	c.t.Helper()
	c.standin = &standinStore{}
	server := httptest.NewServer(&c.standin.StandinStore)
	c.t.Cleanup(server.Close)
	address, err := gooseberrymast.ParseEndpoint(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		c.t.Fatal(err)
	}
	c.standin.address = address
	c.standin.Set(platform.DocumentKey, []byte(`{"version":3,"routes":[{"host":"198.18.0.1","pathPrefix":"/443/",`+
		`"type":"idempotent","service":"ledger","timeoutMs":1000}],"services":[{"name":"ledger"}],"limits":{"idleTimeoutMs":60000}}`))
}

func (c *cluster) waitForEntry(endpoint gooseberrymast.Endpoint) {
	c.t.Helper()
	c.waitFor("the entry "+entryKey(endpoint)+" is in the store", func() bool {
		return slices.Contains(c.standin.Keys(), entryKey(endpoint))
	})
}

// Entries that were written after the copy are gone. Until they are back, an instance
// that starts doesn't find those that run.
func TestEntriesAreWrittenAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.useStandinStore()
	startServer(t, 1)
	earlier := c.standin.Copy()
	agent, _ := c.startAgent(1, 1)
	balancer, _ := c.startBalancer(1)
	c.waitFor("the balancer is registered", balancer.registered.Load)
	c.standin.Restore(earlier)()
	is.Equal(c.standin.Keys(), []string{platform.DocumentKey})
	c.waitForEntry(agent.Settings.Peers)
	c.waitForEntry(balancer.Settings.Peers)
}
