package trier

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is the result of a trial. Counts of answers come from the callers,
// counts of runs from the stand-in backend servers.
type Report struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`

	FlowsOpened int64 `json:"flows-opened"`
	// FlowsBroken counts the flows whose stream was cut while their own instance
	// was running.
	FlowsBroken         int64 `json:"flows-broken"`
	PacketsMisdelivered int64 `json:"packets-misdelivered"`
	StreamsOpened       int64 `json:"streams-opened"`
	StreamsCut          int64 `json:"streams-cut"`
	// StreamsLost counts the streams that ended because their own instance was
	// killed.
	StreamsLost    int64 `json:"streams-lost"`
	StreamsRefused int64 `json:"streams-refused"`
	RequestsSent   int64 `json:"requests-sent"`
	AnswersWhole   int64 `json:"answers-whole"`
	AnswersWrong   int64 `json:"answers-wrong"`
	AnswersLate    int64 `json:"answers-late"`
	RequestsCut    int64 `json:"requests-cut"`
	Refusals       int64 `json:"refusals"`
	RefusalsUntrue int64 `json:"refusals-untrue"`
	RunTwice       int64 `json:"run-twice"`
	// LeavingWork counts the requests and streams that backend servers started
	// after the grace of their drain.
	LeavingWork int64 `json:"leaving-work"`

	// Imbalance is the largest number of open streams at a server over the mean,
	// of the service with the highest ratio.
	Imbalance float64 `json:"imbalance"`
	// PeakShare is the number of requests answered within their deadline at peak
	// load as a share of the slots' capacity; zero except in the crest scenarios.
	PeakShare float64 `json:"crest-share"`

	P50Milliseconds float64 `json:"p50-ms"`
	P99Milliseconds float64 `json:"p99-ms"`
	// ShortP99Milliseconds excludes the requests that are long by design.
	ShortP99Milliseconds float64 `json:"short-p99-ms"`

	BalancersReplaced int64   `json:"balancers-replaced"`
	ServersDrained    int64   `json:"servers-drained"`
	ServersKilled     int64   `json:"servers-killed"`
	Seconds           float64 `json:"seconds"`

	// RefusalReasons counts the refusals that callers received, by reason.
	RefusalReasons map[string]int64 `json:"refusal-reasons"`
	// Violations counts the violations of invariants that the program asserts, by
	// invariant.
	Violations map[string]uint64 `json:"violations"`
}

// Broken returns one line for each invariant that the trial violated.
func (r *Report) Broken() []string {
	var broken []string
	type check struct {
		name  string
		count int64
	}
	checks := []check{
		{"packets-misdelivered", r.PacketsMisdelivered},
		{"answers-wrong", r.AnswersWrong},
		{"refusals-untrue", r.RefusalsUntrue},
		{"run-twice", r.RunTwice},
		{"flows-broken", r.FlowsBroken},
		{"leaving-work", r.LeavingWork},
	}
	if r.ServersKilled == 0 {
		checks = append(checks, check{"requests-cut", r.RequestsCut})
	}
	for _, check := range checks {
		if check.count > 0 {
			broken = append(broken, fmt.Sprintf("%s is %d, want 0", check.name, check.count))
		}
	}
	for name, n := range r.Violations {
		broken = append(broken, fmt.Sprintf("invariant %s was violated %d times", name, n))
	}
	return broken
}

// WriteJSON writes the report as one JSON object on one line.
func (r *Report) WriteJSON(out io.Writer) error {
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("Report.WriteJSON: %w", err)
	}
	_, err = fmt.Fprintf(out, "%s\n", line)
	return err
}

// WriteTable writes the report as a human-readable table.
func (r *Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"deployment", r.Deployment},
		{"scenario", r.Scenario},
		{"policy", r.Policy},
		{"seed", r.Seed},
		{"flows opened", r.FlowsOpened},
		{"flows broken", r.FlowsBroken},
		{"packets misdelivered", r.PacketsMisdelivered},
		{"streams opened", r.StreamsOpened},
		{"streams cut", r.StreamsCut},
		{"streams lost with their instance", r.StreamsLost},
		{"streams refused", r.StreamsRefused},
		{"requests sent", r.RequestsSent},
		{"answers whole", r.AnswersWhole},
		{"answers wrong", r.AnswersWrong},
		{"requests cut", r.RequestsCut},
		{"refusals", r.Refusals},
		{"refusals untrue", r.RefusalsUntrue},
		{"run twice", r.RunTwice},
		{"work after grace", r.LeavingWork},
		{"imbalance", fmt.Sprintf("%.2f", r.Imbalance)},
		{"p50", fmt.Sprintf("%.1f ms", r.P50Milliseconds)},
		{"p99", fmt.Sprintf("%.1f ms", r.P99Milliseconds)},
		{"p99 of short requests", fmt.Sprintf("%.1f ms", r.ShortP99Milliseconds)},
		{"balancers replaced", r.BalancersReplaced},
		{"backend servers drained", r.ServersDrained},
		{"backend servers killed", r.ServersKilled},
		{"seconds", fmt.Sprintf("%.1f", r.Seconds)},
	}
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%v\n", row.name, row.value)
	}
	if r.PeakShare > 0 {
		fmt.Fprintf(table, "%s\t%.2f\n", "served at the crest", r.PeakShare)
	}
	for reason, n := range r.RefusalReasons {
		fmt.Fprintf(table, "refused: %s\t%d\n", reason, n)
	}
	return table.Flush()
}
