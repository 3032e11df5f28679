package watcher

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
)

var start = time.Unix(1_700_000_000, 0)

func readResult(version uint64) messenger.Result {
	return messenger.Result{Object: gooseberrymast.Object{Version: version}}
}

func TestVersionsOnlyRise(t *testing.T) {
	is := is.New(t)
	w := Watcher{Key: "k", Random: rand.New(rand.NewPCG(1, 1))}
	now := start
	for _, step := range []struct {
		version    uint64
		newVersion bool
	}{{5, true}, {4, false}, {5, false}, {6, true}} {
		call := w.Next(now, true)
		is.True(call != nil)
		is.True(w.Next(now, true) == nil) // one call at a time
		_, newVersion := w.Done(now, readResult(step.version))
		is.Equal(newVersion, step.newVersion)
		now = now.Add(10 * time.Second)
	}
	is.Equal(w.Version(), uint64(6))
}

func TestNextCallAfterResult(t *testing.T) {
	tests := []struct {
		name     string
		result   messenger.Result
		minDelay time.Duration
		method   messenger.Method
	}{
		{"new version", readResult(5), 0, messenger.MethodWatch},
		{"absent", messenger.Result{Err: gooseberrymast.ErrStoreNotFound}, MinDelay, messenger.MethodWatch},
		{"unavailable", messenger.Result{Err: gooseberrymast.ErrStoreUnavailable}, MinDelay / 2, messenger.MethodGet},
		{"timed out before any answer", messenger.Result{Err: context.DeadlineExceeded}, MinDelay / 2, messenger.MethodGet},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := Watcher{Key: "k", Random: rand.New(rand.NewPCG(1, 1))}
			is.Equal(w.Next(start, true).Method, messenger.MethodGet)
			w.Done(start, test.result)
			if test.minDelay > 0 {
				is.True(w.Next(start.Add(test.minDelay-1), true) == nil)
			}
			is.Equal(w.Next(start.Add(2*MaxDelay), true).Method, test.method)
		})
	}
}

func TestReadsOnceWithoutWatch(t *testing.T) {
	is := is.New(t)
	w := Watcher{Key: "k", Random: rand.New(rand.NewPCG(1, 1))}
	is.True(w.Next(start, false) != nil)
	w.Done(start, readResult(1))
	is.True(w.Next(start.Add(time.Hour), false) == nil)
	is.True(w.Next(start.Add(time.Hour), true) != nil)
}
