package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// execute runs a command line and returns its exit code and outputs.
func execute(args ...string) (code int, stdout, stderr string) {
	return executeOn(&memoryStore{}, args...)
}

// executeOn is execute with the given store at every store address.
func executeOn(store *memoryStore, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(context.Background(), store.open, args, &out, &errs)
	return code, out.String(), errs.String()
}

// writeFile writes a file to a new temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestExitCodes(t *testing.T) {
	good := writeFile(t, "good.toml", "zones = [\"a\"]\n[services.ledger]\n")
	bad := writeFile(t, "bad.toml", "zones = [\"a\"]\n[services.ledger.limits]\nslots = -1\nqueu = 2\n")
	tests := []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{"help", nil, exitOK, "Exit codes:", ""},
		{"version", []string{"version"}, exitOK, "gooseberrymast ", ""},
		{"valid", []string{"check", good}, exitOK, "is valid: 1 services, 1 availability zones", ""},
		{"all faults", []string{"check", bad}, exitInvalid, "", ":3: services.ledger.limits.slots: got -1, want 1 to 100000\n" + bad + ":4: services.ledger.limits.queu: got an unknown key"},
		{"no file", []string{"check", good + "x"}, exitInvalid, "", `got "no such file or directory", want the name of a document`},
		{"no argument", []string{"check"}, exitInvalid, "", "accepts 1 arg(s), received 0"},
		{"unknown flag", []string{"check", "--force"}, exitInvalid, "", "unknown flag: --force"},
		{"unknown command", []string{"chekc"}, exitInvalid, "", `unknown command "chekc"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := execute(test.args...)
			is.Equal(code, test.code)
			is.True(strings.Contains(stdout, test.stdout))
			is.True(strings.Contains(stderr, test.stderr))
		})
	}
}

// TestHelpStatesExitCodes checks that the help of every command documents its exit
// codes.
func TestHelpStatesExitCodes(t *testing.T) {
	is := is.New(t)
	for _, command := range newRoot(nil).Commands() {
		is.True(command.Long != "")
		if command.Args != nil && command.Name() != "version" {
			is.True(strings.Contains(command.Long, "Exit codes:")) // documents its exit codes
		}
	}
}
