package parser

import (
	"bytes"
	"fmt"

	"gooseberrymast"
)

// MaxDepth bounds the parts of a dotted key and the nesting of values. The
// library's time grows with more than the square of either.
const MaxDepth = 16

// scanner reads TOML just well enough to tell strings and comments from the
// rest. Up to the first error of syntax it sees what the library sees.
type scanner struct {
	rest []byte
	line int
	// dots counts the dots of the current key or number.
	dots int
	// nesting counts the brackets and braces that are open.
	nesting int
}

// depthFault gives the first place that is nested too deeply.
func depthFault(file string, text []byte) (gooseberrymast.Fault, bool) {
	s := scanner{rest: text, line: 1}
	for len(s.rest) > 0 {
		s.step()
		if s.dots >= MaxDepth || s.nesting > MaxDepth {
			return gooseberrymast.Fault{
				File:  file,
				Line:  s.line,
				Value: "a key or value nested too deeply",
				Want:  fmt.Sprintf("at most %d levels", MaxDepth),
			}, true
		}
	}
	return gooseberrymast.Fault{}, false
}

// step consumes one character, string or comment.
func (s *scanner) step() {
	switch s.rest[0] {
	case '#':
		s.skipTo("\n")
		return
	case '"', '\'':
		s.skipString()
		return
	case '.':
		s.dots++
	case '[', '{':
		s.nesting++
		s.dots = 0
	case ']', '}':
		s.nesting = max(0, s.nesting-1)
		s.dots = 0
	case '=', ',':
		s.dots = 0
	case '\n':
		s.line++
		s.dots = 0
	}
	s.rest = s.rest[1:]
}

// skipTo consumes everything before a text, or all.
func (s *scanner) skipTo(text string) {
	end := bytes.Index(s.rest, []byte(text))
	if end < 0 {
		end = len(s.rest)
	}
	s.line += bytes.Count(s.rest[:end], []byte("\n"))
	s.rest = s.rest[end:]
}

// skipString consumes a string in any of TOML's four forms. One that is not
// closed on its line ends with the line.
func (s *scanner) skipString() {
	quote := s.rest[0]
	whole := bytes.Repeat([]byte{quote}, 3)
	long := bytes.HasPrefix(s.rest, whole)
	if !long {
		whole = whole[:1]
	}
	s.rest = s.rest[len(whole):]
	for len(s.rest) > 0 && !bytes.HasPrefix(s.rest, whole) {
		if s.rest[0] == '\n' {
			if !long {
				return
			}
			s.line++
		}
		if s.rest[0] == '\\' && quote == '"' && len(s.rest) > 1 && s.rest[1] != '\n' {
			s.rest = s.rest[1:]
		}
		s.rest = s.rest[1:]
	}
	s.rest = s.rest[min(len(whole), len(s.rest)):]
	// A long string may end with two quotes of its own.
	for i := 0; i < 2 && long && len(s.rest) > 0 && s.rest[0] == quote; i++ {
		s.rest = s.rest[1:]
	}
}
