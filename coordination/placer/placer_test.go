package placer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func identity(n byte) gooseberrymast.Identity {
	return gooseberrymast.Identity{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000), Incarnation: 1}
}

func member(n byte, zone string) gooseberrymast.Member {
	return gooseberrymast.Member{Record: gooseberrymast.Record{Identity: identity(n), Zone: zone, State: gooseberrymast.StateReady}}
}

func freeSlots(slots int32) gooseberrymast.Load { return gooseberrymast.Load{FreeSlots: slots} }

func TestChooseByLoadZoneAndState(t *testing.T) {
	suspect, leaving := member(2, "a"), member(2, "a")
	suspect.Suspect = true
	leaving.State = gooseberrymast.StateLeaving
	long := 20 * time.Millisecond
	tests := []struct {
		name         string
		members      []gooseberrymast.Member
		loads        []gooseberrymast.Load
		age          time.Duration
		sameZoneOnly bool
		need         Need
		want         byte
	}{
		{"no peer", nil, nil, 0, false, Need{}, 0},
		{"more room", []gooseberrymast.Member{member(2, "a"), member(3, "a")}, []gooseberrymast.Load{freeSlots(1), freeSlots(3)}, 0, false, Need{}, 3},
		{"own zone first", []gooseberrymast.Member{member(2, "a"), member(3, "b")}, []gooseberrymast.Load{freeSlots(1), freeSlots(3)}, 0, false, Need{Wait: long}, 2},
		{"across when the own is full", []gooseberrymast.Member{member(2, "a"), member(3, "b")}, []gooseberrymast.Load{freeSlots(0), freeSlots(3)}, 0, false, Need{Wait: long}, 3},
		{"not across for a short wait", []gooseberrymast.Member{member(2, "a"), member(3, "b")}, []gooseberrymast.Load{freeSlots(0), freeSlots(3)}, 0, false, Need{}, 0},
		{"not across if hand-over between zones is off", []gooseberrymast.Member{member(2, "a"), member(3, "b")}, []gooseberrymast.Load{freeSlots(0), freeSlots(3)}, 0, true, Need{Wait: long}, 0},
		{"never to a suspect", []gooseberrymast.Member{suspect}, []gooseberrymast.Load{freeSlots(3)}, 0, false, Need{AllowFull: true}, 0},
		{"never to a leaving one", []gooseberrymast.Member{leaving}, []gooseberrymast.Load{freeSlots(3)}, 0, false, Need{AllowFull: true}, 0},
		{"never to one that reports that it is leaving", []gooseberrymast.Member{member(2, "a")}, []gooseberrymast.Load{{Leaving: true}}, 0, false, Need{AllowFull: true}, 0},
		{"never to one that was tried", []gooseberrymast.Member{member(2, "a")}, []gooseberrymast.Load{freeSlots(3)}, 0, false, Need{AllowFull: true, Tried: []gooseberrymast.Identity{identity(2)}}, 0},
		{"a full one if full peers are allowed", []gooseberrymast.Member{member(2, "a")}, []gooseberrymast.Load{freeSlots(0)}, 0, false, Need{AllowFull: true}, 2},
		{"a straggler leaves the last slot", []gooseberrymast.Member{member(2, "a")}, []gooseberrymast.Load{freeSlots(1)}, 0, false, Need{Long: true}, 0},
		{"a load ages out", []gooseberrymast.Member{member(2, "a")}, []gooseberrymast.Load{freeSlots(0)}, MaxLoadAge, false, Need{}, 2},
		{"a stream to fewer streams", []gooseberrymast.Member{member(2, "a"), member(3, "a")}, []gooseberrymast.Load{{Streams: 9}, {Streams: 3}}, 0, false, Need{Stream: true}, 3},
		{"no stream beyond the limit", []gooseberrymast.Member{member(2, "a")}, []gooseberrymast.Load{{Streams: 10}}, 0, false, Need{Stream: true}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := Placer{Random: rand.New(rand.NewPCG(1, 1)), Zone: "a", CrossZone: !test.sameZoneOnly, Connections: 10}
			p.Update(epoch, test.members)
			for i, load := range test.loads {
				p.HandleLoad(epoch, test.members[i].Identity, load)
			}
			got, ok := p.Choose(epoch.Add(test.age), test.need)
			is.Equal(ok, test.want != 0)
			if ok {
				is.Equal(got, identity(test.want))
			}
		})
	}
}

func TestHandOversUseUpSlotsAndProbes(t *testing.T) {
	is := is.New(t)
	p := Placer{Random: rand.New(rand.NewPCG(1, 1)), Zone: "a"}
	p.Update(epoch, []gooseberrymast.Member{member(2, "a")})
	for range MaxProbes {
		is.True(p.StartHandOver(epoch, identity(2))) // its load is unknown
	}
	_, ok := p.Choose(epoch, Need{})
	is.True(!ok)
	for range MaxProbes {
		p.EndHandOver(true)
	}
	p.HandleLoad(epoch, identity(2), freeSlots(1))
	_, ok = p.Choose(epoch, Need{})
	is.True(ok)
	is.True(!p.StartHandOver(epoch, identity(2)))
	_, ok = p.Choose(epoch, Need{})
	is.True(!ok) // the one free slot is taken
}

func TestNewPeerIsWeightedLessDuringSlowStart(t *testing.T) {
	is := is.New(t)
	p := Placer{Random: rand.New(rand.NewPCG(1, 1)), Zone: "a", SlowStart: 10 * time.Second}
	p.Update(epoch, []gooseberrymast.Member{member(2, "a")})
	p.Update(epoch, []gooseberrymast.Member{member(2, "a"), member(3, "a")})
	choose := func(now time.Time) byte {
		p.HandleLoad(now, identity(2), freeSlots(2))
		p.HandleLoad(now, identity(3), freeSlots(4))
		chosen, _ := p.Choose(now, Need{})
		return chosen.Address.Addr().As4()[3]
	}
	is.Equal(choose(epoch.Add(4*time.Second)), byte(2))
	is.Equal(choose(epoch.Add(6*time.Second)), byte(3))
}
