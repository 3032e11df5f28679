package runner

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/state/timer"
)

// lateStore is a store that, while it loses, executes writes only once runLate is called,
// and doesn't answer them.
type lateStore struct {
	memoryStore
	loses bool
	late  []func()
}

func newLateStore() *lateStore {
	return &lateStore{memoryStore: memoryStore{objects: map[string]gooseberrymast.Object{}}}
}

func (l *lateStore) Put(ctx context.Context, object gooseberrymast.Object, expected uint64) (uint64, error) {
	if !l.loses {
		return l.memoryStore.Put(ctx, object, expected)
	}
	l.late = append(l.late, func() { _, _ = l.memoryStore.Put(ctx, object, expected) })
	return 0, gooseberrymast.ErrStoreUnknown
}

func (l *lateStore) Delete(ctx context.Context, key string, expected uint64) error {
	if !l.loses {
		return l.memoryStore.Delete(ctx, key, expected)
	}
	l.late = append(l.late, func() { _ = l.memoryStore.Delete(ctx, key, expected) })
	return gooseberrymast.ErrStoreUnknown
}

func (l *lateStore) runLate() {
	for _, call := range l.late {
		call()
	}
	l.late = nil
}

// newQuietAgent returns an agent of a service that doesn't run, at an address that all of
// them share.
func newQuietAgent(store gooseberrymast.ObjectStore, clock gooseberrymast.Timer, service string) *Agent {
	agent := NewAgent(Environment{
		Settings: gooseberrymast.InstanceSettings{
			Role: gooseberrymast.RoleAgent, Peers: peersEndpoint(10, 0, 0, 1), Service: service, AnnounceInterval: time.Second,
		},
		Store: store, Timer: clock,
	})
	agent.self = gooseberrymast.Peer{Endpoint: agent.Settings.Peers, Role: gooseberrymast.RoleAgent, Service: service}
	agent.metrics = newMetrics(&agent.member)
	agent.prepare()
	agent.awaitServer = nil
	return agent
}

func newClock() *timer.Manual {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	return clock
}

func announceTo(t *testing.T, agent *Agent, start int64, sequence uint64) {
	t.Helper()
	if err := agent.handleAnnouncement(gooseberrymast.Announcement{
		ID: "i-1", StartUnixMs: start, Sequence: sequence, Service: agent.Settings.Service, Address: agent.Settings.Server,
	}); err != nil {
		t.Fatal(err)
	}
}

// Guards against the removal of an agent's entry by a call of the one before it at the
// address that is executed late, also if both entries say the same.
func TestLateRemovalSparesEntryOfNextAgent(t *testing.T) {
	for _, service := range []string{"ledger", "receipts"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			store := newLateStore()
			clock := newClock()
			earlier, later := newQuietAgent(store, clock, "ledger"), newQuietAgent(store, clock, service)
			is.NoErr(earlier.registerOnce(t.Context()))
			store.loses = true
			is.True(earlier.removeEntry(t.Context()) != nil)
			store.loses = false
			is.NoErr(later.registerOnce(t.Context()))
			store.runLate()
			entry, err := store.Get(t.Context(), entryKey(later.Settings.Peers))
			is.NoErr(err)
			is.True(strings.Contains(string(entry.Value), service))
			is.NoErr(later.removeEntry(t.Context()))
			_, err = store.Get(t.Context(), entry.Key)
			is.Equal(err, gooseberrymast.ErrStoreNotFound)
		})
	}
}

// Guards against an entry that is removed although a write of it got no response, and
// against one that is left behind since the process has written none.
func TestEntryOfUnknownVersionIsRemoved(t *testing.T) {
	is := is.New(t)
	store := newLateStore()
	clock := newClock()
	agent := newQuietAgent(store, clock, "ledger")
	is.NoErr(agent.registerOnce(t.Context()))
	agent.deliverer.Restore([]gooseberrymast.Endpoint{serviceAddress}, false)
	store.loses = true
	is.True(agent.updateEntry(t.Context()) != nil)
	store.loses = false
	store.runLate()
	is.NoErr(agent.removeEntry(t.Context()))
	is.Equal(len(store.objects), 0)
	is.NoErr(newQuietAgent(store, clock, "ledger").registerOnce(t.Context()))
	is.NoErr(newQuietAgent(store, clock, "ledger").removeEntry(t.Context()))
	is.Equal(len(store.objects), 0)
}

