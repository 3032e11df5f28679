package dispatcher

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
)

func TestExcludedZoneHandsOver(t *testing.T) {
	tests := []struct {
		name  string
		zones []string
		peers byte
		want  gooseberrymast.ActionKind
	}{
		{"every zone", nil, 1, gooseberrymast.ActionRun},
		{"its zone", []string{"cairo-a", "cairo-b"}, 1, gooseberrymast.ActionRun},
		{"another zone", []string{"cairo-b"}, 1, gooseberrymast.ActionHandOver},
		{"another zone and nobody there", []string{"cairo-b"}, 0, gooseberrymast.ActionRun},
	}
	for _, test := range tests {
		for _, stream := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				is := is.New(t)
				d := New(Config{Self: self, Service: "ledger", Zone: "cairo-a", Seed: 1})
				service := testService()
				service.Zones = test.zones
				d.Configure(epoch, 1, service)
				var peers []gooseberrymast.Member
				for n := range test.peers {
					peers = append(peers, gooseberrymast.Member{Record: gooseberrymast.Record{
						Identity: agentAt(n + 2), State: gooseberrymast.StateReady, Zone: "cairo-b",
					}})
				}
				d.SetPeers(epoch, peers)
				work := newWork(1)
				work.Stream = stream
				is.Equal(actionKinds(d.HandleRequest(epoch, work)), []gooseberrymast.ActionKind{test.want})
				fromPeer := newWork(2) // handed over by a peer that has another document in force
				fromPeer.Origin = agentAt(9)
				is.Equal(actionKinds(d.HandleRequest(epoch, fromPeer)), []gooseberrymast.ActionKind{gooseberrymast.ActionRun})
			})
		}
	}
}
