package gooseberrymast_test

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
)

func TestIdentityText(t *testing.T) {
	tests := []struct {
		text  string
		valid bool
	}{
		{"", true},
		{"10.0.0.1:7000#3", true},
		{"10.0.0.1:7000", false},
		{"10.0.0.1#3", false},
		{"10.0.0.1:7000#-1", false},
		{"10.0.0.1:7000#4294967296", false},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			is := is.New(t)
			var identity gooseberrymast.Identity
			err := identity.UnmarshalText([]byte(test.text))
			is.Equal(err == nil, test.valid)
			if !test.valid {
				return
			}
			text, err := identity.MarshalText()
			is.NoErr(err)
			is.Equal(string(text), test.text)
		})
	}
}
