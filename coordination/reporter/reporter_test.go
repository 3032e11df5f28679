package reporter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
)

var start = time.Unix(1_700_000_000, 0)

func identity(i int) gooseberrymast.Identity {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	return gooseberrymast.Identity{Address: address, Incarnation: 1}
}

func TestSumNamesStragglers(t *testing.T) {
	tests := []struct {
		name                      string
		current, behind           int
		namedCurrent, namedBehind int
	}{
		{"small: all are named", 10, 2, 11, 2},
		{"large: stragglers are named", 100, 3, 0, 3},
		{"large: some stragglers are named", 100, 50, 0, MaxStragglers},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var r Reporter
			for i := range test.current + test.behind {
				revision := uint64(5)
				if i < test.behind {
					revision = 4
				}
				r.Set(messenger.Session(i+1), Single(identity(i), revision))
			}
			sum := r.Sum(identity(999), 5)
			is.Equal(len(sum.Counts), 2)
			is.Equal(sum.Counts[0].Number, uint64(5))
			is.Equal(sum.Counts[0].Instances, test.current+1)
			is.Equal(sum.Counts[1].Instances, test.behind)
			is.Equal(len(sum.Counts[0].Identities), test.namedCurrent)
			is.Equal(len(sum.Counts[1].Identities), test.namedBehind)
		})
	}
}

func TestReportIsDueWhenChanged(t *testing.T) {
	is := is.New(t)
	var r Reporter
	_, due := r.Due(start, 0, identity(1), 1)
	is.True(!due) // no upstream session
	_, due = r.Due(start, 7, identity(1), 1)
	is.True(due)
	r.Set(2, Single(identity(2), 1))
	_, due = r.Due(start.Add(DefaultInterval-1), 7, identity(1), 1)
	is.True(!due)
	_, due = r.Due(start.Add(DefaultInterval), 7, identity(1), 1)
	is.True(due)
	_, due = r.Due(start.Add(time.Minute), 7, identity(1), 1)
	is.True(!due) // unchanged
	_, due = r.Due(start.Add(time.Minute), 8, identity(1), 1)
	is.True(due) // a new upstream peer has no report yet
}
