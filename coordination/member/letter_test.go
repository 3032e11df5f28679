package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/directory"
)

// The size to design for.
const (
	letterBalancers = 17_000
	letterAgents    = 170_000
	letterServices  = 8_600
	letterZones     = 20
	letterCells     = 13
	// letterBytes is the memory that a process may use for control.
	letterBytes = 256 << 20
)

func letterZone(i int) string {
	return fmt.Sprintf("zone-%d", i%letterZones)
}

// letterEntry is the entry of one process of the whole fleet.
func letterEntry(i int) directory.Entry {
	address := netip.AddrFrom4([4]byte{10, byte(i>>16) + 1, byte(i >> 8), byte(i)})
	record := gooseberrymast.Record{
		Identity: gooseberrymast.Identity{Address: netip.AddrPortFrom(address, 7000), Incarnation: 1_700_000_000},
		Sequence: 5,
		Control:  netip.AddrPortFrom(address, 7001),
		Role:     gooseberrymast.RoleAgent,
		State:    gooseberrymast.StateReady,
		Service:  gooseberrymast.ServiceTag(1 + i%letterServices),
		Zone:     letterZone(i),
	}
	if i < letterBalancers {
		record.Role = gooseberrymast.RoleBalancer
		record.Service = 0
	}
	return directory.Entry{Record: record, Registrars: [2]netip.AddrPort{letterAddress(i % letterBalancers / 3), letterAddress(i % letterBalancers / 2)}}
}

func letterAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i>>16) + 1, byte(i >> 8), byte(i)}), 7000)
}

// fillLetter makes a member that knows the whole fleet and holds sessions with
// 8 peers that take news from it and 20 agents.
func (n *node) fillLetter() {
	w := n.world
	config := n.config
	config.Record.Identity.Incarnation = 1
	config.Random = rand.New(rand.NewPCG(1, 1))
	n.m = New(config)
	n.m.Start(w.now)
	for i := range letterBalancers + letterAgents {
		n.m.Directory.Apply(w.now, letterEntry(i))
	}
	for i := range 28 {
		session := messenger.Session(i + 1)
		entry := letterEntry(i)
		if i >= 8 {
			entry = letterEntry(letterBalancers + i)
		}
		n.m.Connected(w.now, session, netip.AddrPort{})
		n.m.Received(w.now, session, &messenger.Message{Hello: &messenger.Hello{
			Environment: testEnvironment, Entry: entry, Digest: n.m.Directory.Digest(),
		}})
		n.m.Received(w.now, session, &messenger.Message{Heartbeat: &messenger.Heartbeat{Primary: true, Digest: n.m.Directory.Digest()}})
	}
}

// keepAlive lets every session look alive.
func (n *node) keepAlive(now time.Time) {
	for _, s := range n.m.registrar.Sessions() {
		s.Received = now
	}
}

// letterDelta is news of one agent.
func letterDelta(i int, _ time.Time) *messenger.Message {
	entry := letterEntry(letterBalancers + i%letterAgents)
	entry.Record.Sequence += uint32(1 + i)
	return &messenger.Message{Delta: &messenger.Delta{News: []messenger.News{{Entry: entry}}}}
}

func TestLetterFitsTheMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("loads 187,000 records")
	}
	before := heapInUse()
	w := newWorld(t, 1)
	w.cells = letterCells
	n := w.add(gooseberrymast.RoleBalancer, letterZone(0), "", nil)
	n.fillLetter()
	used := heapInUse() - before
	t.Logf("%d records: %d MB of heap, %d bytes a record", n.m.Directory.Len(), used>>20, used/uint64(n.m.Directory.Len()))
	if used > letterBytes {
		t.Errorf("the records take %d bytes, more than %d", used, letterBytes)
	}
	runtime.KeepAlive(n)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
