package runner

import "runtime/debug"

// buildName returns the revision of the sources that the program was built from, with
// "+changes" if they had changes that were not committed, or "unknown".
func buildName() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return nameBuild(nil)
	}
	return nameBuild(info.Settings)
}

// maxRevisionLetters is the length of a shortened revision.
const maxRevisionLetters = 12

func nameBuild(settings []debug.BuildSetting) string {
	name, changes := "unknown", ""
	for _, setting := range settings {
		switch {
		case setting.Key == "vcs.revision":
			name = setting.Value[:min(len(setting.Value), maxRevisionLetters)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changes = "+changes"
		}
	}
	return name + changes
}
