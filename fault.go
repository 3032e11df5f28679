package gooseberrymast

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxFaultValue is the number of characters of a faulty value that a message shows.
const MaxFaultValue = 60

// Fault is one validation error of a document or of settings.
type Fault struct {
	// File is the name of the file, or empty when there is none.
	File string
	// Line counts from 1; zero is unknown.
	Line int
	// Key is the path of the key as KeyPath writes it; empty for the whole text.
	Key string
	// Value is the faulty value; empty when the key is missing.
	Value string
	// Want describes the valid values; it follows "want " in the message.
	Want string
}

// Error formats the fault as one line.
func (f Fault) Error() string {
	var line strings.Builder
	if f.File != "" {
		line.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		if f.File == "" {
			line.WriteString("line ")
		}
		line.WriteString(strconv.Itoa(f.Line) + ":")
	}
	if line.Len() > 0 {
		line.WriteString(" ")
	}
	if f.Key != "" {
		line.WriteString(f.Key + ": ")
	}
	if f.Value != "" {
		line.WriteString("got " + f.Value + ", ")
	}
	line.WriteString("want " + f.Want)
	return line.String()
}

// Faults are the validation errors of one text, in the order of lines.
type Faults []Fault

// Error formats the faults as one line each.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil when there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f *Faults) add(key string, value any, want string, args ...any) {
	*f = append(*f, Fault{Key: key, Value: FaultValue(value), Want: fmt.Sprintf(want, args...)})
}

func (f *Faults) missing(key, want string) {
	*f = append(*f, Fault{Key: key, Want: want + "; it is missing"})
}

// FaultValue formats a value as one line, cut after MaxFaultValue characters.
func FaultValue(value any) string {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = strconv.Quote(s)
	}
	text = strings.Join(strings.Fields(text), " ")
	if runes := []rune(text); len(runes) > MaxFaultValue {
		return string(runes[:MaxFaultValue]) + "..."
	}
	return text
}

// KeyPath joins the parts of a key as TOML writes them: parts that are not
// bare keys are quoted.
func KeyPath(parts ...string) string {
	quoted := make([]string, 0, len(parts))
	for _, part := range parts {
		if !isBareKey(part) {
			part = strconv.Quote(part)
		}
		quoted = append(quoted, part)
	}
	return strings.Join(quoted, ".")
}

func isBareKey(part string) bool {
	if part == "" {
		return false
	}
	for _, r := range part {
		if !isLetterOrDigit(r) && r != '-' && r != '_' {
			return false
		}
	}
	return true
}

func isLetterOrDigit(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}
