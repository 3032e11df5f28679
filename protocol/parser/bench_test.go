package parser_test

import (
	"fmt"
	"strings"
	"testing"

	"gooseberrymast"
	"gooseberrymast/protocol/parser"
)

// generateDocument returns a document with the given number of services, whose
// tags differ.
func generateDocument(services int) []byte {
	var text strings.Builder
	text.WriteString("zones = [\"cairo-a\", \"cairo-b\", \"cairo-c\"]\n")
	tags := map[gooseberrymast.ServiceTag]bool{}
	for i := 0; len(tags) < services; i++ {
		name := fmt.Sprintf("service-%d", i)
		if tags[gooseberrymast.TagOf(name)] {
			continue
		}
		tags[gooseberrymast.TagOf(name)] = true
		fmt.Fprintf(&text, "[services.%s]\nstreams = [\"/screens/\"]\nlimits.slots = 4\nlimits.deadline = \"10s\"\n", name)
	}
	return []byte(text.String())
}

func BenchmarkDocument(b *testing.B) {
	for _, services := range []int{2, 100, 1000, 8600} {
		text := generateDocument(services)
		b.Run(fmt.Sprintf("services-%d", services), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, err := parser.Document(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
