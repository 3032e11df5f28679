package runner

import (
	"context"
	"sync"
	"testing"

	"gooseberrymast"
)

// foreignStore has entries of another writer at some keys. It accepts their replacements
// only once each process has read them.
type foreignStore struct {
	*memoryStore
	readers sync.WaitGroup
	reads   int
}

func (f *foreignStore) List(ctx context.Context, prefix string) ([]gooseberrymast.Object, error) {
	found, err := f.memoryStore.List(ctx, prefix)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reads > 0 && prefix == peersPrefix {
		f.reads--
		f.readers.Done()
	}
	return found, err
}

func (f *foreignStore) Put(ctx context.Context, object gooseberrymast.Object, expected uint64) (uint64, error) {
	if expected != 0 {
		f.readers.Wait()
	}
	return f.memoryStore.Put(ctx, object, expected)
}

// Guards against processes that start together over entries of another writer at their keys
// and never find each other: each has read the others' entries before they were replaced.
func TestProcessesFindEachOtherPastForeignEntries(t *testing.T) {
	c := newCluster(t)
	startServer(t, 1)
	store := &foreignStore{memoryStore: c.store, reads: 2}
	store.readers.Add(store.reads)
	for _, ip := range [][4]byte{{127, 0, 2, 1}, {127, 0, 3, 1}} {
		key := entryKey(gooseberrymast.Endpoint{IP: ip})
		c.store.version++
		c.store.objects[key] = gooseberrymast.Object{Key: key, Version: c.store.version, Value: []byte(`{"endpoint":5}`)}
	}
	c.adapt = func(environment *Environment) { environment.Store = store }
	_, announce, _ := c.startWaitingAgent(1)
	announce(1)
	c.startBalancer(1) // is ready once it hears the agent
	c.openFlow(1, 2000)
}
