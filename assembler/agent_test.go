package assembler

import (
	"crypto/tls"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/state/timer"
	"gooseberrymast/transport/hander"
	"gooseberrymast/transport/linker"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// newAgent creates an agent of ledger in cairo-a without running it.
func newAgent(t *testing.T) *Agent {
	t.Helper()
	settings := gooseberrymast.AgentSettings{
		Environment: "trial", Service: "ledger", Zone: "cairo-a", Address: anyPort, ControlAddress: anyPort,
		Backend: gooseberrymast.BackendSettings{Address: netip.MustParseAddrPort("127.0.0.1:9")},
	}
	settings.SetDefaults()
	a, err := NewAgent(AgentConfig{
		Settings: settings, Incarnation: 1, Keys: keyer.Random(), Timer: timer.System{}, Seed: 1,
		Certificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return nil, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Close() })
	return a
}

// documentAllowing returns a document that allows ledger in the given zones, or in
// all zones if none is given.
func documentAllowing(zones ...string) gooseberrymast.Document {
	var service gooseberrymast.Service
	service.SetDefaults()
	service.Zones = zones
	return gooseberrymast.Document{
		Zones:    []string{"cairo-a", "cairo-b"},
		Services: map[string]gooseberrymast.Service{"ledger": service},
	}
}

func TestAgentInExcludedZonePassesFlowsOn(t *testing.T) {
	is := is.New(t)
	a := newAgent(t)
	a.setDocument(1, documentAllowing())
	is.True(!a.atFlowBound())
	a.setDocument(2, documentAllowing("cairo-b"))
	is.True(a.atFlowBound())
	a.setDocument(3, documentAllowing("cairo-a"))
	is.True(!a.atFlowBound())
	a.setDocument(4, gooseberrymast.Document{Zones: []string{"cairo-b"}}) // without the service
	is.True(a.atFlowBound())
}

func TestAgentCellsPerZone(t *testing.T) {
	is := is.New(t)
	a := newAgent(t)
	a.config.Settings.CellsPerZone = 3
	is.Equal(a.controllerConfig().CellsPerZone, 3)
}

func TestIdentitiesNotIn(t *testing.T) {
	is := is.New(t)
	var all []gooseberrymast.Member
	for _, zone := range []string{"cairo-a", "cairo-b", "cairo-a", "cairo-c"} {
		identity := gooseberrymast.Identity{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(all))}), 7000), Incarnation: 1}
		all = append(all, gooseberrymast.Member{Record: gooseberrymast.Record{Identity: identity, Zone: zone}})
	}
	tag := gooseberrymast.TagOf("ledger")
	table := &gooseberrymast.Table{Services: map[gooseberrymast.ServiceTag][]gooseberrymast.Member{tag: all}}
	document := documentAllowing("cairo-a")
	allowed := document.Restrict(table, "ledger").Members(tag)
	is.Equal(len(allowed), 2)
	is.Equal(identitiesNotIn(all, allowed), []gooseberrymast.Identity{all[1].Identity, all[3].Identity})
	is.Equal(len(identitiesNotIn(all, all)), 0)
	is.Equal(len(identitiesNotIn(all, nil)), 4)
}

// TestPeerSessionsAreServedAfterFlowsEnd queries an agent's load after its flows have
// ended, as peers do while it still runs their requests. Run must not return when
// only the terminator has ended.
func TestPeerSessionsAreServedAfterFlowsEnd(t *testing.T) {
	const requests = 20
	is := is.New(t)
	a := newAgent(t)
	ran := make(chan error, 1)
	go func() { ran <- a.Run(t.Context()) }()
	pool := &linker.Pool{Keys: linker.FixedKeys(a.config.Keys)}
	defer pool.Close()
	peer := &hander.Client{
		Service: a.tag,
		Pool:    pool,
		Locate:  func(gooseberrymast.Identity) (netip.AddrPort, bool) { return a.ControlAddress(), true },
	}
	is.True(peer.QueryLoad(t.Context(), a.Identity()))
	is.NoErr(a.terminator.Shutdown(t.Context()))
	for range requests {
		is.True(peer.QueryLoad(t.Context(), a.Identity())) // the agent still answers its peers
	}
	select {
	case err := <-ran:
		t.Fatalf("Run ended before Close: %v", err)
	default:
	}
	is.NoErr(a.Close())
	is.NoErr(<-ran)
}
