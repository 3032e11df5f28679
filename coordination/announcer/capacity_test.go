package announcer

import (
	"fmt"
	"testing"

	"gooseberrymast/state/directory"
)

// BenchmarkChoose measures what is recomputed when the list of balancers
// changes: a balancer's parents, an agent's registrars, and a balancer's rank
// in a cell.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{1_889, 17_000} {
		zones := count / 850
		list := newBalancers(count, zones)
		self := list[count/2]
		b.Run(fmt.Sprintf("parents/balancers=%d", count), func(b *testing.B) {
			for b.Loop() {
				Parents(self.Key, self.Zone, list)
			}
		})
		b.Run(fmt.Sprintf("registrars/balancers=%d", count), func(b *testing.B) {
			for b.Loop() {
				Registrars(self.Key+1, self.Zone, list)
			}
		})
		b.Run(fmt.Sprintf("rank/balancers=%d", count), func(b *testing.B) {
			for b.Loop() {
				Rank(self.Key, directory.CellIDOf("zone-1/0"), "zone-1", list)
			}
		})
	}
}
