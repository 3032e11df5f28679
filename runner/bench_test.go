package runner

import (
	"math/rand/v2"
	"testing"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/deliverer"
	"gooseberrymast/coordination/steerer"
	"gooseberrymast/coordination/tracker"
	"gooseberrymast/platform"
	"gooseberrymast/protocol/wrapper"
)

// benchPeers is the number of agents in the roster of the benchmarked balancer.
const benchPeers = 60

func benchBalancer(b *testing.B, now time.Time) *Balancer {
	b.Helper()
	balancer := &Balancer{}
	for i := range byte(benchPeers) {
		balancer.roster.HandleReport(gooseberrymast.Report{Peer: gooseberrymast.Peer{
			Endpoint: gooseberrymast.Endpoint{IP: [4]byte{10, 0, 1, i}, Port: 7000}, Role: gooseberrymast.RoleAgent,
			Incarnation: 1, State: gooseberrymast.StateReady, Service: "ledger",
		}}, now)
	}
	balancer.steerer = steerer.Steerer{
		Roster: &balancer.roster, Owners: &balancer.owners, Random: rand.New(rand.NewPCG(1, 2)),
	}
	routes, err := readRoutesFixture(gooseberrymast.Object{Version: 1, Value: []byte("1 ledger")})
	if err != nil {
		b.Fatal(err)
	}
	balancer.steerer.SetRoutes(routes)
	return balancer
}

// BenchmarkForward measures how a balancer forwards a packet of a known flow,
// without the two system calls.
func BenchmarkForward(b *testing.B) {
	now := time.Now()
	balancer := benchBalancer(b, now)
	key := flowKey(1)
	balancer.owners.Record(key, gooseberrymast.Endpoint{IP: [4]byte{10, 0, 1, 3}, Port: 7000}, now)
	packet := newPacket(key.Caller, key.Service, gooseberrymast.PacketHeader{Acknowledges: true}, make([]byte, 1200))
	buffer := make([]byte, 0, maxDatagram)
	var steps []steerer.Step
	b.ReportAllocs()
	for b.Loop() {
		header, err := platform.Codec{}.Decode(packet)
		if err != nil {
			b.Fatal(err)
		}
		steps = balancer.steerer.FromCaller(steps[:0], header, now)
		buffer = append(wrapper.Append(buffer[:0], steps[0].Hop), packet...)
	}
}

// BenchmarkPlace measures how a balancer places a new flow.
func BenchmarkPlace(b *testing.B) {
	now := time.Now()
	balancer := benchBalancer(b, now)
	var steps []steerer.Step
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		header := gooseberrymast.PacketHeader{Source: flowKey(uint16(i)).Caller, Destination: serviceAddress, Opens: true}
		steps = balancer.steerer.FromCaller(steps[:0], header, now)
	}
}

// BenchmarkDeliver measures how an agent delivers a packet of a known flow,
// without the two system calls.
func BenchmarkDeliver(b *testing.B) {
	now := time.Now()
	var agent deliverer.Deliverer
	key := flowKey(1)
	server := deliverer.Server{Status: tracker.Ready, Service: "ledger"}
	open := gooseberrymast.PacketHeader{Source: key.Caller, Destination: key.Service, Opens: true}
	agent.FromPeer(open, gooseberrymast.Hop{Mode: gooseberrymast.HopPlace, Service: gooseberrymast.ServiceHash("ledger")},
		server, nil, now)
	packet := newPacket(key.Caller, key.Service, gooseberrymast.PacketHeader{Acknowledges: true}, make([]byte, 1200))
	datagram := append(wrapper.Append(nil, gooseberrymast.Hop{Mode: gooseberrymast.HopDeliver}), packet...)
	b.ReportAllocs()
	for b.Loop() {
		hop, inner, err := wrapper.Split(datagram)
		if err != nil {
			b.Fatal(err)
		}
		header, err := platform.Codec{}.Decode(inner)
		if err != nil {
			b.Fatal(err)
		}
		step := agent.FromPeer(header, hop, server, nil, now)
		platform.Codec{}.SetTag(inner, step.Tag)
	}
}

// BenchmarkWalk measures the start of a walk over all agents.
func BenchmarkWalk(b *testing.B) {
	now := time.Now()
	balancer := benchBalancer(b, now)
	var steps []steerer.Step
	header := gooseberrymast.PacketHeader{Source: flowKey(1).Caller, Destination: serviceAddress, Acknowledges: true}
	b.ReportAllocs()
	for b.Loop() {
		steps = balancer.steerer.FromCaller(steps[:0], header, now)
	}
}
