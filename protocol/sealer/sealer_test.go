package sealer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
)

const tag gooseberrymast.ServiceTag = 513

var agent = gooseberrymast.Identity{Address: netip.MustParseAddrPort("10.1.2.3:4567"), Incarnation: 89}

// keys returns a key for each epoch; the last epoch is the current one.
func keys(epochs ...keyer.Epoch) *keyer.Keys {
	k := &keyer.Keys{Current: epochs[len(epochs)-1]}
	for _, epoch := range epochs {
		secret := strings.Repeat(fmt.Sprintf("%02x", epoch), keyer.SecretBytes)
		k.Keys = append(k.Keys, keyer.Key{Epoch: epoch, Secret: secret})
	}
	return k
}

func newSealer(t testing.TB, k *keyer.Keys) *Sealer {
	s, err := New(k)
	is.New(t).NoErr(err)
	return s
}

func TestOpenReturnsSealedIdentityAndTag(t *testing.T) {
	is := is.New(t)
	s := newSealer(t, keys(1))
	cid := s.Seal(agent, tag, 7)
	id, service, err := s.Open(cid[:])
	is.NoErr(err)
	is.Equal(id, agent)
	is.Equal(service, tag)
	is.True(s.Seal(agent, tag, 8) != cid) // ids with different nonces differ
}

func TestOpenRejectsInvalidIDs(t *testing.T) {
	s := newSealer(t, keys(1))
	unset := s.Seal(gooseberrymast.Identity{Address: agent.Address}, tag, 1)
	multicast := s.Seal(gooseberrymast.Identity{Address: netip.MustParseAddrPort("224.0.0.1:1"), Incarnation: 1}, tag, 1)
	valid := s.Seal(agent, tag, 1)
	other := valid
	other[0] = 2
	tests := []struct {
		name string
		cid  []byte
		want Fault
	}{
		{"empty", nil, FaultLength},
		{"short", valid[:Bytes-1], FaultLength},
		{"long", append(valid[:], 0), FaultLength},
		{"unknown epoch", other[:], FaultUnknownEpoch},
		{"no incarnation", unset[:], FaultImplausible},
		{"multicast address", multicast[:], FaultImplausible},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := s.Open(test.cid)
			is.True(errors.Is(err, test.want))
		})
	}
}

func TestIDsOfOldEpochOpenUntilItsKeyIsRemoved(t *testing.T) {
	is := is.New(t)
	s := newSealer(t, keys(1))
	old := s.Seal(agent, tag, 1)
	is.NoErr(s.SetKeys(keys(1, 2)))
	id, _, err := s.Open(old[:])
	is.NoErr(err)
	is.Equal(id, agent)
	is.Equal(s.Seal(agent, tag, 1)[0], byte(2)) // sealed with the key of the current epoch
	is.NoErr(s.SetKeys(keys(2)))
	_, _, err = s.Open(old[:])
	is.True(errors.Is(err, FaultUnknownEpoch))
}

// Random ids of the right length and epoch match a service's tag about once in
// 2^16.
func TestRandomIDsRarelyMatchATag(t *testing.T) {
	is := is.New(t)
	s := newSealer(t, keys(1))
	random := rand.New(rand.NewPCG(1, 1))
	const draws = 1 << 17
	matches := 0
	for range draws {
		var cid [Bytes]byte
		cid[0] = 1
		for i := 1; i < Bytes; i++ {
			cid[i] = byte(random.Uint32())
		}
		if _, service, err := s.Open(cid[:]); err == nil && service == tag {
			matches++
		}
	}
	is.True(matches <= 16) // two are expected
}

func TestOpenAllocatesNothing(t *testing.T) {
	is := is.New(t)
	s := newSealer(t, keys(1))
	cid := s.Seal(agent, tag, 7)
	is.Equal(testing.AllocsPerRun(1000, func() { _, _, _ = s.Open(cid[:]) }), 0.0)
}

func FuzzOpen(f *testing.F) {
	s := newSealer(f, keys(1, 2))
	valid := s.Seal(agent, tag, 7)
	f.Add(valid[:])
	f.Add(valid[:5])
	f.Add([]byte{})
	f.Add([]byte(strings.Repeat("\x01", Bytes)))
	f.Fuzz(func(t *testing.T, cid []byte) {
		id, service, err := s.Open(cid)
		if err != nil {
			return
		}
		if service == 0 || id.Incarnation == 0 || !id.Address.IsValid() || id.Address.Port() == 0 {
			t.Fatalf("opened %x to %s of service %d", cid, id, service)
		}
	})
}

func BenchmarkOpen(b *testing.B) {
	s := newSealer(b, keys(1))
	cid := s.Seal(agent, tag, 7)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := s.Open(cid[:]); err != nil {
			b.Fatal(err)
		}
	}
}
