package framer

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWindowRejectsRepeatedAndOldFrames(t *testing.T) {
	tests := []struct {
		name     string
		counters []uint64
		want     []bool
	}{
		{"in order", []uint64{1, 2, 3}, []bool{true, true, true}},
		{"repeated", []uint64{5, 5, 6, 5}, []bool{true, false, true, false}},
		{"reordered", []uint64{3, 1, 2, 1}, []bool{true, true, true, false}},
		{"zero", []uint64{0}, []bool{false}},
		{"at the window's end", []uint64{WindowFrames + 1, 2, 1}, []bool{true, true, false}},
		{"a jump clears the window", []uint64{5, 5 + 3*WindowFrames, 5, 6 + 2*WindowFrames}, []bool{true, true, false, true}},
		{"the highest counter", []uint64{maxCounter, maxCounter}, []bool{true, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var windows ReplayWindows
			for i, counter := range test.counters {
				is.Equal(windows.Accept(Origin{Sender: 1, Counter: counter}, time.Unix(0, 0)), test.want[i])
			}
		})
	}
}

// In any order of arrival, a frame within the window is accepted exactly once.
func TestWindowAcceptsEachFrameOnce(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var windows ReplayWindows
	accepted := map[uint64]bool{}
	highest := uint64(0)
	for range 100_000 {
		counter := max(1, highest+20-min(highest+19, uint64(random.IntN(2*WindowFrames))))
		fresh := !accepted[counter] && counter+WindowFrames > highest
		is.Equal(windows.Accept(Origin{Sender: 1, Counter: counter}, time.Unix(0, 0)), fresh)
		accepted[counter] = accepted[counter] || fresh
		highest = max(highest, counter)
	}
}

func TestSequencesAreSeparateAndBounded(t *testing.T) {
	is := is.New(t)
	windows := ReplayWindows{MaxSequences: 2 * windowShards}
	now := time.Unix(0, 0)
	is.True(windows.Accept(Origin{Sender: 1, Stripe: 1, Counter: 1}, now))
	is.True(windows.Accept(Origin{Sender: 1, Stripe: 2, Counter: 1}, now))
	is.True(windows.Accept(Origin{Sender: 2, Stripe: 1, Counter: 1}, now))
	for sender := range uint64(10_000) {
		windows.Accept(Origin{Sender: sender, Counter: 1}, now)
	}
	is.True(windows.Sequences() <= 2*windowShards)
}

// BenchmarkWindowsMemory reports the heap bytes used for each tracked sequence.
func BenchmarkWindowsMemory(b *testing.B) {
	const n = 100_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		windows := ReplayWindows{MaxSequences: 2 * n}
		for sender := range uint64(n) {
			windows.Accept(Origin{Sender: sender, Counter: 1}, time.Unix(0, 0))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(windows.Sequences()), "bytes/sequence")
	}
}

func TestSenderOriginsAreUnique(t *testing.T) {
	is := is.New(t)
	sender := NewSender()
	seen := map[Origin]bool{}
	for i := range 5000 {
		target := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i % 7), 1}), 4000)
		origin := sender.Next(target)
		is.True(!seen[origin])
		seen[origin] = true
	}
	is.True(NewSender().ID != sender.ID)
}
