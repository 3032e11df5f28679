package inspector

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
)

const idBytes = 17

// longHeaderPacket returns a packet with a long header, padded to size.
func longHeaderPacket(first byte, version [4]byte, id []byte, size int) []byte {
	packet := append([]byte{first}, version[:]...)
	packet = append(packet, byte(len(id)))
	packet = append(packet, id...)
	return append(packet, make([]byte, max(0, size-len(packet)))...)
}

func TestParseReadsIDAndRejectsInvalidPackets(t *testing.T) {
	v1 := [4]byte{0, 0, 0, 1}
	v2 := [4]byte{0x6b, 0x33, 0x43, 0xcf}
	id := bytes.Repeat([]byte{7}, 8)
	short := append([]byte{0x40}, bytes.Repeat([]byte{9}, 40)...)
	tests := []struct {
		name     string
		datagram []byte
		opens    bool
		id       []byte
		want     error
	}{
		{"Initial", longHeaderPacket(0xc0, v1, id, 1200), true, id, nil},
		{"Initial of version 2", longHeaderPacket(0xd0, v2, id, 1200), true, id, nil},
		{"0-RTT may be small", longHeaderPacket(0xd0, v1, id, 100), true, id, nil},
		{"Handshake", longHeaderPacket(0xe0, v1, id, 100), false, id, nil},
		{"Handshake of version 2", longHeaderPacket(0xf0, v2, id, 100), false, id, nil},
		{"Retry of version 2", longHeaderPacket(0xc0, v2, id, 100), false, id, nil},
		{"unknown version", longHeaderPacket(0xc0, [4]byte{0x1a, 0x2a, 0x3a, 0x4a}, id, 1200), true, id, nil},
		{"id too short to open a flow", longHeaderPacket(0xc0, v1, id[:7], 1200), false, id[:7], nil},
		{"short header", short, false, short[1:18], nil},
		{"empty", nil, false, nil, FaultTruncated},
		{"cut before the id", longHeaderPacket(0xc0, v1, nil, 0)[:5], false, nil, FaultTruncated},
		{"cut in the id", longHeaderPacket(0xc0, v1, id, 0)[:9], false, nil, FaultTruncated},
		{"cut in the id of a short header", short[:17], false, nil, FaultTruncated},
		{"small Initial", longHeaderPacket(0xc0, v1, id, 1199), false, nil, FaultTooSmall},
		{"Version Negotiation", longHeaderPacket(0xc0, [4]byte{}, id, 1200), false, nil, FaultNotQUIC},
		{"id too long", longHeaderPacket(0xc0, v1, make([]byte, 21), 1200), false, nil, FaultNotQUIC},
		{"no fixed bit", make([]byte, 100), false, nil, FaultNotQUIC},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			packet, err := Parse(test.datagram, idBytes)
			is.True(errors.Is(err, test.want))
			is.Equal(packet.MayOpenFlow, test.opens)
			is.Equal(packet.ID, test.id)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(longHeaderPacket(0xc0, [4]byte{0, 0, 0, 1}, make([]byte, 8), 1200))
	f.Add(longHeaderPacket(0xe0, [4]byte{0, 0, 0, 1}, make([]byte, 20), 60))
	f.Add(make([]byte, 18))
	f.Add([]byte{0x40})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		packet, err := Parse(datagram, idBytes)
		if err == nil && len(packet.ID) > MaxID {
			t.Fatalf("id of %d bytes", len(packet.ID))
		}
	})
}
