package soaker

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// buildProgram builds gooseberrymastd and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gooseberrymastd")
	if output, err := exec.Command("go", "build", "-o", path, "gooseberrymast/cmd/gooseberrymastd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return path
}

// Runs a short soak of one seed, in which no promise may be broken.
func TestSoak(t *testing.T) {
	is := is.New(t)
	report, err := Run(context.Background(), Options{
		Program: buildProgram(t), Folder: t.TempDir(), Network: 21, Seed: 1, Length: 24 * time.Second, Instances: 10,
	})
	is.NoErr(err)
	for _, violation := range report.Violations {
		t.Errorf("%s: %s", violation.Promise, violation.What)
	}
	is.True(report.Served > 0)
	is.True(len(report.Faults) > 0)
}

// Guards against callers that learn of the loss of all servers and processes only by the
// loss of a request, and against resets of flows whose servers outlived all processes.
func TestIdleFlowsAreResetAfterLossOfEverything(t *testing.T) {
	is := is.New(t)
	report, err := Run(context.Background(), Options{
		Program: buildProgram(t), Folder: t.TempDir(), Network: 23, Seed: 3, Length: 40 * time.Second, Instances: 10,
		schedule: []Fault{
			{At: 12 * time.Second, Duration: 2 * time.Second, Kind: "kill-all", Seed: 1},
			{At: 24 * time.Second, Duration: 2 * time.Second, Kind: "lose-all", Seed: 1},
		},
	})
	is.NoErr(err)
	for _, violation := range report.Violations {
		t.Errorf("%s: %s", violation.Promise, violation.What)
	}
	is.True(report.IdleResets > 0)
}

// Guards against a checker that overlooks violations: the stand-ins break promises
// on purpose, and each must be reported.
func TestSabotageIsDetected(t *testing.T) {
	is := is.New(t)
	report, err := Run(context.Background(), Options{
		Program: buildProgram(t), Folder: t.TempDir(), Network: 22, Seed: 2, Length: firstFaultAt + recoveryWindow, Instances: minInstances,
		Sabotage: true,
	})
	is.NoErr(err)
	for _, promise := range []Promise{PromiseAnswer, PromiseRunOnce, PromiseFlowKept, PromiseIdleKept, PromiseDelivery, PromiseExit} {
		if report.BrokenPromises[promise] == 0 {
			t.Errorf("broken promise %s was not reported", promise)
		}
	}
}

func TestRunRejectsInvalidOptions(t *testing.T) {
	is := is.New(t)
	_, err := Run(context.Background(), Options{Instances: 1, Length: time.Minute})
	is.True(err != nil)
	_, err = Run(context.Background(), Options{Instances: minInstances, Length: time.Second})
	is.True(err != nil)
}
