package parser_test

import (
	"strings"
	"testing"

	"gooseberrymast/protocol/parser"
)

func TestDeepNestingIsRejected(t *testing.T) {
	depth := parser.MaxDepth + 1
	brackets := strings.Repeat("[", depth)
	tests := []struct {
		name string
		text string
		want string
	}{
		{"arrays", "zones = " + brackets, "d.toml:1: got a key or value nested too deeply, want at most 16 levels"},
		{"arrays over lines", "zones = " + strings.Repeat("[\n", depth), "d.toml:17: got a key or value nested"},
		{"tables", "x = " + strings.Repeat("{a=", depth), "d.toml:1: got a key or value nested"},
		{"dotted key", "\na" + strings.Repeat(" . \"b\"", depth) + " = 1", "d.toml:2: got a key or value nested"},
		{"table's name", "[a" + strings.Repeat(".a", depth) + "]", "d.toml:1: got a key or value nested"},
		{"after a literal", "a = 'x\\'\nb = " + brackets, "d.toml:2: got a key or value nested"},
		{"after an escape", "a = \"\\\"[\"\nb = " + brackets, "d.toml:2: got a key or value nested"},
		{"after long strings", "a = '''\n[\\'''\nb = \"\"\"\n\"[\\\"\"\"\"\nc = " + brackets, "d.toml:5: got a key or value nested"},
		{"after quotes in a long string", "x = [\"\"\"a\"\"\"\"\", " + brackets, "d.toml:1: got a key or value nested"},
		{"in strings", "x = '" + brackets + "'\ny = \"\"\"" + strings.Repeat(".\n", depth) + "\"\"\"", "d.toml: zones: want"},
		{"in comments", "# " + brackets + "\n", "d.toml: zones: want"},
		{"many short ones", "x = [" + strings.Repeat("[1.5],", depth) + "]\n", "d.toml: zones: want"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := parser.DocumentFile("d.toml", []byte(test.text))
			if err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}
