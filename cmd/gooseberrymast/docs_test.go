package main

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// commandLine matches an indented command in a documentation page.
var commandLine = regexp.MustCompile(`(?m)^ {4,}gooseberrymast (.+)$`)

// TestCommandsInPagesAreValid checks that every command in the documentation pages
// exists and that its flags and arguments parse.
func TestCommandsInPagesAreValid(t *testing.T) {
	found := 0
	for _, page := range []string{"OPERATIONS.md", "SETTINGS.md"} {
		text, err := os.ReadFile("../../docs/" + page)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range commandLine.FindAllSubmatch(text, -1) {
			found++
			words, _, _ := strings.Cut(string(line[1]), " > ")
			command, rest, err := newRoot(nil).Find(strings.Fields(words))
			if err != nil {
				t.Errorf("%s: %s: %v", page, line[1], err)
				continue
			}
			if err := command.ParseFlags(rest); err != nil {
				t.Errorf("%s: %s: %v", page, line[1], err)
			} else if err := command.ValidateArgs(command.Flags().Args()); err != nil {
				t.Errorf("%s: %s: %v", page, line[1], err)
			}
		}
	}
	if found < 10 {
		t.Errorf("only %d commands were found", found)
	}
}
