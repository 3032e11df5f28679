package asserter

import (
	"testing"

	"github.com/matryer/is"
)

func TestHoldsPanicsAndCountsInTests(t *testing.T) {
	is := is.New(t)
	Holds(true, "never-violated", "unused")
	is.Equal(Violations()["never-violated"], uint64(0))
	defer func() {
		is.True(recover() != nil) // a violation panics in a test binary
		is.Equal(Violations()["test-invariant"], uint64(1))
	}()
	Holds(false, "test-invariant", "value %d", 1)
}
