package trier

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// smallDeployment is small enough for a test under the race detector.
var smallDeployment = Deployment{
	Name:  "small",
	Zones: []string{"one", "two"},
	Services: []DeployedService{
		{Name: "ledger", Servers: 2, Slots: 4, WorkPath: "/work/reserve"},
		{Name: "receipts", Servers: 2, Slots: 4, WorkPath: "/work/slip"},
	},
	CallerDelay: time.Millisecond,
}

// TestScenariosKeepInvariants runs the whole system. Its checks are independent
// of the machine's speed: none bounds a time or the share of refusals.
func TestScenariosKeepInvariants(t *testing.T) {
	tests := []struct {
		scenario string
		length   time.Duration
	}{
		{"restart", 4 * time.Second},
		{"faults", 8 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.scenario, func(t *testing.T) {
			is := is.New(t)
			report, err := Run(context.Background(), Options{
				Deployment:     smallDeployment,
				Scenario:       test.scenario,
				Length:         test.length,
				Seed:           1,
				FlowsPerServer: 5,
			})
			is.NoErr(err)
			is.Equal(report.Broken(), nil)
			is.True(report.AnswersWhole > 0)  // traffic ran
			is.True(report.StreamsOpened > 0) // streams ran
		})
	}
}

// TestBrokenNamesEachInvariant checks that a violation of each invariant is
// reported.
func TestBrokenNamesEachInvariant(t *testing.T) {
	tests := []struct {
		name     string
		report   Report
		violated int
	}{
		{"nothing", Report{}, 0},
		{"misdelivered", Report{PacketsMisdelivered: 1}, 1},
		{"wrong answer", Report{AnswersWrong: 1}, 1},
		{"untrue refusal", Report{RefusalsUntrue: 1}, 1},
		{"run twice", Report{RunTwice: 1}, 1},
		{"broken flow", Report{FlowsBroken: 1}, 1},
		{"work after grace", Report{LeavingWork: 1}, 1},
		{"cut request", Report{RequestsCut: 1}, 1},
		{"cut request of a killed instance", Report{RequestsCut: 1, ServersKilled: 1}, 0},
		{"violation", Report{Violations: map[string]uint64{"one-hand-over": 1}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(test.report.Broken()), test.violated)
		})
	}
}

// TestCheckComparesOutcomesWithRuns checks that outcomes which contradict what
// ran are counted as violations.
func TestCheckComparesOutcomesWithRuns(t *testing.T) {
	tests := []struct {
		name    string
		outcome outcome
		runs    int
		untrue  int64
		twice   int64
	}{
		{"true refusal", outcome{result: resultNotRun}, 0, 0, 0},
		{"untrue refusal", outcome{result: resultNotRun}, 1, 1, 0},
		{"unknown result is not counted", outcome{result: resultUnknown}, 1, 0, 0},
		{"run twice", outcome{result: resultComplete}, 2, 0, 1},
		{"idempotent run twice", outcome{result: resultComplete, idempotent: true}, 2, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var outcomes tally
			test.outcome.id = "ledger/1/1"
			outcomes.add(test.outcome)
			var report Report
			outcomes.checkRuns(&report, runCounts{runs: map[string]int{"ledger/1/1": test.runs}})
			is.Equal(report.RefusalsUntrue, test.untrue)
			is.Equal(report.RunTwice, test.twice)
		})
	}
}

func TestBelongs(t *testing.T) {
	is := is.New(t)
	is.True(belongs("ledger/1/7", "ledger-3.1"))
	is.True(belongs("flow/ledger/4/0", "ledger-3.1"))
	is.True(!belongs("receipts/1/7", "ledger-3.1"))
	is.True(!belongs("flow/receipts/4/0", "ledger-3.1"))
}

func TestReportAsJSON(t *testing.T) {
	is := is.New(t)
	report := Report{RefusalReasons: map[string]int64{string(gooseberrymast.ReasonQueueFull): 2}}
	var out bytes.Buffer
	is.NoErr(report.WriteJSON(&out))
	var keys map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &keys))
	for _, key := range []string{
		"flows-opened", "flows-broken", "packets-misdelivered", "requests-sent", "answers-whole", "answers-wrong",
		"refusals", "refusals-untrue", "run-twice", "imbalance", "p50-ms", "p99-ms", "seconds",
	} {
		_, ok := keys[key]
		is.True(ok) // the key is part of the report
	}
}
