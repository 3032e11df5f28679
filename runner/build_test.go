package runner

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// Guards against logs from which nobody can tell that a process was built from other
// sources than those at hand.
func TestBuildIsNamed(t *testing.T) {
	is := is.New(t)
	is.Equal(nameBuild(nil), "unknown")
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "6a264cdd5a4f24ba8bcd4f6b9e8f6a9a1d2c3b4e"}
	is.Equal(nameBuild([]debug.BuildSetting{revision, {Key: "vcs.modified", Value: "false"}}), "6a264cdd5a4f")
	is.Equal(nameBuild([]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}, revision}), "6a264cdd5a4f+changes")
}