// Guards against a write that is executed late and takes an address out of the entry that
// the agent has needed again since.
func TestLateWriteDoesNotUndoLaterOne(t *testing.T) {
	is := is.New(t)
	store := newLateStore()
	agent := newQuietAgent(store, newClock(), "ledger")
	is.NoErr(agent.registerOnce(t.Context()))
	named := []gooseberrymast.Endpoint{serviceAddress}
	agent.deliverer.Restore(named, false)
	is.NoErr(agent.updateEntry(t.Context()))
	agent.deliverer.ClearServed()
	store.loses = true
	is.True(agent.updateEntry(t.Context()) != nil)
	store.loses = false
	agent.deliverer.Restore(named, false)
	is.NoErr(agent.updateEntry(t.Context()))
	store.runLate()
	entry, err := store.Get(t.Context(), entryKey(agent.Settings.Peers))
	is.NoErr(err)
	is.True(containsAddress(string(entry.Value)))
}

// Agents of earlier builds remove entries whatever their version. Guards against an entry
// that is then missing for ten minutes.
func TestEntryRemovedLateIsWrittenAgainWithinSeconds(t *testing.T) {
	is := is.New(t)
	store := newLateStore()
	clock := newClock()
	agent := newQuietAgent(store, clock, "ledger")
	agent.register(t.Context())
	key := entryKey(agent.Settings.Peers)
	is.NoErr(store.Delete(t.Context(), key, 0))
	clock.Advance(lateCallTime)
	_, err := store.Get(t.Context(), key)
	is.NoErr(err)
}

// Guards against an agent that takes the absence of its entry, which was lost, as proof
// that no earlier agent has sent its server a flow.
func TestLostEntryProvesNothingOnceServerHasAnnouncedItselfBefore(t *testing.T) {
	for _, test := range []struct {
		name     string
		sequence uint64
		want     bool
	}{
		{"the server's first announcement", 1, true},
		{"a later one", 7, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			agent := newQuietAgent(newLateStore(), newClock(), "ledger")
			agent.setRoutes(&gooseberrymast.Routes{})
			is.NoErr(agent.registerOnce(t.Context()))
			is.True(!walkAnswer(agent, serviceAddress).Hop.Definite)
			announceTo(t, agent, 1, test.sequence)
			is.Equal(agent.serverState(agent.Timer.Now()).Complete, test.want)
			is.Equal(walkAnswer(agent, serviceAddress).Hop.Definite, test.want)
		})
	}
}

// Guards against flows that are placed at a server of another service: the restarted
// agent of a new instance received an announcement of the server that was at its address
// before. A health check must settle which of two servers of one service runs.
func TestLateAnnouncementOfEarlierServerIsIgnored(t *testing.T) {
	is := is.New(t)
	agent := newQuietAgent(newLateStore(), newClock(), "receipts")
	checks := 0
	running := "i-1"
	agent.Health = func(context.Context, gooseberrymast.Endpoint, string) (gooseberrymast.HealthReport, error) {
		checks++
		return gooseberrymast.HealthReport{Healthy: true, Instance: running}, nil
	}
	agent.setRoutes(&gooseberrymast.Routes{HealthPaths: map[string]string{"receipts": "/healthz"}})
	late := gooseberrymast.Announcement{ID: "i-0", StartUnixMs: 9, Sequence: 7, Service: "ledger", Address: agent.Settings.Server}
	is.True(agent.handleAnnouncement(late) != nil)
	is.Equal(agent.ownPeer().Service, "receipts")
	announceTo(t, agent, 1, 3)
	late.Service = "receipts"
	is.True(agent.handleAnnouncement(late) == nil) // nothing contradicts it yet
	err := agent.handleAnnouncement(gooseberrymast.Announcement{
		ID: "i-1", StartUnixMs: 1, Sequence: 4, Service: "receipts", Address: agent.Settings.Server,
	})
	is.NoErr(err) // the health check has shown that the server lives
	is.Equal(checks, 1)
	is.True(agent.handleAnnouncement(late) != nil)
	is.True(!agent.serverState(agent.Timer.Now()).Complete)
}
