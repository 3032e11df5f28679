package router

import (
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
)

const service gooseberrymast.ServiceTag = 9

var zones = []string{"cairo-a", "cairo-b", "cairo-c"}

func member(n int) gooseberrymast.Member {
	address := netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)})
	return gooseberrymast.Member{Record: gooseberrymast.Record{
		Identity: gooseberrymast.Identity{Address: netip.AddrPortFrom(address, 4000), Incarnation: 1},
		State:    gooseberrymast.StateReady, Service: service, Zone: zones[n%len(zones)],
	}}
}

func members(n int) []gooseberrymast.Member {
	all := make([]gooseberrymast.Member, n)
	for i := range all {
		all[i] = member(i)
	}
	return all
}

func table(members []gooseberrymast.Member) *gooseberrymast.Table {
	return &gooseberrymast.Table{Services: map[gooseberrymast.ServiceTag][]gooseberrymast.Member{service: members}}
}

func choose(query Query) (Route, error) {
	query.Service = service
	var route Route
	err := Choose(&query, &route)
	return route, err
}

// opening routes a packet that may open a flow.
func opening(t *testing.T, query Query) Route {
	t.Helper()
	query.Opens = true
	route, err := choose(query)
	if err != nil {
		t.Fatal(err)
	}
	return route
}

func TestRoutesByTokenAndRefusals(t *testing.T) {
	agent := member(1).Identity
	own := Token{Identity: agent, Service: service}
	foreign := Token{Identity: agent, Service: service + 1}
	full := table(members(3))
	tests := []struct {
		name  string
		query Query
		taker gooseberrymast.Identity
		want  error
	}{
		{"token with a table", Query{Token: own, Current: full}, agent, nil},
		{"token without a table", Query{Token: own}, agent, nil},
		{"token of a member that is not in the table", Query{Token: own, Current: table(nil)}, agent, nil},
		{"token in a packet that may open a flow", Query{Token: own, Opens: true, Current: full}, agent, nil},
		{"another service's token", Query{Token: foreign, Current: full}, gooseberrymast.Identity{}, RefusalWrongService},
		{"no token", Query{Current: full}, gooseberrymast.Identity{}, RefusalNotOpening},
		{"no table", Query{Opens: true}, gooseberrymast.Identity{}, RefusalNoMember},
		{"no member", Query{Opens: true, Current: table(nil)}, gooseberrymast.Identity{}, RefusalNoMember},
		{"no member in the zone", Query{
			Opens: true, Current: full, Zone: "cairo-d", CrossZone: gooseberrymast.CrossZoneNever,
		}, gooseberrymast.Identity{}, RefusalNoMember},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			route, err := choose(test.query)
			is.True(errors.Is(err, test.want))
			is.Equal(route.Takers[0], test.taker)
			is.True(!route.Opening)
		})
	}
}

func TestTakersAreOfOwnZoneAndHomeOfAnyZone(t *testing.T) {
	is := is.New(t)
	all := members(7) // cairo-a holds 0, 3, 6; cairo-b 1, 4; cairo-c 2, 5
	zoneOf := map[gooseberrymast.Identity]string{}
	for _, m := range all {
		zoneOf[m.Identity] = m.Zone
	}
	homes := map[uint64]gooseberrymast.Identity{}
	for key := range uint64(300) {
		for _, zone := range zones {
			route := opening(t, Query{Key: key, Zone: zone, Current: table(all), CrossZone: gooseberrymast.CrossZoneNever})
			is.Equal(zoneOf[route.Takers[0]], zone)
			is.Equal(zoneOf[route.Takers[1]], zone)
			if home, ok := homes[key]; ok {
				is.Equal(route.Homes[0], home) // the home doesn't depend on the zone
			}
			homes[key] = route.Homes[0]
		}
	}
}

func TestSecondTakerOfAnotherZoneIfAllowed(t *testing.T) {
	takers := map[string][2]gooseberrymast.Identity{
		gooseberrymast.CrossZoneWhenFull: {member(0).Identity, member(1).Identity},
		gooseberrymast.CrossZoneNever:    {member(0).Identity},
	}
	for crossZone, want := range takers {
		route := opening(t, Query{Zone: "cairo-a", Current: table(members(2)), CrossZone: crossZone})
		is.New(t).Equal(route.Takers, want)
	}
}

