package parser_test

import (
	"strings"
	"testing"

	"gooseberrymast/protocol/parser"
)

func TestDepth(t *testing.T) {
	deep := parser.MaxDepth + 1
	open := strings.Repeat("[", deep)
	tests := []struct {
		name string
		text string
		want string
	}{
		{"arrays", "zones = " + open, "d.toml:1: got a key or value nested too deeply, want at most 16 levels"},
		{"arrays over lines", "zones = " + strings.Repeat("[\n", deep), "d.toml:17: got a key or value nested"},
		{"tables", "x = " + strings.Repeat("{a=", deep), "d.toml:1: got a key or value nested"},
		{"dotted key", "\na" + strings.Repeat(" . \"b\"", deep) + " = 1", "d.toml:2: got a key or value nested"},
		{"table's name", "[a" + strings.Repeat(".a", deep) + "]", "d.toml:1: got a key or value nested"},
		{"after a literal", "a = 'x\\'\nb = " + open, "d.toml:2: got a key or value nested"},
		{"after an escape", "a = \"\\\"[\"\nb = " + open, "d.toml:2: got a key or value nested"},
		{"after long strings", "a = '''\n[\\'''\nb = \"\"\"\n\"[\\\"\"\"\"\nc = " + open, "d.toml:5: got a key or value nested"},
		{"after quotes in a long string", "x = [\"\"\"a\"\"\"\"\", " + open, "d.toml:1: got a key or value nested"},
		{"in strings", "x = '" + open + "'\ny = \"\"\"" + strings.Repeat(".\n", deep) + "\"\"\"", "d.toml: zones: want"},
		{"in comments", "# " + open + "\n", "d.toml: zones: want"},
		{"many short ones", "x = [" + strings.Repeat("[1.5],", deep) + "]\n", "d.toml: zones: want"},
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
