package storer

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"gooseberrymast"
	"gooseberrymast/standin/platform"
)

var _ gooseberrymast.Store = &Storer{}

func serve(t *testing.T) (*platform.Platform, *Storer) {
	store := &platform.Platform{Seed: 1}
	server := httptest.NewUnstartedServer(store.Handler())
	server.Config.Protocols = platform.Protocols()
	server.Start()
	t.Cleanup(server.Close)
	return store, &Storer{Address: server.URL}
}

func TestCallsAndCounters(t *testing.T) {
	is := is.New(t)
	store, client := serve(t)
	ctx := t.Context()
	object := gooseberrymast.Object{Key: "a/1", WriteID: "w", Value: []byte("x")}
	version, err := client.Put(ctx, object, 0)
	is.NoErr(err)
	got, err := client.Get(ctx, "a/1")
	is.NoErr(err)
	object.Version = version
	is.Equal(got, object)
	list, err := client.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(list, []gooseberrymast.Object{object})
	watched, err := client.Watch(ctx, "a/1", 0)
	is.NoErr(err)
	is.Equal(watched, object)
	_, err = client.Put(ctx, object, version+1)
	is.True(errors.Is(err, gooseberrymast.ErrStoreConflict))
	is.NoErr(client.Delete(ctx, "a/1", version))
	_, err = client.Get(ctx, "a/1")
	is.True(errors.Is(err, gooseberrymast.ErrStoreNotFound))
	is.Equal(store.Calls(), platform.Calls{Get: 2, List: 1, Put: 2, Delete: 1, Watch: 1})
	registry := prometheus.NewRegistry()
	is.NoErr(client.Register(registry))
	is.Equal(testutil.ToFloat64(client.counters.WithLabelValues("put", "conflict")), 1.0)
	is.Equal(testutil.ToFloat64(client.counters.WithLabelValues("get", "not-found")), 1.0)
}

func TestFaultsReturnStoreErrors(t *testing.T) {
	slow := platform.Faults{Delay: gooseberrymast.Duration(time.Minute)}
	tests := []struct {
		name   string
		faults platform.Faults
		read   error
		write  error
	}{
		{"answer lost", platform.Faults{LostAnswers: 1}, nil, gooseberrymast.ErrStoreUnknown},
		{"write lost", platform.Faults{LostWrites: 1}, nil, gooseberrymast.ErrStoreUnknown},
		{"slow", slow, gooseberrymast.ErrStoreUnavailable, gooseberrymast.ErrStoreUnknown},
		// The status unavailable doesn't mean that the write had no effect.
		{"down", platform.Faults{Down: true}, gooseberrymast.ErrStoreUnavailable, gooseberrymast.ErrStoreUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			store, client := serve(t)
			if test.faults.Delay > 0 {
				client.Timeout = 100 * time.Millisecond
			}
			_, err := store.Put(t.Context(), gooseberrymast.Object{Key: "k"}, 0)
			is.NoErr(err)
			store.SetFaults(test.faults)
			_, err = client.Get(t.Context(), "k")
			is.True(errors.Is(err, test.read))
			_, err = client.Put(t.Context(), gooseberrymast.Object{Key: "k"}, 1)
			is.True(errors.Is(err, test.write))
		})
	}
}

func TestUnsentWriteIsUnavailableNotUnknown(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	client := &Storer{Address: server.URL}
	server.Close()
	_, err := client.Put(t.Context(), gooseberrymast.Object{Key: "k"}, 0)
	is.True(errors.Is(err, gooseberrymast.ErrStoreUnavailable))
}

func TestWatchWithoutChangeEndsAtDeadline(t *testing.T) {
	is := is.New(t)
	_, client := serve(t)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := client.Watch(ctx, "k", 0)
	is.True(errors.Is(err, context.DeadlineExceeded))
}
