package applier_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/applier"
)

// seeds is the number of runs of TestRandomRacesReportTrueOutcomes.
var seeds = flag.Uint64("seeds", 4000, "the number of random races")

func revisionOf(number uint64, writeID, text string) gooseberrymast.Revision {
	return gooseberrymast.Revision{Number: number, Environment: "trial", WriteID: writeID, Text: []byte(text)}
}

func TestApplier(t *testing.T) {
	base := revisionOf(4, "base", "old")
	ours := revisionOf(5, "ours", "new")
	theirs := revisionOf(5, "theirs", "other")
	later := revisionOf(6, "later", "latest")
	read := func(revision gooseberrymast.Revision, version uint64) applier.Result {
		return applier.Result{Revision: revision, Version: version}
	}
	fail := func(err error) applier.Result {
		return applier.Result{Err: err}
	}
	ok := applier.Result{}
	conflict := fail(gooseberrymast.ErrStoreConflict)
	down := fail(gooseberrymast.ErrStoreUnavailable)
	lost := fail(gooseberrymast.ErrStoreUnknown)
	tests := []struct {
		name    string
		results []applier.Result
		outcome applier.Outcome
		winner  string
	}{
		{"first revision", []applier.Result{fail(gooseberrymast.ErrStoreNotFound), ok, ok}, applier.OutcomeApplied, ""},
		{"next revision", []applier.Result{read(base, 9), ok, ok, ok}, applier.OutcomeApplied, ""},
		{"history copied before", []applier.Result{read(base, 9), conflict, ok, conflict}, applier.OutcomeApplied, ""},
		{"same bytes", []applier.Result{read(revisionOf(4, "base", "new"), 9), ok, ok, ok}, applier.OutcomeApplied, ""},
		{"down before the write", []applier.Result{down, down, down}, applier.OutcomeNotApplied, ""},
		{"down for the history", []applier.Result{read(base, 9), down, lost, down}, applier.OutcomeNotApplied, ""},
		{"race lost", []applier.Result{read(base, 9), ok, conflict, read(theirs, 10)}, applier.OutcomeLost, "theirs"},
		{"race lost, stale read first", []applier.Result{read(base, 9), ok, conflict, read(base, 9), read(theirs, 10)}, applier.OutcomeLost, "theirs"},
		{"race lost, winner unreadable", []applier.Result{read(base, 9), ok, conflict, down, down, down}, applier.OutcomeLost, ""},
		{"answer lost, applied", []applier.Result{read(base, 9), ok, lost, read(ours, 10), ok}, applier.OutcomeApplied, ""},
		{"answer lost, older version read", []applier.Result{read(base, 9), ok, lost, read(revisionOf(3, "older", "x"), 8), read(ours, 10), ok}, applier.OutcomeApplied, ""},
		{"answer lost, written again", []applier.Result{read(base, 9), ok, lost, read(base, 9), ok, ok}, applier.OutcomeApplied, ""},
		{"answer lost, late copy lands first", []applier.Result{read(base, 9), ok, lost, read(base, 9), conflict, read(ours, 10), ok}, applier.OutcomeApplied, ""},
		{"answer lost, another won", []applier.Result{read(base, 9), ok, lost, read(theirs, 10)}, applier.OutcomeLost, "theirs"},
		{"answer lost, applied and followed", []applier.Result{read(base, 9), ok, lost, read(later, 11), read(ours, 1)}, applier.OutcomeApplied, ""},
		{"answer lost, another won and was followed", []applier.Result{read(base, 9), ok, lost, read(later, 11), read(theirs, 1)}, applier.OutcomeLost, "theirs"},
		{"answer lost, history missing", []applier.Result{read(base, 9), ok, lost, read(later, 11), fail(gooseberrymast.ErrStoreNotFound), down}, applier.OutcomeUnknown, ""},
		{"answer lost, then down", []applier.Result{read(base, 9), ok, lost, down, down}, applier.OutcomeUnknown, ""},
		{"strange error of a write", []applier.Result{read(base, 9), ok, fail(errors.New("reset")), down, down}, applier.OutcomeUnknown, ""},
		{"down for the write", []applier.Result{read(base, 9), ok, down, down, down}, applier.OutcomeNotApplied, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			machine := &applier.Applier{Environment: "trial", Text: []byte("new"), WriteID: "ours", Attempts: 3}
			step := machine.Start()
			for _, result := range test.results {
				is.True(step.Kind != applier.StepDone) // every result is used
				step = machine.Advance(result)
			}
			is.Equal(step.Kind, applier.StepDone)
			is.Equal(step.Report.Outcome, test.outcome)
			is.Equal(step.Report.Winner.WriteID, test.winner)
		})
	}
}

