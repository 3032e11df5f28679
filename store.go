package gooseberrymast

import (
	"context"
	"errors"
)

// The errors of a Store. ErrStoreUnknown means that a write may have taken
// effect; the writer finds out by reading the object and comparing write ids.
var (
	ErrStoreConflict    = errors.New("the object's version is not the expected one")
	ErrStoreNotFound    = errors.New("no such object")
	ErrStoreUnavailable = errors.New("the store is unavailable")
	ErrStoreUnknown     = errors.New("the write's outcome is unknown")
	// ErrStoreListCut means that a list lacks the objects after those returned: it is no
	// proof that others don't exist.
	ErrStoreListCut = errors.New("the list was cut short")
)

// Object is one value in the platform's store.
type Object struct {
	// Key is slash-separated and unique in the store.
	Key string
	// Version is set by the store and rises with each write of the key.
	Version uint64
	// WriteID was chosen by the writer of this version.
	WriteID string
	// Value is at most MaxObjectBytes long.
	Value []byte
}

// MaxObjectBytes is the largest value that the store accepts, in bytes.
const MaxObjectBytes = 1 << 20

// ObjectStore reads and writes objects.
type ObjectStore interface {
	// Get reads one object, or fails with ErrStoreNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List reads the objects whose keys start with prefix, sorted by key. An error may
	// accompany objects: others could not be decoded, and, with ErrStoreListCut, those
	// after them are missing. An object whose value can't be decoded is returned with a
	// value that is no JSON if its key is known.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes the object when the stored version equals expected (zero:
	// the key is absent) and returns the new version. It fails with
	// ErrStoreConflict, or with ErrStoreUnknown when the response was lost.
	Put(ctx context.Context, object Object, expected uint64) (uint64, error)
	// Delete removes the key when its version equals expected.
	Delete(ctx context.Context, key string, expected uint64) error
}

// Store is the platform's object API.
type Store interface {
	ObjectStore
	// Watch waits for one version above after and returns the object, or fails
	// when the context ends. A waiting watch counts as a call to the store.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
}

// StoreOutcome returns the metric label for the outcome of a call to the store.
func StoreOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrStoreNotFound):
		return "not-found"
	case errors.Is(err, ErrStoreConflict):
		return "conflict"
	case errors.Is(err, ErrStoreUnknown):
		return "unknown"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	}
	return "unavailable"
}
