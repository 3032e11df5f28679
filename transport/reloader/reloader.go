// Package reloader notices that files changed, so that keys and certificates
// are rotated without a restart.
package reloader

import (
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"

	"gooseberrymast"
)

// Period is the time between two looks at the files.
const Period = 10 * time.Second

// Reloader calls Load when one of the files changed. The fields must be set
// before Start and must not change after it.
type Reloader struct {
	// Files are looked at by their time of change and length.
	Files []string
	// Timer is the timer service.
	Timer gooseberrymast.Timer
	// Load reads the files and puts them in force. After an error the old
	// content stays in force and Load is called again at the next look.
	Load func() error

	mu   sync.Mutex
	seen []stamp
	stop func()
}

// stamp tells one content of a file from another.
type stamp struct {
	changed time.Time
	bytes   int64
}

// Start looks at the files once a Period until Stop. What they hold at the
// start is taken as loaded.
func (r *Reloader) Start() {
	r.seen = r.look()
	r.stop = r.Timer.Every(Period, func(time.Time) { r.Check() })
}

// Stop ends the looks.
func (r *Reloader) Stop() {
	if r.stop != nil {
		r.stop()
	}
}

// Check looks at the files now.
func (r *Reloader) Check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.look()
	if equal(found, r.seen) {
		return
	}
	if err := r.Load(); err != nil {
		log.Error().Err(err).Strs("files", r.Files).Msg("the changed files were not taken; the old ones stay in force")
		return
	}
	r.seen = found
	log.Info().Strs("files", r.Files).Msg("the changed files are in force")
}

func (r *Reloader) look() []stamp {
	stamps := make([]stamp, len(r.Files))
	for i, file := range r.Files {
		if info, err := os.Stat(file); err == nil {
			stamps[i] = stamp{changed: info.ModTime(), bytes: info.Size()}
		}
	}
	return stamps
}

func equal(a, b []stamp) bool {
	for i := range a {
		if !a[i].changed.Equal(b[i].changed) || a[i].bytes != b[i].bytes {
			return false
		}
	}
	return len(a) == len(b)
}
