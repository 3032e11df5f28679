package operator

import (
	"time"

	"gooseberrymast"
)

// RefusalReport is a refusal as JSON. Sentence is built from the other fields.
type RefusalReport struct {
	ID       string    `json:"id"`
	Reason   string    `json:"reason"`
	Ran      string    `json:"ran"`
	Service  string    `json:"service"`
	Limit    string    `json:"limit,omitempty"`
	Value    string    `json:"value,omitempty"`
	Revision uint64    `json:"revision"`
	Instance string    `json:"instance"`
	Time     time.Time `json:"time"`
	Sentence string    `json:"sentence"`
}

func newRefusalReport(refusal gooseberrymast.Refusal) RefusalReport {
	return RefusalReport{
		ID:       refusal.ID,
		Reason:   string(refusal.Reason),
		Ran:      string(refusal.Ran),
		Service:  refusal.Service,
		Limit:    refusal.Limit,
		Value:    refusal.Value,
		Revision: refusal.Revision,
		Instance: refusal.Instance,
		Time:     refusal.Time,
		Sentence: refusal.Sentence(),
	}
}
