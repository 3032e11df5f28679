package adopter

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// documentOf returns the text of a document with a number of services. In each
// revision another service has a different limit.
func documentOf(services, revision int) []byte {
	var text strings.Builder
	random := rand.New(rand.NewPCG(1, 1))
	for i := range services {
		slots := 4
		if i == revision%services {
			slots = 5
		}
		fmt.Fprintf(&text, "[services.%x-%d]\nstreams = [\"/screens/\"]\nlimits.slots = %d\nlimits.deadline = \"10s\"\n",
			random.Uint32(), i, slots)
	}
	return []byte(text.String())
}

// BenchmarkPack measures the encoded size of a revision that changes one
// service's limit, and the time to encode and to decode it.
func BenchmarkPack(b *testing.B) {
	for _, services := range []int{2, 100, 300, 960, 8600} {
		base, text := documentOf(services, services/3), documentOf(services, services/3+1)
		b.Run(fmt.Sprintf("services=%d/pack", services), func(b *testing.B) {
			for b.Loop() {
				compress(base, text)
			}
			b.ReportMetric(float64(len(text)), "B-text")
			b.ReportMetric(float64(len(compress(base, text))), "B-changes")
			b.ReportMetric(float64(len(compress(nil, text))), "B-whole")
		})
		b.Run(fmt.Sprintf("services=%d/unpack", services), func(b *testing.B) {
			packed := compress(base, text)
			for b.Loop() {
				got, err := expand(base, packed)
				if err != nil || !bytes.Equal(got, text) {
					b.Fatal("the text was not restored", err)
				}
			}
		})
	}
}