func TestConditionalApplyRejectsUnseenRevision(t *testing.T) {
	is := is.New(t)
	machine := &applier.Applier{Text: []byte("new"), WriteID: "ours", Conditional: true, Seen: 3}
	machine.Start()
	step := machine.Advance(applier.Result{Revision: revisionOf(4, "theirs", "x"), Version: 9})
	is.Equal(step.Report.Outcome, applier.OutcomeLost) // an unseen revision is not overwritten
	is.Equal(step.Report.Winner.WriteID, "theirs")
}

func TestAbandonReportsWhetherWritten(t *testing.T) {
	is := is.New(t)
	machine := &applier.Applier{Text: []byte("new"), WriteID: "ours"}
	machine.Start()
	is.Equal(machine.Abort(nil).Report.Outcome, applier.OutcomeNotApplied)
	machine.Start()
	step := machine.Advance(applier.Result{Err: gooseberrymast.ErrStoreNotFound})
	is.Equal(step.Kind, applier.StepWriteDocument)
	is.Equal(machine.Abort(nil).Report.Outcome, applier.OutcomeUnknown) // the write is in progress
}

// TestRandomRacesReportTrueOutcomes runs concurrent applies against a store that
// loses responses, is unavailable, returns stale reads and delays writes. Every
// report must match the final content of the store.
func TestRandomRacesReportTrueOutcomes(t *testing.T) {
	outcomes := map[applier.Outcome]int{}
	for seed := range *seeds {
		store := &fakeStore{rng: rand.New(rand.NewPCG(seed, 1)), failureRate: float64(seed%5) * 0.15}
		reports := runRace(store, 2+int(seed%3))
		store.commitAllDelayed()
		for i, report := range reports {
			outcomes[report.Outcome]++
			if err := store.check(report); err != nil {
				t.Fatalf("seed %d, operator %d: %v", seed, i, err)
			}
		}
		if err := store.checkChain(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	for _, outcome := range []applier.Outcome{applier.OutcomeApplied, applier.OutcomeLost, applier.OutcomeNotApplied, applier.OutcomeUnknown} {
		if outcomes[outcome] == 0 {
			t.Errorf("no run ended as %s", outcome)
		}
	}
	t.Log(outcomes)
}

// runRace interleaves the steps of several operators' applies at random.
func runRace(store *fakeStore, operators int) []applier.Report {
	machines := make([]*applier.Applier, operators)
	steps := make([]applier.Step, operators)
	for i := range machines {
		machines[i] = &applier.Applier{
			Environment: "trial",
			Text:        []byte(fmt.Sprint("text of ", i)),
			WriteID:     fmt.Sprint("operator-", i),
			Attempts:    6,
		}
		steps[i] = machines[i].Start()
	}
	for running := operators; running > 0; {
		i := store.rng.IntN(operators)
		if steps[i].Kind == applier.StepDone {
			continue
		}
		steps[i] = machines[i].Advance(store.serve(steps[i]))
		if steps[i].Kind == applier.StepDone {
			running--
		}
	}
	reports := make([]applier.Report, operators)
	for i, step := range steps {
		reports[i] = step.Report
	}
	return reports
}

func TestPromotionCheck(t *testing.T) {
	trial := revisionOf(5, "w", "text")
	inForce := gooseberrymast.Status{
		Environment: "trial", Revision: 5, Newest: 5,
		Revisions: []gooseberrymast.RevisionStatus{{Number: 5, Instances: 4}},
	}
	tests := []struct {
		name   string
		change func(*applier.Promotion)
		want   error
	}{
		{"in force everywhere", func(*applier.Promotion) {}, nil},
		{"no revision", func(p *applier.Promotion) { p.Source.Number = 0 }, applier.ErrNothingToPromote},
		{"no status", func(p *applier.Promotion) { p.StatusErr = errors.New("refused") }, applier.ErrNotInForce},
		{"another environment's balancer", func(p *applier.Promotion) { p.Status.Environment = "production" }, applier.ErrNotInForce},
		{"balancer behind the store", func(p *applier.Promotion) { p.Status.Newest = 4 }, applier.ErrNotInForce},
		{"balancer not in force", func(p *applier.Promotion) { p.Status.Revision = 4 }, applier.ErrNotInForce},
		{"an instance behind", func(p *applier.Promotion) {
			p.Status.Revisions = append(p.Status.Revisions, gooseberrymast.RevisionStatus{Number: 4, Instances: 1})
		}, applier.ErrNotInForce},
		{"an instance without a report", func(p *applier.Promotion) {
			p.Status.Revisions = append(p.Status.Revisions, gooseberrymast.RevisionStatus{Number: 0, Instances: 1})
		}, applier.ErrNotInForce},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			promotion := applier.Promotion{Source: trial, Status: inForce}
			test.change(&promotion)
			is.True(errors.Is(promotion.Check(), test.want))
		})
	}
}
