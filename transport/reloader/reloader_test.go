package reloader

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast/state/timer"
)

func TestChangedFilesAreLoadedUntilLoadSucceeds(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "keys.toml")
	is.NoErr(os.WriteFile(file, []byte("one"), 0o600))
	var manual timer.Manual
	loads := 0
	loadErr := errors.New("not valid")
	reloader := Reloader{Files: []string{file}, Timer: &manual, Load: func() error { loads++; return loadErr }}
	reloader.Start()
	defer reloader.Stop()

	manual.Advance(Period)
	is.Equal(loads, 0) // nothing changed

	is.NoErr(os.WriteFile(file, []byte("two and more"), 0o600))
	manual.Advance(2 * Period)
	is.Equal(loads, 2) // a failed load is retried

	loadErr = nil
	manual.Advance(3 * Period)
	is.Equal(loads, 3) // after a successful load no further one
}
