package announcer

import (
	"fmt"
	"testing"

	"gooseberrymast/state/directory"
)

// BenchmarkChoose measures what a balancer works out anew when the list of
// balancers changed: its parents, the registrars of one agent, and its rank in
// one cell.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{1_889, 17_000} {
		zones := count / 850
		list := balancers(count, zones)
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
				Rank(self.Key, directory.IDOf("zone-1/0"), "zone-1", list)
			}
		})
	}
}
