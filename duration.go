package gooseberrymast

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text such as "250ms".
type Duration time.Duration

// UnmarshalText parses the form that time.ParseDuration accepts.
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

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the duration as text such as "250ms".
func (d Duration) String() string {
	return time.Duration(d).String()
}
