package keyer

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestParseValidatesKeyFile(t *testing.T) {
	secret := strings.Repeat("0f", SecretBytes)
	tests := []struct {
		name string
		text string
		want string
	}{
		{"valid", fmt.Sprintf("current = 2\n[[keys]]\nepoch = 2\nsecret = %q", secret), ""},
		{"empty", "", "no keys"},
		{"unknown key", "colour = 1", "unknown key"},
		{"short secret", "current = 1\n[[keys]]\nepoch = 1\nsecret = \"00\"", "want 32 bytes"},
		{"current missing", fmt.Sprintf("current = 3\n[[keys]]\nepoch = 2\nsecret = %q", secret), "current epoch 3"},
		{"listed twice", fmt.Sprintf("current = 2\n[[keys]]\nepoch = 2\nsecret = %[1]q\n[[keys]]\nepoch = 2\nsecret = %[1]q", secret), "listed twice"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(test.text)
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want)) // the error describes the fault
		})
	}
}

func TestDeriveSeparatesPurposes(t *testing.T) {
	is := is.New(t)
	keys := Random()
	header, err := keys.Derive(1, PurposeHeader)
	is.NoErr(err)
	ticket, err := keys.Derive(1, PurposeTicket)
	is.NoErr(err)
	is.Equal(len(header), SecretBytes)
	is.True(!bytes.Equal(header, ticket))
	_, err = keys.Derive(2, PurposeHeader)
	is.True(err != nil)
}
