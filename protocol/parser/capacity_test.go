package parser_test

import (
	"fmt"
	"runtime"
	"testing"

	"gooseberrymast"
	"gooseberrymast/protocol/parser"
)

// BenchmarkDocumentMemory measures the heap that a parsed document holds.
func BenchmarkDocumentMemory(b *testing.B) {
	const copies = 4
	for _, services := range []int{100, 960, 8600} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			text := documentOf(services)
			for b.Loop() {
				var kept [copies]gooseberrymast.Document
				before := heap()
				for i := range kept {
					document, err := parser.Document(text)
					if err != nil {
						b.Fatal(err)
					}
					kept[i] = document
				}
				b.ReportMetric(float64(heap()-before)/copies, "heap-B")
				runtime.KeepAlive(kept)
				runtime.KeepAlive(text)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
