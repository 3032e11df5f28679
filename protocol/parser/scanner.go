package parser

import (
	"bytes"
	"fmt"

	"gooseberrymast"
)

// MaxDepth limits the parts of a dotted key and the nesting of values. The
// library's running time grows faster than the square of either.
const MaxDepth = 16

// scanner tracks the nesting in a TOML text. It recognises only strings,
// comments and the characters that nest; up to the first syntax error it agrees
// with the library.
type scanner struct {
	rest []byte
	line int
	// dots is the number of dots in the current key or number.
	dots int
	// nesting is the number of open brackets and braces.
	nesting int
}

// depthFault returns a fault for the first line that is nested too deeply and
// reports whether there is one.
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

// skipTo consumes everything before the next occurrence of a text, or the rest.
func (s *scanner) skipTo(text string) {
	end := bytes.Index(s.rest, []byte(text))
	if end < 0 {
		end = len(s.rest)
	}
	s.line += bytes.Count(s.rest[:end], []byte("\n"))
	s.rest = s.rest[end:]
}

// skipString consumes a string in any of TOML's four forms. An unclosed
// single-line string ends with the line.
func (s *scanner) skipString() {
	quote := s.rest[0]
	delimiter := bytes.Repeat([]byte{quote}, 3)
	multiLine := bytes.HasPrefix(s.rest, delimiter)
	if !multiLine {
		delimiter = delimiter[:1]
	}
	s.rest = s.rest[len(delimiter):]
	for len(s.rest) > 0 && !bytes.HasPrefix(s.rest, delimiter) {
		if s.rest[0] == '\n' {
			if !multiLine {
				return
			}
			s.line++
		}
		if s.rest[0] == '\\' && quote == '"' && len(s.rest) > 1 && s.rest[1] != '\n' {
			s.rest = s.rest[1:]
		}
		s.rest = s.rest[1:]
	}
	s.rest = s.rest[min(len(delimiter), len(s.rest)):]
	// A multi-line string may itself end with up to two quotes.
	for i := 0; i < 2 && multiLine && len(s.rest) > 0 && s.rest[0] == quote; i++ {
		s.rest = s.rest[1:]
	}
}
