package spreader

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/directory"
)

var start = time.Unix(1_700_000_000, 0)

func entry(i int, sequence uint32, loss directory.Loss) directory.Entry {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	zones := []string{"cairo-a", "cairo-b", "cairo-c"}
	return directory.Entry{Loss: loss, Record: gooseberrymast.Record{
		Identity: gooseberrymast.Identity{Address: address, Incarnation: 1},
		Sequence: sequence, Control: address, Role: gooseberrymast.RoleAgent,
		State: gooseberrymast.StateReady, Service: 7, Zone: zones[i%len(zones)],
	}}
}

// side is one of two directories that are repaired.
type side struct {
	directory directory.Directory
}

// handle applies a message and returns the replies.
func (s *side) handle(message *messenger.Message) []*messenger.Message {
	switch {
	case message.Cells != nil:
		replies, keys := Compare(&s.directory, message.Cells)
		return append(replies, s.delta(keys)...)
	case message.Buckets != nil:
		if reply := CompareBuckets(&s.directory, message.Buckets); reply != nil {
			return []*messenger.Message{reply}
		}
	case message.Versions != nil:
		want, keys := CompareVersions(&s.directory, message.Versions)
		replies := s.delta(keys)
		if want != nil {
			replies = append(replies, want)
		}
		return replies
	case message.Want != nil:
		return s.delta(Wanted(&s.directory, message.Want))
	case message.Delta != nil:
		for _, update := range message.Delta.Updates {
			s.directory.Apply(start, update.Entry)
		}
	}
	return nil
}

func (s *side) delta(keys []directory.Key) []*messenger.Message {
	if len(keys) == 0 {
		return nil
	}
	delta := &messenger.Delta{}
	for _, key := range keys {
		if known, found := s.directory.Lookup(key); found {
			delta.Updates = append(delta.Updates, messenger.Update{Entry: known})
		}
	}
	return []*messenger.Message{{Delta: delta}}
}

// Whatever entries two directories hold, one repair makes them equal.
func TestRepairMakesDirectoriesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sides := [2]*side{{}, {}}
		for i := range rapid.IntRange(0, 60).Draw(t, "entries") {
			for _, s := range sides {
				sequence := rapid.Uint32Range(0, 3).Draw(t, "sequence")
				if sequence > 0 {
					s.directory.Apply(start, entry(i, sequence, directory.Loss(rapid.IntRange(0, 3).Draw(t, "loss"))))
				}
			}
		}
		type envelope struct {
			to      int
			message *messenger.Message
		}
		queue := []envelope{{1, Begin(&sides[0].directory)}}
		for len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			for _, reply := range sides[next.to].handle(next.message) {
				queue = append(queue, envelope{1 - next.to, reply})
			}
		}
		if sides[0].directory.Digest() != sides[1].directory.Digest() {
			t.Fatal("the digests differ after the repair")
		}
	})
}

func TestUpdatesAreBatched(t *testing.T) {
	var s Spreader
	key := directory.KeyOf(netip.MustParseAddrPort("10.0.0.1:7000"))
	s.QueueKey(1, key)
	if len(s.Due(start)) != 1 {
		t.Fatal("the first update was delayed")
	}
	s.QueueKey(1, key)
	s.QueueKey(1, key+1)
	s.QueueRevision(1, 0)
	if len(s.Due(start.Add(DefaultInterval-1))) != 0 {
		t.Fatal("an update was sent before the interval passed")
	}
	batches := s.Due(start.Add(DefaultInterval))
	if len(batches) != 1 || len(batches[0].Keys) != 2 || !batches[0].Revision {
		t.Fatalf("got %+v", batches)
	}
	if !s.Next().IsZero() {
		t.Fatal("a batch is due although the queue is empty")
	}
}

func TestLargeBatchIsSplit(t *testing.T) {
	var s Spreader
	for i := range 2*MaxDeltaEntries + 1 {
		s.QueueKey(1, directory.Key(i+1))
	}
	now, sent := start, 0
	for range 3 {
		for _, batch := range s.Due(now) {
			if len(batch.Keys) > MaxDeltaEntries {
				t.Fatalf("%d entries in one delta", len(batch.Keys))
			}
			sent += len(batch.Keys)
		}
		now = now.Add(DefaultInterval)
	}
	if sent != 2*MaxDeltaEntries+1 {
		t.Fatalf("sent %d entries", sent)
	}
}
