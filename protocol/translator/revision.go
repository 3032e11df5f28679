package translator

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"gooseberrymast"
)

// ErrNoRevisionNumber means that a revision has no number.
var ErrNoRevisionNumber = errors.New("the revision has no number")

// revisionValue is the value of a revision's object. It is JSON so that the
// platform's own tools can show it.
type revisionValue struct {
	Revision    uint64    `json:"revision"`
	Environment string    `json:"environment"`
	WriteID     string    `json:"write-id"`
	Author      string    `json:"author"`
	Time        time.Time `json:"time"`
	Document    string    `json:"document"`
}

// EncodeRevision returns the value of a revision's object.
func EncodeRevision(revision gooseberrymast.Revision) ([]byte, error) {
	if revision.Number == 0 {
		return nil, fmt.Errorf("translator.EncodeRevision: %w", ErrNoRevisionNumber)
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

// DecodeRevision decodes the value of a revision's object.
func DecodeRevision(value []byte) (gooseberrymast.Revision, error) {
	var decoded revisionValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return gooseberrymast.Revision{}, fmt.Errorf("translator.DecodeRevision: %w", err)
	}
	if decoded.Revision == 0 {
		return gooseberrymast.Revision{}, fmt.Errorf("translator.DecodeRevision: %w", ErrNoRevisionNumber)
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
