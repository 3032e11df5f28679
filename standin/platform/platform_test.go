package platform

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var _ gooseberrymast.Store = &Platform{}

func put(t *testing.T, p *Platform, key, value string, expected uint64) (uint64, error) {
	t.Helper()
	return p.Put(context.Background(), gooseberrymast.Object{Key: key, WriteID: value, Value: []byte(value)}, expected)
}

func TestWritesRequireTheExpectedVersion(t *testing.T) {
	is := is.New(t)
	p := &Platform{FirstVersion: 100}
	first, err := put(t, p, "a/1", "x", 0)
	is.NoErr(err)
	is.Equal(first, uint64(101))
	_, err = put(t, p, "a/1", "y", 0)
	is.True(errors.Is(err, gooseberrymast.ErrStoreConflict))
	second, err := put(t, p, "a/1", "y", first)
	is.NoErr(err)
	is.True(errors.Is(p.Delete(t.Context(), "a/1", first), gooseberrymast.ErrStoreConflict))
	is.NoErr(p.Delete(t.Context(), "a/1", second))
	_, err = p.Get(t.Context(), "a/1")
	is.True(errors.Is(err, gooseberrymast.ErrStoreNotFound))
	third, err := put(t, p, "a/1", "z", 0)
	is.NoErr(err)
	is.True(third > second) // versions keep rising across a delete
	_, err = put(t, p, "a/2", strings.Repeat("x", gooseberrymast.MaxObjectBytes+1), 0)
	is.True(errors.Is(err, ErrTooLarge))
	list, err := p.List(t.Context(), "a/")
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(p.Calls(), Calls{Get: 1, List: 1, Put: 4, Delete: 2})
}

func TestFaultsAffectReadsAndWrites(t *testing.T) {
	is := is.New(t)
	p := &Platform{Seed: 1}
	version, err := put(t, p, "k", "one", 0)
	is.NoErr(err)
	p.SetFaults(Faults{LostAnswers: 1})
	_, err = put(t, p, "k", "two", version)
	is.True(errors.Is(err, gooseberrymast.ErrStoreUnknown))
	p.SetFaults(Faults{LostWrites: 1})
	_, err = put(t, p, "k", "three", version+1)
	is.True(errors.Is(err, gooseberrymast.ErrStoreUnknown))
	p.SetFaults(Faults{})
	object, err := p.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(object.WriteID, "two") // a lost answer takes effect, a lost write doesn't
	p.SetFaults(Faults{StaleReads: 1})
	object, err = p.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(object.WriteID, "one")
	p.SetFaults(Faults{Down: true})
	_, err = p.Get(t.Context(), "k")
	is.True(errors.Is(err, gooseberrymast.ErrStoreUnavailable))
	_, err = put(t, p, "k", "four", version+1)
	is.True(errors.Is(err, gooseberrymast.ErrStoreUnavailable))
}

func TestWatchWaitsForChangeDeadlineOrOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &Platform{}
		go func() {
			time.Sleep(time.Second)
			_, err := put(t, p, "other", "x", 0)
			is.NoErr(err)
			time.Sleep(time.Second)
			_, err = put(t, p, "k", "x", 0)
			is.NoErr(err)
		}()
		began := time.Now()
		object, err := p.Watch(t.Context(), "k", 0)
		is.NoErr(err)
		is.Equal(object.WriteID, "x")
		is.Equal(time.Since(began), 2*time.Second)
		is.Equal(p.Calls().Watch, uint64(1)) // a waiting watch counts once

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = p.Watch(ctx, "k", object.Version)
		is.True(errors.Is(err, context.DeadlineExceeded))

		go func() {
			time.Sleep(time.Second)
			p.SetFaults(Faults{Down: true})
		}()
		_, err = p.Watch(t.Context(), "k", object.Version)
		is.True(errors.Is(err, gooseberrymast.ErrStoreUnavailable)) // an outage ends a waiting watch
	})
}

func TestDelayFaultDelaysCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &Platform{}
		p.SetFaults(Faults{Delay: gooseberrymast.Duration(time.Second)})
		began := time.Now()
		_, err := put(t, p, "k", "x", 0)
		is.NoErr(err)
		is.Equal(time.Since(began), time.Second)
	})
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	is := is.New(t)
	p := &Platform{}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	for body, code := range map[string]int{
		`{"down": true, "delay": "250ms"}`: http.StatusOK,
		`{"colour": 1}`:                    http.StatusBadRequest,
	} {
		request, err := http.NewRequest(http.MethodPut, server.URL+PathFaults, bytes.NewReader([]byte(body)))
		is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, code)
	}
	is.Equal(p.Faults(), Faults{Down: true, Delay: gooseberrymast.Duration(250 * time.Millisecond)})
}
