package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast/protocol/parser"
)

// exampleRoot is the directory of the example files.
const exampleRoot = "../../examples"

func TestExamples(t *testing.T) {
	tests := []struct {
		file  string
		parse func(file string, text []byte) error
	}{
		{"nilebridge.toml", parseDocument},
		{"magnolia.toml", parseDocument},
		{"balancer.toml", parseBalancer},
		{"agent.toml", parseAgent},
		{"loopback/document.toml", parseDocument},
		{"loopback/balancer-1.toml", parseBalancer},
		{"loopback/balancer-2.toml", parseBalancer},
		{"loopback/agent-1.toml", parseAgent},
		{"loopback/agent-2.toml", parseAgent},
	}
	seen := map[string]bool{}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(filepath.Join(exampleRoot, test.file))
			is.NoErr(err)
			is.NoErr(test.parse(test.file, text))
		})
		seen[test.file] = true
	}
	is := is.New(t)
	is.NoErr(fs.WalkDir(os.DirFS(exampleRoot), ".", func(name string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && !seen[name] {
			t.Errorf("%s is not checked", name)
		}
		return err
	}))
}

func parseBalancer(file string, text []byte) error {
	_, err := parser.Balancer(file, text)
	return err
}

func parseAgent(file string, text []byte) error {
	_, err := parser.Agent(file, text)
	return err
}

func parseDocument(file string, text []byte) error {
	_, err := parser.DocumentFile(file, text)
	return err
}

// TestExampleSizes checks that the example documents describe the sizes of the
// present deployments.
func TestExampleSizes(t *testing.T) {
	tests := []struct {
		file     string
		zones    int
		services []string
		slots    int
	}{
		{"nilebridge.toml", 3, []string{"ledger", "receipts"}, 4},
		{"magnolia.toml", 4, []string{"keepsake-press", "letter-desk"}, 5},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			is := is.New(t)
			document, _, err := readDocument("../../examples/" + test.file)
			is.NoErr(err)
			is.Equal(len(document.Zones), test.zones)
			is.Equal(document.ServiceNames(), test.services)
			for _, service := range document.Services {
				is.Equal(service.Limits.Slots, test.slots)
				is.Equal(service.Limits.Connections, 2000)
			}
		})
	}
}

func TestDocumentTooLargeForTheStore(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	text := slots4 + "# " + strings.Repeat("<", parser.MaxDocumentBytes-len(slots4)-2)
	code, _, stderr := applyAs(t, store, "amina", text)
	is.Equal(code, exitInvalid)
	is.True(strings.Contains(stderr, "bytes in the store, which takes at most 1048576"))
	is.Equal(len(store.objects), 0) // nothing changed
}