// A change to one member must only move flows from or to that member.
func TestMemberChangeMovesOnlyItsFlows(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		all := members(2 + random.IntN(20))
		changed := random.IntN(len(all))
		after := append([]gooseberrymast.Member(nil), all...)
		switch random.IntN(3) {
		case 0:
			after = append(after[:changed], after[changed+1:]...)
		case 1:
			after[changed].Suspect = true
		case 2:
			after[changed].Weight = uint16(2 + random.IntN(5))
		}
		id := all[changed].Identity
		for range 50 {
			key := random.Uint64()
			old, _ := choose(Query{Key: key, Opens: true, Current: table(all)})
			moved, _ := choose(Query{Key: key, Opens: true, Current: table(after)})
			if old.Takers[0] != moved.Takers[0] && old.Takers[0] != id && moved.Takers[0] != id {
				t.Fatalf("a change to %s moved a flow from %s to %s", id, old.Takers[0], moved.Takers[0])
			}
		}
	}
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	all := members(4)
	all[0].Weight = 3
	const flows = 60_000
	counts := map[gooseberrymast.Identity]int{}
	random := rand.New(rand.NewPCG(2, 2))
	for range flows {
		counts[opening(t, Query{Key: random.Uint64(), Current: table(all)}).Takers[0]]++
	}
	for _, m := range all {
		want := float64(flows) * float64(max(m.Weight, 1)) / 6
		got := float64(counts[m.Identity])
		is.True(math.Abs(got-want) < 5*math.Sqrt(want)) // within five standard deviations
	}
}

func TestSecondHomeComesFromPreviousTable(t *testing.T) {
	is := is.New(t)
	before, after := members(5), members(6)
	moved := 0
	for key := range uint64(600) {
		old := opening(t, Query{Key: key, Current: table(before)})
		route := opening(t, Query{Key: key, Current: table(after), Previous: table(before)})
		if route.Homes[0] == old.Homes[0] {
			is.True(route.Homes[1].IsZero()) // the previous home is the same
			continue
		}
		moved++
		is.Equal(route.Homes[1], old.Homes[0])
	}
	is.True(moved > 0)
}

func TestGoneOrSuspectHomeIsNotUsed(t *testing.T) {
	is := is.New(t)
	before := members(3)
	suspect := members(3)
	suspect[0].Suspect = true
	leaving := members(3)
	leaving[0].State = gooseberrymast.StateLeaving
	usesFirstHome := func(after []gooseberrymast.Member) bool {
		for key := range uint64(200) {
			route := opening(t, Query{Key: key, Current: table(after), Previous: table(before)})
			if route.Homes[1] == before[0].Identity {
				return true
			}
		}
		return false
	}
	is.True(!usesFirstHome(suspect))
	is.True(!usesFirstHome(before[1:]))
	is.True(usesFirstHome(leaving))
}

// A home that the document in force bars must still be queried, because balancers
// with the document before it send packets to it.
func TestBarredHomeIsUsed(t *testing.T) {
	is := is.New(t)
	before := members(3)
	used := 0
	for key := range uint64(200) {
		query := Query{Key: key, Opens: true, Current: table(before[1:]), Previous: table(before), Known: table(before)}
		route, err := choose(query)
		is.NoErr(err)
		is.True(route.Takers[0] != before[0].Identity && route.Takers[1] != before[0].Identity)
		if route.Homes[1] == before[0].Identity {
			used++
		}
	}
	is.True(used > 0)
}

func TestSuspicionIsIgnoredWhenAllAreSuspect(t *testing.T) {
	is := is.New(t)
	all := members(2)
	all[0].Suspect, all[1].Suspect = true, true
	opening(t, Query{Current: table(all)})
	all[0].State, all[1].State = gooseberrymast.StateLeaving, gooseberrymast.StateLeaving
	_, err := choose(Query{Opens: true, Current: table(all)})
	is.True(errors.Is(err, RefusalNoMember)) // leaving members get no new flows
}

func TestMemberWithoutIPv4AddressGetsNoFlow(t *testing.T) {
	is := is.New(t)
	all := members(2)
	all[0].Identity.Address = netip.MustParseAddrPort("[2001:db8::1]:4000")
	for key := range uint64(50) {
		route := opening(t, Query{Key: key, Current: table(all)})
		is.Equal(route.Takers, [2]gooseberrymast.Identity{all[1].Identity})
	}
}

func TestChooseAllocatesNothing(t *testing.T) {
	is := is.New(t)
	query := Query{Service: service, Opens: true, Zone: "cairo-a", Current: table(members(7)), Previous: table(members(6))}
	var route Route
	is.Equal(testing.AllocsPerRun(1000, func() {
		query.Key++
		_ = Choose(&query, &route)
	}), 0.0)
}

func BenchmarkChooseOpening(b *testing.B) {
	query := Query{Service: service, Opens: true, Zone: "cairo-a", Current: table(members(20)), Previous: table(members(20))}
	var route Route
	b.ReportAllocs()
	for b.Loop() {
		query.Key++
		if err := Choose(&query, &route); err != nil {
			b.Fatal(err)
		}
	}
}
