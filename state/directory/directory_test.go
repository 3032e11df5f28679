package directory

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrymast"
)

var start = time.Unix(1_700_000_000, 0)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func agent(i int, incarnation, sequence uint32, state gooseberrymast.State) Entry {
	return Entry{Record: gooseberrymast.Record{
		Identity: gooseberrymast.Identity{Address: address(i), Incarnation: gooseberrymast.Incarnation(incarnation)},
		Sequence: sequence, Control: address(i), Role: gooseberrymast.RoleAgent, State: state, Service: 7, Zone: "cairo-a",
	}}
}

func balancer(i int, registrars ...int) Entry {
	entry := agent(i, 1, 1, gooseberrymast.StateReady)
	entry.Record.Role = gooseberrymast.RoleBalancer
	entry.Record.Service = 0
	for j, registrar := range registrars {
		entry.Registrars[j] = address(registrar)
	}
	return entry
}

func TestApplyKeepsNewestRecord(t *testing.T) {
	ready, leaving := gooseberrymast.StateReady, gooseberrymast.StateLeaving
	tests := []struct {
		name     string
		existing Entry
		incoming Entry
		changed  bool
	}{
		{"higher sequence", agent(1, 2, 5, ready), agent(1, 2, 6, leaving), true},
		{"lower sequence", agent(1, 2, 5, ready), agent(1, 2, 4, ready), false},
		{"same", agent(1, 2, 5, ready), agent(1, 2, 5, ready), false},
		{"higher incarnation", agent(1, 2, 5, leaving), agent(1, 3, 1, ready), true},
		{"lower incarnation", agent(1, 2, 5, ready), agent(1, 1, 9, ready), false},
		{"other address", agent(1, 2, 5, ready), agent(2, 1, 1, ready), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var d Directory
			is.True(d.Apply(start, test.existing))
			is.Equal(d.Apply(start, test.incoming), test.changed)
		})
	}
}

func TestApplyPanicsOnInvalidRecord(t *testing.T) {
	other := agent(1, 2, 5, gooseberrymast.StateReady)
	other.Record.Weight = 9
	tests := []struct {
		name     string
		incoming Entry
	}{
		{"two writers", other},
		{"state moves back", agent(1, 2, 6, gooseberrymast.StateStarting)},
		{"no incarnation", agent(1, 0, 1, gooseberrymast.StateReady)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var d Directory
			d.Apply(start, agent(1, 2, 5, gooseberrymast.StateReady))
			defer func() { is.New(t).True(recover() != nil) }()
			d.Apply(start, test.incoming)
		})
	}
}

// TestApplyIsIndependentOfOrder applies the same entries in two orders and
// expects equal digests and entries.
func TestApplyIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []Entry
		for i := range rapid.IntRange(1, 8).Draw(t, "processes") {
			for sequence := range rapid.IntRange(1, 5).Draw(t, "changes") {
				entry := agent(i, 1, uint32(sequence+1), gooseberrymast.StateReady)
				entry.Loss = Loss(rapid.IntRange(0, 3).Draw(t, "loss"))
				updates = append(updates, entry)
			}
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		var a, b Directory
		for _, entry := range updates {
			a.Apply(start, entry)
		}
		random.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
		for _, entry := range updates {
			b.Apply(start, entry)
		}
		if a.Digest() != b.Digest() {
			t.Fatalf("digests differ")
		}
		for _, entry := range updates {
			x, _ := a.Get(entry.Record.Identity.Address)
			y, _ := b.Get(entry.Record.Identity.Address)
			if x != y {
				t.Fatalf("%+v differs from %+v", x, y)
			}
		}
	})
}

func TestSuspectOnceAllRegistrarsAreLost(t *testing.T) {
	is := is.New(t)
	var d Directory
	d.Apply(start, balancer(101))
	d.Apply(start, balancer(102, 101))
	entry := agent(1, 1, 1, gooseberrymast.StateReady)
	entry.Registrars = [RegistrarCount]netip.AddrPort{address(101), address(102)}
	d.Apply(start, entry)
	key := KeyOf(address(1))

	is.True(d.MarkLoss(start, key, LossFirst))
	is.True(!d.Suspect(key)) // the second registrar still has a session
	is.True(!d.MarkLoss(start, key, LossFirst))
	now := start.Add(time.Minute)
	d.MarkLoss(now, KeyOf(address(102)), LossFirst)
	is.True(d.Suspect(KeyOf(address(102))))
	is.True(!d.Suspect(key)) // ReattachTimeout has not passed yet
	d.Expire(now.Add(2 * DefaultReattachTimeout))
	is.True(d.Suspect(key))
	table, changed := d.Publish(1)
	is.True(changed)
	is.True(!table.Members(7)[0].Routable())

	entry.Record.Sequence++
	d.Apply(now.Add(time.Minute), entry)
	is.True(!d.Suspect(key)) // a new record of its own restarts ReattachTimeout
}

func TestExpireHidesAndDropsEntries(t *testing.T) {
	is := is.New(t)
	var d Directory
	d.Apply(start, agent(1, 1, 1, gooseberrymast.StateGone))
	entry := agent(2, 1, 1, gooseberrymast.StateReady)
	entry.Registrars[0] = address(101)
	entry.Loss = LossFirst
	d.Apply(start, entry)
	d.Apply(start, agent(3, 1, 1, gooseberrymast.StateReady))
	is.Equal(d.CountAvailable(), 1)
	d.Expire(start.Add(DefaultTombstoneTTL + time.Second))
	is.Equal(d.Len(), 2) // the entry in StateGone is removed
	d.Expire(start.Add(DefaultForgetTimeout/2 + time.Second))
	is.Equal(len(d.CellKeys(CellIDOf("cairo-a/0"))), 1) // the suspect entry is hidden from peers
	d.Expire(start.Add(DefaultForgetTimeout + time.Second))
	is.Equal(d.Len(), 1)
}

func TestPublishSharesUnchangedServices(t *testing.T) {
	is := is.New(t)
	var d Directory
	other := agent(9, 1, 1, gooseberrymast.StateReady)
	other.Record.Service = 8
	d.Apply(start, agent(1, 1, 1, gooseberrymast.StateReady))
	d.Apply(start, other)
	first, _ := d.Publish(1)
	_, changed := d.Publish(1)
	is.True(!changed)
	d.Apply(start, agent(2, 1, 1, gooseberrymast.StateReady))
	second, _ := d.Publish(1)
	is.Equal(second.Version, first.Version+1)
	is.Equal(len(first.Members(7)), 1) // a published table doesn't change
	is.Equal(len(second.Members(7)), 2)
	is.True(&first.Members(8)[0] == &second.Members(8)[0])
}

func BenchmarkApply(b *testing.B) {
	var d Directory
	for i := range 60_000 {
		d.Apply(start, agent(i, 1, 1, gooseberrymast.StateReady))
	}
	sequence := uint32(1)
	for b.Loop() {
		sequence++
		d.Apply(start, agent(int(sequence)%60_000, 1, sequence, gooseberrymast.StateReady))
	}
}
