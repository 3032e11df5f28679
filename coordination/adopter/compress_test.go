package adopter

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func document(services, slots int) []byte {
	var text bytes.Buffer
	for i := range services {
		n := 4
		if i == services/2 {
			n = slots
		}
		fmt.Fprintf(&text, "[services.service-%d.limits]\nconnections = 2000\nslots = %d\n\n", i, n)
	}
	return text.Bytes()
}

func TestCompressRoundTrip(t *testing.T) {
	tests := []struct {
		name       string
		base, text string
	}{
		{"both empty", "", ""},
		{"from nothing", "", "text"},
		{"to nothing", "base", ""},
		{"the same", "same", "same"},
		{"longer", "aaaa", "aaaaaaaa"},
		{"shorter", "aaaaaaaa", "aaaa"},
		{"overlapping ends", "abab", "ab"},
		{"middle", "head middle tail", "head other tail"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			text, err := expand([]byte(test.base), compress([]byte(test.base), []byte(test.text)))
			is.NoErr(err)
			is.Equal(string(text), test.text)
		})
	}
}

func TestCompressRoundTripRandomTexts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		base := randomText(random)
		text := append(append(bytes.Clone(base[:random.IntN(len(base)+1)]), randomText(random)...), base[random.IntN(len(base)+1):]...)
		got, err := expand(base, compress(base, text))
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("base %q, text %q: got %q, %v", base, text, got, err)
		}
	}
}

func randomText(random *rand.Rand) []byte {
	text := make([]byte, random.IntN(40))
	for i := range text {
		text[i] = "ab"[random.IntN(2)]
	}
	return text
}

// TestCompressedChangeIsIndependentOfDocumentSize changes one limit in a small
// and in a large document. Only the two lengths at the start may be longer in the
// encoding of the large one.
func TestCompressedChangeIsIndependentOfDocumentSize(t *testing.T) {
	const lengthBytes = 2 * 3 // Two lengths below 2 MiB take three bytes each.
	is := is.New(t)
	small := compress(document(2, 4), document(2, 5))
	large := compress(document(8600, 4), document(8600, 5))
	is.True(len(large) <= len(small)+lengthBytes)
}

func TestExpandRejectsMalformedText(t *testing.T) {
	base := []byte("a base of some length")
	packed := compress(base, []byte("a base of other length"))
	tests := []struct {
		name         string
		base, packed []byte
	}{
		{"empty", base, nil},
		{"one length", base, packed[:1]},
		{"cut", base, packed[:len(packed)-3]},
		{"shorter base", base[:5], packed},
		{"length beyond every base", base, []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := expand(test.base, test.packed)
			is.New(t).True(err != nil)
		})
	}
}
