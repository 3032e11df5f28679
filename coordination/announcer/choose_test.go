package announcer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast/state/directory"
)

func newBalancers(count, zones int) []directory.Balancer {
	list := make([]directory.Balancer, 0, count)
	for i := range count {
		key := directory.KeyOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000))
		hash := key.Hash()
		list = append(list, directory.Balancer{
			Key: key, Control: key, Zone: fmt.Sprintf("zone-%d", i%zones), Hash: hash, Level: directory.LevelOf(hash),
		})
	}
	return list
}

// From every balancer, following the first parents must lead to the single root
// within few hops.
func TestParentsFormATree(t *testing.T) {
	tests := []struct {
		count, zones, hops int
	}{
		{1, 1, 0}, {2, 2, 1}, {3, 3, 1}, {10, 3, 3}, {300, 3, 5}, {4000, 20, 6},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.count), func(t *testing.T) {
			is := is.New(t)
			list := newBalancers(test.count, test.zones)
			parent := map[directory.Key]directory.Key{}
			roots := 0
			for _, b := range list {
				if IsRoot(b.Key, list) {
					roots++
					continue
				}
				parents := Parents(b.Key, b.Zone, list)
				is.True(len(parents) > 0)
				parent[b.Key] = parents[0].Key
			}
			is.Equal(roots, 1)
			for _, b := range list {
				key, hops := b.Key, 0
				for parent[key] != 0 && hops <= test.hops {
					key = parent[key]
					hops++
				}
				is.True(hops <= test.hops)
			}
		})
	}
}

// The removal of a balancer must change only the parents of its children.
func TestRemovalChangesOnlyChildrensParents(t *testing.T) {
	is := is.New(t)
	list := newBalancers(400, 4)
	remaining := append(append([]directory.Balancer(nil), list[:7]...), list[8:]...)
	for _, b := range remaining {
		before := Parents(b.Key, b.Zone, list)
		after := Parents(b.Key, b.Zone, remaining)
		is.Equal(len(before), directory.RegistrarCount)
		if before[0].Key != list[7].Key && before[1].Key != list[7].Key {
			is.Equal(before, after)
		}
	}
}

// BenchmarkChildren counts the children of balancers in the tree, as first and
// as second parent, with as many balancers per zone as a fleet of the design
// size.
func BenchmarkChildren(b *testing.B) {
	list := newBalancers(4250, 5)
	for b.Loop() {
		first, second := map[directory.Key]int{}, map[directory.Key]int{}
		for _, balancer := range list {
			parents := Parents(balancer.Key, balancer.Zone, list)
			first[parents[0].Key]++
			second[parents[1].Key]++
		}
		busiest, sum := 0, 0
		for key, count := range first {
			busiest = max(busiest, count+second[key])
			sum += count
		}
		b.ReportMetric(float64(sum)/float64(len(first)), "children-mean")
		b.ReportMetric(float64(busiest), "sessions-busiest")
	}
}

func TestRegistrarsPreferTheZone(t *testing.T) {
	is := is.New(t)
	list := newBalancers(40, 4)
	agent := directory.KeyOf(netip.MustParseAddrPort("10.9.9.9:7000"))
	chosen := Registrars(agent, "zone-2", list)
	is.Equal(len(chosen), AdviceCount)
	for _, b := range chosen {
		is.Equal(b.Zone, "zone-2")
	}
	is.Equal(len(Registrars(agent, "zone-2", list[:3])), 3) // filled up from other zones
}

func TestRankOrdersBalancersOfTheZone(t *testing.T) {
	is := is.New(t)
	list := newBalancers(12, 3)
	cell := directory.CellIDOf("zone-1/0")
	seen := map[int]bool{}
	for _, b := range list {
		rank := Rank(b.Key, cell, "zone-1", list)
		is.Equal(rank >= 0, b.Zone == "zone-1")
		if rank >= 0 {
			is.True(!seen[rank])
			seen[rank] = true
		}
	}
	is.Equal(len(seen), 4)
	is.True(Rank(list[0].Key, cell, "elsewhere", list) >= 0) // all balancers are candidates of a zone without any
}
