// Package reloader detects changed files and reloads them, so that keys and
// certificates can be rotated without a restart.
package reloader

import (
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"

	"gooseberrymast"
)

// Period is the time between two checks of the files.
const Period = 10 * time.Second

// Reloader calls Load when one of the files has changed. The fields must be set
// before Start and must not change after it.
type Reloader struct {
	// Files are the files to check. A change is detected by modification time
	// and size.
	Files []string
	// Timer is the timer service.
	Timer gooseberrymast.Timer
	// Load reads and applies the files. After an error the old content must
	// stay in force; Load is called again at the next check.
	Load func() error

	mu     sync.Mutex
	loaded []fileState
	stop   func()
}

// fileState holds the attributes of a file by which a change is detected.
type fileState struct {
	modified time.Time
	size     int64
}

// Start checks the files every Period until Stop. Their content at the time of
// the call counts as loaded.
func (r *Reloader) Start() {
	r.loaded = r.statFiles()
	r.stop = r.Timer.Every(Period, func(time.Time) { r.Check() })
}

// Stop stops the checks.
func (r *Reloader) Stop() {
	if r.stop != nil {
		r.stop()
	}
}

// Check checks the files once and calls Load if one has changed.
func (r *Reloader) Check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.statFiles()
	if equal(current, r.loaded) {
		return
	}
	if err := r.Load(); err != nil {
		log.Error().Err(err).Strs("files", r.Files).Msg("the changed files were not taken; the old ones stay in force")
		return
	}
	r.loaded = current
	log.Info().Strs("files", r.Files).Msg("the changed files are in force")
}

func (r *Reloader) statFiles() []fileState {
	states := make([]fileState, len(r.Files))
	for i, file := range r.Files {
		if info, err := os.Stat(file); err == nil {
			states[i] = fileState{modified: info.ModTime(), size: info.Size()}
		}
	}
	return states
}

func equal(a, b []fileState) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return len(a) == len(b)
}
