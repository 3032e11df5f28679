package assessor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

// TestFailingShare sends 40 answers within a second.
func TestFailingShare(t *testing.T) {
	tests := []struct {
		name   string
		answer func(a *Assessor, number int, now time.Time)
		want   func(share float64) bool
	}{
		{"good answers", func(a *Assessor, _ int, now time.Time) { a.AddAnswer(200, false, now) },
			func(share float64) bool { return share == 0 }},
		{"errors of the caller", func(a *Assessor, _ int, now time.Time) { a.AddAnswer(404, false, now) },
			func(share float64) bool { return share == 0 }},
		{"every second answer is an error", func(a *Assessor, number int, now time.Time) { a.AddAnswer(200+300*(number%2), false, now) },
			func(share float64) bool { return share > 0.3 && share < 0.5 }},
		{"every answer is an error", func(a *Assessor, _ int, now time.Time) { a.AddAnswer(500, true, now) },
			func(share float64) bool { return share > 0.8 }},
		{"refusals of a full server", func(a *Assessor, _ int, now time.Time) { a.AddAnswer(503, true, now) },
			func(share float64) bool { return share == 0 }},
		{"refusals with free slots", func(a *Assessor, _ int, now time.Time) { a.AddAnswer(429, false, now) },
			func(share float64) bool { return share > 0.8 }},
		{"requests cut", func(a *Assessor, _ int, now time.Time) { a.AddUnanswered(now) },
			func(share float64) bool { return share > 0.8 }},
		{"one request cut", func(a *Assessor, number int, now time.Time) {
			if number == 39 {
				a.AddUnanswered(now)
			}
		}, func(share float64) bool { return share == 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var a Assessor
			now := epoch
			for number := range 40 {
				now = now.Add(25 * time.Millisecond)
				test.answer(&a, number, now)
			}
			is.True(test.want(a.FailingShare(now)))
		})
	}
}

// A failing server receives no more requests. Its share of failures must decay,
// so that it is used again within a few seconds.
func TestFailingShareDecaysWithoutAnswers(t *testing.T) {
	is := is.New(t)
	var a Assessor
	for range 40 {
		a.AddAnswer(500, false, epoch)
	}
	last := a.FailingShare(epoch)
	for second := 1; second <= 20; second++ {
		share := a.FailingShare(epoch.Add(time.Duration(second) * time.Second))
		is.True(share < last || share == 0)
		last = share
	}
	is.Equal(last, 0.0)
}

func TestResetClearsFailures(t *testing.T) {
	is := is.New(t)
	var a Assessor
	a.AddUnanswered(epoch)
	a.Reset()
	is.Equal(a.FailingShare(epoch), 0.0)
}
