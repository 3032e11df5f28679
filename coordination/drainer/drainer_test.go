package drainer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDrainGraceAndEnd(t *testing.T) {
	tests := []struct {
		name              string
		maxWait, after    time.Duration
		requests, streams int
		mayStart, done    bool
	}{
		{"within the grace", 0, time.Second, 1, 1, true, false},
		{"after the grace", 0, 3 * time.Second, 1, 1, false, false},
		{"a screen is open all day", 0, 10 * time.Hour, 0, 1, false, false},
		{"the wait is bounded", time.Hour, time.Hour, 0, 1, false, true},
		{"nothing remains", 0, time.Second, 0, 0, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := Drainer{Grace: 3 * time.Second, MaxWait: test.maxWait}
			is.True(!d.Status(epoch, 0, 0).Done)
			d.Leave(epoch)
			d.Leave(epoch.Add(time.Second)) // no effect
			now := epoch.Add(test.after)
			is.Equal(d.MayStart(now), test.mayStart)
			is.Equal(d.Status(now, test.requests, test.streams), Status{
				Leaving: true, Since: epoch, Requests: test.requests, Streams: test.streams, Done: test.done,
			})
		})
	}
}
