package retrier

import (
	"testing"

	"github.com/matryer/is"
)

func TestBudgetLimitsRetriesToShareOfRequests(t *testing.T) {
	tests := []struct {
		name     string
		share    float64
		requests int
		retries  int
	}{
		{"the start", 0.1, 0, Burst},
		{"a share of the requests", 0.1, 1000, Burst + 100},
		{"no share", 0, 1000, Burst},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := Budget{Share: test.share}
			retries := 0
			take := func() {
				for b.Take() {
					retries++
				}
			}
			take()
			for range test.requests {
				b.AddRequest()
				take()
			}
			is.True(retries == test.retries || retries == test.retries-1) // the sum of shares may round down
		})
	}
}
