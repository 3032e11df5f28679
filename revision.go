package gooseberrymast

import (
	"fmt"
	"strconv"
	"time"
)

// Revision is one accepted document of an environment. Its encoding, made by
// protocol packages, is the value of the object at DocumentKey and of its copies
// under HistoryPrefix.
type Revision struct {
	// Number is above zero and rises by one with each accepted document of
	// the environment.
	Number uint64
	// Environment is the environment's name in kebab case.
	Environment string
	// WriteID is unique to the write and equals the stored object's WriteID, so
	// that a writer that lost the store's response can recognise its own write.
	WriteID string
	// Author is the operator who applied the document.
	Author string
	// Time is when the author's process applied the document.
	Time time.Time
	// Text is the document, byte for byte as the operator wrote it.
	Text []byte
}

// DocumentKey returns the key of the object that holds an environment's newest
// revision. Writes to it are conditional on the version that was read before.
func DocumentKey(environment string) string {
	return "environments/" + environment + "/document"
}

// HistoryPrefix returns the prefix of the keys that hold an environment's
// revisions, including the newest.
func HistoryPrefix(environment string) string {
	return "environments/" + environment + "/history/"
}

// HistoryKey returns the key of one revision. Numbers are zero-padded so that
// sorting the keys sorts the revisions.
func HistoryKey(environment string, number uint64) string {
	return HistoryPrefix(environment) + fmt.Sprintf("%020d", number)
}

// HistoryNumber parses the revision's number from a key made by HistoryKey.
func HistoryNumber(environment, key string) (uint64, error) {
	prefix := HistoryPrefix(environment)
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return 0, fmt.Errorf("HistoryNumber %q: want prefix %q", key, prefix)
	}
	number, err := strconv.ParseUint(key[len(prefix):], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("HistoryNumber %q: %w", key, err)
	}
	return number, nil
}
