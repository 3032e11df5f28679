package gooseberrymast

import (
	"testing"

	"github.com/matryer/is"
)

func TestDocumentVersionsAreOrderedByNumber(t *testing.T) {
	tests := []struct {
		name                 string
		a, b                 DocumentVersion
		newer, same, atLeast bool
	}{
		{"higher number, lower revision", DocumentVersion{14, 30, 1}, DocumentVersion{11, 50, 2}, true, false, true},
		{"lower number, higher revision", DocumentVersion{11, 50, 2}, DocumentVersion{14, 30, 1}, false, false, false},
		{"one revision, two documents", DocumentVersion{14, 30, 1}, DocumentVersion{11, 30, 2}, true, false, true},
		{"one document, two revisions", DocumentVersion{14, 30, 1}, DocumentVersion{14, 50, 1}, false, true, true},
		{"one number, two contents", DocumentVersion{14, 30, 1}, DocumentVersion{14, 30, 2}, false, false, true},
		{"from an earlier build", DocumentVersion{0, 50, 0}, DocumentVersion{14, 30, 1}, false, false, true},
		{"against an earlier build", DocumentVersion{14, 30, 1}, DocumentVersion{0, 50, 0}, true, false, false},
		{"both from earlier builds", DocumentVersion{0, 50, 0}, DocumentVersion{0, 30, 0}, true, false, true},
		{"against none", DocumentVersion{14, 30, 1}, DocumentVersion{}, true, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.a.Newer(test.b), test.newer)
			is.Equal(test.a.Same(test.b), test.same)
			is.Equal(test.a.AtLeast(test.b), test.atLeast)
		})
	}
}
