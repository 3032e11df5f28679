package wrapper

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
)

func testHop(candidates int) gooseberrymast.Hop {
	hop := gooseberrymast.Hop{
		Mode: gooseberrymast.HopWalk, Definite: true, NotifyOrigin: true,
		Origin:    gooseberrymast.Endpoint{IP: [4]byte{10, 1, 0, 1}, Port: 7000},
		Initiator: gooseberrymast.Endpoint{IP: [4]byte{10, 1, 0, 2}, Port: 7001},
		Walk:      77, Version: gooseberrymast.DocumentVersion{Revision: 1 << 40}, Service: 1<<63 + 5,
	}
	for i := range candidates {
		hop.Candidates = append(hop.Candidates, gooseberrymast.Endpoint{IP: [4]byte{10, 2, 0, byte(i)}, Port: 7000})
	}
	return hop
}

func TestHopRoundTrip(t *testing.T) {
	for _, candidates := range []int{0, 1, gooseberrymast.MaxCandidates} {
		is := is.New(t)
		packet := []byte("a packet of any content")
		datagram := append(Append(nil, testHop(candidates)), packet...)
		is.True(len(datagram)-len(packet) <= MaxHeader)
		read, rest, err := Split(datagram)
		is.NoErr(err)
		is.Equal(read, testHop(candidates))
		is.Equal(rest, packet)
	}
}

// A new flow's number and the balancer that its refusal is reported to travel together.
func TestNewFlowsCarryTheDocumentNumber(t *testing.T) {
	origin := gooseberrymast.Endpoint{IP: [4]byte{10, 1, 0, 1}, Port: 7000}
	tests := []struct {
		name      string
		number    uint64
		initiator gooseberrymast.Endpoint
		walk      uint32
		read      uint64
	}{
		{"first opening packet", 1<<40 + 7, origin, 5, 1<<40 + 7},
		{"retransmitted opening packet", 1<<40 + 7, gooseberrymast.Endpoint{}, 0, 1<<40 + 7},
		{"no number", 0, origin, 5, 0},
		{"the highest number", maxNumber, origin, 5, maxNumber},
		{"a number that doesn't fit", maxNumber + 1, origin, 5, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			hop := gooseberrymast.Hop{
				Mode: gooseberrymast.HopPlace, Definite: true, Service: 3, Origin: origin, Initiator: test.initiator, Walk: test.walk,
				Version: gooseberrymast.DocumentVersion{Number: test.number, Revision: 1 << 41},
			}
			read, _, err := Split(Append(nil, hop))
			is.NoErr(err)
			hop.Version.Number = test.read
			is.Equal(read, hop)
		})
	}
}

// Earlier builds read the revision at the place of the version, and neither walk nor
// initiator of a new flow; they send both as zero, and no flag of an initiator.
func TestNewFlowsOfEarlierBuildsHaveNoNumber(t *testing.T) {
	is := is.New(t)
	hop := gooseberrymast.Hop{Mode: gooseberrymast.HopPlace, Version: gooseberrymast.DocumentVersion{Revision: 520}}
	datagram := Append(nil, hop)
	is.Equal(datagram[:24], []byte{
		KindPacket, byte(gooseberrymast.HopPlace), 0, 0,
		0, 0, 0, 0,
		0, 0, 0, 0, 0, 0, 2, 8,
		0, 0, 0, 0, 0, 0, 0, 0,
	})
	read, _, err := Split(datagram)
	is.NoErr(err)
	is.Equal(read, hop)
}

func TestMalformedHeadersAreRejected(t *testing.T) {
	good := Append(nil, testHop(2))
	changed := func(at int, value byte) []byte {
		bad := bytes.Clone(good)
		bad[at] = value
		return bad
	}
	tests := map[string][]byte{
		"empty":               {},
		"a message":           changed(0, KindMessage),
		"no mode":             changed(1, 0),
		"an unknown mode":     changed(1, 99),
		"too many candidates": changed(3, gooseberrymast.MaxCandidates+1),
		"cut in the header":   good[:fixedHeaderBytes-1],
		"cut in a candidate":  good[:len(good)-1],
	}
	for name, datagram := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := Split(datagram)
			is.Equal(err, ErrMalformed)
		})
	}
}

func FuzzSplit(f *testing.F) {
	f.Add(Append(nil, testHop(3)))
	f.Add([]byte{KindPacket})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		read, rest, err := Split(datagram)
		if err != nil {
			return
		}
		again, _, err := Split(append(Append(nil, read), rest...))
		if err != nil || len(again.Candidates) != len(read.Candidates) {
			t.Fatalf("decoded %+v, encoded and decoded again %+v: %v", read, again, err)
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	buffer := make([]byte, 0, 2048)
	packet := make([]byte, 1231)
	hop := testHop(0)
	b.ReportAllocs()
	for b.Loop() {
		buffer = append(Append(buffer[:0], hop), packet...)
	}
}
