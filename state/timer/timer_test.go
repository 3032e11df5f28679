package timer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var (
	_ gooseberrymast.Timer = System{}
	_ gooseberrymast.Timer = &Manual{}
)

func TestManualCallsInOrder(t *testing.T) {
	is := is.New(t)
	var manual Manual
	var calls []string
	cancel := manual.Every(2*time.Second, func(time.Time) { calls = append(calls, "every") })
	manual.After(3*time.Second, func(time.Time) { calls = append(calls, "after") })
	stopped := manual.After(time.Second, func(time.Time) { calls = append(calls, "stopped") })
	stopped()
	manual.Advance(4 * time.Second)
	is.Equal(calls, []string{"every", "after", "every"})
	cancel()
	manual.Advance(time.Minute)
	is.Equal(len(calls), 3)
	is.Equal(manual.Now(), time.Time{}.Add(64*time.Second))
}

func TestSystemEveryStopsWhenCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls := 0
		cancel := System{}.Every(time.Second, func(time.Time) { calls++ })
		time.Sleep(3500 * time.Millisecond)
		cancel()
		time.Sleep(time.Minute)
		is.Equal(calls, 3)
	})
}
