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

// The fleet size that the system is designed for.
const (
	designBalancers    = 17_000
	designAgents       = 170_000
	designServices     = 8_600
	designZones        = 20
	designCellsPerZone = 13
	// maxControlBytes is the memory budget of a process for control data.
	maxControlBytes = 256 << 20
)

func designZone(i int) string {
	return fmt.Sprintf("zone-%d", i%designZones)
}

// designEntry returns the entry of one process of a fleet of the design size.
func designEntry(i int) directory.Entry {
	address := netip.AddrFrom4([4]byte{10, byte(i>>16) + 1, byte(i >> 8), byte(i)})
	record := gooseberrymast.Record{
		Identity: gooseberrymast.Identity{Address: netip.AddrPortFrom(address, 7000), Incarnation: 1_700_000_000},
		Sequence: 5,
		Control:  netip.AddrPortFrom(address, 7001),
		Role:     gooseberrymast.RoleAgent,
		State:    gooseberrymast.StateReady,
		Service:  gooseberrymast.ServiceTag(1 + i%designServices),
		Zone:     designZone(i),
	}
	if i < designBalancers {
		record.Role = gooseberrymast.RoleBalancer
		record.Service = 0
	}
	return directory.Entry{Record: record, Registrars: [2]netip.AddrPort{designAddress(i % designBalancers / 3), designAddress(i % designBalancers / 2)}}
}

func designAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i>>16) + 1, byte(i >> 8), byte(i)}), 7000)
}

// loadDesignFleet gives the node a member that holds the records of the whole
// fleet and has sessions with 8 downstream peers and 20 agents.
func (n *node) loadDesignFleet() {
	sim := n.sim
	config := n.config
	config.Record.Identity.Incarnation = 1
	config.Random = rand.New(rand.NewPCG(1, 1))
	n.m = New(config)
	n.m.Start(sim.now)
	for i := range designBalancers + designAgents {
		n.m.Directory.Apply(sim.now, designEntry(i))
	}
	for i := range 28 {
		session := messenger.Session(i + 1)
		entry := designEntry(i)
		if i >= 8 {
			entry = designEntry(designBalancers + i)
		}
		n.m.HandleConnection(sim.now, session, netip.AddrPort{})
		n.m.HandleMessage(sim.now, session, &messenger.Message{Hello: &messenger.Hello{
			Environment: testEnvironment, Entry: entry, Digest: n.m.Directory.Digest(),
		}})
		n.m.HandleMessage(sim.now, session, &messenger.Message{Heartbeat: &messenger.Heartbeat{Primary: true, Digest: n.m.Directory.Digest()}})
	}
}

// refreshSessions marks all sessions as active.
func (n *node) refreshSessions(now time.Time) {
	for _, s := range n.m.registrar.Sessions() {
		s.LastReceived = now
	}
}

// agentDelta returns a delta that updates one agent's record.
func agentDelta(i int, _ time.Time) *messenger.Message {
	entry := designEntry(designBalancers + i%designAgents)
	entry.Record.Sequence += uint32(1 + i)
	return &messenger.Message{Delta: &messenger.Delta{Updates: []messenger.Update{{Entry: entry}}}}
}

func TestDesignFleetFitsInMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("loads 187,000 records")
	}
	before := heapInUse()
	sim := newSimulation(t, 1)
	sim.cells = designCellsPerZone
	n := sim.add(gooseberrymast.RoleBalancer, designZone(0), "", nil)
	n.loadDesignFleet()
	used := heapInUse() - before
	t.Logf("%d records: %d MB of heap, %d bytes a record", n.m.Directory.Len(), used>>20, used/uint64(n.m.Directory.Len()))
	if used > maxControlBytes {
		t.Errorf("the records take %d bytes, more than %d", used, maxControlBytes)
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
