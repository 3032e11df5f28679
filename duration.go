package gooseberrymast

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text such as "250ms".
type Duration time.Duration

// UnmarshalText parses the form that time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("Duration.UnmarshalText: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std gives the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String gives the duration as text such as "250ms".
func (d Duration) String() string {
	return time.Duration(d).String()
}
