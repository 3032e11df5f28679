package framer

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
)

func identity(n byte) gooseberrymast.Identity {
	return gooseberrymast.Identity{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 4000), Incarnation: 3}
}

func header() Header {
	return Header{
		Kind:           KindOpening,
		Hop:            1,
		ToTaker:        true,
		Declined:       true,
		Service:        77,
		Index:          2,
		Origin:         Origin{Sender: 1 << 60, Stripe: 5, Counter: 9},
		To:             identity(1),
		Caller:         netip.MustParseAddrPort("192.0.2.1:5555"),
		Balancer:       netip.MustParseAddrPort("10.9.9.9:4433"),
		BalancerSender: 1 << 61,
		Takers:         [2]gooseberrymast.Identity{identity(1), identity(2)},
		Homes:          [2]gooseberrymast.Identity{identity(3), identity(4)},
	}
}

// keys returns a key for each epoch; the last epoch is the current one.
func keys(epochs ...keyer.Epoch) *keyer.Keys {
	k := &keyer.Keys{Current: epochs[len(epochs)-1]}
	for _, epoch := range epochs {
		secret := strings.Repeat(fmt.Sprintf("%02x", epoch), keyer.SecretBytes)
		k.Keys = append(k.Keys, keyer.Key{Epoch: epoch, Secret: secret})
	}
	return k
}

func newFramer(t testing.TB, k *keyer.Keys) *Framer {
	f, err := New(k)
	is.New(t).NoErr(err)
	return f
}

func seal(t testing.TB, f *Framer, h Header, payload []byte) []byte {
	frame, err := f.Seal(&h, append(make([]byte, MaxBytes), payload...), MaxBytes)
	is.New(t).NoErr(err)
	return frame
}

func TestOpenReturnsSealedHeaderAndPayload(t *testing.T) {
	established := header()
	established.Kind, established.Takers, established.Homes = KindFlow, [2]gooseberrymast.Identity{}, [2]gooseberrymast.Identity{}
	tests := []struct {
		name   string
		header Header
		size   int
	}{
		{"all candidates", header(), MaxBytes},
		{"no candidates", established, MinBytes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFramer(t, keys(1))
			payload := bytes.Repeat([]byte{0xee}, 1200)
			frame := seal(t, f, test.header, payload)
			is.Equal(len(frame), test.size+1200)
			var got Header
			opened, err := f.Open(frame, &got)
			is.NoErr(err)
			is.Equal(opened, payload)
			want := test.header
			want.Epoch = 1
			is.Equal(got, want)
		})
	}
}

func TestOpenRejectsInvalidFrames(t *testing.T) {
	f := newFramer(t, keys(1))
	valid := seal(t, f, header(), []byte("payload"))
	edit := func(at int, value byte) []byte {
		frame := bytes.Clone(valid)
		frame[at] = value
		return frame
	}
	tests := []struct {
		name  string
		frame []byte
		want  Fault
	}{
		{"empty", nil, FaultTruncated},
		{"cut in the header", valid[:MinBytes-1], FaultTruncated},
		{"cut in the candidates", valid[:MaxBytes-1], FaultTruncated},
		{"cut in the payload", valid[:len(valid)-1], FaultForged},
		{"too large", append(bytes.Clone(valid), make([]byte, MaxFrame)...), FaultOversized},
		{"another version", edit(versionAt, Version+1), FaultBadVersion},
		{"no such kind", edit(kindAt, 9), FaultBadKind},
		{"too many candidates", edit(countsAt, 0xff), FaultOversized},
		{"unknown epoch", edit(epochAt, 4), FaultUnknownEpoch},
		{"MAC changed", edit(0, valid[0]^1), FaultForged},
		{"service changed", edit(serviceAt, 1), FaultForged},
		{"caller changed", edit(callerAt, 1), FaultForged},
		{"payload changed", edit(len(valid)-1, 0), FaultForged},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var got Header
			_, err := f.Open(test.frame, &got)
			is.True(errors.Is(err, test.want))
			is.Equal(got, Header{}) // the header stays unset
		})
	}
}

func TestFramesOfOldEpochOpenUntilItsKeyIsRemoved(t *testing.T) {
	is := is.New(t)
	f := newFramer(t, keys(1))
	old := seal(t, f, header(), nil)
	is.NoErr(f.SetKeys(keys(1, 2)))
	var got Header
	_, err := f.Open(old, &got)
	is.NoErr(err)
	is.Equal(seal(t, f, header(), nil)[epochAt], byte(2)) // sealed with the key of the current epoch
	is.NoErr(f.SetKeys(keys(2)))
	_, err = f.Open(old, &got)
	is.True(errors.Is(err, FaultUnknownEpoch))
}

func TestFrameFitsAnEthernetPacket(t *testing.T) {
	is := is.New(t)
	const ipAndUDP, ethernet = 28, 1500
	is.True(MaxPayload >= 1200)
	is.True(MaxPayload+MaxBytes+ipAndUDP <= ethernet)
}

func TestSealAndOpenAllocateNothing(t *testing.T) {
	is := is.New(t)
	f := newFramer(t, keys(1))
	h := header()
	buffer := make([]byte, MaxFrame)
	var got Header
	allocations := testing.AllocsPerRun(1000, func() {
		frame, _ := f.Seal(&h, buffer, MaxBytes)
		_, _ = f.Open(frame, &got)
	})
	is.Equal(allocations, 0.0)
	is.Equal(got.Takers, h.Takers)
}

func FuzzOpen(f *testing.F) {
	framer := newFramer(f, keys(1))
	valid := seal(f, framer, header(), []byte("payload"))
	f.Add(valid)
	f.Add(valid[:MinBytes])
	f.Add(valid[:3])
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0xff}, MaxFrame+1))
	f.Fuzz(func(t *testing.T, frame []byte) {
		var got Header
		payload, err := framer.Open(frame, &got)
		if err != nil {
			var fault Fault
			if !errors.As(err, &fault) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if again := seal(t, framer, got, payload); !bytes.Equal(again, frame) {
			t.Fatalf("frame %x came back as %x", frame, again)
		}
	})
}

// FuzzHeader decodes headers without verifying the MAC, as a sender that holds
// the key could send them.
func FuzzHeader(f *testing.F) {
	framer := newFramer(f, keys(1))
	f.Add(seal(f, framer, header(), []byte("payload")))
	f.Add(make([]byte, MinBytes))
	f.Fuzz(func(t *testing.T, frame []byte) {
		if validateLayout(frame) != nil {
			return
		}
		var got Header
		got.decode(frame)
		if got.Bytes() > len(frame) {
			t.Fatalf("header of %d bytes from a frame of %d", got.Bytes(), len(frame))
		}
	})
}

func BenchmarkSeal(b *testing.B) {
	f := newFramer(b, keys(1))
	h := header()
	buffer := make([]byte, MaxBytes+1200)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := f.Seal(&h, buffer, MaxBytes); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOpen(b *testing.B) {
	f := newFramer(b, keys(1))
	frame := seal(b, f, header(), make([]byte, 1200))
	var got Header
	b.ReportAllocs()
	for b.Loop() {
		if _, err := f.Open(frame, &got); err != nil {
			b.Fatal(err)
		}
	}
}
