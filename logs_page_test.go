package gooseberrymast_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gooseberrymast"
)

// TestLogsPage checks that docs/LOGS.md has a row for each log event and each
// reason, and no other rows.
func TestLogsPage(t *testing.T) {
	page, err := os.ReadFile("docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]bool{}
	for _, event := range gooseberrymast.LogEvents {
		want[string(event)] = true
	}
	declared := regexp.MustCompile(`LogEvent\s+= "([a-z-]+)"`)
	source, err := os.ReadFile("log_event.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, event := range declared.FindAllStringSubmatch(string(source), -1) {
		if !want[event[1]] {
			t.Errorf("LogEvents lacks %s", event[1])
		}
	}
	reason := regexp.MustCompile(`(?:Reason\w* = |resetLost\()"([a-z-]+)"`)
	for _, pattern := range []string{"coordination/steerer/*.go", "coordination/deliverer/*.go", "coordination/regulator/*.go", "coordination/throttler/*.go", "runner/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, found := range reason.FindAllStringSubmatch(string(source), -1) {
				want[found[1]] = true
			}
		}
	}
	for name := range want {
		if !strings.Contains(string(page), "\n| `"+name+"` |") {
			t.Errorf("docs/LOGS.md has no row for %s", name)
		}
	}
	for _, row := range regexp.MustCompile("\n\\| `([a-z-]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		if !want[row[1]] {
			t.Errorf("docs/LOGS.md has a row for %s, which the code lacks", row[1])
		}
	}
}
