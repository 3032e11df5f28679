// Package asserter checks invariants in the running program. It counts and logs
// violations; in a test binary it panics instead of logging.
package asserter

import (
	"fmt"
	"sync"
	"testing"

	"github.com/phuslu/log"
)

// Name is an invariant's name in kebab case.
type Name string

var violations struct {
	sync.Mutex
	counts map[Name]uint64
}

// Holds asserts an invariant: it reports a violation when ok is false. The
// format and its arguments describe the violation.
func Holds(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	count(name)
	detail := fmt.Sprintf(format, args...)
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s violated: %s", name, detail))
	}
	log.Error().Str("invariant", string(name)).Msg(detail)
}

// Violations returns the number of violations by name since the process started.
func Violations() map[Name]uint64 {
	violations.Lock()
	defer violations.Unlock()
	counts := make(map[Name]uint64, len(violations.counts))
	for name, n := range violations.counts {
		counts[name] = n
	}
	return counts
}

func count(name Name) {
	violations.Lock()
	defer violations.Unlock()
	if violations.counts == nil {
		violations.counts = map[Name]uint64{}
	}
	violations.counts[name]++
}
