package runner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/confirmer"
	"gooseberrymast/platform"
)

// readRoutesFixture reads documents of putDocument.
func readRoutesFixture(object gooseberrymast.Object) (*gooseberrymast.Routes, error) {
	var number uint64
	var service string
	if _, err := fmt.Sscan(string(object.Value), &number, &service); err != nil {
		return nil, fmt.Errorf("read routes: %w", err)
	}
	return &gooseberrymast.Routes{
		Version: gooseberrymast.DocumentVersion{
			Number: number, Revision: object.Version, Digest: gooseberrymast.ServiceHash(service),
		},
		ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{serviceAddress: {
			Address: serviceAddress, Backends: []gooseberrymast.WeightedService{{Service: service, Weight: 1}},
		}},
	}, nil
}

// restorableStore serves a stand-in store and counts the reads of the document.
type restorableStore struct {
	platform.StandinStore
	reads atomic.Int64
	// warmUps are those of the documents that are written.
	warmUps map[string]gooseberrymast.WarmUp
}

func (s *restorableStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && strings.HasSuffix(r.URL.Path, platform.DocumentKey) {
		s.reads.Add(1)
	}
	s.StandinStore.ServeHTTP(w, r)
}

// setDocument writes a document whose only route leads to a service.
func (s *restorableStore) setDocument(number uint64, service string) {
	document, err := platform.FormatDocument(number, []gooseberrymast.Route{{
		Address: serviceAddress, Backends: []gooseberrymast.WeightedService{{Service: service, Weight: 1}},
	}}, []string{service}, s.warmUps)
	if err != nil {
		panic(err)
	}
	s.Set(platform.DocumentKey, document)
}

func newRestorableCluster(t *testing.T) (*cluster, *restorableStore) {
	t.Helper()
	store := &restorableStore{}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	address, err := gooseberrymast.ParseEndpoint(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	c := newCluster(t)
	c.adapt = func(environment *Environment) {
		client := platform.NewStore(address, time.Second)
		environment.Store, environment.StoreEra = client, client.Era
		environment.DocumentKey, environment.ReadRoutes = platform.DocumentKey, platform.ReadRoutes
	}
	return c, store
}

// The store returns from a copy that lacks the document in force, and operators repeat
// their writes some seconds later. No instance may go back meanwhile, also not one that
// starts then, and the next change must be in force in time.
func TestDocumentStaysInForceAcrossRestoreOfStore(t *testing.T) {
	const gap = 2 * time.Second
	is := is.New(t)
	c, store := newRestorableCluster(t)
	store.setDocument(11, "receipts")
	startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	balancer, _ := c.startBalancer(1)
	earlier := store.Copy()
	for i := range 20 {
		store.Set(fmt.Sprintf("notes/%d", i), []byte(`1`)) // revisions that are given out again
	}
	store.setDocument(14, "ledger")
	c.waitFor("the balancer has document 14", func() bool { return balancer.documentVersion() == 14 })
	c.waitFor("the agent has document 14", func() bool { return agent.documentVersion() == 14 })
	c.openFlow(1, 7000)

	store.Restore(earlier)
	store.reads.Store(0)
	joining := NewBalancer(c.environment(gooseberrymast.RoleBalancer, [4]byte{127, 0, 2, 2}))
	c.run(func(ctx context.Context) error {
		return joining.Run(ctx, func(ready func() bool) http.Handler { return platform.ReadinessHandler(ready) })
	})
	for end := time.Now().Add(gap); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		is.Equal(balancer.documentVersion(), uint64(14))
		is.Equal(agent.documentVersion(), uint64(14))
		if c.readyStatus([4]byte{127, 0, 2, 2}) == http.StatusOK {
			is.Equal(joining.documentVersion(), uint64(14))
		}
	}
	// Two balancers: each reads once per interval at most, the joining one once more.
	is.True(store.reads.Load() <= int64(2*(gap/confirmer.Interval+1)+1))
	c.expectEcho(1, 7000, "the open flow keeps its server")

	store.setDocument(14, "ledger") // the repeated write
	store.setDocument(17, "receipts")
	changed := time.Now()
	c.waitFor("document 17 is in force", func() bool {
		return balancer.documentVersion() == 17 && agent.documentVersion() == 17 && joining.documentVersion() == 17
	})
	is.True(time.Since(changed) < confirmer.MaxJoinWait) // the shortest time in which a change must be in force
}

func TestStoreDecidesBetweenContentsOfOneNumber(t *testing.T) {
	c, store := newRestorableCluster(t)
	store.setDocument(11, "receipts")
	startServer(t, 1)
	agent, _ := c.startAgent(1, 1)
	balancer, _ := c.startBalancer(1)
	earlier := store.Copy()
	store.setDocument(14, "receipts")
	c.waitFor("the agent has document 14", func() bool { return agent.documentVersion() == 14 })
	c.waitFor("the balancer has document 14", func() bool { return balancer.documentVersion() == 14 })
	store.Restore(earlier)
	store.setDocument(14, "ledger")
	allows := func(routes *gooseberrymast.Routes) bool {
		route, found := routes.Lookup(serviceAddress)
		return found && route.Allows("ledger")
	}
	c.waitFor("all have the store's document", func() bool {
		return allows(balancer.steerer.Routes()) && allows(agent.currentRoutes())
	})
	c.openFlow(1, 7100)
}
