package directory

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gooseberrymast"
)

// capacityEntry is the entry of one process of a fleet with 8,600 services in
// 20 availability zones, one balancer to ten agents.
func capacityEntry(i int) Entry {
	at := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i>>16) + 1, byte(i >> 8), byte(i)}), 7000)
	}
	entry := Entry{
		Record: gooseberrymast.Record{
			Identity: gooseberrymast.Identity{Address: at(i), Incarnation: 1}, Sequence: 1, Control: at(i),
			Role: gooseberrymast.RoleAgent, State: gooseberrymast.StateReady,
			Service: gooseberrymast.ServiceTag(1 + i%8600), Zone: fmt.Sprintf("zone-%d", i%20),
		},
		Registrars: [RegistrarCount]netip.AddrPort{at(i / 11 * 11), at((i/11 + 5) * 11)},
	}
	if i%11 == 0 {
		entry.Record.Role = gooseberrymast.RoleBalancer
		entry.Record.Service = 0
	}
	return entry
}

func capacityHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRecords measures the heap of a directory with its published table, and
// the time and allocations of one record's change with its publication.
func BenchmarkRecords(b *testing.B) {
	for _, records := range []int{18_700, 60_000, 187_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			before := capacityHeap()
			d := &Directory{CellsPerZone: 13}
			for i := range records {
				d.Apply(start, capacityEntry(i))
			}
			d.Publish(1)
			heap := capacityHeap() - before
			sequence := uint32(1)
			for b.Loop() {
				sequence++
				entry := capacityEntry(int(sequence) * 7 % records)
				entry.Record.Sequence = sequence
				d.Apply(start, entry)
				d.Publish(1)
			}
			b.ReportMetric(float64(heap)/float64(records), "heap-B/record")
			runtime.KeepAlive(d)
		})
	}
}
