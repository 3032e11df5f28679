package parser_test

import (
	"fmt"
	"runtime"
	"testing"

	"gooseberrymast"
	"gooseberrymast/protocol/parser"
)

// BenchmarkDocumentMemory measures the heap that a parsed document uses.
func BenchmarkDocumentMemory(b *testing.B) {
	const copies = 4
	for _, services := range []int{100, 960, 8600} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			text := generateDocument(services)
			for b.Loop() {
				var kept [copies]gooseberrymast.Document
				before := heapBytes()
				for i := range kept {
					document, err := parser.Document(text)
					if err != nil {
						b.Fatal(err)
					}
					kept[i] = document
				}
				b.ReportMetric(float64(heapBytes()-before)/copies, "heap-B")
				runtime.KeepAlive(kept)
				runtime.KeepAlive(text)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
