package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// fixedTimer is a timer whose time is set by a test.
type fixedTimer struct {
	gooseberrymast.Timer
	now time.Time
}

func (f *fixedTimer) Now() time.Time { return f.now }

// A process that has not read the list counts only itself, and would settle an era long
// before the last instance of a large fleet has verified its entry.
func TestProcessWithoutListSettlesNoEra(t *testing.T) {
	is := is.New(t)
	timer := &fixedTimer{now: time.Unix(1000, 0)}
	m := member{Environment: Environment{Timer: timer}}
	m.verifier.HandleEra(2, 1, timer.now)
	timer.now = timer.now.Add(time.Hour)
	is.True(!m.eraState().settled)
	is.Equal(m.verifier.SettledEra(), uint64(0)) // nor do its peers learn so
	m.verifier.HandleSettled(2)
	is.True(m.eraState().settled) // a peer or an entry knows it

	registered := member{Environment: Environment{Timer: timer}}
	registered.registered.Store(true)
	registered.verifier.HandleEra(2, 1, timer.now)
	timer.now = timer.now.Add(time.Minute)
	is.True(registered.eraState().settled)
}
