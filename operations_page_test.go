package gooseberrymast_test

import (
	"io/fs"
	"os"
	"regexp"
	"strings"
	"testing"

	"gooseberrymast"
)

// metricName matches the names of metrics in the code.
var metricName = regexp.MustCompile(`"(gooseberrymast_[a-z_]+)"`)

// TestOperationsPage checks that docs/OPERATIONS.md has a row for each metric and
// each reason of a refusal, and none for a metric that the code lacks.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, info := range gooseberrymast.Reasons {
		if !strings.Contains(string(page), "\n| `"+string(info.Reason)+"` |") {
			t.Errorf("docs/OPERATIONS.md has no row for the reason %s", info.Reason)
		}
	}
	metrics := metricsOf(t)
	for name := range metrics {
		if !strings.Contains(string(page), "\n| `"+name+"` |") {
			t.Errorf("docs/OPERATIONS.md has no row for the metric %s", name)
		}
	}
	for _, row := range regexp.MustCompile("\n\\| `(gooseberrymast_[a-z_]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		if !metrics[row[1]] {
			t.Errorf("docs/OPERATIONS.md has a row for %s, which the code lacks", row[1])
		}
	}
}

// metricsOf returns the metric names in the source files below the working
// directory.
func metricsOf(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := fs.WalkDir(os.DirFS("."), ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range metricName.FindAllStringSubmatch(string(text), -1) {
			names[match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
