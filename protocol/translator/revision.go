package translator

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gooseberrymast"
)

// ErrNoNumber means that a revision has no number.
var ErrNoNumber = errors.New("the revision has no number")

// revisionValue is the value of a revision's object, so that it can be read
// with the platform's own tools.
type revisionValue struct {
	Revision    uint64    `json:"revision"`
	Environment string    `json:"environment"`
	WriteID     string    `json:"write-id"`
	Author      string    `json:"author"`
	Time        time.Time `json:"time"`
	Document    string    `json:"document"`
}

// EncodeRevision writes the value of a revision's object.
func EncodeRevision(revision gooseberrymast.Revision) ([]byte, error) {
	if revision.Number == 0 {
		return nil, fmt.Errorf("translator.EncodeRevision: %w", ErrNoNumber)
	}
	value, err := json.Marshal(revisionValue{
		Revision:    revision.Number,
		Environment: revision.Environment,
		WriteID:     revision.WriteID,
		Author:      revision.Author,
		Time:        revision.Time.UTC(),
		Document:    string(revision.Text),
	})
	if err != nil {
		return nil, fmt.Errorf("translator.EncodeRevision: %w", err)
	}
	return value, nil
}

// DecodeRevision reads the value of a revision's object.
func DecodeRevision(value []byte) (gooseberrymast.Revision, error) {
	var decoded revisionValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return gooseberrymast.Revision{}, fmt.Errorf("translator.DecodeRevision: %w", err)
	}
	if decoded.Revision == 0 {
		return gooseberrymast.Revision{}, fmt.Errorf("translator.DecodeRevision: %w", ErrNoNumber)
	}
	return gooseberrymast.Revision{
		Number:      decoded.Revision,
		Environment: decoded.Environment,
		WriteID:     decoded.WriteID,
		Author:      decoded.Author,
		Time:        decoded.Time,
		Text:        []byte(decoded.Document),
	}, nil
}
