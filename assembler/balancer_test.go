package assembler

import (
	"net/netip"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/state/timer"
)

func TestBalancerCellsPerZone(t *testing.T) {
	is := is.New(t)
	settings := gooseberrymast.BalancerSettings{
		Environment: "trial", Zone: "cairo-a", ForwardAddress: anyPort, ControlAddress: anyPort,
		ServiceAddresses: map[string][]netip.AddrPort{"ledger": {anyPort}}, Shards: 1, CellsPerZone: 3,
	}
	b, err := NewBalancer(BalancerConfig{Settings: settings, Incarnation: 1, Keys: keyer.Random(), Timer: timer.System{}, Seed: 1})
	is.NoErr(err)
	defer func() { _ = b.Close() }()
	is.Equal(b.controllerConfig().CellsPerZone, 3)
}

func TestShardCount(t *testing.T) {
	is := is.New(t)
	is.Equal(shardCount(gooseberrymast.BalancerSettings{Shards: 3}), 3)
	is.Equal(shardCount(gooseberrymast.BalancerSettings{}), min(runtime.GOMAXPROCS(0), gooseberrymast.MaxShards))
}
