package translator

import (
	"fmt"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/directory"
)

func capacityEntry(i int) directory.Entry {
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	}
	return directory.Entry{
		Record: gooseberrymast.Record{
			Identity: gooseberrymast.Identity{Address: address(i + 1), Incarnation: 1_700_000_000},
			Sequence: 5, Control: netip.AddrPortFrom(address(i+1).Addr(), 7001), Role: gooseberrymast.RoleAgent,
			State: gooseberrymast.StateReady, Service: gooseberrymast.ServiceTag(1 + i%8600), Zone: fmt.Sprintf("zone-%d", i%20),
		},
		Registrars: [directory.RegistrarCount]netip.AddrPort{address(1<<20 + i), address(1<<21 + i)},
	}
}

func capacityDelta(entries int) *messenger.Message {
	delta := &messenger.Delta{}
	for i := range entries {
		delta.Updates = append(delta.Updates, messenger.Update{Entry: capacityEntry(i)})
	}
	return &messenger.Message{Delta: delta}
}

func capacityCells(cells int) *messenger.Message {
	message := &messenger.Cells{}
	for i := range cells {
		message.Digests = append(message.Digests, directory.CellDigest{Cell: directory.CellID(i) << 20, Digest: 1 << 60})
	}
	return &messenger.Message{Cells: message}
}

func capacityVersions(versions int) *messenger.Message {
	message := &messenger.Versions{Cell: 1 << 20, Mask: 1}
	for i := range versions {
		message.Versions = append(message.Versions, directory.Version{Key: directory.Key(10<<40 + i), Incarnation: 1_700_000_000, Sequence: 5})
	}
	return &messenger.Message{Versions: message}
}

// BenchmarkBytes measures the size of each kind of message, without the
// overhead of the session, and the time to encode it.
func BenchmarkBytes(b *testing.B) {
	buckets := &messenger.Buckets{Cell: 1 << 20}
	for i := range buckets.Digests {
		buckets.Digests[i] = 1 << 60
	}
	report := messenger.Report{Counts: []messenger.RevisionCount{{Number: 57_000, Instances: 187_000}, {Number: 56_999, Instances: 80_000}}}
	for i := range 8 {
		report.Counts[1].Identities = append(report.Counts[1].Identities, capacityEntry(i).Record.Identity)
	}
	tests := []struct {
		name    string
		message *messenger.Message
	}{
		{"hello", &messenger.Message{Hello: &messenger.Hello{Environment: "production", Entry: capacityEntry(1), Revision: 57_000, Digest: 1 << 60}}},
		{"heartbeat", &messenger.Message{Heartbeat: &messenger.Heartbeat{Revision: 57_000, Primary: true, Digest: 1 << 60}}},
		{"delta=1", capacityDelta(1)},
		{"delta=20", capacityDelta(20)},
		{"delta=2000", capacityDelta(2000)},
		{"cells=20", capacityCells(20)},
		{"cells=260", capacityCells(260)},
		{"buckets", &messenger.Message{Buckets: buckets}},
		{"versions=45", capacityVersions(45)},
		{"versions=585", capacityVersions(585)},
		{"report", &messenger.Message{Report: &report}},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				wire, err := proto.Marshal(Encode(test.message))
				if err != nil {
					b.Fatal(err)
				}
				size = len(wire)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}

// BenchmarkCellBytes measures the size of the value of a cell's object in the
// platform's store, and the time to encode it.
func BenchmarkCellBytes(b *testing.B) {
	for _, entries := range []int{0, 1, 720, 9350, 17_500} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			cell := messenger.Cell{Holder: capacityEntry(1).Record.Identity, Renewal: 100_000}
			for i := range entries {
				cell.Entries = append(cell.Entries, capacityEntry(i))
			}
			size := 0
			for b.Loop() {
				size = len(EncodeCell(cell))
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}
