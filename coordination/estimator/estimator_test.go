package estimator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestPathOfStragglersIsLong(t *testing.T) {
	is := is.New(t)
	var e Estimator
	is.True(!e.Expect("/sync").Known)
	for i := range 1000 {
		e.Observe(epoch, "/loans", 20*time.Millisecond)
		if i%100 == 50 {
			e.Observe(epoch, "/sync", 2*time.Second)
		}
	}
	is.True(e.Expect("/sync").Long)
	is.True(!e.Expect("/loans").Long)
	is.True(e.Typical() < 40*time.Millisecond) // a straggler counts as LongAfter at most
	is.Equal(e.Expect("/loans").Mean.Round(time.Millisecond), 20*time.Millisecond)
}

func TestRareStragglerLeavesItsPathShort(t *testing.T) {
	is := is.New(t)
	var e Estimator
	for i := range 2000 {
		took := 20 * time.Millisecond
		if i%200 == 199 {
			took = 2 * time.Second
		}
		e.Observe(epoch, "/loans", took)
		is.True(!e.Expect("/loans").Long)
	}
}

func TestKeyReplacesIdentifiers(t *testing.T) {
	tests := []struct{ path, key string }{
		{"/ledger.v1.Ledger/Reserve", "/ledger.v1.Ledger/Reserve"},
		{"/v2/loans", "/v2/loans"},
		{"/loans/4711/slip", "/loans/*/slip"},
		{"/loans/7", "/loans/*"},
		{"/claims/0f8c2a71-aa", "/claims/*"},
	}
	for _, test := range tests {
		is.New(t).Equal(Key(test.path), test.key)
	}
}

func TestNumberOfPathsIsBounded(t *testing.T) {
	is := is.New(t)
	var e Estimator
	for i := range 4 * MaxPaths {
		e.Observe(epoch, fmt.Sprintf("/%c%c%c%c", 'a'+i%26, 'a'+i/26%26, 'a'+i/676%26, 'a'), time.Millisecond)
	}
	is.Equal(len(e.paths), MaxPaths)
}

func TestNewPathIsLongOnceARequestRunsLong(t *testing.T) {
	is := is.New(t)
	var e Estimator
	e.ObserveLong("/sync")
	is.True(e.Expect("/sync").Long)
	for range minSamples {
		e.Observe(epoch, "/sync", 20*time.Millisecond)
	}
	is.True(!e.Expect("/sync").Long) // the first request was an exception
}
